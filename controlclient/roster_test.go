package controlclient

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/wire"
)

// rosterOf returns the reports of some entry nodes that are up.
func rosterOf(nodes int) []roster.Report {
	var reports []roster.Report
	for i := range nodes {
		reports = append(reports, roster.Report{
			Holder:        fleet.Holder{Node: fleet.NodeID(fmt.Sprintf("e%d", i))},
			State:         roster.StateUp,
			CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	return reports
}

// TestRestartedReplicaEmptiesRoster kills the replica that a node follows and starts another one that has heard one node of
// three so far. Guards against a node that takes the first report of such a replica for the whole fleet: it answers look-ups
// with few nodes, finds other owners than the rest, and takes a larger share of what all share.
func TestRestartedReplicaEmptiesRoster(t *testing.T) {
	silentSince := make(chan time.Time, 1)
	restarted := newEndpoint(t, "restarted")
	restarted.HandleChannel(control.MethodSubscribe, func(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
		reports := rosterOf(3)
		update := control.Update{Roster: reports[:1]}
		for heard := time.Now(); ctx.Err() == nil && ch.Send(update) == nil; time.Sleep(20 * time.Millisecond) {
			update.Roster = nil
			if time.Since(heard) > roster.HeartbeatInterval {
				update.Roster = reports
			}
		}
	})
	restarted.Start()
	c := newTestClient(t, serveSilent(t, "killed", &control.Update{Roster: rosterOf(3)}, silentSince), restarted.Address())
	<-silentSince
	await(t, "whole roster", func() bool { return len(c.Roster()) == 3 })
	for since := time.Now(); time.Since(since) < 2*time.Second; time.Sleep(time.Millisecond) {
		if got := len(c.Roster()); got != 3 {
			t.Fatalf("got %d nodes in the roster %s after the replica was killed, want 3", got, time.Since(since).Round(time.Millisecond))
		}
	}
}
