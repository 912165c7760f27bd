// Package controlclient connects an entry node to the control group. It receives the
// configuration and the roster through a subscription to one control replica, and
// submits commands to the leader of the group.
package controlclient

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// Timeouts and intervals of the control client.
const (
	// updateTimeout is the time without an update after which a replica is given up. A replica
	// sends an update at least every half second.
	updateTimeout = 1300 * time.Millisecond
	// searchDelay is the time without an update after which another replica is searched, while the
	// node still follows the silent one.
	searchDelay = 800 * time.Millisecond
	// staleGracePeriod is how long a replica may be stale before the control group
	// counts as unreachable. A busy replica can lag behind its leader briefly.
	staleGracePeriod = 400 * time.Millisecond
	// stalePatience is how long a search waits for a stale replica to become fresh before it asks
	// another one in its place.
	stalePatience = 700 * time.Millisecond
	// probeInterval is the time after which a probe without a response is repeated. Something has to
	// be sent for a process that has started again to reset the connections of the one before.
	probeInterval  = 200 * time.Millisecond
	retryInterval  = 50 * time.Millisecond
	attemptTimeout = 1500 * time.Millisecond
	// dialStagger is the time between the starts of the first two probes of a search, a few
	// round trips.
	dialStagger = 150 * time.Millisecond
	// submitTimeout is the time to wait for the response to a command before another
	// control node is tried.
	submitTimeout = 800 * time.Millisecond
	// unresponsivePeriod is how long a control node that did not respond is skipped,
	// even if others still name it as the leader.
	unresponsivePeriod = time.Second
)

// ErrUnavailable means that a command was certainly not applied.
var ErrUnavailable = eris.New("controlclient: the control group cannot be reached")

// ErrUnknown means that a command may or may not have been applied.
var ErrUnknown = eris.New("controlclient: no response from the control group in time; the command may have been applied")

// Handler handles what concerns this node's leases.
type Handler interface {
	// HandleRecalls is called with the recalls of this node's leases.
	HandleRecalls(recalls []ledger.Recall)
	// HandleEndedHolders is called with the ended holders that this node has not
	// confirmed yet.
	HandleEndedHolders(holders []fleet.Holder)
}

// Watcher handles what concerns routed requests. Its methods must not block.
type Watcher interface {
	// HandleRouting is called with each newer routing configuration.
	HandleRouting(view *routing.View)
	// HandleEvacuations is called with each newer list of evacuated data centres.
	HandleEvacuations(list evacuation.List)
	// HandleInstances is called with each newer list of instances.
	HandleInstances(list control.InstanceList)
	// HandleEntryNodes is called with the number of entry nodes that share budgets
	// and limits, including this one, whenever the number or the set of nodes that
	// are up changes.
	HandleEntryNodes(nodes int)
	// HandleLimits is called with the limits that instances name, whenever they change notably.
	HandleLimits(list ratelimit.List)
	// TakeLimits returns what responses to the node have said of limits since the last call. The
	// argument is true for the first heartbeat of a subscription.
	TakeLimits(first bool) []ratelimit.Report
	// TakeOrigins returns the streams that the node has begun since the last call. With first set it
	// returns the latest that the node knows, and the software versions that services have had.
	TakeOrigins(first bool) ([]origin.Record, *origin.Report)
}

// Quarantine judges the requests on which backend servers crash. Its methods must not block.
type Quarantine interface {
	// Apply is called with the parts of prompts and the requests that a replica watches or has
	// suspended, whenever they change. It returns those whose suspension begins or ends.
	Apply(list quarantine.List, now time.Duration) []quarantine.Notice
	// TakeEvidence returns what the node has observed of them since the last call. The argument
	// first is true for the first heartbeat of a subscription.
	TakeEvidence(first bool, now time.Duration) ([]quarantine.Evidence, []quarantine.Notice)
}

// Store stores the configuration across restarts.
type Store interface {
	Load() (catalog.Delta, bool)
	Save(configuration catalog.Delta) error
}

// Config configures a Client.
type Config struct {
	Holder fleet.Holder
	// Nonce identifies this incarnation of the node by a random value if the ledger
	// is to assign its number, and is 0 otherwise.
	Nonce uint64
	// Boot is the VM's boot id, and Started the time from that boot to the start of
	// this incarnation. The ledger uses them to determine when the previous one ended.
	Boot    string
	Started time.Duration
	// LimitRise is how long the node's spending limits rise after the change that sets them,
	// 0 if unbounded.
	LimitRise time.Duration
	Endpoint  *wire.Endpoint
	// Replicas are the configured addresses of the control nodes, in the order in
	// which to try them.
	Replicas []netip.AddrPort
	// Report returns the node's own report, which heartbeats contain.
	Report func() roster.Report
	// Store is nil on a node without a disk.
	Store Store
	Log   *event.Log
}

