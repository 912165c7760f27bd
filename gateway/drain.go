package gateway

import (
	"context"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
)

// drain is what a planned stop means for requests.
type drain struct {
	// lateFrom is the time since boot from which only requests are accepted whose deadline is not after
	// end, and end is when the requests that still run are answered.
	lateFrom time.Duration
	end      time.Duration
}

// StartDraining makes the node unready and closes callers' connections after their next response, so
// that they move to other nodes. For the given time, callers with an old list of nodes may come, and all
// requests are accepted. Later ones must be able to end in time: they are refused, and have not run, if
// their deadline is after the end of the stop. Requests that run until then get a timeout as response.
func (s *Server) StartDraining(acceptAll, stop time.Duration) {
	now := clock.SinceBoot()
	s.drain.Store(&drain{
		lateFrom: now + acceptAll,
		end:      now + stop,
	})
	s.draining.Store(true)
	time.AfterFunc(stop, s.endRequests)
}

// endsInTime reports whether the request is early enough in a planned stop.
func (x *exchange) endsInTime() bool {
	d := x.s.drain.Load()
	return d == nil || x.arrived < d.lateFrom || x.deadline <= d.end
}

// withEnd returns a context that ends with the cause of a deadline when a planned stop has no more time
// for requests.
func (s *Server) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.requestsEnd, func() { cancel(errDeadline) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
