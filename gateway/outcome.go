package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/placement"
)

// Cause tells why a request has no answer of an instance.
type Cause string

// The causes.
const (
	CauseNone Cause = ""
	// CauseNoConfiguration means that this node has none yet.
	CauseNoConfiguration Cause = "noConfiguration"
	// CauseNodeBusy means that this node works on as many requests as its memory
	// allows.
	CauseNodeBusy       Cause = "nodeBusy"
	CauseMalformed      Cause = "malformed"
	CauseNoRoute        Cause = "noRoute"
	CauseUnknownKey     Cause = "unknownKey"
	CauseBodyTooLarge   Cause = "bodyTooLarge"
	CauseHeaderTooLarge Cause = "headerTooLarge"
	// CauseBodyTruncated means that the caller did not send the whole body.
	CauseBodyTruncated Cause = "bodyBroken"
	// CauseBudgetSpent means that the ledger has no more for the workspace.
	CauseBudgetSpent Cause = "budgetSpent"
	// CauseNoQuota means that this node has too little of the workspace's budget
	// and cannot get more now.
	CauseNoQuota Cause = "noQuota"
	// CauseNoInstance means that no instance may get the request.
	CauseNoInstance Cause = "noInstance"
	// CauseUnreachable means that no connection could be opened.
	CauseUnreachable Cause = "unreachable"
	// CauseInstanceBusy means that instances refused the work.
	CauseInstanceBusy Cause = "instanceBusy"
	// CauseInDoubt means that the work may have run and no answer came.
	CauseInDoubt Cause = "inDoubt"
	// CauseInstanceFailed means that an instance ran the work and failed it.
	CauseInstanceFailed Cause = "instanceFailed"
	CauseDeadline       Cause = "deadline"
	// CauseCallerGone means that the caller left before the end.
	CauseCallerGone Cause = "callerGone"
)

func causeOf(v verdict) Cause {
	switch v {
	case verdictNotSent:
		return CauseUnreachable
	case verdictNotRun:
		return CauseInstanceBusy
	case verdictFailed:
		return CauseInstanceFailed
	case verdictTimeout:
		return CauseDeadline
	}
	return CauseInDoubt
}

// Times after which a refused caller is told to return.
const (
	// retryBusy is about the time in which a full instance frees a place.
	retryBusy = 400 * time.Millisecond
	// retryElsewhere sends the caller to another node at once: quota or memory
	// that this one lacks another may have.
	retryElsewhere = 60 * time.Millisecond
	// retryAbsent is about the time in which the list of instances, a
	// configuration or quota changes.
	retryAbsent = 1200 * time.Millisecond
	// retryPart is the part of a caller's remaining time after which it can still
	// return and be served.
	retryPart = 0.3
	// retrySpread is the part of the time that is drawn at random, so that
	// callers refused together do not return together.
	retrySpread = 0.5
)

func retryAfter(cause Cause) time.Duration {
	base := retryAbsent
	switch cause {
	case CauseInstanceBusy, CauseUnreachable:
		base = retryBusy
	case CauseNoQuota, CauseNodeBusy:
		base = retryElsewhere
	}
	return base + time.Duration(rand.Float64()*retrySpread*float64(base))
}

// retryAfterCut is when a caller is to return to a node that is cut off from the control
// group, when none of the others had quota either. They are cut off as well, so that
// returning at once only costs the caller its try: the later it comes, the likelier the
// partition is over.
func retryAfterCut(left time.Duration) time.Duration {
	return max(time.Duration(float64(left)*retryPart), retryElsewhere)
}

// refuse answers that the request has not run and when to return.
func (x *exchange) refuse(cause Cause) {
	after := retryAfter(cause)
	if cause == CauseNoQuota && x.short != nil && x.short.CutOff {
		after = retryAfterCut(x.deadline - clock.Boot())
	}
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	x.reject(http.StatusServiceUnavailable, cause)
}

// reject answers with a status and no body of an instance.
func (x *exchange) reject(status int, cause Cause) {
	x.status = status
	x.cause = cause
	x.closeConnection()
	x.w.Header().Set("Content-Type", "application/json")
	body := `{"error":"` + string(cause) + `"}`
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(body))
	x.logEnd(nil)
}

