package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/waxwingreel/waxwingreel/admission"
	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// exchange is one request of a caller, from its arrival to the end of the response.
type exchange struct {
	server       *Server
	c            *echo.Context
	ctx          context.Context
	id           fleet.RequestID
	idFromCaller bool
	access       catalog.Access
	body         []byte
	// buffers is the memory that the body takes.
	buffers intake.Allocation
	class   fleet.Class
	arrived time.Duration
	// unconfirmed is for how long, at the request's arrival, the configuration had not been confirmed
	// to be the newest.
	unconfirmed time.Duration
	// crashes counts the backend servers that crashed on the request before they responded.
	crashes int
	// identityHash is set by identity.
	identityHash routing.PartID
	// reserved is the quota reserved for the request.
	reserved fleet.Tokens

	firstToken time.Duration
	tokenGaps  []time.Duration
}

// operation is the part of handling a request that depends on its kind: a chat completion
// or a service call.
type operation interface {
	// check validates the request.
	check() *Refusal
	// maxPrice returns the most that the request can cost.
	maxPrice() fleet.Tokens
	// run executes the request and responds to the caller.
	run() error
}

// serve handles a request of any kind.
func (s *Server) serve(c *echo.Context, newOperation func(*exchange) operation) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x, refusal := s.begin(c)
	defer x.buffers.Release()
	if refusal != nil {
		return x.refuse(refusal)
	}
	op := newOperation(x)
	if refusal := op.check(); refusal != nil {
		return x.refuse(refusal)
	}
	s.dispatch.countRequest(x.access.Workspace)
	if refusal := x.reserve(op.maxPrice()); refusal != nil {
		return x.refuse(refusal)
	}
	return op.run()
}

// begin performs the checks common to all kinds of requests: the state of the server, the
// key, the request id and the size of the body.
func (s *Server) begin(c *echo.Context) (*exchange, *Refusal) {
	x := &exchange{
		server:  s,
		c:       c,
		ctx:     c.Request().Context(),
		arrived: clock.SinceBoot(),
		// Read before the view: a configuration that comes in between must not confirm the one before.
		unconfirmed: s.cfg.Control.Unconfirmed(),
	}
	if refusal := x.parseRequestID(); refusal != nil {
		return x, refusal
	}
	c.Response().Header().Set(HeaderRequestID, x.id.String())
	if refusal := x.checkServer(); refusal != nil {
		return x, refusal
	}
	key, ok := bearer(c.Request())
	if !ok {
		return x, notRun(http.StatusUnauthorized, TypeUnauthorized, "the Authorization header has no bearer key").withHint("send Authorization: Bearer KEY")
	}
	x.access, ok = s.cfg.Control.View().Access(key)
	if !ok {
		return x, x.deny(notRun(http.StatusUnauthorized, TypeUnauthorized, "unknown key"))
	}
	return x, x.readBody()
}

// deny returns a refusal for what the configuration does not have, or another one if the configuration
// may not be the newest.
func (x *exchange) deny(refusal *Refusal) *Refusal {
	if x.unconfirmed <= control.ConfigurationBound {
		return refusal
	}
	message := refusal.Message + " in this node's configuration, and the node cannot tell whether that is the newest"
	return notRun(http.StatusServiceUnavailable, TypeControlUnreachable, message).
		withHint("use GET /v1/entries to find another node").
		withRetry(control.UnconfirmedRetryDelay(x.unconfirmed)).
		withCause(burn.CauseControlUnreachable)
}

func (x *exchange) parseRequestID() *Refusal {
	text := x.c.Request().Header.Get(headerIDKey)
	if text == "" {
		x.id = fleet.NewRequestID()
		return nil
	}
	id, err := fleet.ParseRequestID(text)
	if err != nil {
		return notRun(http.StatusBadRequest, TypeBadRequest, err.Error()).withHint("use a new version 7 UUID for each request and the same one for its retries")
	}
	x.id = id
	x.idFromCaller = true
	now := clock.Wall()
	if id.Created() > now.Add(maxClockSkew) {
		return notRun(http.StatusBadRequest, TypeBadRequest, "the timestamp of the request id is in the future").withHint("check the clock of the machine that generated it")
	}
	return nil
}

