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
	// maxConnects bounds the instances that a request tries in vain to connect
	// to. Nothing was sent there, so these are no attempts.
	maxConnects = 3
	// minLeft is the time below which another attempt is not worth starting.
	minLeft = 30 * time.Millisecond
)

// errDeadline is the cause of a context that ended at the request's deadline,
// errSlowAttempt of one that ended so that another instance may be tried.
var (
	errDeadline    = errors.New("the request's deadline passed")
	errSlowAttempt = errors.New("the attempt took too long")
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
	owner    *routing.Workspace
	body     []byte
	arrived  time.Duration
	deadline time.Duration
	reserved fleet.Tokens
	// short tells why there was no quota.
	short *quota.Shortage
	// mayHaveRun is set once an instance may have begun the work.
	mayHaveRun bool
	attempts   int
	connects   int
	// paid is set when the retry budget has paid for the next attempt already.
	paid  bool
	avoid []fleet.BackendServerID
	// claimed is the claim of the present attempt on its engine's board, moves how
	// often a board made another engine the better one.
	claimed *placement.Claim
	moves   int
	// lastOfConnection says that the caller is to open another connection after this
	// request.
	lastOfConnection bool
	// answering is set once the answer's header has left; events and lastEvent
	// count what was delivered of a stream.
	answering bool
	events    int
	lastEvent string
	// failure is the latest instance's own failure, which is passed on if no
	// other attempt does better.
	failure *whole
	// lastInstance and cause are for the log.
	lastInstance fleet.BackendServerID
	status       int
	cause        Cause
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// serve answers the request.
func (x *exchange) serve() {
	if !x.open() || !x.readBody() {
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

// open finds the request's route and workspace, or answers that there is none.
func (x *exchange) open() bool {
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
		x.owner = x.view.Workspace(request.Key)
	}
	if x.owner == nil && x.view.KeysNeeded() && !x.route.Public {
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
		x.cause = CauseBodyTruncated
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
	return x.owner != nil && x.owner.Prepaid != nil && x.request.MaxCost() > 0
}

// reserve sets aside what the request may cost at most, or refuses it.
func (x *exchange) reserve() bool {
	if !x.metered() {
		return true
	}
	keeper := x.s.keeper.Load()
	if keeper == nil {
		x.refuse(CauseNoQuota)
		return false
	}
	cost := x.request.MaxCost()
	short := keeper.Reserve(x.ctx, fleet.BudgetID(x.owner.ID), cost)
	if short == nil {
		x.reserved = cost
		return true
	}
	x.short = short
	switch {
	case x.r.Context().Err() != nil:
		x.logGone()
		return false
	case short.Exhausted && !short.Last.Unknown:
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
		spent = x.request.Prompt + min(x.request.MaxOutput, fleet.Tokens(x.events)*x.eventTokens())
	}
	x.s.keeper.Load().Release(fleet.BudgetID(x.owner.ID), x.reserved, min(spent, x.reserved))
}

func (x *exchange) eventTokens() fleet.Tokens {
	if x.service.Engine == nil || x.service.Engine.EventTokens == 0 {
		return x.request.MaxOutput
	}
	return x.service.Engine.EventTokens
}

// run makes attempts until one answers the caller or no other may be made.
func (x *exchange) run() {
	for {
		placed, listAge, ok := x.choose(placement.ForecastRequest{
			Parts:  x.request.Parts,
			Prompt: x.request.Prompt,
			Avoid:  x.avoid,
		})
		if !ok {
			x.giveUp(CauseNoInstance)
			return
		}
		x.logPlaced(placed, listAge)
		outcome, err := x.attempt(placed)
		if outcome == verdictAnswered || outcome == verdictGone {
			return
		}
		x.logAttempt(placed, outcome, err)
		if outcome == verdictTimeout {
			x.giveUp(CauseDeadline)
			return
		}
		x.avoid = append(x.avoid, placed.Instance.ID)
		if !x.mayTryAgain(outcome) {
			x.giveUp(causeOf(outcome))
			return
		}
	}
}

// mayTryAgain decides whether another attempt may follow. Work that may have run is
// done again only where the route says that it may.
func (x *exchange) mayTryAgain(outcome verdict) bool {
	if x.deadline-clock.Boot() < minLeft {
		return false
	}
	if outcome == verdictNotSent {
		return x.connects < maxConnects
	}
	if outcome != verdictNotRun && !x.route.Repeatable() {
		return false
	}
	if x.attempts >= x.route.MaxAttempts {
		return false
	}
	paid := x.paid
	x.paid = false
	return paid || x.s.dispatch.mayRetry(x.service.ID)
}

// giveUp ends a request that no attempt answered.
func (x *exchange) giveUp(cause Cause) {
	switch {
	case x.r.Context().Err() != nil:
		x.logGone()
	case x.answering:
		x.cutOff(cause)
	case x.failure != nil:
		x.deliver(*x.failure, cause)
	case !x.mayHaveRun && cause != CauseDeadline:
		x.refuse(cause)
	case cause == CauseDeadline:
		x.reject(http.StatusGatewayTimeout, cause)
	default:
		x.reject(http.StatusBadGateway, cause)
	}
}
