package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/waitlist"
)

const (
	// requestHeadBytes and packetBytes are about what is sent beside a request's body, and beside a
	// part of a response.
	requestHeadBytes = 600
	packetBytes      = 100
	// minHeld is the least wait that is logged.
	minHeld = 10 * time.Millisecond
)

// linkRoom makes requests wait for this node's link in a waitlist.Room. It is safe for concurrent use.
// A nil linkRoom has room for all.
type linkRoom struct {
	mu    sync.Mutex
	room  *waitlist.Room
	turns map[waitlist.Turn]chan struct{}
	timer *time.Timer
}

// newLinkRoom returns the room of a link with a rate in bits per second, nil if that is 0.
func newLinkRoom(bitsPerSecond float64) *linkRoom {
	if bitsPerSecond <= 0 {
		return nil
	}
	r := &linkRoom{
		room:  waitlist.NewRoom(bitsPerSecond / 8),
		turns: map[waitlist.Turn]chan struct{}{},
	}
	r.timer = time.AfterFunc(time.Hour, r.advance)
	r.timer.Stop()
	return r
}

// advance lets requests through until the link is full.
func (r *linkRoom) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		turn, wait, ok := r.room.Next(clock.SinceBoot())
		if !ok {
			if wait > 0 {
				r.timer.Reset(wait)
			}
			return
		}
		if come, ok := r.turns[turn]; ok {
			close(come)
			delete(r.turns, turn)
		}
	}
}

// enter adds a request. It returns a channel that is closed when its turn comes, nil if that would be
// too late, and the time after which there may be room.
func (r *linkRoom) enter(q waitlist.Request) (turn waitlist.Turn, come chan struct{}, retryAfter time.Duration) {
	r.mu.Lock()
	turn, retryAfter = r.room.Enter(q, clock.SinceBoot())
	if turn != 0 {
		come = make(chan struct{})
		r.turns[turn] = come
	}
	r.mu.Unlock()
	r.advance()
	return turn, come, retryAfter
}

// leave removes a request that no longer waits.
func (r *linkRoom) leave(turn waitlist.Turn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Leave(turn)
	delete(r.turns, turn)
}

// take counts bytes that are sent without waiting.
func (r *linkRoom) take(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Take(bytes, clock.SinceBoot())
}

// observeFirstByte records the time from a request's turn to the first byte of its response.
func (r *linkRoom) observeFirstByte(route routing.RouteName, took time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.ObserveFirstByte(string(route), took)
}

// waiting returns the number of requests that wait.
func (r *linkRoom) waiting() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.room.Waiting()
}

// awaitRoom waits until the link has room for the request. It refuses the request if there would be
// none before its deadline.
func (x *exchange) awaitRoom() bool {
	room := x.s.room
	if room == nil {
		return true
	}
	request := waitlist.Request{
		Bytes:     len(x.body) + requestHeadBytes,
		Class:     string(x.route.Name),
		Urgency:   x.priority(),
		Identity:  string(x.identity),
		Objective: x.arrived + x.route.Objective,
		Deadline:  x.deadline,
	}
	if x.workspace != nil {
		request.Workspace = x.workspace.ID
	}
	began := clock.SinceBoot()
	turn, come, retryAfter := room.enter(request)
	if turn == 0 {
		x.roomAfter = retryAfter
		x.refuse(CauseNoRoom)
		return false
	}
	select {
	case <-come:
	case <-x.ctx.Done():
		room.leave(turn)
		x.endWaiting()
		return false
	}
	x.letThrough = clock.SinceBoot()
	if held := x.letThrough - began; held > minHeld {
		x.logHeld(held)
	}
	return true
}

// endWaiting ends a request whose caller has gone or whose deadline has come before its turn.
func (x *exchange) endWaiting() {
	if x.r.Context().Err() != nil {
		x.logDisconnect()
		return
	}
	x.refuse(CauseNoRoom)
}

// logHeld logs and counts a request that waited.
func (x *exchange) logHeld(held time.Duration) {
	x.s.cfg.Metrics.Observe("held_for_room", held, routeLabel(string(x.route.Name)))
	x.s.cfg.Log.Info(event.RequestHeld).
		Str("request", string(x.request.ID)).
		Int("bytes", len(x.body)).
		Int("rank", x.priority()).
		Int64("heldMillis", held.Milliseconds()).
		Int("waiting", x.s.room.waiting()).
		Msg("request waited for room on the link")
}

// countingWriter counts what is written to the caller against the room.
type countingWriter struct {
	http.ResponseWriter
	room *linkRoom
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	w.room.take(len(p) + packetBytes)
	return w.ResponseWriter.Write(p)
}

// Unwrap serves http.ResponseController.
func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
