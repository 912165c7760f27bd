package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/wire"
)

// Stop ends the node without cutting anything off: the node leaves the directory,
// goes on accepting until no caller can hold an old list of entries, ends every
// request, gives its leases back, and only then closes. When ctx ends first, what
// is left is cut off and logged.
func (n *Node) Stop(ctx context.Context) {
	n.cfg.Log.Info(event.NodeStopping).Msg("planned stop")
	n.state.Store(roster.StateStopping)
	n.link.SendHeartbeat()
	if n.site != nil {
		n.stopSite(ctx)
	}
	if n.entry != nil {
		n.drain(ctx)
	}
	if n.replica != nil && n.site == nil {
		n.replica.TransferLeadership()
	}
	n.closeAll()
	n.cfg.Log.Info(event.NodeStopped).Msg("node stopped")
}

func (n *Node) drain(ctx context.Context) {
	e := n.cfg.Settings.Entry
	limit, cancel := context.WithTimeout(ctx, time.Duration(e.StopSeconds)*time.Second)
	defer cancel()
	pause(limit, time.Duration(e.DirectorySeconds)*time.Second+directoryMargin)
	n.entry.StopAccepting()
	for n.entry.InFlight() > 0 && pause(limit, pollStop) {
		continue
	}
	for n.entry.Billing().Held() > 0 && pause(limit, pollStop) {
		continue
	}
	if cut, held := n.entry.InFlight(), n.entry.Billing().Held(); cut > 0 || held > 0 {
		n.cfg.Log.Error(event.NodeCut).Int64("requests", cut).Int("heldSettlements", held).Msg("the stop took too long: requests are cut off")
	}
	give, giveCancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
	defer giveCancel()
	if err := n.entry.Close(give); err != nil {
		n.cfg.Log.Warn(event.NodeCut).Err(err).Msg("leases could not be given back; they come back when this node starts again")
	}
}

// pause waits and reports whether the whole time passed.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// closeAll closes what is open, in the order in which the parts need one another.
func (n *Node) closeAll() {
	n.cancel()
	n.closeSite()
	if n.callers != nil {
		_ = n.callers.Close()
	}
	if n.operator != nil {
		_ = n.operator.Close()
	}
	if n.entry != nil {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.entry.Close(ended)
	}
	if n.link != nil {
		n.link.Close()
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
	n.wait.Wait()
	if n.folder != nil {
		_ = n.folder.Close()
	}
}

// Kill ends the node at once, as a crash would. It is for tests.
func (n *Node) Kill() {
	n.closeAll()
}

func spread(node fleet.NodeID) uint64 {
	return xxhash.Sum64String(string(node))
}

// viewStore keeps the configuration in force on the node's disk, so that the node
// does not go back to an earlier one when it starts again.
type viewStore struct {
	disk commitlog.Disk
}

const viewFile = "configuration"

// Load implements uplink.Store.
func (v *viewStore) Load() (catalog.Delta, bool) {
	queue, items, err := commitlog.OpenQueue(v.disk, viewFile)
	if err != nil || len(items) == 0 {
		return catalog.Delta{}, false
	}
	_ = queue.Close()
	whole := catalog.Delta{}
	if err := wire.Decode(items[len(items)-1], &whole); err != nil {
		return catalog.Delta{}, false
	}
	return whole, true
}

// Save implements uplink.Store.
func (v *viewStore) Save(whole catalog.Delta) error {
	item, err := cbor.Marshal(whole)
	if err != nil {
		return eris.Wrap(err, "node: encode the configuration")
	}
	return commitlog.ReplaceQueue(v.disk, viewFile, item)
}
