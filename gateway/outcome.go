package gateway

import (
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/placement"
)

// Cause is why a request ended without a response of an instance, or with a failed one.
type Cause string

// The causes of failed requests.
const (
	CauseNone Cause = ""
	// CauseNoConfiguration means that this node has no configuration yet.
	CauseNoConfiguration Cause = "noConfiguration"
	// CauseNodeBusy means that this node has as many requests in flight as its memory
	// allows.
	CauseNodeBusy Cause = "nodeBusy"
	// CauseNodeStopping means that a planned stop of this node leaves too little time.
	CauseNodeStopping Cause = "nodeStopping"
	CauseMalformed    Cause = "malformed"
	CauseNoRoute      Cause = "noRoute"
	CauseUnknownKey   Cause = "unknownKey"
	// CauseUnconfirmed means that the configuration has no such route or key, but a newer one may
	// have it.
	CauseUnconfirmed    Cause = "unconfirmed"
	CauseBodyTooLarge   Cause = "bodyTooLarge"
	CauseHeaderTooLarge Cause = "headerTooLarge"
	// CauseBodyTruncated means that the caller did not send the whole body.
	CauseBodyTruncated Cause = "bodyBroken"
	// CauseBudgetSpent means that the workspace's budget is exhausted according to the
	// ledger.
	CauseBudgetSpent Cause = "budgetSpent"
	// CauseNoQuota means that this node has too little quota of the workspace's budget
	// and cannot get more now.
	CauseNoQuota Cause = "noQuota"
	// CauseNoInstance means that no instance is eligible for the request.
	CauseNoInstance Cause = "noInstance"
	// CauseEvacuated means that all instances that could take the request are in evacuated data centres.
	CauseEvacuated Cause = "evacuated"
	// CauseNoRoom means that this node's link has no room for the request before its deadline.
	CauseNoRoom Cause = "noRoom"
	// CauseUnreachable means that no connection to an instance could be opened.
	CauseUnreachable Cause = "unreachable"
	// CauseIsolated means that this node is cut off from the instances and no other node relays.
	CauseIsolated Cause = "isolated"
	// CauseOutdated means that the request was decided by a configuration that this node has, but a newer one, which
	// another node has, does not allow it so.
	CauseOutdated Cause = "outdated"
	// CauseInstanceBusy means that instances refused the request.
	CauseInstanceBusy Cause = "instanceBusy"
	// CauseInDoubt means that the request may have run but no response was received.
	CauseInDoubt Cause = "inDoubt"
	// CauseInstanceFailed means that an instance ran the request and responded with a 5xx status, or with one that would
	// tell the caller of a request which may run once at most that it has not run.
	CauseInstanceFailed Cause = "instanceFailed"
	// CausePartSuspended means that engines have crashed on a part of the prompt.
	CausePartSuspended Cause = "partSuspended"
	// CauseRequestSuspended means that instances have crashed on this request before.
	CauseRequestSuspended Cause = "requestSuspended"
	// CauseVersionGone means that a stream cannot be continued, since no instance has the software
	// version that began it.
	CauseVersionGone Cause = "versionGone"
	// CauseOriginUnknown means that a stream cannot be continued, since the service has had several
	// software versions and it is not known which one began it.
	CauseOriginUnknown Cause = "originUnknown"
	CauseDeadline      Cause = "deadline"
	// CauseCallerDisconnected means that the caller closed its connection before the end.
	CauseCallerDisconnected Cause = "callerGone"
)

// causeOf returns the cause to report if r is the result of the last attempt.
func causeOf(r attemptResult) Cause {
	switch r {
	case resultNotSent:
		return CauseUnreachable
	case resultNotRun:
		return CauseInstanceBusy
	case resultFailed:
		return CauseInstanceFailed
	case resultTimeout:
		return CauseDeadline
	case resultNoPath:
		return CauseIsolated
	case resultOutdated:
		return CauseOutdated
	}
	return CauseInDoubt
}

// Base delays of the Retry-After header, and how they are varied.
const (
	// retryDelayBusy is roughly the time in which a busy instance finishes a request.
	retryDelayBusy = 400 * time.Millisecond
	// retryDelayOtherNode is short because another node may have the quota, memory or configuration
	// that this one lacks.
	retryDelayOtherNode = 60 * time.Millisecond
	// retryDelayUnavailable is roughly the time in which the instance list, the
	// configuration or quota changes.
	retryDelayUnavailable = 1200 * time.Millisecond
	// partitionedRetryFraction is the fraction of a caller's remaining time after which it can
	// retry and still be served.
	partitionedRetryFraction = 0.3
	// retryJitter is the largest random addition, as a fraction of the delay, so that
	// callers refused together do not retry together.
	retryJitter = 0.5
)

// retryAfter returns the retry delay for a refusal, with jitter.
func retryAfter(cause Cause) time.Duration {
	base := retryDelayUnavailable
	switch cause {
	case CauseInstanceBusy, CauseUnreachable:
		base = retryDelayBusy
	case CauseNoQuota, CauseNodeBusy, CauseNodeStopping, CauseOutdated:
		base = retryDelayOtherNode
	}
	return jitter(base)
}

