package intake

import (
	"cmp"
	"slices"
	"time"
)

// size is how much a connection holds, or is going to hold.
type size int8

// The sizes. Connections of a size may hold a part of all bytes together with the larger ones, so that
// there is room for smaller ones.
const (
	sizeSmall size = iota
	sizeMedium
	sizeLarge
	sizeCount
)

const (
	// mediumShare is the most that one connection of medium size may hold, as a divisor of all bytes.
	mediumShare = 32
	// reserveShare is the part, as a divisor, that only small connections may take. largeShare is the
	// part for all large ones, unless there is only one.
	reserveShare = 4
	largeShare   = 2
	// provenShare is the part, as a divisor, that only connections may take that have completed a request.
	provenShare = 8
)

// UnknownLength is what is expected of a client that has not announced the length of a body.
const UnknownLength = -1

// Expect records how many bytes the client has announced, or UnknownLength. They are not taken, but the
// connection takes its place among those that hold as much.
func (p *Pool) Expect(id ConnID, bytes int64) {
	if a := p.conns[id]; a != nil {
		a.unknown = bytes == UnknownLength
		if a.unknown {
			bytes = p.limits.Small + 1
		}
		a.expected = bytes
		p.resize(a)
	}
}

// sizeOf returns the size of a connection that holds a number of bytes.
func (p *Pool) sizeOf(bytes int64) size {
	switch {
	case bytes <= p.limits.Small:
		return sizeSmall
	case bytes <= p.limits.Bytes/mediumShare:
		return sizeMedium
	}
	return sizeLarge
}

// resize updates the size of a connection.
func (p *Pool) resize(a *account) {
	p.heldIn[a.size] -= a.held
	a.size = p.sizeOf(max(a.held, a.expected))
	p.heldIn[a.size] += a.held
}

// BeginWait reports whether a connection may wait for room. Until EndWait, large connections and those
// with bodies of unknown length get no more, so that what comes back is for those who wait.
func (p *Pool) BeginWait(id ConnID) bool {
	a := p.conns[id]
	if a == nil || !a.mayWait(a.size) {
		return false
	}
	p.waiting++
	return true
}

// EndWait ends a wait.
func (p *Pool) EndWait() {
	p.waiting--
}

func (a *account) mayWait(s size) bool {
	return s < sizeLarge && !a.unknown
}

// lacking returns how many bytes there are too few for a connection to take n more, 0 if there is room.
func (p *Pool) lacking(a *account, n int64) int64 {
	if p.limits.Bytes == 0 {
		return 0
	}
	lacking := p.used + n - p.limits.Bytes
	if !a.proven {
		lacking += p.limits.Bytes / provenShare
	}
	size := p.sizeOf(max(a.held+n, a.expected))
	if p.waiting > 0 && !a.mayWait(size) {
		lacking = max(lacking, n)
	}
	if size >= sizeMedium {
		others := p.heldIn[sizeMedium] + p.heldIn[sizeLarge]
		if a.size == sizeSmall {
			others += a.held
		}
		lacking = max(lacking, others+n-(p.limits.Bytes-p.limits.Bytes/reserveShare))
	}
	if size == sizeLarge {
		others := p.heldIn[sizeLarge]
		if a.size == sizeLarge {
			others -= a.held
		}
		if others > 0 {
			lacking = max(lacking, others+a.held+n-p.limits.Bytes/largeShare)
		}
	}
	return max(lacking, 0)
}

// Take takes bytes for a connection. If there is no room, it returns the connections that have to give
// way, so that there may be room when these have given back what they hold.
func (p *Pool) Take(id ConnID, n int64, now time.Duration) ([]Victim, bool) {
	a := p.conns[id]
	if a == nil {
		// What does not belong to a connection, such as a request of another node.
		a = &account{proven: true}
	}
	if lacking := p.lacking(a, n); lacking > 0 {
		return p.evict(p.creditors(id, lacking, now)), false
	}
	p.hold(a, n)
	return nil, true
}

// hold adds to what a connection holds.
func (p *Pool) hold(a *account, n int64) {
	p.used += n
	if a.id == 0 {
		return
	}
	p.heldIn[a.size] += n
	a.held += n
	p.resize(a)
	p.heldBy[a.address] += n
	if p.heldBy[a.address] == 0 {
		delete(p.heldBy, a.address)
	}
}

// creditors returns late connections that hold the given number of bytes together. Those that hold most
// for least progress come first, also for others of their address.
func (p *Pool) creditors(except ConnID, bytes int64, now time.Duration) []Victim {
	type candidate struct {
		*account
		score float64
	}
	var candidates []candidate
	for _, a := range p.conns {
		switch {
		case a.closing:
			// What it holds comes back anyway.
			bytes -= a.held
			continue
		case a.id == except || a.held == 0:
			continue
		}
		if late := p.late(a, now); late > 0 {
			candidates = append(candidates, candidate{
				account: a,
				score:   float64(a.held) * late.Seconds() * float64(p.heldBy[a.address]),
			})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	var victims []Victim
	for _, c := range candidates {
		if bytes <= 0 {
			break
		}
		bytes -= c.held
		victims = append(victims, Victim{
			Conn:   c.id,
			Reason: ReasonRoom,
		})
	}
	return victims
}

// Give gives bytes of a connection back.
func (p *Pool) Give(id ConnID, n int64) {
	a := p.conns[id]
	if a == nil {
		a = &account{}
	}
	p.hold(a, -n)
	if a.closed && a.held == 0 {
		delete(p.conns, id)
	}
}
