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
	// quotaPatience is how long a request waits for quota: a recall takes two
	// round trips and two syncs.
	quotaPatience = 350 * time.Millisecond
	// maxIdle bounds the idle connections to one instance.
	maxIdle = 16
	// confirmTimeout bounds one confirmation to the ledger.
	confirmTimeout = 3 * time.Second
)

// PeerClient asks other nodes of the fleet.
type PeerClient interface {
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
	Peers      PeerClient
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
	conns    *backend.ConnPool
	dispatch *dispatcher
	peers    *peers
	boards   *boards
	keeper   atomic.Pointer[quota.Keeper]
	view     atomic.Pointer[routing.View]
	stopping atomic.Bool
	inFlight atomic.Int64
	// sharers is how many entry nodes share budgets and limits, 0 until known.
	sharers atomic.Int64
	// turn is where this node begins among the holders of a budget.
	turn int

	listMu sync.Mutex
	listAt time.Duration
	// pushed is the latest whole list from the control group.
	pushed []routing.Instance
	// confirmed holds the ended holders that were confirmed, or are being so.
	confirmed sync.Map
	closing   sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup
}

// New starts a server. It refuses requests until it has a configuration.
func New(cfg Config) *Server {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:    cfg,
		conns:  backend.NewConnPool(),
		peers:  newPeers(cfg),
		ctx:    ctx,
		cancel: cancel,
		listAt: -time.Hour,
	}
	s.boards = newBoards(cfg, s.peers)
	cfg.Metrics.AddGauges(s.gauges)
	s.dispatch = newDispatcher(dispatchConfig{
		dataCentre: cfg.DataCentre,
		seed:       rand.Uint64(),
		ratio:      cfg.RetryRatio,
		slack:      cfg.RetrySlack,
		keep:       s.keepIdle,
		conns:      s.conns,
		log:        cfg.Log,
	})
	return s
}

// nodes is how many nodes answer callers, this one included.
func (s *Server) nodes() int {
	return max(int(s.sharers.Load()), 1)
}

// HandleEntryNodes implements uplink.Watcher.
func (s *Server) HandleEntryNodes(nodes int) {
	s.sharers.Store(int64(nodes))
	s.dispatch.share(s.nodes())
	s.greet()
	s.hold()
}

// greet opens a connection to each keeper, so that no request waits for that.
func (s *Server) greet() {
	if s.cfg.Peers == nil {
		return
	}
	for _, n := range s.peers.set().All() {
		if address, ok := s.peers.address(n.ID); ok && n.ID != s.cfg.Node {
			s.cfg.Peers.Send(address, MethodClaimUpdate, ClaimUpdate{Ended: true})
		}
	}
}

// keepIdle returns how many idle connections to keep to an instance of a service: few
// enough that those of all nodes take half of what the instance accepts.
func (s *Server) keepIdle(service fleet.ServiceID) int {
	view := s.view.Load()
	if view == nil {
		return maxIdle
	}
	found := view.Service(service)
	if found == nil || found.MaxConnections == 0 {
		return maxIdle
	}
	return min(max(found.MaxConnections/2/s.nodes(), 1), maxIdle)
}

// StartQuota starts the keeping of quota, once this life of the node is registered.
func (s *Server) StartQuota() {
	keeper := quota.New(quota.Config{
		Pool: lease.New(lease.Config{
			Holder:    s.cfg.Link.Holder(),
			Partition: lease.MeteredPartition,
			Policy:    lease.PolicyMetered,
		}),
		Ledger:          s.cfg.Link,
		MaxWait:         quotaPatience,
		LedgerReachable: s.cfg.Link.Fresh,
		Peers:           lenders{server: s},
		Holders:         holders{server: s},
	})
	s.keeper.Store(keeper)
	s.hold()
}

// hold tells the quota keeper which budgets there are and which part to keep.
func (s *Server) hold() {
	keeper, view := s.keeper.Load(), s.view.Load()
	if keeper == nil || view == nil {
		return
	}
	var budgets []fleet.BudgetID
	for _, w := range view.Config.Workspaces {
		if w.Prepaid != nil && s.holds(fleet.BudgetID(w.ID)) {
			budgets = append(budgets, fleet.BudgetID(w.ID))
		}
	}
	keeper.SetHeldBudgets(int64(lease.MeteredPerMille/min(s.nodes(), holdersOfBudget)), budgets)
}

// HandleRouting implements uplink.Watcher.
func (s *Server) HandleRouting(view *routing.View) {
	s.view.Store(view)
	s.hold()
}

// HandleInstances implements uplink.Watcher.
func (s *Server) HandleInstances(list control.InstanceList) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	if list.Unchanged {
		list.Instances = s.pushed
	}
	s.pushed = list.Instances
	s.takeList(list)
}

// SetInstances takes in a list that this node has read itself.
func (s *Server) SetInstances(instances []routing.Instance) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.takeList(control.InstanceList{
		Reader:    s.cfg.Node,
		Instances: instances,
	})
}

func (s *Server) takeList(list control.InstanceList) {
	at := clock.Boot() - time.Duration(list.AgeMillis)*time.Millisecond
	if at < s.listAt {
		return
	}
	s.listAt = at
	s.dispatch.setInstances(list)
}

// ListAge returns the age of the list of instances.
func (s *Server) ListAge() time.Duration {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	return clock.Boot() - s.listAt
}

// HandleRecalls implements uplink.Handler.
func (s *Server) HandleRecalls(recalls []ledger.Recall) {
	if keeper := s.keeper.Load(); keeper != nil {
		keeper.HandleRecalls(recalls)
	}
}

// HandleEndedHolders implements uplink.Handler. The node keeps no bills of others, so it confirms
// at once.
func (s *Server) HandleEndedHolders(holders []fleet.Holder) {
	for _, ended := range holders {
		if _, under := s.confirmed.LoadOrStore(ended, true); under {
			continue
		}
		s.wait.Go(func() {
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
	return s.view.Load() != nil && s.keeper.Load() != nil && !s.stopping.Load()
}

// InFlight returns how many requests the node works on.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// StartDraining makes the node unready and has it tell callers to go elsewhere.
func (s *Server) StartDraining() {
	s.stopping.Store(true)
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

		lastOfConnection: isLast(r),
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
			entries = append(entries, report.CallerAddress)
		}
	}
	return entries
}

// Close gives the leases back and ends the server. Requests must have ended. A second
// call does nothing.
func (s *Server) Close(ctx context.Context) error {
	var err error
	s.closing.Do(func() {
		if keeper := s.keeper.Load(); keeper != nil {
			err = keeper.ReturnAll(ctx)
			keeper.Close()
		}
		s.cancel()
		s.dispatch.Close()
		s.wait.Wait()
	})
	return err
}