// jitter adds a random part to a delay.
func jitter(delay time.Duration) time.Duration {
	return delay + time.Duration(rand.Float64()*retryJitter*float64(delay))
}

// retryAfterPartitioned returns the retry delay of a node that is partitioned from the control
// group and found no quota at other nodes. Those are partitioned as well, so an immediate
// retry would only use up one of the caller's tries. The later it retries, the likelier
// the partition has ended.
func retryAfterPartitioned(remaining time.Duration) time.Duration {
	return max(time.Duration(float64(remaining)*partitionedRetryFraction), retryDelayOtherNode)
}

// formatRetryAfter rounds up: a caller that came back too early would only be refused again.
func formatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(math.Ceil(after.Seconds()*100)/100, 'f', 2, 64)
}

// refuse responds with status 503: the request has not run and may be retried after the
// time in Retry-After.
func (x *exchange) refuse(cause Cause) {
	after := retryAfter(cause)
	if cause == CauseNoQuota && x.shortage != nil && x.shortage.LedgerUnreachable {
		after = retryAfterPartitioned(x.deadline - clock.SinceBoot())
	}
	if cause == CausePartSuspended || cause == CauseRequestSuspended {
		after = x.retryAfterSuspension()
	}
	if cause == CauseUnconfirmed {
		after = jitter(control.UnconfirmedRetryDelay(x.unconfirmed))
	}
	if x.instancesFullFor > 0 {
		// Callers that return together would only be refused together.
		after = x.instancesFullFor + time.Duration(rand.Float64()*retryJitter*float64(retryDelayBusy))
	}
	if x.roomAfter > 0 {
		// The returns are spread over as long as the queue is now.
		after = x.roomAfter + time.Duration(rand.Float64()*float64(x.roomAfter))
	}
	response := ownResponse(http.StatusServiceUnavailable, cause)
	response.header.Set("Retry-After", formatRetryAfter(after))
	x.respond(response, cause)
}

// deny rejects a request for what the configuration does not have, or refuses it if the configuration
// may not be the newest.
func (x *exchange) deny(status int, cause Cause) {
	if x.unconfirmed > control.ConfigurationBound {
		x.refuse(CauseUnconfirmed)
		return
	}
	x.reject(status, cause)
}

// reject responds with an error status and the cause as JSON.
func (x *exchange) reject(status int, cause Cause) {
	x.respond(ownResponse(status, cause), cause)
}

// ownResponse returns a response of this node.
func ownResponse(status int, cause Cause) bufferedResponse {
	return bufferedResponse{
		status: status,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   []byte(`{"error":"` + string(cause) + `"}`),
	}
}

// deliver sends an instance's complete response to the caller.
func (x *exchange) deliver(response bufferedResponse, cause Cause) {
	if !x.countBody(response) {
		x.endUnpaid()
		return
	}
	header := http.Header{}
	x.s.cfg.Protocol.Deliver(header, response.header)
	response.header = header
	x.s.observeFirstByte(x)
	x.respond(response, cause)
}

// respond ends the exchange with a whole response. All responses but streams leave through it, with the status and the
// header of one source.
func (x *exchange) respond(response bufferedResponse, cause Cause) {
	if x.mayHaveRun && !x.route.Repeatable() && backend.PromisesNotRun(response.status) {
		// The caller would send the request again, and its work would be done twice.
		cause = CauseInstanceFailed
		response = ownResponse(http.StatusBadGateway, cause)
	}
	x.status = response.status
	x.cause = cause
	maps.Copy(x.w.Header(), response.header)
	x.closeConnection()
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	x.w.WriteHeader(response.status)
	_, err := x.w.Write(response.body)
	x.complete = err == nil
	x.logEnd(err)
}

// closeConnection asks the caller to close its connection if this node is draining or the
// connection has served its share of requests. The directory then leads the caller to
// another node.
func (x *exchange) closeConnection() {
	if x.s.draining.Load() || x.lastOnConnection {
		x.w.Header().Set("Connection", "close")
	}
}

func (x *exchange) logDisconnect() {
	x.cause = CauseCallerDisconnected
	x.logEnd(nil)
}

// logPlaced logs the instance chosen for an attempt and what the choice was based on.
func (x *exchange) logPlaced(p *placement.Assignment, listAge time.Duration) {
	x.s.cfg.Log.Info(event.RequestPlaced).
		Str("request", string(x.request.ID)).
		Str("route", string(x.route.Name)).
		Str("service", string(x.service.ID)).
		Str("instance", string(p.Instance.ID)).
		Str("software", string(p.Instance.Software)).
		Str("resumes", string(x.request.Resumes)).
		Str("afterEvent", x.resumePoint()).
		Int("attempt", x.attempts+1).
		Int64("predictedMillis", p.Predicted.Milliseconds()).
		Int64("uncachedTokens", int64(p.Uncached)).
		Int("candidates", p.Candidates).
		Bool("claimed", x.activeClaim != nil).
		Int("moves", x.reassignments).
		Bool("permit", x.permitted).
		Int("permitsRefused", x.permitsRefused).
		Int64("loadAgeMillis", p.LoadAge.Milliseconds()).
		Int64("listAgeMillis", listAge.Milliseconds()).
		Int64("leftMillis", (x.deadline - clock.SinceBoot()).Milliseconds()).
		Msg("request placed")
}

