// Package node assembles one node from its settings: the transport between nodes, a
// control replica, the control client, and the HTTP servers for callers and
// operators.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/controlclient"
	"github.com/waxwingreel/waxwingreel/entry"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/operator"
	"github.com/waxwingreel/waxwingreel/orders"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/settings"
	"github.com/waxwingreel/waxwingreel/wire"
)

// MethodBurn is the call that returns a node's counts for the burn report.
const MethodBurn wire.Method = "burn"

// Timeouts and intervals of a node.
const (
	joinRetryInterval = time.Second
	// directoryMargin is added to the time to live of the directory in a planned
	// stop, to allow for delays on the caller's side.
	directoryMargin = time.Second
	burnTimeout     = time.Second
	headerTimeout   = 10 * time.Second
	// idleTimeout is how long an idle connection is kept. It is longer than any
	// caller reuses one.
	idleTimeout = 2 * time.Minute
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before
	// the caller's connection is closed.
	unacknowledgedTimeout = 8 * time.Second
	stopPollInterval      = 20 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	Settings settings.Settings
	Log      *event.Log
	Version  string
	// Policies replaces policies in measurements. The zero value selects the
	// standard ones.
	Policies entry.Policies
}

// Node is one running node.
type Node struct {
	cfg           Config
	holder        fleet.Holder
	reportSeq     atomic.Uint64
	state         atomic.Value
	registered    atomic.Bool
	folder        *commitlog.Folder
	endpoint      *wire.Endpoint
	replica       *control.Replica
	issuer        *orders.Issuer
	controlClient *controlclient.Client
	entry         *entry.Server
	// serving is the entry server, nil until it has started. It is atomic because
	// report runs concurrently with the start.
	serving        atomic.Pointer[entry.Server]
	callerServer   *http.Server
	operatorServer *http.Server
	site           *site
	metrics        *metrics.Set
	gate           *intake.Gate
	ctx            context.Context
	cancel         context.CancelFunc
	background     sync.WaitGroup
	started        time.Duration
}

// Start starts a node. If it fails, it closes what it has opened.
func Start(cfg Config) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg,
		holder: fleet.Holder{
			Node:        cfg.Settings.Node,
			Incarnation: fleet.Incarnation(clock.Wall()),
		},
		ctx:     ctx,
		cancel:  cancel,
		started: clock.SinceBoot(),
		metrics: metrics.New(),
	}
	n.state.Store(roster.StateUp)
	n.openGate()
	if err := n.open(); err != nil {
		n.closeAll()
		return nil, err
	}
	cfg.Log.Info(event.NodeStarted).
		Str("boot", clock.BootID()).
		Int64("bootMillis", n.started.Milliseconds()).
		Str("dataCentre", string(cfg.Settings.DataCentre)).
		Str("version", cfg.Version).
		Uint64("incarnation", uint64(n.holder.Incarnation)).
		Msg("node started")
	return n, nil
}

func (n *Node) open() error {
	s := n.cfg.Settings
	endpoint, err := wire.New(wire.Config{
		Node:      s.Node,
		Listen:    s.Listen.Wire,
		Advertise: s.Advertise.Wire,
		Panicked:  n.cfg.Log.Panicked("peer"),
		Secret:    s.FleetSecret,
	})
	if err != nil {
		return err
	}
	n.endpoint = endpoint
	if s.Control != nil {
		if err := n.openReplica(); err != nil {
			return err
		}
	}
	n.openControlClient()
	if s.Site != nil {
		return n.openSite()
	}
	if s.Entry != nil {
		if err := n.openEntry(); err != nil {
			return err
		}
	}
	n.endpoint.Start()
	return n.openHTTP()
}

