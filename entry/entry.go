// Package entry answers callers: it admits their requests against the budgets,
// places them on backend servers, streams the answers back and has them billed.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/waxwingreel/waxwingreel/admission"
	"github.com/waxwingreel/waxwingreel/billing"
	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/directory"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/settings"
)

// Headers of the callers' interface.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderBilled    = "X-Billed-Tokens"
	HeaderReplayed  = "X-Replayed"
	HeaderClass     = "X-Class"
	headerIDKey     = "Idempotency-Key"
)

// futureAllowance is how far a request id may be ahead of this node's clock.
const futureAllowance = 5 * time.Minute

// Link is the way to the control group.
type Link interface {
	Ledger
	View() *catalog.View
	Roster() []roster.Report
	Fresh() bool
	Rejected() bool
}

// Config sets up a Server.
type Config struct {
	Holder     fleet.Holder
	DataCentre fleet.DataCentre
	Settings   settings.Entry
	Link       Link
	// NewBilling makes the recorder of bills, which tells of quota that a bill
	// turned out not to need.
	NewBilling func(refund func(fleet.BudgetID, fleet.Tokens)) (*billing.Recorder, error)
	Log        *event.Log
	Policies   Policies
}

// Policies replaces policies by the baselines of measurements. The zero value
// chooses the policies in use.
type Policies struct {
	Lease     lease.Policy
	Placement placement.Policy
	Admission admission.Policy
}

func (p *Policies) fillDefaults() {
	if p.Lease == "" {
		p.Lease = lease.PolicyDemandRecall
	}
	if p.Placement == "" {
		p.Placement = placement.PolicyBest
	}
	if p.Admission == "" {
		p.Admission = admission.PolicyFair
	}
}

// Server answers callers.
type Server struct {
	cfg      Config
	quota    *quotaKeeper
	billing  *billing.Recorder
	dispatch *dispatcher
	clients  *clientSet
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	stopping atomic.Bool
	inFlight atomic.Int64
	finishes sync.WaitGroup

	burnMu sync.Mutex
	burn   *burn.Recorder
}

