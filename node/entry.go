package node

import (
	"context"

	"github.com/waxwingreel/waxwingreel/billing"
	"github.com/waxwingreel/waxwingreel/entry"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ownership"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/routing"
)

func (n *Node) openEntry() error {
	s := n.cfg.Settings
	limitMemory(s.Entry.MemoryMegabytes)
	monitor := quarantine.NewMonitor(quarantine.MonitorConfig{
		Trial:  n.triesAfterSuspension,
		Notify: n.controlClient.SendHeartbeat,
	})
	server, err := entry.New(entry.Config{
		Holder:     n.holder,
		DataCentre: s.DataCentre,
		Settings:   *s.Entry,
		Control:    n.controlClient,
		NewBilling: n.newBilling,
		Quarantine: monitor,
		Log:        n.cfg.Log,
		Policies:   n.cfg.Policies,
	})
	if err != nil {
		return err
	}
	n.entry = server
	n.serving.Store(server)
	n.controlClient.SetHandler(server)
	n.controlClient.SetQuarantine(monitor)
	n.endpoint.HandleCall(billing.MethodHold, server.Billing().HandleHold)
	n.endpoint.HandleCall(MethodBurn, func(context.Context, fleet.NodeID, []byte) (any, error) {
		return server.Counts(), nil
	})
	n.background.Go(n.join)
	return nil
}

// triesAfterSuspension reports whether this node is the one that tries a suspended request first.
func (n *Node) triesAfterSuspension(request routing.PartID) bool {
	var up []ownership.Node
	for _, report := range n.controlClient.Roster() {
		if report.TakesCallers() {
			up = append(up, ownership.Node{
				ID:         report.Holder.Node,
				DataCentre: report.DataCentre,
			})
		}
	}
	return ownership.New(up).Owner(string(request), "") == n.cfg.Settings.Node
}

func (n *Node) newBilling(refund func(fleet.BudgetID, fleet.Tokens)) (*billing.Recorder, error) {
	cfg := billing.Config{
		Holder:     n.holder,
		DataCentre: n.cfg.Settings.DataCentre,
		Ledger:     n.controlClient,
		Peers:      n.endpoint,
		Refund:     refund,
		Log:        n.cfg.Log,
	}
	if n.folder != nil {
		cfg.Disk = n.folder
	}
	return billing.New(cfg)
}
