package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/quota"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 4 << 20
	// maxFailedConnects bounds the instances that a request tries in vain to connect
	// to. Nothing was sent there, so these are no attempts.
	maxFailedConnects = 3
	// minAttemptTime is the time below which another attempt is not worth starting.
	minAttemptTime = 30 * time.Millisecond
)

// errDeadline is the cause of a context that ended at the request's deadline,
// errAttemptReplaced of one that ended so that another instance may be tried.
var (
	errDeadline    = errors.New("the request's deadline passed")
	errAttemptReplaced = errors.New("the attempt took too long")
)

// exchange is one routed request from its arrival to its end.
type exchange struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	view     *routing.View
	request  routing.Request
	route    *routing.Route
	service  *routing.Service
	workspace    *routing.Workspace
	body     []byte
	arrived  time.Duration
	deadline time.Duration
	reserved fleet.Tokens
	// shortage tells why there was no quota.
	shortage *quota.Shortage
	// mayHaveRun is set once an instance may have begun the work.
	mayHaveRun bool
	attempts   int
	failedConnects   int
	// retryPaid is set when the retry budget has retryPaid for the next attempt already.
	retryPaid  bool
	avoidInstances []fleet.BackendServerID
	// activeClaim is the claim of the present attempt on its engine's board, moves how
	// often a board made another engine the better one.
	activeClaim *placement.Claim
	reassignments   int
	// lastOnConnection says that the caller is to open another connection after this
	// request.
	lastOnConnection bool
	// headerSent is set once the answer's header has left; events and lastEvent
	// count what was delivered of a stream.
	headerSent bool
	events    int
	lastEvent string
	// failedAnswer is the latest instance's own failedAnswer, which is passed on if no
	// other attempt does better.
	failedAnswer *bufferedAnswer
	// lastInstance and cause are for the log.
	lastInstance fleet.BackendServerID
	status       int
	cause        Cause
}

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// serve answers the request.
func (x *exchange) serve() {
	if !x.resolve() || !x.readBody() {
		return
	}
	left := x.deadline - clock.Boot()
	ctx, cancel := context.WithTimeoutCause(x.r.Context(), left, errDeadline)
	defer cancel()
	x.ctx = ctx
	if !x.reserve() {
		return
	}
	defer x.release()
	x.run()
}

// resolve finds the request's route and workspace, or answers that there is none.
func (x *exchange) resolve() bool {
	if x.view == nil {
		x.refuse(CauseNoConfiguration)
		return false
	}
	if limit := x.view.Config.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		x.reject(http.StatusRequestHeaderFieldsTooLarge, CauseHeaderTooLarge)
		return false
	}
	request, err := x.s.cfg.Protocol.ReadRequest(x.r)
	if err != nil {
		x.reject(http.StatusBadRequest, CauseMalformed)
		return false
	}
	x.request = request
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = x.view.Match(x.r.Host, path)
	if x.route == nil {
		x.reject(http.StatusNotFound, CauseNoRoute)
		return false
	}
	if request.Key != "" {
		x.workspace = x.view.Workspace(request.Key)
	}
	if x.workspace == nil && x.view.KeysNeeded() && !x.route.Public {
		x.reject(http.StatusUnauthorized, CauseUnknownKey)
		return false
	}
	x.service = x.view.Service(x.route.Choose(request.ID))
	wait := x.route.Timeout
	if request.Wait > 0 {
		wait = min(wait, request.Wait)
	}
	x.deadline = x.arrived + wait
	return true
}

// headerBytes is about the size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	const perLine = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + perLine
		}
	}
	return size
}

// readBody reads the body whole: an attempt that fails must be able to send it again.
func (x *exchange) readBody() bool {
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return true
	}
	limit := x.view.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, CauseBodyTooLarge)
		return false
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(x.deadline - clock.Boot()))
	size := max(x.r.ContentLength, 512)
	buffer := make([]byte, 0, size)
	body, err := readAll(io.LimitReader(x.r.Body, limit+1), buffer)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		x.cause = CauseBodyBroken
		x.status = http.StatusBadRequest
		x.logEnd(err)
		panic(http.ErrAbortHandler)
	case int64(len(body)) > limit:
		x.reject(http.StatusRequestEntityTooLarge, CauseBodyTooLarge)
		return false
	}
	x.body = body
	return true
}