// checkAge refuses a request id older than ledger.AdmissionAge, because the ledger can then no
// longer determine whether the request has already run.
func (x *exchange) checkAge() *Refusal {
	if x.id.Created() >= clock.Wall().Add(-ledger.AdmissionAge) {
		return nil
	}
	return unknownOutcome(http.StatusConflict, TypeTooOld, "the request id is too old to determine whether the request has already run").withHint("if you know that it did not run, retry it with a new request id")
}

func (x *exchange) checkServer() *Refusal {
	s := x.server
	switch {
	case s.stopping.Load():
		return notRun(http.StatusServiceUnavailable, TypeStopping, "this node is stopping").withHint("use GET /v1/entries to find another node").withRetry(100 * time.Millisecond)
	case s.cfg.Control.Rejected():
		return notRun(http.StatusServiceUnavailable, TypeControlUnreachable, "the ledger has rejected or ended the incarnation of this node, which must not spend quota").withHint("use GET /v1/entries to find another node").withRetry(time.Second)
	case s.cfg.Control.View().Version == 0:
		return notRun(http.StatusServiceUnavailable, TypeControlUnreachable, "this node has no configuration yet").withRetry(time.Second).withCause(burn.CauseControlUnreachable)
	case s.inFlight.Load() > int64(s.cfg.Settings.MaxInFlight):
		return notRun(http.StatusServiceUnavailable, TypeOverloaded, "this node has too many requests in flight").withHint("use GET /v1/entries to find another node").withRetry(time.Second).withCause(burn.CauseRefusedCapacity)
	}
	return nil
}

func (x *exchange) readBody() *Refusal {
	limit := x.server.cfg.Settings.MaxBodyBytes
	r := x.c.Request()
	x.buffers.Room = intake.RoomOf(r.Context(), intake.Unlimited)
	body, err := x.buffers.ReadAll(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, intake.ErrFull):
		return notRun(http.StatusServiceUnavailable, TypeOverloaded, "the memory of this node for the bodies of requests is in use").withHint("use GET /v1/entries to find another node").withRetry(time.Second).withCause(burn.CauseRefusedCapacity)
	case errors.Is(err, intake.ErrTooLong):
		return notRun(http.StatusRequestEntityTooLarge, TypeTooLarge, "the body exceeds the size limit of this node")
	case err != nil:
		return notRun(http.StatusBadRequest, TypeBadRequest, "cannot read the body: "+err.Error())
	}
	x.body = body
	return nil
}

// refuse ends the exchange with a refusal. A refusal without a cause is not a fault of the
// fleet, for example a malformed request or an exhausted budget, and is not counted in the
// burn report.
func (x *exchange) refuse(r *Refusal) error {
	r.RequestID = x.id
	if r.cause != "" {
		x.record(r.cause)
	}
	return r.write(x.c)
}

// abandon ends an exchange whose caller has disconnected. It closes the connection: after a plain
// return, net/http would end the response like a finished one.
func (x *exchange) abandon() {
	x.record("")
	panic(http.ErrAbortHandler)
}

// record counts the exchange in the burn report.
func (x *exchange) record(cause burn.Cause) {
	if x.access.Workspace == "" {
		return
	}
	x.server.observe(burn.Observation{
		Series: burn.Series{
			Workspace: x.access.Workspace,
			Class:     x.class,
			Tier:      x.access.Tier,
		},
		Cause:         cause,
		FirstToken:    x.firstToken,
		BetweenTokens: percentile95(x.tokenGaps),
	})
}

