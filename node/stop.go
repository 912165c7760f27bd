package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
)

// Stop stops the node without failing requests. The node leaves the directory, continues
// to accept requests until no caller can hold an outdated list of entry nodes, completes
// the requests in flight, returns its leases and then closes. If ctx ends first, the
// remaining requests are aborted and logged.
func (n *Node) Stop(ctx context.Context) {
	n.cfg.Log.Info(event.NodeStopping).Msg("planned stop started")
	n.state.Store(roster.StateStopping)
	n.controlClient.SendHeartbeat()
	if n.site != nil {
		n.stopSite(ctx)
	}
	if n.entry != nil {
		n.drain(ctx)
	}
	if n.replica != nil && n.site == nil {
		n.replica.Leave()
	}
	n.closeAll()
	n.cfg.Log.Info(event.NodeStopped).Msg("node stopped")
}

// drain stops an entry node as Stop describes, within the time set as stopSeconds.
func (n *Node) drain(ctx context.Context) {
	e := n.cfg.Settings.Entry
	stopCtx, cancel := context.WithTimeout(ctx, time.Duration(e.StopSeconds)*time.Second)
	defer cancel()
	sleep(stopCtx, time.Duration(e.DirectorySeconds)*time.Second+directoryMargin)
	n.entry.StopAccepting()
	for n.entry.InFlight() > 0 && sleep(stopCtx, stopPollInterval) {
		continue
	}
	for n.entry.Billing().Held() > 0 && sleep(stopCtx, stopPollInterval) {
		continue
	}
	if inFlight, held := n.entry.InFlight(), n.entry.Billing().Held(); inFlight > 0 || held > 0 {
		n.cfg.Log.Error(event.NodeCut).Int64("requests", inFlight).Int("heldSettlements", held).Msg("planned stop exceeded its time; the remaining requests are aborted")
	}
	returnCtx, returnCancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
	defer returnCancel()
	if err := n.entry.Close(returnCtx); err != nil {
		n.cfg.Log.Warn(event.NodeCut).Err(err).Msg("leases could not be returned; they are returned when this node restarts")
	}
}

// sleep waits for d or until ctx ends. It reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// closeAll closes everything that is open, each part before those that it depends on.
func (n *Node) closeAll() {
	n.cancel()
	n.closeSite()
	if n.callerServer != nil {
		_ = n.callerServer.Close()
	}
	if n.operatorServer != nil {
		_ = n.operatorServer.Close()
	}
	if n.entry != nil {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.entry.Close(cancelled)
	}
	if n.controlClient != nil {
		n.controlClient.Close()
	}
	if n.issuer != nil {
		n.issuer.Close()
	}
	if n.replica != nil {
		n.replica.Close()
	}
	if n.endpoint != nil {
		n.endpoint.Close()
	}
	n.background.Wait()
	if n.folder != nil {
		_ = n.folder.Close()
	}
}

// Kill closes the node without draining, as a crash would. It is for tests.
func (n *Node) Kill() {
	n.closeAll()
}

// nodeHash returns a hash of a node's name, used to spread nodes over the replicas.
func nodeHash(node fleet.NodeID) uint64 {
	return xxhash.Sum64String(string(node))
}
