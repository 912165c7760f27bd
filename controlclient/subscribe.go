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
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// errStale is the error of a subscription to a replica that is not up to date with a leader.
var errStale = eris.New("controlclient: the control replica is stale: it is not up to date with a leader")

// runSubscriptions keeps the node subscribed to a control replica. When a subscription
// ends, it subscribes again and starts with the next replica of the list. It leaves a stale
// replica at once as long as there are others that it has not tried: by the time that a replica
// counts itself as stale, the bound on how long a configuration takes is half used up.
func (c *Client) runSubscriptions() {
	staleInRow := 0
	for i := 0; c.ctx.Err() == nil; i++ {
		replicas := c.Replicas()
		first := i % len(replicas)
		patience := time.Duration(0)
		if staleInRow >= len(replicas)-1 {
			patience = staleSwitchDelay
		}
		started := time.Now()
		address, wasFresh, err := c.subscribe(append(slices.Clone(replicas[first:]), replicas[:first]...), patience)
		if c.ctx.Err() == nil {
			c.logLost(address, time.Since(started), wasFresh, err)
		}
		switch {
		case wasFresh:
			staleInRow = 0
		case eris.Is(err, errStale):
			staleInRow++
		}
		c.controlReachable.Store(false)
		select {
		case <-c.ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// logLost logs the end of a subscription with what tells its causes apart.
func (c *Client) logLost(address netip.AddrPort, lasted time.Duration, wasFresh bool, err error) {
	line := c.cfg.Log.Warn(event.ControlLost).
		Str("replica", address.String()).
		Int64("lastedMillis", lasted.Milliseconds()).
		Bool("wasFresh", wasFresh).
		Err(err)
	if age := c.Unconfirmed(); age != NeverConfirmed {
		line = line.Int64("unconfirmedMillis", age.Milliseconds())
	}
	line.Msg("subscription ended")
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
func (c *Client) openChannel(ctx context.Context, replicas []netip.AddrPort) openResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	results := make(chan openResult, len(replicas))
	for i, address := range replicas {
		c.wait.Go(func() {
			select {
			case <-time.After(time.Duration(i) * dialStagger):
			case <-ctx.Done():
				results <- openResult{
					address: address,
					err:     ctx.Err(),
				}
				return
			}
			ch, err := c.cfg.Endpoint.Open(ctx, address, control.MethodSubscribe)
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
		c.wait.Go(func() {
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
// returns the replica's address, whether the replica was ever fresh, and the error. A replica that
// is stale is left after patience.
func (c *Client) subscribe(replicas []netip.AddrPort, patience time.Duration) (address netip.AddrPort, wasFresh bool, err error) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	opened := c.openChannel(ctx, replicas)
	if opened.err != nil {
		return opened.address, false, opened.err
	}
	defer opened.ch.Close()
	c.followed.Store(&opened.address)
	heartbeats := sync.WaitGroup{}
	heartbeats.Go(func() {
		c.sendHeartbeats(ctx, opened.ch)
		opened.ch.Close()
	})
	defer heartbeats.Wait()
	defer cancel()
	wasFresh, err = c.receiveUpdates(opened.address, opened.ch, patience)
	return opened.address, wasFresh, err
}

// sendHeartbeats sends a heartbeat every roster.HeartbeatInterval, and at once when
// SendHeartbeat requests it.
func (c *Client) sendHeartbeats(ctx context.Context, ch *wire.Channel) {
	ticker := time.NewTicker(roster.HeartbeatInterval)
	defer ticker.Stop()
	for first := true; ; first = false {
		report := c.cfg.Report()
		report.Version = c.View().Version
		report.Holder = c.Holder()
		heartbeat := control.Heartbeat{
			Report:  report,
			Routing: c.routingVersion(),
		}
		if q := c.quarantine.Load(); q != nil {
			heartbeat.Evidence, heartbeat.Suspended = (*q).TakeEvidence(first, clock.SinceBoot())
		}
		if watcher := c.watcher.Load(); watcher != nil {
			heartbeat.Limits = (*watcher).TakeLimits(first)
			heartbeat.Origins, heartbeat.Versions = (*watcher).TakeOrigins(first)
		}
		if ch.Send(heartbeat) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.heartbeatRequested:
		}
	}
}

// receiveUpdates processes updates until none has arrived for updateTimeout, or the replica is
// stale for longer than patience while there are other replicas to try. It reports whether the
// replica was ever fresh.
func (c *Client) receiveUpdates(address netip.AddrPort, ch *wire.Channel, patience time.Duration) (wasFresh bool, err error) {
	known := map[fleet.NodeID]roster.Report{}
	staleSince := time.Time{}
	for updates := 0; ; updates++ {
		update, err := receiveUpdate(ch, updates)
		if err != nil {
			return wasFresh, eris.Wrapf(err, "replica %s", address)
		}
		switch {
		case !update.Stale:
			staleSince = time.Time{}
			wasFresh = true
		case staleSince.IsZero():
			staleSince = time.Now()
		}
		c.applyUpdate(address, update, known)
		if !update.Stale {
			continue
		}
		if time.Since(staleSince) > staleGracePeriod {
			c.controlReachable.Store(false)
		}
		if time.Since(staleSince) >= patience && len(c.Replicas()) > 1 {
			return wasFresh, eris.Wrapf(errStale, "replica %s", address)
		}
	}
}

// receiveUpdate waits for an update until updateTimeout.
func receiveUpdate(ch *wire.Channel, received int) (control.Update, error) {
	timedOut := atomic.Bool{}
	watchdog := time.AfterFunc(updateTimeout, func() {
		timedOut.Store(true)
		ch.Close()
	})
	defer watchdog.Stop()
	update := control.Update{}
	err := ch.Receive(&update)
	if err != nil && timedOut.Load() {
		return update, eris.Errorf("controlclient: no update for %s, after %d updates", updateTimeout, received)
	}
	return update, err
}

// applyUpdate applies an update and passes its parts to the handler and the watcher.
func (c *Client) applyUpdate(address netip.AddrPort, update control.Update, known map[fleet.NodeID]roster.Report) {
	if !update.Stale && !c.controlReachable.Swap(true) {
		c.cfg.Log.Info(event.ControlConnected).Str("replica", address.String()).Msg("follows a control replica")
	}
	if update.Ended && c.joined.Load() && !c.rejected.Swap(true) {
		c.cfg.Log.Error(event.HolderRejected).Msg("this incarnation of the node has ended in the ledger; it stops serving requests")
	}
	if update.Leader.IsValid() {
		leader := update.Leader
		c.leader.Store(&leader)
	}
	if update.Delta != nil && c.applyDelta(*update.Delta) {
		c.storeConfiguration()
	}
	// A node that has just started must know the suspended parts and the limits before it serves
	// requests.
	if update.Quarantine != nil {
		c.quarantineList.Store(update.Quarantine)
		c.applyQuarantine(update.Quarantine)
	}
	if update.Limits != nil {
		c.limits.Store(update.Limits)
		if watcher := c.watcher.Load(); watcher != nil {
			(*watcher).HandleLimits(*update.Limits)
		}
	}
	c.applyRouting(update)
	if !update.Stale {
		c.confirm(clock.SinceBoot())
	}
	if len(update.Roster) > 0 {
		c.applyRoster(update.Roster, known)
	}
	handler := c.handler.Load()
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

func (c *Client) routingVersion() routing.Version {
	if view := c.routing.Load(); view != nil {
		return view.Config.Version
	}
	return 0
}

// applyRouting starts to use a newer routing configuration and passes it and a list of
// instances to the watcher.
func (c *Client) applyRouting(update control.Update) {
	watcher := c.watcher.Load()
	if update.Routing != nil && update.Routing.Version > c.routingVersion() {
		view := routing.NewView(*update.Routing)
		c.routing.Store(view)
		line := c.cfg.Log.Info(event.RoutingInForce)
		if age := c.Unconfirmed(); age != NeverConfirmed {
			line = line.Int64("unconfirmedMillis", age.Milliseconds())
		}
		line.Uint64("version", uint64(update.Routing.Version)).
			Int("routes", len(update.Routing.Routes)).
			Int("workspaces", len(update.Routing.Workspaces)).
			Msg("configuration of routed requests in force")
		if watcher != nil {
			(*watcher).HandleRouting(view)
		}
		c.SendHeartbeat()
	}
	if update.Instances != nil && watcher != nil {
		(*watcher).HandleInstances(*update.Instances)
	}
}

// storeConfiguration stores the current configuration and sends a heartbeat, which reports
// its version.
func (c *Client) storeConfiguration() {
	view := c.View()
	if c.cfg.Store != nil {
		configuration := catalog.Delta{
			To:      view.Version,
			Objects: view.Objects(),
		}
		if err := c.cfg.Store.Save(configuration); err != nil {
			c.cfg.Log.Error(event.NodeFailed).Err(err).Msg("cannot store the configuration; a restart would load an older one")
		}
	}
	c.cfg.Log.Info(event.ConfigInForce).Uint64("version", uint64(view.Version)).Msg("configuration in force")
	c.SendHeartbeat()
}

// applyRoster merges changed rows into the known reports.
func (c *Client) applyRoster(rows []roster.Report, known map[fleet.NodeID]roster.Report) {
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
	c.reports.Store(&reports)
	c.updateEntryNodes(reports)
}

// updateEntryNodes notifies the watcher when the number of entry nodes that are not dead,
// or the set of those that are up, has changed.
func (c *Client) updateEntryNodes(reports []roster.Report) {
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
	if c.entryNodeCount.Swap(n) == n && slices.Equal(c.upNodes, up) {
		return
	}
	c.upNodes = up
	if watcher := c.watcher.Load(); watcher != nil {
		(*watcher).HandleEntryNodes(int(n))
	}
}
