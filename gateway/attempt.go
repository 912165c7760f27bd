package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// attemptResult is the result of an attempt, which decides what to do next.
type attemptResult int

const (
	resultDelivered attemptResult = iota
	// resultNotSent means that nothing was sent to the instance.
	resultNotSent
	// resultNotRun means that the instance refused the request without running it.
	resultNotRun
	// resultInDoubt means that the request may have run but has no complete response.
	resultInDoubt
	// resultFailed means that the instance ran the request and responded with a 5xx
	// status.
	resultFailed
	// resultCallerDisconnected means that the caller closed its connection.
	resultCallerDisconnected
	// resultTimeout means that the request's deadline has passed.
	resultTimeout
	// resultNoPath means that nothing was sent, since the node is isolated and no other relays.
	resultNoPath
	// resultUnpaid means that the budget does not cover the response. The exchange has ended.
	resultUnpaid
	// resultOutdated means that nothing was sent, since a newer configuration does not allow the request.
	resultOutdated
)

// replaceable reports whether an attempt that has no response may be replaced by another.
func (x *exchange) replaceable() bool {
	return x.route.Repeatable() && x.attempts+1 < x.route.MaxAttempts
}

// startReplaceTimer cancels the attempt with errAttemptReplaced if, after half of the time
// to the deadline, its instance has not responded to anything since the attempt started and
// a replacement is allowed. The replacement is taken from the retry budget at that moment.
// The returned function stops the timer.
func (x *exchange) startReplaceTimer(placed *placement.Assignment, cancel func(error)) (stop func() bool) {
	if !x.replaceable() {
		return func() bool { return true }
	}
	half, origin := (x.deadline-clock.SinceBoot())/2, x.origin
	return time.AfterFunc(half, func() {
		if x.s.dispatch.takeReplacement(x.service.ID, placed, origin) {
			cancel(errAttemptReplaced)
		}
	}).Stop
}

// attempt sends the request to one instance and relays its response.
func (x *exchange) attempt(placed *placement.Assignment) (attemptResult, error) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	stopTimer := x.startReplaceTimer(placed, cancel)
	defer stopTimer()
	x.lastInstance = placed.Instance.ID
	x.responseBegun = false
	x.relayed, x.relayedBy = false, ""
	x.unfinishedBytes = 0
	x.eventsBefore = x.events
	out := x.outgoingRequest(placed.Instance)
	out.Revoked = func() bool { return !x.s.dispatch.maySend(x.service.ID, placed, x.permitted) || x.outdated() }
	x.sentAt, x.speedSample = clock.SinceBoot(), nil
	if x.outdated() {
		return x.endOutdatedAttempt(placed, nil)
	}
	in, err := x.send(ctx, placed, out)
	if err != nil {
		sendErr := (*backend.SendError)(nil)
		sent := !errors.As(err, &sendErr) || sendErr.Sent
		if sent {
			x.chargeable = x.chargeable || sendErr == nil || !sendErr.Unbegun
			x.attempts++
		} else {
			x.failedConnects++
		}
		return x.endBrokenAttempt(ctx, placed, sent, err)
	}
	x.attempts++
	x.responseBegun = true
	x.framing, x.instanceStatus = in.Framing, in.Status
	response := x.s.cfg.Protocol.ReadResponse(in.Status, in.Header)
	x.s.dispatch.responseRead(x.service.ID, placed, response)
	if response.NotRun || response.OtherInstance {
		in.Finish(false)
		return x.endRefusedAttempt(placed, response)
	}
	x.mayHaveRun, x.chargeable = true, true
	if !response.Signed {
		in.Finish(false)
		x.attemptEnded(placed, placement.OutcomeFailed)
		return resultInDoubt, eris.Errorf("response with status %d lacks the instance's signature", in.Status)
	}
	if x.headerSent {
		if err := x.continues(in); err != nil {
			in.Finish(false)
			return x.endForeignAttempt(placed, err)
		}
	}
	if x.route.Kind == routing.KindStream && in.Status/100 == 2 {
		stopTimer()
		return x.relayStream(ctx, placed, in, response)
	}
	return x.relayBuffered(ctx, placed, in, response)
}

// outgoingRequest returns the request to send to an instance.
func (x *exchange) outgoingRequest(instance routing.Instance) backend.Outgoing {
	forward := Forward{
		Instance:    instance.ID,
		Timeout:     x.deadline - clock.SinceBoot(),
		Priority:    -1,
		LastEventID: x.resumePoint(),
		BodyBytes:   len(x.body),
	}
	if x.r.ContentLength == 0 && len(x.body) == 0 && (x.r.Method == http.MethodGet || x.r.Method == http.MethodHead) {
		forward.BodyBytes = -1
	}
	if x.workspace != nil {
		forward.Workspace = x.workspace.ID
	}
	if x.service.Engine != nil {
		forward.Priority = x.priority()
	}
	id := x.request.ID
	return backend.Outgoing{
		Instance:   backendInstance(instance),
		Method:     x.r.Method,
		Target:     x.r.RequestURI,
		Host:       x.r.Host,
		Header:     x.s.cfg.Protocol.Forward(x.r.Header, forward),
		Body:       x.body,
		AtMostOnce: !x.route.Repeatable(),
		Deadline:   x.deadline,
		Match: func(status int, header http.Header) backend.Match {
			return x.s.cfg.Protocol.Match(id, status, header)
		},
	}
}

