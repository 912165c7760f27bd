package controlclient

import (
	"net/netip"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
)

// applyUpdate applies an update and passes its parts to the handler and the watcher.
func (c *Client) applyUpdate(address netip.AddrPort, update control.Update, known map[fleet.NodeID]roster.Report) {
	if !update.Stale && !c.controlReachable.Swap(true) {
		c.cfg.Log.Info(event.ControlConnected).Str("replica", address.String()).Msg("follows a control replica")
	}
	if update.Ended && c.joined.Load() && c.concernsHolder(update) && !c.rejected.Swap(true) {
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
	// Nor may it send anything to an evacuated data centre.
	c.applyEvacuations(update.Evacuations)
	c.applyRouting(update)
	c.compareVersions(address, update)
	if c.dropCarried(known, clock.SinceBoot()) || len(update.Roster) > 0 {
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

// concernsHolder reports whether an update is about the incarnation that the ledger has numbered: it answers a heartbeat that was
// sent since. Replicas of earlier versions do not say which one they answer.
func (c *Client) concernsHolder(update control.Update) bool {
	return update.Echo == 0 || update.Echo >= c.joinedAt.Load()
}

func (c *Client) routingVersion() routing.Version {
	return c.knowledge.Load().versions().Routing
}

// applyRouting starts to use a newer routing configuration and passes it and a list of
// instances to the watcher.
func (c *Client) applyRouting(update control.Update) {
	watcher := c.watcher.Load()
	if view, ok := c.newerRouting(update); ok {
		config := view.Config
		c.change(func(k *knowledge) { k.routing = view })
		line := c.withAge(c.cfg.Log.Info(event.RoutingInForce))
		if c.behindSince != 0 {
			line = line.Int64("behindMillis", (clock.SinceBoot() - c.behindSince).Milliseconds())
		}
		line.Uint64("version", uint64(config.Version)).
			Int("routes", len(config.Routes)).
			Int("workspaces", len(config.Workspaces)).
			Bool("keysNeeded", view.KeysNeeded()).
			Str("digest", view.Digest.String()).
			Msg("configuration of routed requests in force")
		if watcher != nil {
			(*watcher).HandleRouting(view)
		}
		c.SendHeartbeat()
	}
	if update.Instances != nil && watcher != nil {
		list := *update.Instances
		if update.Echo != 0 {
			list.ProvenAt = origin.ProvenAt(list.ProvenMillis, min(time.Duration(update.Echo), clock.SinceBoot()))
		}
		(*watcher).HandleInstances(list)
	}
}

// newerRouting returns the routing configuration that an update leads to, if that is newer than the node's.
func (c *Client) newerRouting(update control.Update) (*routing.View, bool) {
	view := c.knowledge.Load().routing
	switch {
	case update.Routing != nil && update.Routing.Version == c.routingVersion() && c.wholeWanted.Load(),
		update.Routing != nil && update.Routing.Version > c.routingVersion():
		c.wholeWanted.Store(false)
		return routing.NewView(*update.Routing), true
	case update.RoutingDelta != nil && view != nil:
		return view.With(*update.RoutingDelta)
	}
	return view, false
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
		delete(c.carried, row.Holder.Node)
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
