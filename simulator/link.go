package simulator

import (
	"fmt"
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/waitlist"
)

const (
	// headBytes is what is sent beside a request's body, eventBytes an event of a response,
	// eventTokens its tokens.
	headBytes   = 600
	eventBytes  = 150
	eventTokens = 4
	// maxReturns is how often a caller returns after a refusal, maxRepeats how often one does that
	// does not wait.
	maxReturns = 1
	maxRepeats = 4
	// leaveAfter is when callers that leave early do so.
	leaveAfter = 700 * time.Millisecond
)

// link is a node's network link. A nil link has no limit.
type link struct {
	bytesPerSecond float64
	// inFreeAt and outFreeAt are when what was sent in each direction will have gone.
	inFreeAt  time.Duration
	outFreeAt time.Duration
	// room orders the requests to be sent, nil if they go in the order of their arrival.
	room    *waitlist.Room
	waiting map[waitlist.Turn]func()
	wakeAt  time.Duration
}

func newLink(bytesPerSecond float64, ordered bool) *link {
	if bytesPerSecond <= 0 {
		return nil
	}
	l := &link{
		bytesPerSecond: bytesPerSecond,
		waiting:        map[waitlist.Turn]func(){},
	}
	if ordered {
		l.room = waitlist.NewRoom(bytesPerSecond)
	}
	return l
}

func (l *link) pass(freeAt *time.Duration, bytes int, now time.Duration) time.Duration {
	*freeAt = max(*freeAt, now) + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	return *freeAt - now
}

// receive returns how long bytes take to arrive.
func (l *link) receive(bytes int, now time.Duration) time.Duration {
	if l == nil {
		return 0
	}
	return l.pass(&l.inFreeAt, bytes, now)
}

// transmit returns how long bytes take to leave.
func (l *link) transmit(bytes int, now time.Duration) time.Duration {
	if l == nil {
		return 0
	}
	return l.pass(&l.outFreeAt, bytes, now)
}

// respond accounts for the events of a response.
func (l *link) respond(r *request, now time.Duration) {
	if l == nil {
		return
	}
	bytes := int(r.output) / eventTokens * eventBytes
	l.receive(bytes, now)
	l.transmit(bytes, now)
	if l.room != nil {
		l.room.Take(bytes, now)
	}
}

// bytes returns the size of the request on a link, about a byte for each token.
func (r *request) bytes() int { return int(r.prompt) + headBytes }

// receive makes a request arrive at its node.
func (s *simulation) receive(r *request, n *node) {
	if n.link == nil {
		s.place(r, n, nil)
		return
	}
	s.schedule(n.link.receive(r.bytes(), s.now), func() { s.awaitRoom(r, n) })
}

// awaitRoom places a request once the node's link has room for it.
func (s *simulation) awaitRoom(r *request, n *node) {
	l := n.link
	if l.room == nil {
		s.place(r, n, nil)
		return
	}
	turn, retryAfter := l.room.Enter(waitlist.Request{
		Bytes:     r.bytes(),
		Class:     r.class.Name,
		Urgency:   r.class.Priority,
		Identity:  string(r.parts[len(r.parts)-1].ID),
		Workspace: fleet.WorkspaceID(fmt.Sprint(r.workspace)),
		Objective: r.arrivedAt + r.class.Target,
		Deadline:  r.arrivedAt + r.class.Deadline,
	}, s.now)
	if turn == 0 {
		s.refuse(r, n, retryAfter)
		return
	}
	l.waiting[turn] = func() {
		if !r.gone {
			s.place(r, n, nil)
		}
	}
	s.advance(n)
}

// advance places the requests whose turn has come.
func (s *simulation) advance(n *node) {
	l := n.link
	for {
		turn, wait, ok := l.room.Next(s.now)
		if ok {
			l.waiting[turn]()
			delete(l.waiting, turn)
			continue
		}
		if wait > 0 && l.wakeAt <= s.now {
			l.wakeAt = s.now + wait
			s.schedule(wait, func() { s.advance(n) })
		}
		return
	}
}

// refuse makes the caller of a refused request return.
func (s *simulation) refuse(r *request, n *node, retryAfter time.Duration) {
	r.refusals++
	left := r.arrivedAt + r.class.Deadline - s.now
	wait, most := min(retryAfter, left/3), maxReturns
	if s.repeatShare > 0 && s.luck.Float64() < s.repeatShare {
		wait, most = time.Millisecond, maxRepeats
	}
	if r.refusals <= most && left > 0 {
		s.schedule(wait+2*s.pattern.Delay, func() { s.receive(r, n) })
	}
}

// deliverFirst sends the first token to the caller.
func (s *simulation) deliverFirst(a *attempt) {
	r, l := a.request, a.node.link
	arrived := func() {
		if r.firstTokenTime == 0 {
			r.firstTokenTime = s.now - r.arrivedAt
		}
	}
	if l == nil {
		arrived()
		return
	}
	s.schedule(l.receive(eventBytes, s.now), func() {
		if l.room != nil {
			l.room.Take(eventBytes, s.now)
			l.room.ObserveFirstByte(r.class.Name, s.now-a.placedAt)
		}
		s.schedule(l.transmit(eventBytes, s.now), arrived)
	})
}

// scheduleLeave makes a caller leave early if it is one that does.
func (s *simulation) scheduleLeave(r *request) {
	if s.leaveShare == 0 || s.rng.Float64() >= s.leaveShare {
		return
	}
	s.schedule(leaveAfter, func() { r.gone = r.firstTokenTime == 0 })
}

// hotWorkspaces are the busiest workspaces, which send factor times their usual.
type hotWorkspaces struct {
	count  int
	factor float64
}

// weight returns the weight of a workspace.
func (s *simulation) weight(workspace int) float64 {
	usual := math.Pow(float64(workspace+1), -s.pattern.Skew)
	if workspace < s.hotWorkspaces.count {
		return usual * s.hotWorkspaces.factor
	}
	return usual
}

// rateFactor returns the rate of all workspaces together as a multiple of the usual.
func (s *simulation) rateFactor() float64 {
	if s.hotWorkspaces.count == 0 {
		return 1
	}
	usual, now := 0.0, 0.0
	for i := range s.pattern.Workspaces {
		usual += math.Pow(float64(i+1), -s.pattern.Skew)
		now += s.weight(i)
	}
	return now / usual
}

// workspace returns a random workspace.
func (s *simulation) workspace() int {
	n := max(s.pattern.Workspaces, 1)
	total := 0.0
	for i := range n {
		total += s.weight(i)
	}
	x := s.rng.Float64() * total
	for i := range n {
		if x -= s.weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}