func (n *Node) openReplica() error {
	s := n.cfg.Settings
	folder, err := commitlog.OpenFolder(s.Control.DataFolder)
	if err != nil {
		return err
	}
	n.folder = folder
	cfg := control.Config{
		Node:      s.Node,
		Peers:     controlPeers(s),
		Bootstrap: s.Control.Bootstrap,
		Disk:      folder,
		Endpoint:  n.endpoint,
		Log:       n.cfg.Log,
		Metrics:   n.metrics,
	}
	if s.Site != nil {
		cfg.Seeds = s.Site.SeedAddresses()
		cfg.MaxFailures = s.Site.MaxFailures
	}
	n.replica, err = control.NewReplica(cfg)
	if err != nil || s.Site != nil {
		return err
	}
	n.issuer = orders.NewIssuer(orders.IssuerConfig{
		Planner:    orders.Config{LoadsPerMinute: s.Control.LoadsPerMinute},
		Leadership: n.replica,
		Log:        n.cfg.Log,
	})
	return nil
}

func controlPeers(s settings.Settings) []control.Peer {
	var peers []control.Peer
	for _, c := range s.ControlNodes {
		peers = append(peers, control.Peer{
			Node:    c.Node,
			Address: c.Wire,
		})
	}
	return peers
}

// replicaOrder returns the addresses of the control replicas in the order in which to
// try them. A node with a replica starts with its own. Other nodes start at a position
// that depends on their name, which spreads the entry nodes over the replicas.
func replicaOrder(s settings.Settings) []netip.AddrPort {
	own := slices.IndexFunc(s.ControlNodes, func(c settings.ControlNode) bool { return c.Node == s.Node })
	first := own
	if own < 0 {
		first = int(nodeHash(s.Node) % uint64(len(s.ControlNodes)))
	}
	var order []netip.AddrPort
	for i := range s.ControlNodes {
		order = append(order, s.ControlNodes[(first+i)%len(s.ControlNodes)].Wire)
	}
	return order
}

func (n *Node) openControlClient() {
	cfg := controlclient.Config{
		Holder:   n.holder,
		Endpoint: n.endpoint,
		Report:   n.report,
		Log:      n.cfg.Log,
	}
	switch {
	case n.cfg.Settings.Site != nil:
		cfg.Replicas = siteReplicas(n.cfg.Settings)
		cfg.Nonce = rand.Uint64() | 1
		cfg.Boot = clock.BootID()
		cfg.Started = n.started
		cfg.LimitRise = lease.LimitRise
	case n.folder != nil:
		cfg.Store = &viewStore{disk: n.folder}
		fallthrough
	default:
		cfg.Replicas = replicaOrder(n.cfg.Settings)
	}
	n.controlClient = controlclient.New(cfg)
}

// report returns the node's status for its next heartbeat.
func (n *Node) report() roster.Report {
	s := n.cfg.Settings
	report := roster.Report{
		Holder:      n.holder,
		Seq:         n.reportSeq.Add(1),
		State:       n.state.Load().(roster.State),
		DataCentre:  s.DataCentre,
		WireAddress: s.Advertise.Wire,
		Control:     s.Control != nil,
	}
	if serving := n.serving.Load(); serving != nil && n.registered.Load() && !serving.Rejected() {
		report.CallerAddress = s.Advertise.Callers
		report.LoadPerMille = serving.LoadPerMille()
	}
	if s.Site != nil && n.registered.Load() && !n.controlClient.Rejected() {
		report.CallerAddress = s.Site.Listen.Callers
		report.Isolated = n.isolated()
	}
	return report
}

// join registers this incarnation of the node with the control group, retrying until it
// succeeds or is rejected. The node receives leases only after that.
func (n *Node) join() {
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, 5*time.Second)
		err := n.controlClient.Join(ctx)
		cancel()
		if err == nil {
			n.registered.Store(true)
			n.controlClient.SendHeartbeat()
			return
		}
		if n.controlClient.Rejected() {
			n.cfg.Log.Error(event.HolderRejected).Err(err).Msg("the control group rejected this incarnation; the node does not serve")
			return
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
}

func (n *Node) openHTTP() error {
	s := n.cfg.Settings
	admin := operator.New(operator.Config{
		Keys:    s.OperatorKeys,
		Control: n.controlClient,
		Node:    n,
		Version: n.cfg.Version,
	})
	var err error
	n.operatorServer, err = n.listen(s.Listen.Operators, groupOperators, admin.Handler())
	if err != nil {
		return err
	}
	if n.entry != nil {
		n.callerServer, err = n.listen(s.Listen.Callers, groupCallers, n.entry.Handler())
	}
	return err
}

