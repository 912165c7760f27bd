package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/quota"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

const (
	// defaultBodyBytes limits a request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// quotaWaitTimeout is how long a request waits for quota. A recall of leased quota
	// takes two round trips and two disk syncs.
	quotaWaitTimeout = 350 * time.Millisecond
	// maxIdleConns limits the idle connections to one instance.
	maxIdleConns = 16
	// confirmTimeout limits one ConfirmNoneHeld command to the ledger.
	confirmTimeout = 3 * time.Second
)

// PeerClient sends calls and messages to other nodes of the fleet.
type PeerClient interface {
	Call(ctx context.Context, address netip.AddrPort, method wire.Method, request, response any) error
	// Send sends a message without waiting. The message may be lost.
	Send(address netip.AddrPort, method wire.Method, value any)
	// Open opens a channel.
	Open(ctx context.Context, address netip.AddrPort, method wire.Method) (*wire.Channel, error)
}

// ControlClient is the node's connection to the control group.
type ControlClient interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
	Holder() fleet.Holder
	ControlReachable() bool
	// Unconfirmed returns the time since the latest moment for which the configuration is known to
	// have been the newest.
	Unconfirmed() time.Duration
	Roster() []roster.Report
	// SendHeartbeat requests a heartbeat at once.
	SendHeartbeat()
	// FindOrigin asks control replicas where a stream began. It fails if none responds.
	FindOrigin(ctx context.Context, key origin.Key) (origin.Answer, error)
}

// Config configures a Server.
type Config struct {
	Node       fleet.NodeID
	DataCentre fleet.DataCentre
	Control    ControlClient
	Peers      PeerClient
	Protocol   Protocol
	// RetryRatio and RetrySlack limit the retries of all nodes together: in any window
	// at most RetryRatio per request, plus RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// LearnSpeeds makes the node tell the owners of engines what first bytes tell of their speeds.
	LearnSpeeds bool
	// MaxInFlight limits the requests in flight on the node whose bodies have been read; 0 means no
	// limit.
	MaxInFlight int64
	// ListRate is the rate, in calls per second, at which all nodes together may read the
	// list of instances.
	ListRate float64
	// Room is where the memory is taken for the bodies of requests and of their responses. If it is
	// nil, there is no limit.
	Room intake.Room
	// Limits bounds what is read of one response. Fields that are 0 have their default.
	Limits backend.Limits
	// LinkBitsPerSecond is the rate of the node's link if requests wait for room on it in the order of
	// their urgency; 0 if they do not wait.
	LinkBitsPerSecond float64
	Log               *event.Log
	// Metrics receives the server's counters, latencies and gauges. New creates a set
	// if it is nil.
	Metrics *metrics.Set
}

// Server handles routed requests.
type Server struct {
	cfg          Config
	conns        *backend.ConnPool
	dispatch     *dispatcher
	peers        *peers
	claims       *claimRegistry
	permits      *permits
	origins      *origins
	paths        *paths
	quarantine   *quarantine.Monitor
	crashes      crashChecks
	quotaManager atomic.Pointer[quota.Manager]
	view         atomic.Pointer[routing.View]
	draining     atomic.Bool
	drain        atomic.Pointer[drain]
	// requestsEnd ends when a planned stop has no more time for requests.
	requestsEnd context.Context
	endRequests context.CancelFunc
	// hasList is set once the node has had a list of instances.
	hasList  atomic.Bool
	inFlight atomic.Int64
	places   places
	// room is nil unless requests wait for the node's link.
	room *linkRoom
	// entryNodes is the number of entry nodes that share budgets and limits, 0 until
	// it is known.
	entryNodes atomic.Int64
	// holderOffset is the index at which this node starts in a budget's list of
	// holders. It is never set, so all nodes start at the first one.
	holderOffset int

	ownersMu sync.Mutex
	// connectedOwners has the addresses of the owners that were sent a message to open the
	// connection.
	connectedOwners map[netip.AddrPort]bool

	listMu sync.Mutex
	// listReadAt is the time since boot at which the instance list in use was read.
	listReadAt time.Duration
	// pushedInstances is the latest full list from the control group.
	pushedInstances []routing.Instance
	// heldInstances is the list in use, heldDigest its digest.
	heldInstances []routing.Instance
	heldDigest    uint64
	// nextOwnRead is the earliest time of the next read by this node, while it gets no list
	// from others. It is accessed only by the goroutine that calls ListDue.
	nextOwnRead time.Duration
	// confirmed has the ended holders for which ConfirmNoneHeld was sent or is in
	// flight.
	confirmed sync.Map
	closeOnce sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// New returns a running server. It refuses requests until it has a configuration.
func New(cfg Config) *Server {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
	if cfg.Room == nil {
		cfg.Room = intake.Unlimited
	}
	cfg.Limits = cfg.Limits.WithDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:        cfg,
		conns:      backend.NewConnPool(cfg.Limits),
		room:       newLinkRoom(cfg.LinkBitsPerSecond),
		peers:      newPeers(cfg),
		ctx:        ctx,
		cancel:     cancel,
		listReadAt: -time.Hour,
		places:     places{most: cfg.MaxInFlight},
		crashes:    crashChecks{goneAt: map[fleet.BackendServerID]time.Duration{}},
	}
	s.requestsEnd, s.endRequests = context.WithCancel(context.Background())
	s.claims = newClaimRegistry(cfg, s.peers)
	s.permits = newPermits(cfg, s.claims)
	s.origins = newOrigins(cfg)
	s.paths = newPaths(ctx, cfg, s.askIsolatedPeers, s.alone)
	s.conns.Observe(s.paths)
	s.quarantine = quarantine.NewMonitor(quarantine.MonitorConfig{
		Trial: func(part routing.PartID) bool {
			return s.peers.ownerSet().Owner(string(part), "") == cfg.Node
		},
		Notify: cfg.Control.SendHeartbeat,
	})
	cfg.Metrics.AddGauges(s.reportGauges)
	s.dispatch = newDispatcher(dispatchConfig{
		dataCentre:    cfg.DataCentre,
		seed:          rand.Uint64(),
		retryRatio:    cfg.RetryRatio,
		retrySlack:    cfg.RetrySlack,
		idleConnLimit: s.idleConnLimit,
		conns:         s.conns,
		tellLimit:     s.permits.tell,
		log:           cfg.Log,
	})
	return s
}