// resumePoint returns the id of the last event that the caller has, empty if it has none.
func (x *exchange) resumePoint() string {
	if x.lastEvent != "" {
		return x.lastEvent
	}
	return x.request.LastEventID
}

// priority returns the request's rank at the model engine. A workspace's priority takes
// precedence over its route's.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.Priority != nil {
		return min(max(*x.workspace.Priority, 0), maxPriority)
	}
	return min(max(x.route.Priority, 0), maxPriority)
}

// maxPriority is the lowest rank; 0 is the highest.
const maxPriority = 9

// responseStarted records the first byte of an attempt's response.
func (x *exchange) responseStarted(placed *placement.Assignment, load *Load) {
	x.releaseClaim()
	x.s.dispatch.responseStarted(x.service.ID, placed, load)
}

// attemptEnded releases the attempt's claim and records its outcome.
func (x *exchange) attemptEnded(placed *placement.Assignment, outcome placement.Outcome) {
	x.releaseClaim()
	if x.permitted && placed.Limit.Brittle != nil {
		x.s.permits.ended(PermitEnd{
			Node:       x.s.cfg.Node,
			Instance:   placed.Instance.ID,
			TurnedAway: outcome == placement.OutcomeBusy,
		}, placed.Instance.DataCentre)
	}
	x.s.dispatch.attemptEnded(x.service.ID, placed, outcome)
}

// endBrokenAttempt ends an attempt without a complete response and classifies it. The
// argument sent is true if any byte of the request may have been sent.
func (x *exchange) endBrokenAttempt(ctx context.Context, placed *placement.Assignment, sent bool, err error) (attemptResult, error) {
	x.mayHaveRun = x.mayHaveRun || sent
	replaced := errors.Is(context.Cause(ctx), errAttemptReplaced)
	switch {
	case x.r.Context().Err() != nil:
		x.attemptEnded(placed, placement.OutcomeNeutral)
		x.logDisconnect()
		return resultCallerDisconnected, err
	case replaced:
		x.retryTaken = true
	case errors.Is(context.Cause(ctx), errDeadline):
		x.attemptEnded(placed, placement.OutcomeFailed)
		return resultTimeout, err
	}
	if !sent && errors.Is(err, backend.ErrExpired) {
		x.attemptEnded(placed, placement.OutcomeNeutral)
		return resultTimeout, err
	}
	if outdated := (*outdatedError)(nil); errors.As(err, &outdated) {
		return x.endOutdatedAttempt(placed, err)
	}
	if !sent && errors.Is(err, backend.ErrRevoked) {
		return x.endRevokedAttempt(placed, err)
	}
	if x.relayed && !sent {
		// It tells nothing of the instance.
		x.attemptEnded(placed, placement.OutcomeNeutral)
		if errors.Is(err, errNoRelay) {
			return resultNoPath, err
		}
		return resultNotSent, err
	}
	x.attemptEnded(placed, placement.OutcomeFailed)
	if !sent {
		return resultNotSent, err
	}
	if !replaced && brokenByInstance(err) {
		x.instanceCrashed(placed)
	}
	return resultInDoubt, err
}

// endRefusedAttempt ends an attempt whose request the instance did not run.
func (x *exchange) endRefusedAttempt(placed *placement.Assignment, response Response) (attemptResult, error) {
	if response.OtherInstance {
		x.attemptEnded(placed, placement.OutcomeDraining)
		return resultNotRun, eris.New("another instance listens at the address")
	}
	x.responseStarted(placed, response.Load)
	x.attemptEnded(placed, placement.OutcomeBusy)
	return resultNotRun, eris.New("instance refused the request")
}

// relayBuffered reads the complete response before it delivers any of it, so that a
// truncated response never reaches the caller.
func (x *exchange) relayBuffered(ctx context.Context, placed *placement.Assignment, in *backend.Incoming, response Response) (attemptResult, error) {
	x.responseStarted(placed, response.Load)
	body, err := x.buffers.ReadAll(in.Body, in.Length, x.s.cfg.Limits.BodyBytes)
	if errors.Is(err, intake.ErrTooLong) {
		err = &backend.OversizeError{
			Part:  backend.PartBody,
			Limit: x.s.cfg.Limits.BodyBytes,
		}
	}
	if err == nil && holdsEvents(in.Header.Get("Content-Type")) && unfinishedBytes(body) > 0 {
		x.unfinishedBytes = unfinishedBytes(body)
		err = errUnfinishedEvent
	}
	in.Finish(err == nil)
	if err != nil {
		return x.endBrokenAttempt(ctx, placed, true, eris.Wrap(err, "read response body"))
	}
	buffered := bufferedResponse{
		status: in.Status,
		header: in.Header,
		body:   body,
	}
	x.instanceCompleted(in.Status/100 == 2)
	if in.Status >= http.StatusInternalServerError {
		x.attemptEnded(placed, placement.OutcomeSlow)
		x.failedResponse = &buffered
		return resultFailed, eris.Errorf("instance responded with status %d", in.Status)
	}
	x.attemptEnded(placed, placement.OutcomeOK)
	x.deliver(buffered, CauseNone)
	return resultDelivered, nil
}
