package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/waxwingreel/waxwingreel/admission"
	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/placement"
)

// exchange is one request of a caller, from its arrival to its end.
type exchange struct {
	server  *Server
	c       *echo.Context
	ctx     context.Context
	id      fleet.RequestID
	named   bool
	access  catalog.Access
	body    []byte
	class   fleet.Class
	arrived time.Duration
	// reserved is the quota set aside.
	reserved fleet.Tokens

	firstToken time.Duration
	gaps       []time.Duration
}

// work is what sets one kind of request apart from another.
type work interface {
	// check reads and checks the request.
	check() *Refusal
	// highestPrice is the most that the request can cost.
	highestPrice() fleet.Tokens
	// run does the work and answers the caller.
	run() error
}

// serve takes a request through what all kinds have in common.
func (s *Server) serve(c *echo.Context, kind func(*exchange) work) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x, refusal := s.begin(c)
	if refusal != nil {
		return x.refuse(refusal)
	}
	w := kind(x)
	if refusal := w.check(); refusal != nil {
		return x.refuse(refusal)
	}
	s.dispatch.request(x.access.Workspace)
	if refusal := x.reserve(w.highestPrice()); refusal != nil {
		return x.refuse(refusal)
	}
	return w.run()
}

// begin checks what all requests have in common: the server's state, the key, the
// request id and the size of the body.
func (s *Server) begin(c *echo.Context) (*exchange, *Refusal) {
	x := &exchange{
		server:  s,
		c:       c,
		ctx:     c.Request().Context(),
		arrived: clock.Boot(),
	}
	if refusal := x.identify(); refusal != nil {
		return x, refusal
	}
	c.Response().Header().Set(HeaderRequestID, x.id.String())
	if refusal := x.serverReady(); refusal != nil {
		return x, refusal
	}
	key, ok := bearer(c.Request())
	if !ok {
		return x, notRun(http.StatusUnauthorized, TypeUnauthorized, "no key was given").withHint("send Authorization: Bearer KEY")
	}
	x.access, ok = s.cfg.Link.View().Access(key)
	if !ok {
		return x, notRun(http.StatusUnauthorized, TypeUnauthorized, "the key is not known")
	}
	return x, x.readBody()
}

func (x *exchange) identify() *Refusal {
	text := x.c.Request().Header.Get(headerIDKey)
	if text == "" {
		x.id = fleet.NewRequestID()
		return nil
	}
	id, err := fleet.ParseRequestID(text)
	if err != nil {
		return notRun(http.StatusBadRequest, TypeBadRequest, err.Error()).withHint("use a new UUID of version 7 for each request, and the same one for its retries")
	}
	x.id = id
	x.named = true
	now := clock.Wall()
	if id.Created() > now.Add(futureAllowance) {
		return notRun(http.StatusBadRequest, TypeBadRequest, "the request id lies in the future").withHint("check the clock of the machine that made it")
	}
	return nil
}

// checkAge refuses an id for which a second run could not be told from a first.
func (x *exchange) checkAge() *Refusal {
	if x.id.Created() >= clock.Wall().Add(-ledger.AdmissionAge) {
		return nil
	}
	return unknown(http.StatusConflict, TypeTooOld, "the request id is too old to tell whether it ran before").withHint("if you know that it did not run, send it under a new id")
}

func (x *exchange) serverReady() *Refusal {
	s := x.server
	switch {
	case s.stopping.Load():
		return notRun(http.StatusServiceUnavailable, TypeStopping, "this node is stopping").withHint("ask GET /v1/entries for another").withRetry(100 * time.Millisecond)
	case s.cfg.Link.Rejected():
		return notRun(http.StatusServiceUnavailable, TypeControlUnreachable, "this node may not spend any more").withHint("ask GET /v1/entries for another").withRetry(time.Second)
	case s.cfg.Link.View().Version == 0:
		return notRun(http.StatusServiceUnavailable, TypeControlUnreachable, "this node has no configuration yet").withRetry(time.Second).because(burn.CauseControlUnreachable)
	case s.inFlight.Load() > int64(s.cfg.Settings.MaxInFlight):
		return notRun(http.StatusServiceUnavailable, TypeOverloaded, "this node works on too many requests").withHint("ask GET /v1/entries for another").withRetry(time.Second).because(burn.CauseRefusedCapacity)
	}
	return nil
}