// entryNodeCount returns the number of entry nodes, including this one. It is at least 1.
func (s *Server) entryNodeCount() int {
	return max(int(s.entryNodes.Load()), 1)
}

// HandleEntryNodes implements controlclient.Watcher.
func (s *Server) HandleEntryNodes(nodes int) {
	s.entryNodes.Store(int64(nodes))
	s.dispatch.setEntryNodes(s.entryNodeCount())
	s.connectOwners()
	s.updateQuotaBudgets()
}

// connectOwners sends a no-op message to each node that has become an owner, so that the
// connection is open before the first request needs it. Each restart of a node changes the roster
// of all others, so a message to every owner each time would cost the fleet the square of its
// size.
func (s *Server) connectOwners() {
	if s.cfg.Peers == nil {
		return
	}
	s.ownersMu.Lock()
	defer s.ownersMu.Unlock()
	connected := map[netip.AddrPort]bool{}
	for _, n := range s.peers.ownerSet().All() {
		address, ok := s.peers.address(n.ID)
		if !ok || n.ID == s.cfg.Node {
			continue
		}
		connected[address] = true
		if !s.connectedOwners[address] {
			s.cfg.Peers.Send(address, MethodClaimUpdate, ClaimUpdate{Ended: true})
		}
	}
	s.connectedOwners = connected
}

// idleConnLimit returns how many idle connections to keep to an instance of a service. The
// idle connections of all nodes take about half of the connections that it accepts, but at
// least one per node.
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

// StartQuota starts leasing quota. It is called once this incarnation of the node is
// registered.
func (s *Server) StartQuota() {
	quotaManager := quota.New(quota.Config{
		Pool: lease.New(lease.Config{
			Holder:    s.cfg.Control.Holder(),
			Partition: lease.MeteredPartition,
			Policy:    lease.PolicyMetered,
		}),
		Ledger:          s.cfg.Control,
		MaxWait:         quotaWaitTimeout,
		LedgerReachable: s.cfg.Control.ControlReachable,
		Lenders:         quotaLenders{server: s},
		Holders:         quotaHolders{server: s},
	})
	s.quotaManager.Store(quotaManager)
	s.updateQuotaBudgets()
}

// updateQuotaBudgets sets the budgets that this node leases quota of, and its share of each.
func (s *Server) updateQuotaBudgets() {
	quotaManager, view := s.quotaManager.Load(), s.view.Load()
	if quotaManager == nil || view == nil {
		return
	}
	var budgets, unlimited []fleet.BudgetID
	for _, w := range view.Config.Workspaces {
		if w.Unlimited() {
			unlimited = append(unlimited, fleet.BudgetID(w.ID))
		}
		if w.Prepaid != nil && s.holdsBudget(fleet.BudgetID(w.ID)) {
			budgets = append(budgets, fleet.BudgetID(w.ID))
		}
	}
	quotaManager.SetUnlimited(unlimited)
	quotaManager.SetHeldBudgets(int64(lease.MeteredPerMille/min(s.entryNodeCount(), holdersPerBudget)), budgets)
}

// HandleRouting implements controlclient.Watcher.
func (s *Server) HandleRouting(view *routing.View) {
	s.view.Store(view)
	s.paths.setServices(view.Config.Services)
	s.dispatch.setColdStarts(view.Config.Services)
	s.updateQuotaBudgets()
}