// New starts a server.
func New(cfg Config) (*Server, error) {
	cfg.Policies.fillDefaults()
	quota := newQuotaKeeper(lease.New(lease.Config{
		Holder:        cfg.Holder,
		SharePerMille: cfg.Settings.LeaseSharePerMille,
		Partition:     time.Duration(cfg.Settings.PartitionMinutes) * time.Minute,
		Policy:        cfg.Policies.Lease,
	}), cfg.Link)
	recorder, err := cfg.NewBilling(quota.refund)
	if err != nil {
		quota.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	clients := newClientSet()
	s := &Server{
		cfg:     cfg,
		clients: clients,
		quota:   quota,
		billing: recorder,
		dispatch: newDispatcher(dispatchConfig{
			node:        cfg.Holder.Node,
			queueLength: cfg.Settings.QueueLength,
			policy:      cfg.Policies.Placement,
			admission:   cfg.Policies.Admission,
			clients:     clients,
		}),
		ctx:    ctx,
		cancel: cancel,
		burn:   burn.New(Objectives(cfg.Settings)),
	}
	s.wait.Go(func() { clients.poll(ctx, s.dispatch) })
	s.wait.Go(s.followConfiguration)
	return s, nil
}

// Objectives converts the settings' service levels.
func Objectives(e settings.Entry) []burn.Objective {
	var objectives []burn.Objective
	for _, level := range e.ServiceLevels {
		objectives = append(objectives, burn.Objective{
			Class:            level.Class,
			Tier:             level.Tier,
			AnsweredPerMille: level.AnsweredPerMille,
			FirstToken:       time.Duration(level.FirstTokenMillis) * time.Millisecond,
			BetweenTokens:    time.Duration(level.BetweenTokenMillis) * time.Millisecond,
		})
	}
	return objectives
}

// followConfiguration passes on changes of the configuration and of the set of live
// nodes.
func (s *Server) followConfiguration() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	version := fleet.Version(0)
	nodes := ""
	for {
		view := s.cfg.Link.View()
		live := liveNodes(s.cfg.Link.Roster())
		joined := joinNodes(live)
		if view.Version != version || joined != nodes {
			version = view.Version
			nodes = joined
			s.clients.retain(view.BackendServers())
			s.dispatch.configure(view, live)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func liveNodes(reports []roster.Report) []fleet.NodeID {
	var live []fleet.NodeID
	for _, r := range reports {
		if r.State != roster.StateDead && r.Callers.IsValid() {
			live = append(live, r.Holder.Node)
		}
	}
	return live
}

func joinNodes(nodes []fleet.NodeID) string {
	var b strings.Builder
	for _, n := range nodes {
		b.WriteString(string(n))
		b.WriteByte(0)
	}
	return b.String()
}

// Recalled implements uplink.Handler.
func (s *Server) Recalled(recalls []ledger.Recall) {
	s.quota.recalled(recalls)
}

// Ending implements uplink.Handler.
func (s *Server) Ending(holders []fleet.Holder) {
	s.billing.Ending(holders)
}

// Billing returns the recorder of bills.
func (s *Server) Billing() *billing.Recorder {
	return s.billing
}

// LoadPerMille returns how much of the node's capacity is in use.
func (s *Server) LoadPerMille() int {
	return int(s.inFlight.Load() * 1000 / int64(s.cfg.Settings.MaxInFlight))
}

// Rejected reports whether this life of the node has ended for the ledger.
func (s *Server) Rejected() bool {
	return s.cfg.Link.Rejected()
}

// InFlight returns how many requests are being worked on.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Counts returns this node's part of the burn report.
func (s *Server) Counts() []burn.Count {
	s.burnMu.Lock()
	defer s.burnMu.Unlock()
	return s.burn.Counts(clock.Boot())
}

func (s *Server) observe(o burn.Observation) {
	s.burnMu.Lock()
	defer s.burnMu.Unlock()
	s.burn.Observe(o, clock.Boot())
}

// Pools returns the queues and servers as operators see them.
func (s *Server) Pools() []PoolView {
	return s.dispatch.poolViews()
}

// Holdings returns the quota that the node has on lease.
func (s *Server) Holdings() []lease.Holding {
	return s.quota.holdings()
}

// Refuse makes the server refuse new requests. It is for the end of a planned
// stop, when callers no longer come by the directory.
func (s *Server) Refuse() {
	s.stopping.Store(true)
}

// Close gives the leases back and ends the server. Requests in flight must have
// ended.
func (s *Server) Close(ctx context.Context) error {
	finished := make(chan struct{})
	go func() {
		s.finishes.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	err := s.quota.giveAll(ctx)
	s.cancel()
	s.wait.Wait()
	s.dispatch.close()
	s.billing.Close()
	s.quota.close()
	return err
}

// Handler returns the callers' interface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/entries", s.entries)
	e.GET("/healthz", s.health)
	e.POST("/v1/chat/completions", s.chat)
	e.Any("/v1/services/:service/*", s.service)
	e.RouteNotFound("/*", func(c *echo.Context) error {
		return notRun(http.StatusNotFound, TypeNotFound, "there is no such path").withHint("see docs/API.md").write(c)
	})
	return e
}

func (s *Server) health(c *echo.Context) error {
	if s.stopping.Load() || s.cfg.Link.View().Version == 0 {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// entriesBody answers GET /v1/entries.
type entriesBody struct {
	Entries    []directory.Entry `json:"entries"`
	TTLSeconds int64             `json:"ttlSeconds"`
}

func (s *Server) entries(c *echo.Context) error {
	q := directory.Query{
		Workspace:  fleet.WorkspaceID(c.Request().URL.Query().Get("workspace")),
		DataCentre: fleet.DataCentre(c.Request().URL.Query().Get("dataCentre")),
		Caller:     c.Request().RemoteAddr,
	}
	if key, ok := bearer(c.Request()); ok {
		if access, known := s.cfg.Link.View().Access(key); known {
			q.Workspace = access.Workspace
		}
	}
	if !s.cfg.Link.Fresh() {
		q.Doubtful = s.cfg.Holder.Node
	}
	return c.JSON(http.StatusOK, entriesBody{
		Entries:    directory.Order(q, s.cfg.Link.Roster()),
		TTLSeconds: s.cfg.Settings.DirectorySeconds,
	})
}

func bearer(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return strings.TrimSpace(key), ok && key != ""
}

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
		return notRun(http.StatusServiceUnavailable, TypeControlAway, "this node may not spend any more").withHint("ask GET /v1/entries for another").withRetry(time.Second)
	case s.cfg.Link.View().Version == 0:
		return notRun(http.StatusServiceUnavailable, TypeControlAway, "this node has no configuration yet").withRetry(time.Second).because(burn.CauseUnreachable)
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
	short := x.server.quota.reserve(x.ctx, x.access.Budget, amount)
	if short == nil {
		x.reserved = amount
		return nil
	}
	switch {
	case !short.answered:
		return notRun(http.StatusServiceUnavailable, TypeControlAway, "the budget's ledger cannot be reached and this node's lease does not cover the request").withRetry(2 * time.Second).because(burn.CauseUnreachable)
	case short.last.LeasedElsewhere > 0 && short.last.Free+short.last.LeasedElsewhere >= amount:
		return notRun(http.StatusTooManyRequests, TypeBudgetElsewhere, "what is left of the budget is held by other nodes for requests under way").withRetry(time.Second).because(burn.CauseRefusedBudget)
	}
	return notRun(http.StatusPaymentRequired, TypeBudgetExhausted, "the budget does not cover the request's highest price").withHint("ask for fewer tokens, or have the budget topped up")
}

// release frees the quota set aside, less what was spent.
func (x *exchange) release(spent fleet.Tokens) {
	if x.reserved > 0 {
		x.server.quota.release(x.access.Budget, x.reserved, min(spent, x.reserved))
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
