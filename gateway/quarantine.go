package gateway

import (
	"errors"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/quarantine"
)

// maxBrokenStarts limits the instances that may break off one request before its first event. The
// request may be why.
const maxBrokenStarts = 2

// HandleQuarantine implements controlclient.Watcher.
func (s *Server) HandleQuarantine(list quarantine.List) {
	for _, n := range s.quarantine.Apply(list, clock.SinceBoot()) {
		s.cfg.Log.Warn(event.PartJudged).
			Str("service", string(n.Service)).
			Str("part", string(n.Part)).
			Str("state", string(n.State)).
			Int64("firstCrashMillis", n.CrashAgeMillis).
			Int64("remainingMillis", n.RemainingMillis).
			Msg("a suspension of a part of prompts has begun or ended")
	}
}

// TakeEvidence implements controlclient.Watcher.
func (s *Server) TakeEvidence(first bool) ([]quarantine.Evidence, []quarantine.Notice) {
	return s.quarantine.TakeEvidence(first, clock.SinceBoot())
}

// quarantined reports whether a part of the request is suspended, and sets the time until it is
// not.
func (x *exchange) quarantined() bool {
	if x.service.Engine == nil {
		return false
	}
	x.suspendedFor, x.suspendedPart = x.s.quarantine.SuspendedFor(x.service.ID, x.request.Parts, clock.SinceBoot())
	return x.suspendedFor > 0
}

// admitted is the check of quarantined for a request that is about to be sent.
func (x *exchange) admitted() bool {
	if x.service.Engine == nil {
		return true
	}
	x.suspendedFor, x.suspendedPart = x.s.quarantine.Admit(x.service.ID, x.request.Parts, clock.SinceBoot())
	return x.suspendedFor == 0
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
		crash.Parts = x.request.Parts
		x.brokenStarts++
		x.s.cfg.Metrics.Count("starts_broken")
	}
	if x.service.Engine != nil {
		x.s.quarantine.Crashed(crash, clock.SinceBoot())
	}
}

// engineCompleted records a complete response of an engine.
func (x *exchange) engineCompleted() {
	if x.service.Engine != nil {
		x.s.quarantine.Completed(x.service.ID, x.request.Parts, clock.SinceBoot())
	}
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
	return x.service.Engine != nil && !x.s.quarantine.MayRepeat(x.service.ID, x.request.Parts)
}

// retryAfterSuspension returns the retry delay of a request with a suspended part.
func (x *exchange) retryAfterSuspension() time.Duration {
	return x.suspendedFor + retryAfter(CausePartSuspended)
}
