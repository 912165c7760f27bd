// Package entry serves the callers of an entry node. It admits their requests against the
// budgets, assigns them to backend servers, streams the responses and has them billed.
package entry

import (
	"context"
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
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/quota"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/settings"
)

// HTTP headers of the API for callers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderBilled    = "X-Billed-Tokens"
	HeaderReplayed  = "X-Replayed"
	HeaderClass     = "X-Class"
	headerIDKey     = "Idempotency-Key"
)

// maxClockSkew is how far a request id's timestamp may be ahead of this node's clock.
const maxClockSkew = 5 * time.Minute

// ControlClient is the connection to the control group.
type ControlClient interface {
	quota.Ledger
	View() *catalog.View
	Roster() []roster.Report
	ControlReachable() bool
	// Unconfirmed returns the time since the latest moment for which the configuration is known to
	// have been the newest.
	Unconfirmed() time.Duration
	Rejected() bool
	// Evacuations returns the evacuated data centres.
	Evacuations() evacuation.List
}

// Config configures a Server.
type Config struct {
	Holder     fleet.Holder
	DataCentre fleet.DataCentre
	Settings   settings.Entry
	Control    ControlClient
	// NewBilling creates the settlement recorder. The recorder calls refund with quota
	// of settlements that the ledger did not charge.
	NewBilling func(refund func(fleet.BudgetID, fleet.Tokens)) (*billing.Recorder, error)
	// Quarantine judges the requests on which backend servers crash. If it is nil, the node judges
	// by its own evidence alone.
	Quarantine *quarantine.Monitor
	Log        *event.Log
	Policies   Policies
}

// Policies selects the policies of the server. The zero value selects those used in
// production; the others are baselines for measurements.
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

// maxQuotaWait is how long a request waits for quota. An election and a recall take less.
const maxQuotaWait = 1500 * time.Millisecond

// Server serves the API for callers.
type Server struct {
	cfg        Config
	quota      *quota.Manager
	billing    *billing.Recorder
	dispatch   *dispatcher
	clients    *clientSet
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	stopping           atomic.Bool
	inFlight           atomic.Int64
	backgroundFinishes sync.WaitGroup

	burnMu sync.Mutex
	burn   *burn.Recorder
}

