package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/routing"
)

// maxBrokenStarts limits the instances that may break off one request before its first event. The
// request may be why.
const maxBrokenStarts = 2

// goneTTL is how long it is known that an instance has crashed. All requests that it had break off at
// about the same time.
const goneTTL = 500 * time.Millisecond

// Quarantine returns the monitor that judges the requests on which instances crash.
func (s *Server) Quarantine() *quarantine.Monitor { return s.quarantine }

// suspects returns the parts of the request and its identity, each of which may be suspended.
func (x *exchange) suspects() []routing.Part {
	suspects := make([]routing.Part, 0, len(x.request.Parts)+1)
	if x.service.Engine != nil {
		suspects = append(suspects, x.request.Parts...)
	}
	return append(suspects, routing.Part{ID: x.identity})
}

// quarantined reports whether the request or a part of it is suspended, and sets the time until it
// is not.
func (x *exchange) quarantined() bool {
	x.suspendedFor, x.suspendedPart = x.s.quarantine.SuspendedFor(x.service.ID, x.suspects(), clock.SinceBoot())
	return x.suspendedFor > 0
}

// admitted is the check of quarantined for a request that is about to be sent.
func (x *exchange) admitted() bool {
	x.suspendedFor, x.suspendedPart = x.s.quarantine.Admit(x.service.ID, x.suspects(), clock.SinceBoot())
	return x.suspendedFor == 0
}

// suspensionCause returns the cause of a refusal for a suspension.
func (x *exchange) suspensionCause() Cause {
	if quarantine.IsIdentity(x.suspendedPart) {
		return CauseRequestSuspended
	}
	return CausePartSuspended
}

// brokenByInstance reports whether an instance broke off a response, rather than the network or
// this node, which does so at a limit.
func brokenByInstance(err error) bool {
	return backend.ClosedByServer(err) || errors.Is(err, errUnfinishedEvent) || errors.Is(err, errNoEvents)
}

// instanceCrashed records that an instance broke off the response of the current attempt.
func (x *exchange) instanceCrashed(placed *placement.Assignment) {
	crash := quarantine.Crash{
		Service: x.service.ID,
		Engine:  placed.Instance.ID,
		Begun:   x.responseBegun,
	}
	if x.events == x.eventsBefore {
		if x.service.Engine != nil {
			crash.Parts = x.request.Parts
		}
		crash.Identity = x.identity
		crash.Gone = !crash.Begun && !x.relayed && x.s.crashes.gone(x, placed.Instance)
		x.brokenStarts++
		x.s.cfg.Metrics.Count("starts_broken")
	}
	x.s.quarantine.Crashed(crash, clock.SinceBoot())
}

// crashChecks knows which instances have crashed within the last moments. It is safe for concurrent
// use.
type crashChecks struct {
	mu     sync.Mutex
	goneAt map[fleet.BackendServerID]time.Duration
}

// gone reports whether an instance that broke off a response has crashed.
func (c *crashChecks) gone(x *exchange, instance routing.Instance) bool {
	c.mu.Lock()
	at, known := c.goneAt[instance.ID]
	c.mu.Unlock()
	if known && clock.SinceBoot()-at < goneTTL {
		return true
	}
	if !backend.Gone(x.ctx, instance.Address) {
		return false
	}
	// A cut node is refused by all instances.
	x.s.paths.startRound()
	if x.s.paths.awaitRound(x.ctx) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.SinceBoot()
	for id, at := range c.goneAt {
		if now-at >= goneTTL {
			delete(c.goneAt, id)
		}
	}
	c.goneAt[instance.ID] = now
	return true
}

// instanceCompleted records a complete response of an instance. A failure shows as much that the
// request does not crash it; only a success shows it of the parts of its prompt.
func (x *exchange) instanceCompleted(success bool) {
	parts := x.request.Parts
	if x.service.Engine == nil || !success {
		parts = nil
	}
	x.s.quarantine.Completed(x.service.ID, parts, x.identity, clock.SinceBoot())
}

// suspect reports whether the request may be why instances have crashed, so that no other may get
// it.
func (x *exchange) suspect() bool {
	switch {
	case x.brokenStarts == 0:
		return false
	case x.brokenStarts >= maxBrokenStarts:
		return true
	}
	return !x.s.quarantine.MayRepeat(x.service.ID, x.suspects())
}

// retryAfterSuspension returns the retry delay of a suspended request.
func (x *exchange) retryAfterSuspension() time.Duration {
	return x.suspendedFor + retryAfter(CausePartSuspended)
}
