package gateway

import "sync/atomic"

// places counts the requests that the node has taken. Those whose bodies are still being read hold no place, so that
// callers who never end theirs keep nobody out. It is safe for concurrent use.
type places struct {
	// most is the number of places, without a limit if it is 0.
	most  int64
	taken atomic.Int64
}

// take takes a place, and reports whether there was one. Requests that come together cannot keep each other out.
func (p *places) take() bool {
	for {
		n := p.taken.Load()
		if p.most > 0 && n >= p.most {
			return false
		}
		if p.taken.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (p *places) release() {
	p.taken.Add(-1)
}

// takePlace reports whether the node takes the request, and refuses it otherwise.
func (x *exchange) takePlace() bool {
	if x.hasPlace || x.s.places.take() {
		x.hasPlace = true
		return true
	}
	x.refuse(CauseNodeBusy)
	return false
}

func (x *exchange) leavePlace() {
	if x.hasPlace {
		x.hasPlace = false
		x.s.places.release()
	}
}