// reserve reserves quota for the request's maximum price.
func (x *exchange) reserve(amount fleet.Tokens) *Refusal {
	shortage := x.server.quota.Reserve(x.ctx, x.access.Budget, amount)
	if shortage == nil {
		x.reserved = amount
		return nil
	}
	switch {
	case !shortage.LedgerResponded:
		return notRun(http.StatusServiceUnavailable, TypeControlUnreachable, "the ledger is unreachable and this node's lease does not cover the request").withRetry(2 * time.Second).withCause(burn.CauseControlUnreachable)
	case shortage.Last.LeasedElsewhere > 0 && shortage.Last.Free+shortage.Last.LeasedElsewhere >= amount:
		return notRun(http.StatusTooManyRequests, TypeBudgetElsewhere, "the rest of the budget is leased to other nodes for requests in flight").withRetry(time.Second).withCause(burn.CauseRefusedBudget)
	}
	return notRun(http.StatusPaymentRequired, TypeBudgetExhausted, "the budget does not cover the maximum price of the request").withHint("request fewer tokens or top up the budget")
}

// release releases the reserved quota and counts the part spent as used.
func (x *exchange) release(spent fleet.Tokens) {
	if x.reserved > 0 {
		x.server.quota.Release(x.access.Budget, x.reserved, min(spent, x.reserved))
	}
	x.reserved = 0
}

// place waits until the request is assigned to a backend server.
func (x *exchange) place(key poolKey, request placement.Request) (assignment, *Refusal) {
	if refusal := x.admitted(key); refusal != nil {
		return assignment{}, refusal
	}
	deadline := x.arrived + x.server.cfg.Settings.DeadlineMillis.For(x.class)
	assigned, refused := x.server.dispatch.acquire(x.ctx, dispatchRequest{
		key:       key,
		workspace: x.access.Workspace,
		weight:    x.access.Weight,
		tier:      x.access.Tier,
		class:     x.class,
		cost:      request.Cost,
		deadline:  deadline,
		placement: request,
	})
	if refused == nil {
		// It may have been suspended while it waited.
		refusal := x.admitted(key)
		if refusal != nil {
			x.server.dispatch.finish(assigned, placement.OutcomeNeutral)
		}
		return assigned, refusal
	}
	message := map[admission.Reason]string{
		admission.ReasonQueueFull: "the queue is full",
		admission.ReasonTooSlow:   "the request would start after its deadline",
		admission.ReasonDeadline:  "no backend server had room before the deadline",
		admission.ReasonDisplaced: "a paying request displaced this trial request",
	}[refused.Reason]
	return assignment{}, notRun(http.StatusServiceUnavailable, TypeOverloaded, message).withRetry(max(refused.RetryAfter, time.Second)).withCause(burn.CauseRefusedCapacity)
}

// priority returns the request's priority on an engine. Lower values run first.
func (x *exchange) priority() int {
	p := map[fleet.Class]int{
		fleet.ClassLookup:      0,
		fleet.ClassInteractive: 1,
		fleet.ClassLong:        2,
	}[x.class]
	if x.access.Tier == fleet.TierTrial {
		p += 3
	}
	return p
}

// randomAttempt returns a random number that identifies an attempt.
func randomAttempt() uint64 {
	random := [8]byte{}
	if _, err := rand.Read(random[:]); err != nil {
		panic("entry: generate an attempt number: " + err.Error())
	}
	return binary.BigEndian.Uint64(random[:])
}

// newSettlement returns the settlement of the request. The hash of the content distinguishes
// the request from a different one with the same id.
func (x *exchange) newSettlement(content []byte, tokens fleet.Tokens, partial bool) ledger.Settlement {
	sum := sha256.Sum256(content)
	return ledger.Settlement{
		Key: ledger.RequestKey{
			Workspace: x.access.Workspace,
			Request:   x.id,
			Body:      ledger.BodySum(sum[:len(ledger.BodySum{})]),
		},
		Budget:  x.access.Budget,
		Holder:  x.server.cfg.Holder,
		Tokens:  tokens,
		Attempt: randomAttempt(),
		Partial: partial,
	}
}

// settle records a settlement and releases the rest of the reserved quota. It does not stop
// when the caller disconnects.
func (x *exchange) settle(settlement ledger.Settlement) (ledger.SettleResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), settleTimeout)
	defer cancel()
	result, err := x.server.billing.Settle(ctx, settlement)
	if err != nil {
		// The billing recorder keeps the settlement and submits it later, so its
		// quota counts as spent.
		x.release(settlement.Tokens)
		return result, err
	}
	x.release(result.Charged)
	return result, nil
}
