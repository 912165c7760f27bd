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
	Recalled(recalls []ledger.Recall)
	Ending(holders []fleet.Holder)
}

// Watcher hears what concerns routed requests. Its functions must not block.
type Watcher interface {
	// Configured hears of a newer configuration.
	Configured(view *routing.View)
	// Listed hears of a newer list of instances.
	Listed(list control.InstanceList)
	// Shared hears how many entry nodes share budgets and limits, this one
	// included, whenever that changes or other nodes are up.
	Shared(nodes int)
}

// Store keeps the configuration across restarts.
type Store interface {
	Load() (catalog.Delta, bool)
	Save(whole catalog.Delta) error
}

// Config sets up a Link.
type Config struct {
	Holder fleet.Holder
	// Life is random and not 0 where the ledger is to number this life of the
	// node.
	Life uint64
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
		w.Shared(int(n))
	}
	if view := l.routing.Load(); view != nil {
		w.Configured(view)
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

// Beat sends a heartbeat at once, because the node's report has changed.
func (l *Link) Beat() {
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

// follow keeps a subscription to one replica after another.
func (l *Link) follow() {
	for i := 0; l.ctx.Err() == nil; i++ {
		replicas := l.Replicas()
		first := i % len(replicas)
		address, err := l.subscribe(append(slices.Clone(replicas[first:]), replicas[:first]...))
		if l.ctx.Err() == nil {
			l.cfg.Log.Warn(event.ControlLost).Str("replica", address.String()).Err(err).Msg("subscription ended")
		}
		l.fresh.Store(false)
		select {
		case <-l.ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// opened is a subscription's channel, or why there is none.
type opened struct {
	address netip.AddrPort
	ch      *wire.Channel
	err     error
}

// open opens a channel to one of the replicas. Each next one is tried a little later,
// while the ones before are still under way: after a network partition or a restart
// some do not answer, and one wait after the other would add up.
func (l *Link) open(ctx context.Context, replicas []netip.AddrPort) opened {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	results := make(chan opened, len(replicas))
	for i, address := range replicas {
		l.wait.Go(func() {
			select {
			case <-time.After(time.Duration(i) * dialStagger):
			case <-ctx.Done():
				results <- opened{
					address: address,
					err:     ctx.Err(),
				}
				return
			}
			ch, err := l.cfg.Endpoint.Open(ctx, address, control.MethodSubscribe)
			results <- opened{
				address: address,
				ch:      ch,
				err:     err,
			}
		})
	}
	last := opened{}
	for n := range replicas {
		last = <-results
		if last.err != nil {
			continue
		}
		cancel()
		l.wait.Go(func() {
			for range len(replicas) - n - 1 {
				if late := <-results; late.err == nil {
					late.ch.Close()
				}
			}
		})
		return last
	}
	cancel()
	return last
}

// subscribe follows the first of the replicas that can be reached, and returns which
// that was and why it ended.
func (l *Link) subscribe(replicas []netip.AddrPort) (netip.AddrPort, error) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	to := l.open(ctx, replicas)
	if to.err != nil {
		return to.address, to.err
	}
	defer to.ch.Close()
	heartbeats := sync.WaitGroup{}
	heartbeats.Go(func() {
		l.sendHeartbeats(ctx, to.ch)
		to.ch.Close()
	})
	defer heartbeats.Wait()
	defer cancel()
	return to.address, l.receiveUpdates(to.address, to.ch)
}

func (l *Link) sendHeartbeats(ctx context.Context, ch *wire.Channel) {
	ticker := time.NewTicker(roster.HeartbeatInterval)
	defer ticker.Stop()
	for {
		report := l.cfg.Report()
		report.Version = l.View().Version
		report.Holder = l.Holder()
		heartbeat := control.Heartbeat{
			Report:  report,
			Routing: l.routingVersion(),
		}
		if ch.Send(heartbeat) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.beat:
		}
	}
}

// receiveUpdates reads updates until the replica is silent, or is stale while
// another may be better.
func (l *Link) receiveUpdates(address netip.AddrPort, ch *wire.Channel) error {
	known := map[fleet.NodeID]roster.Report{}
	staleSince := time.Time{}
	for {
		watchdog := time.AfterFunc(silence, ch.Close)
		update := control.Update{}
		err := ch.Receive(&update)
		watchdog.Stop()
		if err != nil {
			return err
		}
		switch {
		case !update.Stale:
			staleSince = time.Time{}
		case staleSince.IsZero():
			staleSince = time.Now()
		}
		l.takeUpdate(address, update, known)
		if !update.Stale {
			continue
		}
		if time.Since(staleSince) > staleTolerance {
			l.fresh.Store(false)
		}
		if time.Since(staleSince) > stalePatience && len(l.Replicas()) > 1 {
			return eris.Errorf("uplink: replica %s has no leader", address)
		}
	}
}

func (l *Link) takeUpdate(address netip.AddrPort, update control.Update, known map[fleet.NodeID]roster.Report) {
	if !update.Stale && !l.fresh.Swap(true) {
		l.cfg.Log.Info(event.ControlConnected).Str("replica", address.String()).Msg("follows a control replica")
	}
	if update.Ended && l.joined.Load() && !l.rejected.Swap(true) {
		l.cfg.Log.Error(event.HolderRejected).Msg("this life of the node has ended for the ledger; it serves nothing more")
	}
	if update.Leader.IsValid() {
		leader := update.Leader
		l.leader.Store(&leader)
	}
	if update.Delta != nil && l.adopt(*update.Delta) {
		l.inForce()
	}
	l.takeRouting(update)
	if len(update.Roster) > 0 {
		l.takeRoster(update.Roster, known)
	}
	handler := l.handler.Load()
	if handler == nil {
		return
	}
	if len(update.Recalls) > 0 {
		(*handler).Recalled(update.Recalls)
	}
	if len(update.Ending) > 0 {
		(*handler).Ending(update.Ending)
	}
}

func (l *Link) routingVersion() routing.Version {
	if view := l.routing.Load(); view != nil {
		return view.Config.Version
	}
	return 0
}

// takeRouting puts a newer configuration of routed requests in force, and passes a
// list of instances on.
func (l *Link) takeRouting(update control.Update) {
	watcher := l.watcher.Load()
	if update.Routing != nil && update.Routing.Version > l.routingVersion() {
		view := routing.NewView(*update.Routing)
		l.routing.Store(view)
		l.cfg.Log.Info(event.RoutingInForce).
			Uint64("version", uint64(update.Routing.Version)).
			Int("routes", len(update.Routing.Routes)).
			Int("workspaces", len(update.Routing.Workspaces)).
			Msg("configuration of routed requests in force")
		if watcher != nil {
			(*watcher).Configured(view)
		}
		l.Beat()
	}
	if update.Instances != nil && watcher != nil {
		(*watcher).Listed(*update.Instances)
	}
}

// inForce stores the configuration and says at once that it is in force.
func (l *Link) inForce() {
	view := l.View()
	if l.cfg.Store != nil {
		whole := catalog.Delta{
			To:      view.Version,
			Objects: view.Objects(),
		}
		if err := l.cfg.Store.Save(whole); err != nil {
			l.cfg.Log.Error(event.NodeFailed).Err(err).Msg("cannot store the configuration")
		}
	}
	l.cfg.Log.Info(event.ConfigInForce).Uint64("version", uint64(view.Version)).Msg("configuration in force")
	l.Beat()
}

func (l *Link) takeRoster(rows []roster.Report, known map[fleet.NodeID]roster.Report) {
	for _, row := range rows {
		known[row.Holder.Node] = row
	}
	reports := make([]roster.Report, 0, len(known))
	for _, row := range known {
		reports = append(reports, row)
	}
	slices.SortFunc(reports, func(a, b roster.Report) int {
		if a.Holder.Node < b.Holder.Node {
			return -1
		}
		return 1
	})
	l.reports.Store(&reports)
	l.countSharers(reports)
}

// countSharers tells the watcher when the entry nodes that are up, or their number, have
// changed.
func (l *Link) countSharers(reports []roster.Report) {
	n := int64(0)
	var up []fleet.NodeID
	for _, report := range reports {
		if !report.Callers.IsValid() || report.State == roster.StateDead {
			continue
		}
		n++
		if report.State == roster.StateUp {
			up = append(up, report.Holder.Node)
		}
	}
	if l.sharers.Swap(n) == n && slices.Equal(l.up, up) {
		return
	}
	l.up = up
	if watcher := l.watcher.Load(); watcher != nil {
		(*watcher).Shared(int(n))
	}
}

// Submit hands a command to the leader and waits for its result until ctx ends.
// Commands are idempotent, so that one whose answer was lost is sent again.
func (l *Link) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	unknown := false
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		address := l.target(i)
		answer, err := l.submitOnce(ctx, address, command)
		switch {
		case err != nil:
			// The command may have arrived even if the answer did not.
			unknown = true
			last = err
			l.avoid(address)
		case answer.Status == control.SubmitDone:
			return answer.Result, nil
		case answer.Status == control.SubmitNotLeader:
			last = eris.Errorf("%s does not lead", address)
			if l.learnLeader(answer.Leader, address) {
				continue
			}
		default:
			unknown = unknown || answer.Status == control.SubmitUnknown
			last = eris.New(answer.Reason)
		}
		l.forgetLeader(address)
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	if unknown {
		return control.Result{}, eris.Wrapf(ErrUnknown, "%v", last)
	}
	return control.Result{}, eris.Wrapf(ErrUnavailable, "%v", last)
}

// avoid takes note that a control node did not answer.
func (l *Link) avoid(address netip.AddrPort) {
	l.avoidedMu.Lock()
	defer l.avoidedMu.Unlock()
	l.avoided[address] = time.Now().Add(avoidTime)
}

func (l *Link) avoids(address netip.AddrPort) bool {
	l.avoidedMu.Lock()
	defer l.avoidedMu.Unlock()
	return time.Now().Before(l.avoided[address])
}

// learnLeader takes a control node's word of who leads, unless that is itself or
// has just failed to answer. It reports whether to go there at once.
func (l *Link) learnLeader(leader, from netip.AddrPort) bool {
	if !leader.IsValid() || leader == from || l.avoids(leader) {
		return false
	}
	l.leader.Store(&leader)
	return true
}

func (l *Link) forgetLeader(address netip.AddrPort) {
	if leader := l.leader.Load(); *leader == address {
		l.leader.CompareAndSwap(leader, &netip.AddrPort{})
	}
}

func (l *Link) submitOnce(ctx context.Context, address netip.AddrPort, command control.Command) (control.SubmitAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	answer := control.SubmitAnswer{}
	err := l.cfg.Endpoint.Call(ctx, address, control.MethodSubmit, command, &answer)
	return answer, err
}

// target returns the leader or, while it is not known, one control node after
// another that has not just failed to answer.
func (l *Link) target(attempt int) netip.AddrPort {
	if leader := *l.leader.Load(); leader.IsValid() && !l.avoids(leader) {
		return leader
	}
	replicas := l.Replicas()
	for i := range replicas {
		if address := replicas[(attempt+i)%len(replicas)]; !l.avoids(address) {
			return address
		}
	}
	return replicas[attempt%len(replicas)]
}

// Query asks the leader for a part of the state.
func (l *Link) Query(ctx context.Context, query control.Query) (control.QueryAnswer, error) {
	var last error = ErrUnavailable
	for i := 0; ctx.Err() == nil; i++ {
		address := l.target(i)
		answer, err := l.QueryReplica(ctx, address, query)
		switch {
		case err != nil:
			last = err
			l.avoid(address)
		case answer.Status == control.SubmitDone:
			return answer, nil
		case l.learnLeader(answer.Leader, address):
			continue
		}
		l.forgetLeader(address)
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return control.QueryAnswer{}, eris.Wrap(last, "uplink: query")
}

// QueryReplica asks one control node.
func (l *Link) QueryReplica(ctx context.Context, address netip.AddrPort, query control.Query) (control.QueryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()
	answer := control.QueryAnswer{}
	err := l.cfg.Endpoint.Call(ctx, address, control.MethodQuery, query, &answer)
	return answer, err
}

// Replicas returns the addresses of the control nodes: those of the settings, and
// those that the roster names, since tickets can move the control role to other VMs.
func (l *Link) Replicas() []netip.AddrPort {
	addresses := slices.Clone(*l.replicas.Load())
	for _, report := range l.Roster() {
		if report.Control && !slices.Contains(addresses, report.Wire) {
			addresses = append(addresses, report.Wire)
		}
	}
	return addresses
}

// Join registers this life of the node and returns once that is done, or when ctx
// ends.
func (l *Link) Join(ctx context.Context) error {
	holder := l.Holder()
	result, err := l.Submit(ctx, control.Command{Join: &ledger.Join{
		Holder:  holder,
		Life:    l.cfg.Life,
		Boot:    l.cfg.Boot,
		Started: l.cfg.Started,
	}})
	if err != nil {
		return err
	}
	if !result.Joined {
		l.rejected.Store(true)
		return eris.Errorf("uplink: a later life of node %s is registered; another process may run under this name, or the clock went back", holder.Node)
	}
	holder.Incarnation = result.Incarnation
	l.holder.Store(&holder)
	l.joined.Store(true)
	return nil
}