// logOversize logs and counts a response that exceeded a limit.
func (x *exchange) logOversize(p *placement.Assignment, oversize *backend.OversizeError) {
	x.s.cfg.Metrics.Count("responses_oversized", metrics.Label{
		Name:  "part",
		Value: string(oversize.Part),
	})
	x.s.cfg.Log.Warn(event.ResponseOversized).
		Str("request", string(x.request.ID)).
		Str("instance", string(p.Instance.ID)).
		Str("part", string(oversize.Part)).
		Int64("limit", oversize.Limit).
		Msg("response exceeds a limit; its connection was closed")
}

// logAttempt logs and counts an attempt that produced no response to the caller.
func (x *exchange) logAttempt(p *placement.Assignment, result attemptResult, err error) {
	if oversize := (*backend.OversizeError)(nil); errors.As(err, &oversize) {
		x.logOversize(p, oversize)
	}
	x.s.cfg.Metrics.Count("attempts_failed", causeLabel(causeOf(result)))
	x.s.cfg.Log.Warn(event.AttemptFailed).
		Str("request", string(x.request.ID)).
		Str("identity", string(x.identity)).
		Str("instance", string(p.Instance.ID)).
		Str("outcome", string(causeOf(result))).
		Int("instanceStatus", x.instanceStatus).
		Str("relayedBy", string(x.relayedBy)).
		Int("attempts", x.attempts).
		Int64("leftMillis", (x.deadline-clock.SinceBoot()).Milliseconds()).
		Str("framing", string(x.framing)).
		Int("unfinishedBytes", x.unfinishedBytes).
		AnErr("error", err).
		Msg("attempt failed")
}

// logEnd logs and counts the end of the request.
func (x *exchange) logEnd(err error) {
	duration := clock.SinceBoot() - x.arrived
	route, workspace := "", ""
	version := uint64(0)
	if x.route != nil {
		route = string(x.route.Name)
	}
	if x.workspace != nil {
		workspace = string(x.workspace.ID)
	}
	if x.view != nil {
		version = uint64(x.view.Config.Version)
	}
	x.s.countRequest(route, x.status, x.cause, duration)
	id := event.RequestEnded
	if x.status >= http.StatusBadRequest && x.lastInstance == "" {
		id = event.RequestRefused
	}
	line := x.s.cfg.Log.Info(id)
	if x.cause != CauseNone && x.cause != CauseCallerDisconnected {
		line = x.s.cfg.Log.Warn(id)
	}
	if x.shortage != nil {
		line = line.Bool("ledgerAnswered", x.shortage.LedgerResponded).
			Bool("cutOff", x.shortage.LedgerUnreachable).
			Bool("recalling", x.shortage.Last.Recalling).
			Int64("budgetFreeTokens", int64(x.shortage.Last.Free)).
			Int64("leasedElsewhereTokens", int64(x.shortage.Last.LeasedElsewhere))
	}
	if x.suspendedPart != "" {
		line = line.Str("suspendedPart", string(x.suspendedPart)).
			Int64("suspendedMillis", x.suspendedFor.Milliseconds())
	}
	if x.instancesFullFor > 0 {
		line = line.Int64("fullMillis", x.instancesFullFor.Milliseconds()).
			Int("limitedInstances", x.instancesLimited)
	}
	line.Str("request", string(x.request.ID)).
		Str("route", route).
		Str("workspace", workspace).
		Uint64("version", version).
		Int("status", x.status).
		Int("instanceStatus", x.instanceStatus).
		Str("cause", string(x.cause)).
		Str("identity", string(x.identity)).
		Str("instance", string(x.lastInstance)).
		Str("relayedBy", string(x.relayedBy)).
		Int("attempts", x.attempts).
		Int("connects", x.failedConnects).
		Int("events", x.events).
		Str("framing", string(x.framing)).
		Int("unfinishedBytes", x.unfinishedBytes).
		Int64("costTokens", int64(x.request.MaxCost())).
		Int64("chargedTokens", int64(x.charge())).
		Bool("mayHaveRun", x.mayHaveRun).
		Bool("controlFresh", x.s.cfg.Control.ControlReachable()).
		Int64("unconfirmedMillis", x.unconfirmed.Milliseconds()).
		Int64("tookMillis", duration.Milliseconds()).
		Int64("leftMillis", (x.deadline-clock.SinceBoot()).Milliseconds()).
		AnErr("error", err).
		Msg("request ended")
}
