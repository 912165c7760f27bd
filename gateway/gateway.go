package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/quota"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

const (
	// defaultBodyBytes bounds a body where the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// quotaWaitTimeout is how long a request waits for quota: a recall takes two
	// round trips and two syncs.
	quotaWaitTimeout = 350 * time.Millisecond
	// maxIdleConns bounds the idle connections to one instance.
	maxIdleConns = 16
	// confirmTimeout bounds one confirmation to the ledger.
	confirmTimeout = 3 * time.Second
)

// Caller asks other nodes of the fleet.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method wire.Method, request, response any) error
	// Send sends a message that may be lost, without waiting.
	Send(address netip.AddrPort, method wire.Method, value any)
}

// Link is the way to the control group.
type Link interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
	Holder() fleet.Holder
	Fresh() bool
	Roster() []roster.Report
}

// Config sets up a Server.
type Config struct {
	Node       fleet.NodeID
	DataCentre fleet.DataCentre
	Link       Link
	Nodes      Caller
	Protocol   Protocol
	// RetryRatio and RetrySlack bound the arrivals beyond the first of each
	// request, for all nodes together in any window.
	RetryRatio float64
	RetrySlack float64
	// MaxInFlight bounds the requests that the node works on at once, 0 for no
	// bound.
	MaxInFlight int64
	Log         *event.Log
	// Metrics takes counters, latencies and gauges.
	Metrics *metrics.Set
}

// Server answers routed requests.
type Server struct {
	cfg      Config
	conns    *backend.Conns
	dispatch *dispatcher
	peers    *peers
	claims   *claimRegistry
	quotas   atomic.Pointer[quota.Keeper]
	view     atomic.Pointer[routing.View]
	draining atomic.Bool
	inFlight atomic.Int64
	// entryNodes is how many entry nodes share budgets and limits, 0 until known.
	entryNodes atomic.Int64
	// holderOffset is where this node begins among the holders of a budget.
	holderOffset int

	listMu sync.Mutex
	listReadAt time.Duration
	// pushedInstances is the latest whole list from the control group.
	pushedInstances []routing.Instance
	// confirmed holds the ended holders that were confirmed, or are being so.
	confirmed sync.Map
	closeOnce   sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
	wg      sync.WaitGroup
}

// New starts a server. It refuses requests until it has a configuration.
func New(cfg Config) *Server {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:    cfg,
		conns:  backend.NewConns(),
		peers:  newPeers(cfg),
		ctx:    ctx,
		cancel: cancel,
		listReadAt: -time.Hour,
	}
	s.claims = newClaimRegistry(cfg, s.peers)
	cfg.Metrics.Gauges(s.reportGauges)
	s.dispatch = newDispatcher(dispatchConfig{
		dataCentre: cfg.DataCentre,
		seed:       rand.Uint64(),
		retryRatio:      cfg.RetryRatio,
		retrySlack:      cfg.RetrySlack,
		idleConnLimit:       s.idleConnLimit,
		conns:      s.conns,
		log:        cfg.Log,
	})
	return s
}

// entryNodeCount is how many entryNodeCount answer callers, this one included.
func (s *Server) entryNodeCount() int {
	return max(int(s.entryNodes.Load()), 1)
}

// Shared implements uplink.Watcher.
func (s *Server) Shared(nodes int) {
	s.entryNodes.Store(int64(nodes))
	s.dispatch.setEntryNodes(s.entryNodeCount())
	s.connectCoordinators()
	s.updateQuotaBudgets()
}

// connectCoordinators opens a connection to each keeper, so that no request waits for that.
func (s *Server) connectCoordinators() {
	if s.cfg.Nodes == nil {
		return
	}
	for _, n := range s.peers.coordinatorSet().All() {
		if address, ok := s.peers.address(n.ID); ok && n.ID != s.cfg.Node {
			s.cfg.Nodes.Send(address, MethodBoard, BoardMessage{Ended: true})
		}
	}
}

// idleConnLimit returns how many idle connections to keep to an instance of a service: few
// enough that those of all nodes take half of what the instance accepts.
func (s *Server) idleConnLimit(service fleet.ServiceID) int {
	view := s.view.Load()
	if view == nil {
		return maxIdleConns
	}
	found := view.Service(service)
	if found == nil || found.MaxConnections == 0 {
		return maxIdleConns
	}
	return min(max(found.MaxConnections/2/s.entryNodeCount(), 1), maxIdleConns)
}