// HandleInstances implements controlclient.Watcher.
func (s *Server) HandleInstances(list control.InstanceList) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	if list.Unchanged {
		list.Instances = s.pushedInstances
	} else {
		list.Instances, _ = routing.SoundInstances(list.Instances)
	}
	s.pushedInstances = list.Instances
	s.applyList(list)
}

// SetInstances is SetInstancesRead for a list that was read just now.
func (s *Server) SetInstances(instances []routing.Instance) {
	s.SetInstancesRead(instances, clock.SinceBoot())
}

// SetInstancesRead applies an instance list that this node has read itself, beginning at the given time
// since boot.
func (s *Server) SetInstancesRead(instances []routing.Instance, readAt time.Duration) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.applyList(control.InstanceList{
		Reader:    s.cfg.Node,
		Instances: instances,
		ProvenAt:  readAt,
	})
}

// applyList applies a list unless a newer one is in use. The caller holds listMu.
func (s *Server) applyList(list control.InstanceList) {
	// A list from long ago, which a restarted node may get from a replica that lags, has
	// instances that left since. One from the future would keep all later ones out.
	if list.AgeMillis < 0 || list.AgeMillis > maxPassedAge.Milliseconds() {
		return
	}
	readAt := clock.SinceBoot() - time.Duration(list.AgeMillis)*time.Millisecond
	if readAt < s.listReadAt {
		return
	}
	s.listReadAt = readAt
	s.origins.observe(list, readAt)
	s.hasList.Store(true)
	if !slices.Equal(s.heldInstances, list.Instances) {
		s.heldInstances = list.Instances
		s.heldDigest = listDigest(list.Instances)
	}
	s.paths.setInstances(list.Instances)
	s.dispatch.setInstances(list)
}

// ListAge returns the age of the list of instances.
func (s *Server) ListAge() time.Duration {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	return clock.SinceBoot() - s.listReadAt
}

// HandleRecalls implements controlclient.Handler.
func (s *Server) HandleRecalls(recalls []ledger.Recall) {
	if quotaManager := s.quotaManager.Load(); quotaManager != nil {
		quotaManager.HandleRecalls(recalls)
	}
}

// HandleEndedHolders implements controlclient.Handler. This node stores no settlements for other
// holders, so it confirms immediately.
func (s *Server) HandleEndedHolders(holders []fleet.Holder) {
	for _, ended := range holders {
		if _, pending := s.confirmed.LoadOrStore(ended, true); pending {
			continue
		}
		s.wg.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
			defer cancel()
			_, err := s.cfg.Control.Submit(ctx, control.Command{Confirm: &ledger.ConfirmNoneHeld{
				By:    s.cfg.Control.Holder(),
				Ended: ended,
			}})
			if err != nil {
				s.confirmed.Delete(ended)
			}
		})
	}
}

// Ready reports whether the node can serve callers: it has a configuration, quota and a list of
// instances, and does not drain.
func (s *Server) Ready() bool {
	return s.view.Load() != nil && s.quotaManager.Load() != nil && s.hasList.Load() && !s.draining.Load()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	// Read before the view: a configuration that comes in between must not confirm the one before.
	unconfirmed := s.cfg.Control.Unconfirmed()
	x := &exchange{
		s:           s,
		w:           w,
		r:           r,
		unconfirmed: unconfirmed,
		view:        s.view.Load(),
		buffers:     intake.Allocation{Room: intake.RoomOf(r.Context(), s.cfg.Room)},
		arrived:     clock.SinceBoot(),

		lastOnConnection: isLastRequest(r),
	}
	x.deadline = x.arrived
	if s.room != nil {
		x.w = countingWriter{
			ResponseWriter: w,
			room:           s.room,
		}
	}
	defer x.leavePlace()
	if x.takePlace() {
		x.serve()
	}
	if !x.complete {
		// After a plain return, net/http would end the response like a finished one.
		abort(r)
	}
}

// Entries returns the addresses at which callers reach the entry nodes that are up
// according to the latest roster.
//
// A node partitioned from the control group keeps the last roster it received: the listed
// nodes are as likely to be up as before, and callers try another address if one fails.
func (s *Server) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, report := range s.cfg.Control.Roster() {
		if report.TakesCallers() {
			entries = append(entries, report.CallerAddress)
		}
	}
	return entries
}

// Close returns the leases and stops the server. No request may be in flight. A second
// call does nothing.
func (s *Server) Close(ctx context.Context) error {
	var err error
	s.closeOnce.Do(func() {
		if quotaManager := s.quotaManager.Load(); quotaManager != nil {
			err = quotaManager.ReturnAll(ctx)
			quotaManager.Close()
		}
		s.cancel()
		s.dispatch.Close()
		s.wg.Wait()
	})
	return err
}