func (x *exchange) readBody() *Refusal {
	limit := x.server.cfg.Settings.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(x.c.Response(), x.c.Request().Body, limit))
	tooLarge := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(err, &tooLarge):
		return notRun(http.StatusRequestEntityTooLarge, TypeTooLarge, "the body is larger than this node takes")
	case err != nil:
		return notRun(http.StatusBadRequest, TypeBadRequest, "the body could not be read: "+err.Error())
	}
	x.body = body
	return nil
}

// refuse ends the exchange with a refusal. A refusal without a cause is no fault
// of the fleet's, like a malformed request or a budget that is spent, and does not
// count in the burn report.
func (x *exchange) refuse(r *Refusal) error {
	r.RequestID = x.id
	if r.cause != "" {
		x.record(r.cause)
	}
	return r.write(x.c)
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
		BetweenTokens: percentile95(x.gaps),
	})
}

// reserve sets the request's worst price aside.
func (x *exchange) reserve(amount fleet.Tokens) *Refusal {
	short := x.server.quota.Reserve(x.ctx, x.access.Budget, amount)
	if short == nil {
		x.reserved = amount
		return nil
	}
	switch {
	case !short.Answered:
		return notRun(http.StatusServiceUnavailable, TypeControlUnreachable, "the budget's ledger cannot be reached and this node's lease does not cover the request").withRetry(2 * time.Second).because(burn.CauseControlUnreachable)
	case short.Last.LeasedElsewhere > 0 && short.Last.Free+short.Last.LeasedElsewhere >= amount:
		return notRun(http.StatusTooManyRequests, TypeBudgetElsewhere, "what is left of the budget is held by other nodes for requests under way").withRetry(time.Second).because(burn.CauseRefusedBudget)
	}
	return notRun(http.StatusPaymentRequired, TypeBudgetExhausted, "the budget does not cover the request's highest price").withHint("ask for fewer tokens, or have the budget topped up")
}

// release frees the quota set aside, less what was spent.
func (x *exchange) release(spent fleet.Tokens) {
	if x.reserved > 0 {
		x.server.quota.Release(x.access.Budget, x.reserved, min(spent, x.reserved))
	}
	x.reserved = 0
}

// place waits for a place on a backend server.
func (x *exchange) place(key poolKey, request placement.Request) (grant, *Refusal) {
	deadline := x.arrived + x.server.cfg.Settings.DeadlineMillis.For(x.class)
	g, refused := x.server.dispatch.acquire(x.ctx, job{
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
		return g, nil
	}
	text := map[admission.Reason]string{
		admission.ReasonQueueFull: "too many requests wait already",
		admission.ReasonTooSlow:   "the request would start too late",
		admission.ReasonDeadline:  "no backend server was free in time",
		admission.ReasonDisplaced: "paying work took the place",
	}[refused.Reason]
	return grant{}, notRun(http.StatusServiceUnavailable, TypeOverloaded, text).withRetry(max(refused.RetryAfter, time.Second)).because(burn.CauseRefusedCapacity)
}

// priority is the order in which an engine is to take the request, 0 first.
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

func randomAttempt() uint64 {
	raw := [8]byte{}
	if _, err := rand.Read(raw[:]); err != nil {
		panic("entry: no randomness: " + err.Error())
	}
	return binary.BigEndian.Uint64(raw[:])
}

// bill makes the bill of the request, whose content tells it from other work under
// the same id.
func (x *exchange) bill(content []byte, tokens fleet.Tokens, partial bool) ledger.Settlement {
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

// settle records a bill and frees the rest of the quota. It goes on when the caller
// has left.
func (x *exchange) settle(bill ledger.Settlement) (ledger.SettleResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), settleTimeout)
	defer cancel()
	result, err := x.server.billing.Settle(ctx, bill)
	if err != nil {
		// The bill is kept here and handed in later, so its quota is spent.
		x.release(bill.Tokens)
		return result, err
	}
	x.release(result.Charged)
	return result, nil
}
