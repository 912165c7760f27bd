package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// outdatedError means that nothing was sent, as a newer configuration does not allow the request.
type outdatedError struct {
	relay   fleet.NodeID
	version routing.Version
}

// Error implements the error interface.
func (e *outdatedError) Error() string {
	return fmt.Sprintf("%s has version %d, which does not allow the request", e.relay, e.version)
}

// outdated reports whether this node has a newer configuration than a decision, which does not allow it.
func (s *Server) outdated(version routing.Version, d routing.Decision) bool {
	view := s.view.Load()
	return view != nil && view.Config.Version > version && !view.Allows(d)
}

// decision returns what was decided of the request.
func (x *exchange) decision() routing.Decision {
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	d := routing.Decision{
		Host:       x.r.Host,
		Path:       path,
		Key:        x.request.Key,
		Service:    x.service.ID,
		Repeatable: x.route.Repeatable(),
		Attempt:    x.attempts + 1,
	}
	if x.workspace != nil {
		d.Workspace = x.workspace.ID
	}
	return d
}

// outdated reports whether the request must be decided again before it is sent. One that an instance may have begun is
// finished as it was decided.
func (x *exchange) outdated() bool {
	return !x.mayHaveRun && !x.headerSent && x.s.outdated(x.view.Config.Version, x.decision())
}

// endOutdatedAttempt ends an attempt that a newer configuration does not allow. It tells nothing of the instance.
func (x *exchange) endOutdatedAttempt(placed *placement.Assignment, err error) (attemptResult, error) {
	if o := (*outdatedError)(nil); errors.As(err, &o) {
		x.newerVersion = max(x.newerVersion, o.version)
	}
	x.attemptEnded(placed, placement.OutcomeNeutral)
	return resultOutdated, err
}

// decideAgain decides the request by the configuration that this node has now. If that is not the one which another node
// has gone by, or the request has begun, the request ends, and decideAgain returns false.
func (x *exchange) decideAgain() bool {
	unconfirmed, view := x.s.cfg.Control.Unconfirmed(), x.s.view.Load()
	if x.mayHaveRun || x.headerSent || view.Config.Version <= x.view.Config.Version || view.Config.Version < x.newerVersion {
		x.fail(CauseOutdated)
		return false
	}
	x.release()
	x.reserved, x.shortage = 0, nil
	x.view, x.unconfirmed, x.workspace = view, unconfirmed, nil
	x.avoidInstances, x.counted = nil, false
	before := x.deadline
	if !x.resolve() {
		return false
	}
	x.deadline = min(x.deadline, before)
	ctx, cancel := context.WithTimeoutCause(x.ctx, x.deadline-clock.SinceBoot(), errDeadline)
	context.AfterFunc(x.ctx, cancel)
	x.ctx = ctx
	if x.quarantined() {
		x.refuse(x.suspensionCause())
		return false
	}
	return x.reserve()
}