// deliver passes an instance's whole answer on.
func (x *exchange) deliver(got whole, cause Cause) {
	x.status = got.status
	x.cause = cause
	x.s.cfg.Protocol.Deliver(x.w.Header(), got.header)
	x.closeConnection()
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	x.w.WriteHeader(got.status)
	_, err := x.w.Write(got.body)
	x.s.firstByte(x)
	x.logEnd(err)
}

// closeConnection tells the caller to use another connection, where the directory leads it
// elsewhere: because the node is stopping, or because this one has had its requests.
func (x *exchange) closeConnection() {
	if x.s.stopping.Load() || x.lastOfConnection {
		x.w.Header().Set("Connection", "close")
	}
}

func (x *exchange) logGone() {
	x.cause = CauseCallerGone
	x.logEnd(nil)
}

// logPlaced writes where an attempt goes and what decided it.
func (x *exchange) logPlaced(p *placement.Assignment, listAge time.Duration) {
	x.s.cfg.Log.Info(event.RequestPlaced).
		Str("request", string(x.request.ID)).
		Str("route", string(x.route.Name)).
		Str("service", string(x.service.ID)).
		Str("instance", string(p.Instance.ID)).
		Int("attempt", x.attempts+1).
		Int64("predictedMillis", p.Predicted.Milliseconds()).
		Int64("uncachedTokens", int64(p.Uncached)).
		Int("candidates", p.Candidates).
		Bool("claimed", x.claimed != nil).
		Int("moves", x.moves).
		Int64("loadAgeMillis", p.LoadAge.Milliseconds()).
		Int64("listAgeMillis", listAge.Milliseconds()).
		Int64("leftMillis", (x.deadline - clock.Boot()).Milliseconds()).
		Msg("request placed")
}

// logAttempt writes why an attempt did not answer the caller.
func (x *exchange) logAttempt(p *placement.Assignment, outcome verdict, err error) {
	x.s.cfg.Metrics.Count("attempts_failed", causeLabel(causeOf(outcome)))
	x.s.cfg.Log.Warn(event.AttemptFailed).
		Str("request", string(x.request.ID)).
		Str("instance", string(p.Instance.ID)).
		Str("outcome", string(causeOf(outcome))).
		Int("attempts", x.attempts).
		Int64("leftMillis", (x.deadline-clock.Boot()).Milliseconds()).
		AnErr("error", err).
		Msg("attempt failed")
}

// logEnd writes how the request ended.
func (x *exchange) logEnd(err error) {
	took := clock.Boot() - x.arrived
	route, workspace := "", ""
	version := uint64(0)
	if x.route != nil {
		route = string(x.route.Name)
	}
	if x.owner != nil {
		workspace = string(x.owner.ID)
	}
	if x.view != nil {
		version = uint64(x.view.Config.Version)
	}
	x.s.countRequest(route, x.status, x.cause, took)
	id := event.RequestEnded
	if x.status >= http.StatusBadRequest && x.lastInstance == "" {
		id = event.RequestRefused
	}
	line := x.s.cfg.Log.Info(id)
	if x.cause != CauseNone && x.cause != CauseCallerGone {
		line = x.s.cfg.Log.Warn(id)
	}
	if x.short != nil {
		line = line.Bool("ledgerAnswered", x.short.Answered).
			Bool("cutOff", x.short.CutOff).
			Bool("recalling", x.short.Last.Recalling).
			Int64("budgetFreeTokens", int64(x.short.Last.Free)).
			Int64("leasedElsewhereTokens", int64(x.short.Last.LeasedElsewhere))
	}
	line.Str("request", string(x.request.ID)).
		Str("route", route).
		Str("workspace", workspace).
		Uint64("version", version).
		Int("status", x.status).
		Str("cause", string(x.cause)).
		Str("instance", string(x.lastInstance)).
		Int("attempts", x.attempts).
		Int("connects", x.connects).
		Int("events", x.events).
		Int64("costTokens", int64(x.request.MaxCost())).
		Bool("mayHaveRun", x.mayHaveRun).
		Bool("controlFresh", x.s.cfg.Link.Fresh()).
		Int64("tookMillis", took.Milliseconds()).
		Int64("leftMillis", (x.deadline-clock.Boot()).Milliseconds()).
		AnErr("error", err).
		Msg("request ended")
}