// New starts a Server.
func New(cfg Config) (*Server, error) {
	cfg.Policies.fillDefaults()
	if cfg.Quarantine == nil {
		cfg.Quarantine = newLocalQuarantine()
	}
	quotaManager := quota.New(quota.Config{
		Pool: lease.New(lease.Config{
			Holder:        cfg.Holder,
			SharePerMille: cfg.Settings.LeaseSharePerMille,
			Partition:     time.Duration(cfg.Settings.PartitionMinutes) * time.Minute,
			Policy:        cfg.Policies.Lease,
		}),
		Ledger:  cfg.Control,
		MaxWait: maxQuotaWait,
	})
	recorder, err := cfg.NewBilling(quotaManager.Refund)
	if err != nil {
		quotaManager.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	clients := newClientSet()
	s := &Server{
		cfg:     cfg,
		clients: clients,
		quota:   quotaManager,
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
	s.background.Go(func() { clients.poll(ctx, s.dispatch) })
	s.background.Go(s.watchConfiguration)
	return s, nil
}

// Objectives converts the service levels of the settings to objectives of the burn report.
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

// watchConfiguration applies changes of the configuration, of the set of live nodes and of the evacuated
// data centres.
func (s *Server) watchConfiguration() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	version := fleet.Version(0)
	nodeKey := ""
	evacuations := uint64(0)
	for {
		view := s.cfg.Control.View()
		live := liveNodes(s.cfg.Control.Roster())
		liveKey := joinNodes(live)
		evacuated := s.cfg.Control.Evacuations()
		if view.Version != version || liveKey != nodeKey || evacuated.Number != evacuations {
			version = view.Version
			nodeKey = liveKey
			evacuations = evacuated.Number
			s.clients.retain(view.BackendServers())
			s.dispatch.configure(view, live, evacuated)
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
		if r.State != roster.StateDead && r.CallerAddress.IsValid() {
			live = append(live, r.Holder.Node)
		}
	}
	return live
}

// joinNodes encodes a list of nodes as a string, so that lists can be compared with ==.
func joinNodes(nodes []fleet.NodeID) string {
	var b strings.Builder
	for _, n := range nodes {
		b.WriteString(string(n))
		b.WriteByte(0)
	}
	return b.String()
}

// HandleRecalls implements controlclient.Handler.
func (s *Server) HandleRecalls(recalls []ledger.Recall) {
	s.quota.HandleRecalls(recalls)
}

// HandleEndedHolders implements controlclient.Handler.
func (s *Server) HandleEndedHolders(holders []fleet.Holder) {
	s.billing.HandleEndedHolders(holders)
}

// Billing returns the settlement recorder.
func (s *Server) Billing() *billing.Recorder {
	return s.billing
}

// LoadPerMille returns the number of requests in flight, in per mille of the maximum.
func (s *Server) LoadPerMille() int {
	return int(s.inFlight.Load() * 1000 / int64(s.cfg.Settings.MaxInFlight))
}

// Rejected reports whether the ledger has rejected or ended this node's incarnation, so that
// the node must not spend quota.
func (s *Server) Rejected() bool {
	return s.cfg.Control.Rejected()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Counts returns this node's counts for the burn report.
func (s *Server) Counts() []burn.Count {
	s.burnMu.Lock()
	defer s.burnMu.Unlock()
	return s.burn.Counts(clock.SinceBoot())
}

func (s *Server) observe(o burn.Observation) {
	s.burnMu.Lock()
	defer s.burnMu.Unlock()
	s.burn.Observe(o, clock.SinceBoot())
}

// Pools returns the state of the queues and backend servers for operators.
func (s *Server) Pools() []PoolView {
	return s.dispatch.poolViews()
}

// Holdings returns the quota that the node has leased.
func (s *Server) Holdings() []lease.Holding {
	return s.quota.Holdings()
}

// StopAccepting makes the server refuse new requests. It is called at the end of a planned
// stop, when the directory no longer sends callers to this node.
func (s *Server) StopAccepting() {
	s.stopping.Store(true)
}

// Close returns the leases and stops the server. Before that it waits, at most until ctx ends,
// for call outcomes that are recorded in the background. No requests may be in flight.
func (s *Server) Close(ctx context.Context) error {
	outcomesRecorded := make(chan struct{})
	go func() {
		s.backgroundFinishes.Wait()
		close(outcomesRecorded)
	}()
	select {
	case <-outcomesRecorded:
	case <-ctx.Done():
	}
	err := s.quota.ReturnAll(ctx)
	s.cancel()
	s.background.Wait()
	s.dispatch.Close()
	s.billing.Close()
	s.quota.Close()
	return err
}

// Handler returns the HTTP handler of the API for callers.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/entries", s.entries)
	e.GET("/healthz", s.health)
	e.POST("/v1/chat/completions", s.chat)
	e.Any("/v1/services/:service/*", s.service)
	e.RouteNotFound("/*", func(c *echo.Context) error {
		return notRun(http.StatusNotFound, TypeNotFound, "unknown path").withHint("see docs/API.md").write(c)
	})
	return e
}

func (s *Server) health(c *echo.Context) error {
	if s.stopping.Load() || s.cfg.Control.View().Version == 0 {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// entriesBody is the response body of GET /v1/entries.
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
		if access, known := s.cfg.Control.View().Access(key); known {
			q.Workspace = access.Workspace
		}
	}
	if !s.cfg.Control.ControlReachable() {
		q.Isolated = s.cfg.Holder.Node
	}
	return c.JSON(http.StatusOK, entriesBody{
		Entries:    directory.Order(q, s.cfg.Control.Roster()),
		TTLSeconds: s.cfg.Settings.DirectorySeconds,
	})
}

func bearer(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return strings.TrimSpace(key), ok && key != ""
}
