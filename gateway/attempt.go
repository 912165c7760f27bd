package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// verdict tells what to do after an attempt.
type verdict int

const (
	verdictAnswered verdict = iota
	// verdictNotSent means that nothing left for the instance.
	verdictNotSent
	// verdictNotRun means that the instance refused the work.
	verdictNotRun
	// verdictUnknown means that the work may have run.
	verdictUnknown
	// verdictFailed means that the instance ran the work and failed it.
	verdictFailed
	// verdictGone means that the caller has left.
	verdictGone
	// verdictTimeout means that the deadline has passed.
	verdictTimeout
)

// readAll is io.ReadAll into a buffer of the expected size.
func readAll(r io.Reader, buffer []byte) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}

// replaceable reports whether an attempt without an answer may be given up for
// another.
func (x *exchange) replaceable() bool {
	return x.route.Repeatable() && x.attempts+1 < x.route.MaxAttempts
}

// watch gives an attempt up for another when half of the time is gone and its instance
// is silent. The retry that follows is taken from the budget before. It returns what
// ends the watch.
func (x *exchange) watch(placed *placement.Assignment, giveUp func(error)) (stop func() bool) {
	if !x.replaceable() {
		return func() bool { return true }
	}
	half := (x.deadline - clock.Boot()) / 2
	return time.AfterFunc(half, func() {
		if x.s.dispatch.mayReplace(x.service.ID, placed) {
			giveUp(errSlowAttempt)
		}
	}).Stop
}

// attempt sends the request to one instance and passes its answer on.
func (x *exchange) attempt(placed *placement.Assignment) (verdict, error) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	unwatch := x.watch(placed, cancel)
	defer unwatch()
	x.lastInstance = placed.Instance.ID
	in, err := x.s.conns.Do(ctx, x.outgoing(placed.Instance))
	if err != nil {
		send := (*backend.SendError)(nil)
		sent := !errors.As(err, &send) || send.Sent
		if sent {
			x.attempts++
		} else {
			x.connects++
		}
		return x.broken(ctx, placed, sent, err)
	}
	x.attempts++
	answer := x.s.cfg.Protocol.ReadAnswer(in.Status, in.Header)
	if answer.NotRun || answer.OtherInstance {
		in.Finish(false)
		return x.notRun(placed, answer)
	}
	x.mayHaveRun = true
	if !answer.Signed {
		in.Finish(false)
		x.done(placed, placement.OutcomeFailed)
		return verdictUnknown, eris.Errorf("status %d without the instance's signature", in.Status)
	}
	if x.route.Kind == routing.KindStream && in.Status/100 == 2 {
		unwatch()
		return x.relay(ctx, placed, in, answer)
	}
	return x.passOn(ctx, placed, in, answer)
}

func (x *exchange) outgoing(instance routing.Instance) backend.Outgoing {
	forward := Forward{
		Instance:    instance.ID,
		Timeout:     x.deadline - clock.Boot(),
		Priority:    -1,
		LastEventID: x.request.After,
		BodyBytes:   len(x.body),
	}
	if x.r.ContentLength == 0 && len(x.body) == 0 && (x.r.Method == http.MethodGet || x.r.Method == http.MethodHead) {
		forward.BodyBytes = -1
	}
	if x.lastEvent != "" {
		forward.LastEventID = x.lastEvent
	}
	if x.owner != nil {
		forward.Workspace = x.owner.ID
	}
	if x.service.Engine != nil {
		forward.Priority = x.priority()
	}
	id := x.request.ID
	return backend.Outgoing{
		Instance:   target(instance),
		Method:     x.r.Method,
		Target:     x.r.RequestURI,
		Host:       x.r.Host,
		Header:     x.s.cfg.Protocol.Forward(x.r.Header, forward),
		Body:       x.body,
		AtMostOnce: !x.route.Repeatable(),
		Matches: func(status int, header http.Header) bool {
			return x.s.cfg.Protocol.Matches(id, status, header)
		},
	}
}

// priority ranks the request: a workspace's rank goes before its route's.
func (x *exchange) priority() int {
	if x.owner != nil && x.owner.Priority != nil {
		return min(max(*x.owner.Priority, 0), maxPriority)
	}
	return min(max(x.route.Priority, 0), maxPriority)
}

// maxPriority is the last rank.
const maxPriority = 9

// began takes in the first byte of an attempt's answer.
func (x *exchange) began(placed *placement.Assignment, load *Load) {
	x.unclaim()
	x.s.dispatch.began(x.service.ID, placed, load)
}

func (x *exchange) done(placed *placement.Assignment, outcome placement.Outcome) {
	x.unclaim()
	x.s.dispatch.done(x.service.ID, placed, outcome)
}

// broken judges an attempt that has no whole answer. Sent says that a byte of the
// request may have left.
func (x *exchange) broken(ctx context.Context, placed *placement.Assignment, sent bool, err error) (verdict, error) {
	x.mayHaveRun = x.mayHaveRun || sent
	switch {
	case x.r.Context().Err() != nil:
		x.done(placed, placement.OutcomeNeutral)
		x.logGone()
		return verdictGone, err
	case errors.Is(context.Cause(ctx), errSlowAttempt):
		x.paid = true
	case errors.Is(context.Cause(ctx), errDeadline):
		x.done(placed, placement.OutcomeFailed)
		return verdictTimeout, err
	}
	x.done(placed, placement.OutcomeFailed)
	if !sent {
		return verdictNotSent, err
	}
	return verdictUnknown, err
}

func (x *exchange) notRun(placed *placement.Assignment, answer Answer) (verdict, error) {
	if answer.OtherInstance {
		x.done(placed, placement.OutcomeDraining)
		return verdictNotRun, eris.New("another instance has the address")
	}
	x.began(placed, answer.Load)
	x.done(placed, placement.OutcomeBusy)
	return verdictNotRun, eris.New("the instance refused the work")
}

// passOn reads an answer whole and delivers it. A truncated answer is never begun.
func (x *exchange) passOn(ctx context.Context, placed *placement.Assignment, in *backend.Incoming, answer Answer) (verdict, error) {
	x.began(placed, answer.Load)
	body, err := readAll(io.LimitReader(in.Body, maxAnswerBytes+1), make([]byte, 0, max(in.Length+1, 512)))
	if err == nil && len(body) > maxAnswerBytes {
		err = eris.Errorf("the answer exceeds %d bytes", maxAnswerBytes)
	}
	in.Finish(err == nil)
	if err != nil {
		return x.broken(ctx, placed, true, eris.Wrap(err, "read the answer"))
	}
	got := whole{
		status: in.Status,
		header: in.Header,
		body:   body,
	}
	if in.Status >= http.StatusInternalServerError {
		x.done(placed, placement.OutcomeSlow)
		x.failure = &got
		return verdictFailed, eris.Errorf("the instance answered %d", in.Status)
	}
	x.done(placed, placement.OutcomeOK)
	x.deliver(got, CauseNone)
	return verdictAnswered, nil
}