// Client is an entry node's connection to the control group.
type Client struct {
	cfg    Config
	holder atomic.Pointer[fleet.Holder]
	joined atomic.Bool
	// joinedAt is the time of the boot clock at which the holder's number was known. Heartbeats that were sent earlier
	// may have another one.
	joinedAt       atomic.Int64
	handler        atomic.Pointer[Handler]
	watcher        atomic.Pointer[Watcher]
	quarantine     atomic.Pointer[Quarantine]
	quarantineList atomic.Pointer[quarantine.List]
	limits         atomic.Pointer[ratelimit.List]
	knowledge      atomic.Pointer[knowledge]
	replicas       atomic.Pointer[[]netip.AddrPort]
	reports        atomic.Pointer[[]roster.Report]
	// carried has the nodes that the replica which the node follows has not reported, with the time since when. Only the
	// goroutine that receives updates accesses it.
	carried        map[fleet.NodeID]time.Duration
	entryNodeCount atomic.Int64
	// upNodes are the entry nodes that are up in the latest roster. It is owned by
	// the goroutine that receives updates.
	upNodes []fleet.NodeID
	leader  atomic.Pointer[netip.AddrPort]
	// followed is the replica of the current subscription.
	followed         atomic.Pointer[netip.AddrPort]
	controlReachable atomic.Bool
	// behindSince is since when a replica has proved a newer configuration than the node has, on the
	// boot clock, 0 if none has. It is owned by the goroutine that receives updates.
	behindSince time.Duration
	// wholeWanted is set while the node waits for a whole routing configuration, as what it has differs from its
	// replica's.
	wholeWanted        atomic.Bool
	rejected           atomic.Bool
	heartbeatRequested chan struct{}

	unresponsiveMu    sync.Mutex
	unresponsiveUntil map[netip.AddrPort]time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New loads the stored configuration and starts the subscription.
func New(cfg Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		cfg:                cfg,
		heartbeatRequested: make(chan struct{}, 1),
		unresponsiveUntil:  map[netip.AddrPort]time.Time{},
		ctx:                ctx,
		cancel:             cancel,
	}
	c.holder.Store(&cfg.Holder)
	c.replicas.Store(&cfg.Replicas)
	c.carried = map[fleet.NodeID]time.Duration{}
	c.reports.Store(&[]roster.Report{})
	c.leader.Store(&netip.AddrPort{})
	c.knowledge.Store(&knowledge{catalog: catalog.NewView()})
	if cfg.Store != nil {
		if configuration, ok := cfg.Store.Load(); ok {
			c.applyDelta(configuration)
		}
	}
	c.wait.Go(func() { c.runSubscriptions() })
	return c
}

// SetHandler sets the handler of recalls and ended holders.
func (c *Client) SetHandler(h Handler) {
	c.handler.Store(&h)
}

// SetQuarantine sets the quarantine and passes it the list that has come already, if any: a replica
// sends a list only once.
func (c *Client) SetQuarantine(q Quarantine) {
	c.quarantine.Store(&q)
	c.applyQuarantine(c.quarantineList.Load())
}

// applyQuarantine passes a list to the quarantine and logs what it changes.
func (c *Client) applyQuarantine(list *quarantine.List) {
	q := c.quarantine.Load()
	if q == nil || list == nil {
		return
	}
	for _, n := range (*q).Apply(*list, clock.SinceBoot()) {
		c.cfg.Log.Warn(event.PartJudged).
			Str("service", string(n.Service)).
			Str("part", string(n.Part)).
			Str("state", string(n.State)).
			Int64("firstCrashMillis", n.CrashAgeMillis).
			Int64("remainingMillis", n.RemainingMillis).
			Msg("a suspension of a part of prompts, or of a request, has begun or ended")
	}
}

// SetWatcher sets the watcher of routed requests. It passes the evacuated data centres, the current
// number of entry nodes, the current routing configuration and the limits to the watcher, if they are known.
func (c *Client) SetWatcher(w Watcher) {
	c.watcher.Store(&w)
	if list := c.Evacuations(); list.Number > 0 {
		w.HandleEvacuations(list)
	}
	if n := c.entryNodeCount.Load(); n > 0 {
		w.HandleEntryNodes(int(n))
	}
	if view := c.knowledge.Load().routing; view != nil {
		w.HandleRouting(view)
	}
	if list := c.limits.Load(); list != nil {
		w.HandleLimits(*list)
	}
}

// SetReplicas replaces the configured addresses of the control nodes.
func (c *Client) SetReplicas(replicas []netip.AddrPort) {
	c.replicas.Store(&replicas)
}

// Holder returns the node and its incarnation, as registered once Join has succeeded.
func (c *Client) Holder() fleet.Holder {
	return *c.holder.Load()
}

// Close ends the subscription and waits for its goroutines.
func (c *Client) Close() {
	c.cancel()
	c.wait.Wait()
}

// View returns the configuration in use on this node.
func (c *Client) View() *catalog.View {
	return c.knowledge.Load().catalog
}

// Roster returns the latest known report of each node.
func (c *Client) Roster() []roster.Report {
	return *c.reports.Load()
}

// ControlReachable reports whether the node receives updates from a control replica that
// is up to date with its leader.
func (c *Client) ControlReachable() bool {
	return c.controlReachable.Load()
}

// Rejected reports whether this incarnation of the node was not accepted by the ledger or
// has ended there, so that it must not spend.
func (c *Client) Rejected() bool {
	return c.rejected.Load()
}

// SendHeartbeat requests a heartbeat at once, because the node's report has changed.
func (c *Client) SendHeartbeat() {
	select {
	case c.heartbeatRequested <- struct{}{}:
	default:
	}
}

// applyDelta applies a delta to the current configuration and reports whether it did. It
// rejects a delta that does not lead to a later version or that starts after the current
// one.
func (c *Client) applyDelta(delta catalog.Delta) bool {
	next, ok := c.View().With(delta)
	if ok {
		c.change(func(k *knowledge) { k.catalog = next })
	}
	return ok
}

// Replicas returns the addresses of the control nodes: the configured ones and those in
// the roster, since tickets can move the control role to other VMs.
func (c *Client) Replicas() []netip.AddrPort {
	addresses := slices.Clone(*c.replicas.Load())
	for _, report := range c.Roster() {
		if report.Control && !slices.Contains(addresses, report.WireAddress) {
			addresses = append(addresses, report.WireAddress)
		}
	}
	return addresses
}
