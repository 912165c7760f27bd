// Package node assembles one node from its settings: the wire, a control replica,
// the link to the control group, the callers' interface and the operators'.
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
	"github.com/waxwingreel/waxwingreel/billing"
	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/entry"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/operator"
	"github.com/waxwingreel/waxwingreel/orders"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/settings"
	"github.com/waxwingreel/waxwingreel/uplink"
	"github.com/waxwingreel/waxwingreel/wire"
)

// MethodBurn asks a node for its part of the burn report.
const MethodBurn wire.Method = "burn"

// Times of a node's life.
const (
	joinRetry = time.Second
	// directoryMargin is added to the directory's time to live in a planned
	// stop, for the caller's own delays.
	directoryMargin = time.Second
	burnTimeout     = time.Second
	headerTimeout   = 10 * time.Second
	// idleTimeout is how long an idle connection is kept, longer than any caller
	// goes on using one.
	idleTimeout = 2 * time.Minute
	// callerSilence ends a caller's connection whose data is not acknowledged.
	callerSilence = 8 * time.Second
	pollStop      = 20 * time.Millisecond
)

// Config sets up a Node.
type Config struct {
	Settings settings.Settings
	Log      *event.Log
	Version  string
	// Policies is for measurements; the zero value chooses those in use.
	Policies entry.Policies
}

// Node is one running node.
type Node struct {
	cfg      Config
	holder   fleet.Holder
	seq      atomic.Uint64
	state    atomic.Value
	joined   atomic.Bool
	folder   *commitlog.Folder
	endpoint *wire.Endpoint
	replica  *control.Replica
	issuer   *orders.Issuer
	link     *uplink.Link
	entry    *entry.Server
	// serving is the entry server once it can be asked for its load.
	serving  atomic.Pointer[entry.Server]
	callers  *http.Server
	operator *http.Server
	site     *site
	metrics  *metrics.Set
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	started  time.Duration
}

// Start starts a node. What was opened is closed again if it fails.
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
		started: clock.Boot(),
		metrics: metrics.New(),
	}
	n.state.Store(roster.StateUp)
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
	n.openLink()
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

// replicaOrder puts this node's own replica first, and the others in an order that
// differs from node to node, so that the entry nodes are spread over them.
func replicaOrder(s settings.Settings) []netip.AddrPort {
	own := slices.IndexFunc(s.ControlNodes, func(c settings.ControlNode) bool { return c.Node == s.Node })
	first := own
	if own < 0 {
		first = int(spread(s.Node) % uint64(len(s.ControlNodes)))
	}
	var order []netip.AddrPort
	for i := range s.ControlNodes {
		order = append(order, s.ControlNodes[(first+i)%len(s.ControlNodes)].Wire)
	}
	return order
}

func (n *Node) openLink() {
	cfg := uplink.Config{
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
	case n.folder != nil:
		cfg.Store = &viewStore{disk: n.folder}
		fallthrough
	default:
		cfg.Replicas = replicaOrder(n.cfg.Settings)
	}
	n.link = uplink.New(cfg)
}

// report is what the node says of itself.
func (n *Node) report() roster.Report {
	s := n.cfg.Settings
	report := roster.Report{
		Holder:      n.holder,
		Seq:         n.seq.Add(1),
		State:       n.state.Load().(roster.State),
		DataCentre:  s.DataCentre,
		WireAddress: s.Advertise.Wire,
		Control:     s.Control != nil,
	}
	if serving := n.serving.Load(); serving != nil && n.joined.Load() && !serving.Rejected() {
		report.CallerAddress = s.Advertise.Callers
		report.LoadPerMille = serving.LoadPerMille()
	}
	if s.Site != nil && n.joined.Load() && !n.link.Rejected() {
		report.CallerAddress = s.Site.Listen.Callers
	}
	return report
}

func (n *Node) openEntry() error {
	s := n.cfg.Settings
	server, err := entry.New(entry.Config{
		Holder:     n.holder,
		DataCentre: s.DataCentre,
		Settings:   *s.Entry,
		Link:       n.link,
		NewBilling: n.newBilling,
		Log:        n.cfg.Log,
		Policies:   n.cfg.Policies,
	})
	if err != nil {
		return err
	}
	n.entry = server
	n.serving.Store(server)
	n.link.SetHandler(server)
	n.endpoint.HandleCall(billing.MethodHold, server.Billing().HandleHold)
	n.endpoint.HandleCall(MethodBurn, func(context.Context, fleet.NodeID, []byte) (any, error) {
		return server.Counts(), nil
	})
	n.wait.Go(n.join)
	return nil
}

