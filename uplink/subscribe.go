package uplink

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

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
		(*handler).HandleRecalls(update.Recalls)
	}
	if len(update.EndedHolders) > 0 {
		(*handler).HandleEndedHolders(update.EndedHolders)
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
			(*watcher).HandleRouting(view)
		}
		l.SendHeartbeat()
	}
	if update.Instances != nil && watcher != nil {
		(*watcher).HandleInstances(*update.Instances)
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
	l.SendHeartbeat()
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
		if !report.CallerAddress.IsValid() || report.State == roster.StateDead {
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
		(*watcher).HandleEntryNodes(int(n))
	}
}