func (n *Node) listen(address netip.AddrPort, group intake.Group, handler http.Handler) (*http.Server, error) {
	listenConfig := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     5 * time.Second,
			Interval: time.Second,
			Count:    3,
		},
		Control: backend.TCPUserTimeout(unacknowledgedTimeout),
	}
	listener, err := listenConfig.Listen(n.ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "node: listen on %s", address)
	}
	server := &http.Server{
		Handler:           intake.Handler(handler),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       time.Minute,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.serverLog(),
		ConnState:         intake.ConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return gateway.ConnContext(intake.ConnContext(ctx, conn), conn)
		},
	}
	n.background.Go(func() { _ = server.Serve(n.gate.Listen(listener, group)) })
	return server, nil
}

// Summary implements operator.Node.
func (n *Node) Summary() operator.NodeSummary {
	summary := operator.NodeSummary{
		Holder:           n.holder,
		DataCentre:       n.cfg.Settings.DataCentre,
		State:            n.state.Load().(roster.State),
		Registered:       n.registered.Load(),
		ControlReachable: n.controlClient.ControlReachable(),
		Version:          n.controlClient.View().Version,
		UptimeSeconds:    int64((clock.SinceBoot() - n.started).Seconds()),
	}
	if n.entry != nil {
		summary.InFlight = n.entry.InFlight()
		summary.HeldSettlements = n.entry.Billing().Held()
		summary.Pools = n.entry.Pools()
		summary.Leases = n.entry.Holdings()
	}
	return summary
}

// Ready implements operator.Node.
func (n *Node) Ready() bool {
	up := n.state.Load().(roster.State) == roster.StateUp
	return up && n.controlClient.ControlReachable() && !n.controlClient.Rejected() && (n.entry == nil || n.registered.Load() && n.controlClient.View().Version > 0)
}

// BurnReport implements operator.Node. It collects the counts of all nodes in the roster
// that have an address for callers; those that do not respond are listed as missing.
func (n *Node) BurnReport(ctx context.Context) burn.Report {
	type response struct {
		node   fleet.NodeID
		counts []burn.Count
		err    error
	}
	reports := n.controlClient.Roster()
	responses := make(chan response, len(reports))
	pending := 0
	for _, report := range reports {
		if !report.CallerAddress.IsValid() {
			continue
		}
		pending++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, burnTimeout)
			defer cancel()
			r := response{node: report.Holder.Node}
			r.err = n.endpoint.Call(ctx, report.WireAddress, MethodBurn, struct{}{}, &r.counts)
			responses <- r
		}()
	}
	var counts []burn.NodeCounts
	missing := []fleet.NodeID{}
	for range pending {
		r := <-responses
		if r.err != nil {
			missing = append(missing, r.node)
			continue
		}
		counts = append(counts, burn.NodeCounts{
			Node:   r.node,
			Counts: r.counts,
		})
	}
	slices.Sort(missing)
	slices.SortFunc(counts, func(a, b burn.NodeCounts) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	var objectives []burn.Objective
	if n.cfg.Settings.Entry != nil {
		objectives = entry.Objectives(*n.cfg.Settings.Entry)
	}
	return burn.Merge(counts, missing, objectives)
}

// Submit submits a command to the control group. It is for measurements and tools.
func (n *Node) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	return n.controlClient.Submit(ctx, command)
}

// HoldsLeaderLease reports whether this node's control replica holds the leader's lease.
func (n *Node) HoldsLeaderLease() bool {
	if n.replica == nil {
		return false
	}
	holdsLease, _, _ := n.replica.OrderState()
	return holdsLease
}

// ConfigVersion returns the version of the configuration in use on this node.
func (n *Node) ConfigVersion() fleet.Version {
	return n.controlClient.View().Version
}

// KnownEntryNodes returns the number of nodes in the roster that accept callers.
func (n *Node) KnownEntryNodes() int {
	known := 0
	for _, report := range n.controlClient.Roster() {
		if report.TakesCallers() {
			known++
		}
	}
	return known
}