// Joined starts the keeping of quota, once this life of the node is registered.
func (s *Server) Joined() {
	keeper := quota.New(quota.Config{
		Pool: lease.New(lease.Config{
			Holder:    s.cfg.Link.Holder(),
			Partition: lease.MeteredPartition,
			Policy:    lease.PolicyMetered,
		}),
		Ledger:   s.cfg.Link,
		Patience: quotaWaitTimeout,
		Fresh:    s.cfg.Link.Fresh,
		Peers:    quotaLenders{server: s},
		Holders:  quotaHolders{server: s},
	})
	s.quotas.Store(keeper)
	s.updateQuotaBudgets()
}

// updateQuotaBudgets tells the quota keeper which budgets there are and which part to keep.
func (s *Server) updateQuotaBudgets() {
	keeper, view := s.quotas.Load(), s.view.Load()
	if keeper == nil || view == nil {
		return
	}
	var budgets []fleet.BudgetID
	for _, w := range view.Config.Workspaces {
		if w.Prepaid != nil && s.holdsBudget(fleet.BudgetID(w.ID)) {
			budgets = append(budgets, fleet.BudgetID(w.ID))
		}
	}
	keeper.Hold(int64(lease.MeteredPerMille/min(s.entryNodeCount(), holdersPerBudget)), budgets)
}

// Configured implements uplink.Watcher.
func (s *Server) Configured(view *routing.View) {
	s.view.Store(view)
	s.updateQuotaBudgets()
}

// Listed implements uplink.Watcher.
func (s *Server) Listed(list control.InstanceList) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	if list.Same {
		list.Instances = s.pushedInstances
	}
	s.pushedInstances = list.Instances
	s.applyList(list)
}

// Read takes in a list that this node has read itself.
func (s *Server) Read(instances []routing.Instance) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.applyList(control.InstanceList{
		Reader:    s.cfg.Node,
		Instances: instances,
	})
}

func (s *Server) applyList(list control.InstanceList) {
	at := clock.Boot() - time.Duration(list.AgeMillis)*time.Millisecond
	if at < s.listReadAt {
		return
	}
	s.listReadAt = at
	s.dispatch.setInstances(list)
}

// ListAge returns the age of the list of instances.
func (s *Server) ListAge() time.Duration {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	return clock.Boot() - s.listReadAt
}

// Recalled implements uplink.Handler.
func (s *Server) Recalled(recalls []ledger.Recall) {
	if keeper := s.quotas.Load(); keeper != nil {
		keeper.Recalled(recalls)
	}
}

// Ending implements uplink.Handler. The node keeps no bills of others, so it confirms
// at once.
func (s *Server) Ending(holders []fleet.Holder) {
	for _, ended := range holders {
		if _, under := s.confirmed.LoadOrStore(ended, true); under {
			continue
		}
		s.wg.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
			defer cancel()
			_, err := s.cfg.Link.Submit(ctx, control.Command{Confirm: &ledger.ConfirmNoneHeld{
				By:    s.cfg.Link.Holder(),
				Ended: ended,
			}})
			if err != nil {
				s.confirmed.Delete(ended)
			}
		})
	}
}

// Ready reports whether the node can answer callers.
func (s *Server) Ready() bool {
	return s.view.Load() != nil && s.quotas.Load() != nil && !s.draining.Load()
}

// InFlight returns how many requests the node works on.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Stopping makes the node unready and has it tell callers to go elsewhere.
func (s *Server) Stopping() {
	s.draining.Store(true)
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{
		s:       s,
		w:       w,
		r:       r,
		view:    s.view.Load(),
		arrived: clock.Boot(),

		lastOnConnection: isLastRequest(r),
	}
	x.deadline = x.arrived
	if s.cfg.MaxInFlight > 0 && inFlight > s.cfg.MaxInFlight {
		x.refuse(CauseNodeBusy)
		return
	}
	x.serve()
}

// Entries returns the addresses that callers may use, of the nodes that are up as far
// as this node knows.
//
// A node that has lost the control group keeps the last list it heard: the others it
// names are as likely to be alive as before, and callers try another where one fails.
func (s *Server) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, report := range s.cfg.Link.Roster() {
		if report.TakesCallers() {
			entries = append(entries, report.Callers)
		}
	}
	return entries
}

// Close gives the leases back and ends the server. Requests must have ended. A second
// call does nothing.
func (s *Server) Close(ctx context.Context) error {
	var err error
	s.closeOnce.Do(func() {
		if keeper := s.quotas.Load(); keeper != nil {
			err = keeper.GiveAll(ctx)
			keeper.Close()
		}
		s.cancel()
		s.dispatch.Close()
		s.wg.Wait()
	})
	return err
}