// metered reports whether the request consumes a prepaid total.
func (x *exchange) metered() bool {
	return x.workspace != nil && x.workspace.Prepaid != nil && x.request.MaxCost() > 0
}

// reserve sets aside what the request may cost at most, or refuses it.
func (x *exchange) reserve() bool {
	if !x.metered() {
		return true
	}
	keeper := x.s.quotas.Load()
	if keeper == nil {
		x.refuse(CauseNoQuota)
		return false
	}
	cost := x.request.MaxCost()
	short := keeper.Reserve(x.ctx, fleet.BudgetID(x.workspace.ID), cost)
	if short == nil {
		x.reserved = cost
		return true
	}
	x.shortage = short
	switch {
	case x.r.Context().Err() != nil:
		x.logCallerGone()
		return false
	case short.Spent && !short.Last.Unknown:
		x.reject(http.StatusPaymentRequired, CauseBudgetSpent)
		return false
	}
	x.refuse(CauseNoQuota)
	return false
}

// release frees what was set aside, less what was consumed: the prompt, once the work
// may have begun, and the output that was delivered.
func (x *exchange) release() {
	if x.reserved == 0 {
		return
	}
	spent := fleet.Tokens(0)
	if x.mayHaveRun {
		spent = x.request.Prompt + min(x.request.MaxOutput, fleet.Tokens(x.events)*x.tokensPerEvent())
	}
	x.s.quotas.Load().Release(fleet.BudgetID(x.workspace.ID), x.reserved, min(spent, x.reserved))
}

func (x *exchange) tokensPerEvent() fleet.Tokens {
	if x.service.Engine == nil || x.service.Engine.EventTokens == 0 {
		return x.request.MaxOutput
	}
	return x.service.Engine.EventTokens
}

// run makes attempts until one answers the caller or no other may be made.
func (x *exchange) run() {
	for {
		placed, listAge, ok := x.chooseInstance(placement.ForecastRequest{
			Parts:  x.request.Parts,
			Prompt: x.request.Prompt,
			Avoid:  x.avoidInstances,
		})
		if !ok {
			x.fail(CauseNoInstance)
			return
		}
		x.logPlaced(placed, listAge)
		outcome, err := x.attempt(placed)
		if outcome == resultAnswered || outcome == resultCallerGone {
			return
		}
		x.logAttempt(placed, outcome, err)
		if outcome == resultTimeout {
			x.fail(CauseDeadline)
			return
		}
		x.avoidInstances = append(x.avoidInstances, placed.Instance.ID)
		if !x.mayTryAgain(outcome) {
			x.fail(causeOf(outcome))
			return
		}
	}
}

// mayTryAgain decides whether another attempt may follow. Work that may have run is
// done again only where the route says that it may.
func (x *exchange) mayTryAgain(outcome attemptResult) bool {
	if x.deadline-clock.Boot() < minAttemptTime {
		return false
	}
	if outcome == resultNotSent {
		return x.failedConnects < maxFailedConnects
	}
	if outcome != resultNotRun && !x.route.Repeatable() {
		return false
	}
	if x.attempts >= x.route.MaxAttempts {
		return false
	}
	paid := x.retryPaid
	x.retryPaid = false
	return paid || x.s.dispatch.takeRetry(x.service.ID)
}

// fail ends a request that no attempt answered.
func (x *exchange) fail(cause Cause) {
	switch {
	case x.r.Context().Err() != nil:
		x.logCallerGone()
	case x.headerSent:
		x.abortAnswer(cause)
	case x.failedAnswer != nil:
		x.deliver(*x.failedAnswer, cause)
	case !x.mayHaveRun && cause != CauseDeadline:
		x.refuse(cause)
	case cause == CauseDeadline:
		x.reject(http.StatusGatewayTimeout, cause)
	default:
		x.reject(http.StatusBadGateway, cause)
	}
}
