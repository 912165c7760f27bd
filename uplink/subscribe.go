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

// runSubscriptions keeps the node subscribed to a control replica. When a subscription
// ends, it subscribes again and starts with the next replica of the list.
func (l *Link) runSubscriptions() {
	for i := 0; l.ctx.Err() == nil; i++ {
		replicas := l.Replicas()
		first := i % len(replicas)
		address, err := l.subscribe(append(slices.Clone(replicas[first:]), replicas[:first]...))
		if l.ctx.Err() == nil {
			l.cfg.Log.Warn(event.ControlLost).Str("replica", address.String()).Err(err).Msg("subscription ended")
		}
		l.controlReachable.Store(false)
		select {
		case <-l.ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// openResult is the open channel to a replica, or the error if it could not be opened.
type openResult struct {
	address netip.AddrPort
	ch      *wire.Channel
	err     error
}

// openChannel opens a channel to the replica that responds first. It starts the attempts
// dialStagger apart without waiting for the earlier ones to fail: after a network
// partition or a restart some replicas do not respond, and their timeouts would add up.
func (l *Link) openChannel(ctx context.Context, replicas []netip.AddrPort) openResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	results := make(chan openResult, len(replicas))
	for i, address := range replicas {
		l.wait.Go(func() {
			select {
			case <-time.After(time.Duration(i) * dialStagger):
			case <-ctx.Done():
				results <- openResult{
					address: address,
					err:     ctx.Err(),
				}
				return
			}
			ch, err := l.cfg.Endpoint.Open(ctx, address, control.MethodSubscribe)
			results <- openResult{
				address: address,
				ch:      ch,
				err:     err,
			}
		})
	}
	last := openResult{}
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

// subscribe subscribes to the replica that responds first. When the subscription ends, it
// returns the replica's address and the error.
func (l *Link) subscribe(replicas []netip.AddrPort) (netip.AddrPort, error) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	opened := l.openChannel(ctx, replicas)
	if opened.err != nil {
		return opened.address, opened.err
	}
	defer opened.ch.Close()
	heartbeats := sync.WaitGroup{}
	heartbeats.Go(func() {
		l.sendHeartbeats(ctx, opened.ch)
		opened.ch.Close()
	})
	defer heartbeats.Wait()
	defer cancel()
	return opened.address, l.receiveUpdates(opened.address, opened.ch)
}

// sendHeartbeats sends a heartbeat every roster.HeartbeatInterval, and at once when
// SendHeartbeat requests it.
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
		case <-l.heartbeatRequested:
		}
	}
}

// receiveUpdates processes updates until none has arrived for updateTimeout, or the replica has
// been stale for staleSwitchDelay while there are other replicas to try.
func (l *Link) receiveUpdates(address netip.AddrPort, ch *wire.Channel) error {
	known := map[fleet.NodeID]roster.Report{}
	staleSince := time.Time{}
	for {
		watchdog := time.AfterFunc(updateTimeout, ch.Close)
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
		l.applyUpdate(address, update, known)
		if !update.Stale {
			continue
		}
		if time.Since(staleSince) > staleGracePeriod {
			l.controlReachable.Store(false)
		}
		if time.Since(staleSince) > staleSwitchDelay && len(l.Replicas()) > 1 {
			return eris.Errorf("controlclient: control replica %s is stale: it is not up to date with a leader", address)
		}
	}
}

// applyUpdate applies an update and passes its parts to the handler and the watcher.
func (l *Link) applyUpdate(address netip.AddrPort, update control.Update, known map[fleet.NodeID]roster.Report) {
	if !update.Stale && !l.controlReachable.Swap(true) {
		l.cfg.Log.Info(event.ControlConnected).Str("replica", address.String()).Msg("follows a control replica")
	}
	if update.Ended && l.joined.Load() && !l.rejected.Swap(true) {
		l.cfg.Log.Error(event.HolderRejected).Msg("this incarnation of the node has ended in the ledger; it stops serving requests")
	}
	if update.Leader.IsValid() {
		leader := update.Leader
		l.leader.Store(&leader)
	}
	if update.Delta != nil && l.applyDelta(*update.Delta) {
		l.storeConfiguration()
	}
	l.applyRouting(update)
	if len(update.Roster) > 0 {
		l.applyRoster(update.Roster, known)
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

// applyRouting starts to use a newer routing configuration and passes it and a list of
// instances to the watcher.
func (l *Link) applyRouting(update control.Update) {
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

// storeConfiguration stores the current configuration and sends a heartbeat, which reports
// its version.
func (l *Link) storeConfiguration() {
	view := l.View()
	if l.cfg.Store != nil {
		configuration := catalog.Delta{
			To:      view.Version,
			Objects: view.Objects(),
		}
		if err := l.cfg.Store.Save(configuration); err != nil {
			l.cfg.Log.Error(event.NodeFailed).Err(err).Msg("cannot store the configuration; a restart would load an older one")
		}
	}
	l.cfg.Log.Info(event.ConfigInForce).Uint64("version", uint64(view.Version)).Msg("configuration in force")
	l.SendHeartbeat()
}

// applyRoster merges changed rows into the known reports.
func (l *Link) applyRoster(rows []roster.Report, known map[fleet.NodeID]roster.Report) {
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
	l.updateEntryNodes(reports)
}

// updateEntryNodes notifies the watcher when the number of entry nodes that are not dead,
// or the set of those that are up, has changed.
func (l *Link) updateEntryNodes(reports []roster.Report) {
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
	if l.entryNodeCount.Swap(n) == n && slices.Equal(l.upNodes, up) {
		return
	}
	l.upNodes = up
	if watcher := l.watcher.Load(); watcher != nil {
		(*watcher).HandleEntryNodes(int(n))
	}
}