func (n *Node) newBilling(refund func(fleet.BudgetID, fleet.Tokens)) (*billing.Recorder, error) {
	cfg := billing.Config{
		Holder:     n.holder,
		DataCentre: n.cfg.Settings.DataCentre,
		Ledger:     n.link,
		Peers:      n.endpoint,
		Refund:     refund,
		Log:        n.cfg.Log,
	}
	if n.folder != nil {
		cfg.Disk = n.folder
	}
	return billing.New(cfg)
}

// join registers this life of the node, which must be done before it is given
// leases.
func (n *Node) join() {
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, 5*time.Second)
		err := n.link.Join(ctx)
		cancel()
		if err == nil {
			n.joined.Store(true)
			n.link.SendHeartbeat()
			return
		}
		if n.link.Rejected() {
			n.cfg.Log.Error(event.HolderRejected).Err(err).Msg("this node may not serve")
			return
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(joinRetry):
		}
	}
}

func (n *Node) openHTTP() error {
	s := n.cfg.Settings
	admin := operator.New(operator.Config{
		Keys:    s.OperatorKeys,
		Control: n.link,
		Node:    n,
		Version: n.cfg.Version,
	})
	var err error
	n.operator, err = n.listen(s.Listen.Operators, admin.Handler())
	if err != nil {
		return err
	}
	if n.entry != nil {
		n.callers, err = n.listen(s.Listen.Callers, n.entry.Handler())
	}
	return err
}

func (n *Node) listen(address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	listenConfig := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     5 * time.Second,
			Interval: time.Second,
			Count:    3,
		},
		Control: backend.TCPUserTimeout(callerSilence),
	}
	listener, err := listenConfig.Listen(n.ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "node: listen on %s", address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       time.Minute,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    64 << 10,
		ErrorLog:          n.serverLog(),
		ConnContext:       gateway.ConnContext,
	}
	n.wait.Go(func() { _ = server.Serve(listener) })
	return server, nil
}

// Summary implements operator.Node.
func (n *Node) Summary() operator.NodeSummary {
	summary := operator.NodeSummary{
		Holder:           n.holder,
		DataCentre:       n.cfg.Settings.DataCentre,
		State:            n.state.Load().(roster.State),
		Registered:       n.joined.Load(),
		ControlReachable: n.link.Fresh(),
		Version:          n.link.View().Version,
		UptimeSeconds:    int64((clock.Boot() - n.started).Seconds()),
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
	return up && n.link.Fresh() && !n.link.Rejected() && (n.entry == nil || n.joined.Load() && n.link.View().Version > 0)
}

// BurnReport implements operator.Node: it asks every node that the roster knows.
func (n *Node) BurnReport(ctx context.Context) burn.Report {
	type reply struct {
		node   fleet.NodeID
		counts []burn.Count
		err    error
	}
	reports := n.link.Roster()
	replies := make(chan reply, len(reports))
	asked := 0
	for _, report := range reports {
		if !report.CallerAddress.IsValid() {
			continue
		}
		asked++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, burnTimeout)
			defer cancel()
			r := reply{node: report.Holder.Node}
			r.err = n.endpoint.Call(ctx, report.WireAddress, MethodBurn, struct{}{}, &r.counts)
			replies <- r
		}()
	}
	var counts []burn.NodeCounts
	missing := []fleet.NodeID{}
	for range asked {
		r := <-replies
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

// Submit hands a command to the control group. It is for measurements and tools.
func (n *Node) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	return n.link.Submit(ctx, command)
}

// HoldsLeaderLease reports whether this node's control replica holds the leader's lease. It is
// for measurements.
func (n *Node) HoldsLeaderLease() bool {
	if n.replica == nil {
		return false
	}
	holds, _, _ := n.replica.OrderState()
	return holds
}

// ConfigVersion returns the version of the configuration in force on this node.
func (n *Node) ConfigVersion() fleet.Version {
	return n.link.View().Version
}

// KnownEntryNodes returns how many nodes this node would name to callers.
func (n *Node) KnownEntryNodes() int {
	known := 0
	for _, report := range n.link.Roster() {
		if report.TakesCallers() {
			known++
		}
	}
	return known
}
