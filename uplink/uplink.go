// Package uplink links an entry node to the control group: it follows the
// configuration and the roster over a subscription to one control replica, and
// hands commands to the group's leader.
package uplink

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// Times of the link.
const (
	// silence is the time without an update after which another replica is
	// tried. Updates come at least each half second.
	silence = 1300 * time.Millisecond
	// staleTolerance is how long a replica may be behind its leader before the
	// control group counts as lost: a busy replica is, for moments.
	staleTolerance = 400 * time.Millisecond
	// stalePatience is how long a stale replica is kept when no other is at
	// hand. Staleness itself takes 1.5 s to show.
	stalePatience = 700 * time.Millisecond
	retryPause    = 50 * time.Millisecond
	attemptTime   = 1500 * time.Millisecond
	// dialStagger is the wait for one replica's connection before the next is
	// tried as well, a few round trips.
	dialStagger = 150 * time.Millisecond
	// submitTime is the wait for one command's answer before another control
	// node is asked.
	submitTime = 800 * time.Millisecond
	// avoidTime keeps a control node that did not answer out of the choice,
	// also when others still name it as the leader.
	avoidTime = time.Second
)

// ErrUnavailable means that a command was certainly not carried out.
var ErrUnavailable = eris.New("uplink: the control group cannot be reached")

// ErrUnknown means that a command may or may not have been carried out.
var ErrUnknown = eris.New("uplink: no answer from the control group in time")

// Handler hears what concerns this node's leases.
type Handler interface {
	HandleRecalls(recalls []ledger.Recall)
	HandleEndedHolders(holders []fleet.Holder)
}

// Watcher hears what concerns routed requests. Its functions must not block.
type Watcher interface {
	// HandleRouting hears of a newer configuration.
	HandleRouting(view *routing.View)
	// HandleInstances hears of a newer list of instances.
	HandleInstances(list control.InstanceList)
	// HandleEntryNodes hears how many entry nodes share budgets and limits, this one
	// included, whenever that changes or other nodes are up.
	HandleEntryNodes(nodes int)
}

// Store keeps the configuration across restarts.
type Store interface {
	Load() (catalog.Delta, bool)
	Save(whole catalog.Delta) error
}

// Config sets up a Link.
type Config struct {
	Holder fleet.Holder
	// Nonce is random and not 0 where the ledger is to number this life of the
	// node.
	Nonce uint64
	// Boot and Started tell the ledger when this life began, on the VM's clock.
	Boot     string
	Started  time.Duration
	Endpoint *wire.Endpoint
	// Replicas are the addresses of the control nodes, nearest first.
	Replicas []netip.AddrPort
	// Report returns what the node says of itself.
	Report func() roster.Report
	// Store may be nil, on a node without a disk.
	Store Store
	Log   *event.Log
}

// Link is an entry node's link to the control group.
type Link struct {
	cfg      Config
	holder   atomic.Pointer[fleet.Holder]
	joined   atomic.Bool
	handler  atomic.Pointer[Handler]
	watcher  atomic.Pointer[Watcher]
	routing  atomic.Pointer[routing.View]
	replicas atomic.Pointer[[]netip.AddrPort]
	view     atomic.Pointer[catalog.View]
	reports  atomic.Pointer[[]roster.Report]
	sharers  atomic.Int64
	// up are the entry nodes that were up by the last roster. It belongs to the
	// goroutine that receives updates.
	up       []fleet.NodeID
	leader   atomic.Pointer[netip.AddrPort]
	fresh    atomic.Bool
	rejected atomic.Bool
	beat     chan struct{}

	avoidedMu sync.Mutex
	avoided   map[netip.AddrPort]time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New loads the stored configuration and starts the link.
func New(cfg Config) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		cfg:     cfg,
		beat:    make(chan struct{}, 1),
		avoided: map[netip.AddrPort]time.Time{},
		ctx:     ctx,
		cancel:  cancel,
	}
	l.holder.Store(&cfg.Holder)
	l.replicas.Store(&cfg.Replicas)
	l.view.Store(catalog.NewView())
	l.reports.Store(&[]roster.Report{})
	l.leader.Store(&netip.AddrPort{})
	if cfg.Store != nil {
		if whole, ok := cfg.Store.Load(); ok {
			l.adopt(whole)
		}
	}
	l.wait.Go(func() { l.follow() })
	return l
}

// SetHandler sets who hears of recalls and ended holders.
func (l *Link) SetHandler(h Handler) {
	l.handler.Store(&h)
}

// SetWatcher sets who hears of the configuration and the instances of routed
// requests, and tells it of the configuration in force.
func (l *Link) SetWatcher(w Watcher) {
	l.watcher.Store(&w)
	if n := l.sharers.Load(); n > 0 {
		w.HandleEntryNodes(int(n))
	}
	if view := l.routing.Load(); view != nil {
		w.HandleRouting(view)
	}
}

// SetReplicas replaces the addresses of the settings.
func (l *Link) SetReplicas(replicas []netip.AddrPort) {
	l.replicas.Store(&replicas)
}

// Holder returns this life of the node.
func (l *Link) Holder() fleet.Holder {
	return *l.holder.Load()
}

// Close ends the link.
func (l *Link) Close() {
	l.cancel()
	l.wait.Wait()
}

// View returns the configuration in force on this node.
func (l *Link) View() *catalog.View {
	return l.view.Load()
}

// Roster returns the latest known reports of all nodes.
func (l *Link) Roster() []roster.Report {
	return *l.reports.Load()
}

// Fresh reports whether the node hears from a control replica that hears from its
// leader.
func (l *Link) Fresh() bool {
	return l.fresh.Load()
}

// Rejected reports whether a later life of this node is registered, so that this
// one must not spend.
func (l *Link) Rejected() bool {
	return l.rejected.Load()
}

// SendHeartbeat sends a heartbeat at once, because the node's report has changed.
func (l *Link) SendHeartbeat() {
	select {
	case l.beat <- struct{}{}:
	default:
	}
}

// adopt puts a delta in force, unless it would lead back to an earlier version.
func (l *Link) adopt(delta catalog.Delta) bool {
	next, ok := l.view.Load().With(delta)
	if ok {
		l.view.Store(next)
	}
	return ok
}

// Replicas returns the addresses of the control nodes: those of the settings, and
// those that the roster names, since tickets can move the control role to other VMs.
func (l *Link) Replicas() []netip.AddrPort {
	addresses := slices.Clone(*l.replicas.Load())
	for _, report := range l.Roster() {
		if report.Control && !slices.Contains(addresses, report.WireAddress) {
			addresses = append(addresses, report.WireAddress)
		}
	}
	return addresses
}
