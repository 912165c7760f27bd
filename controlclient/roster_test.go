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

// TestNodeThatDiedWithItsReplicaStaysInRoster kills the replica that a node follows together with two nodes, of which the next
// replica has never heard. Guards against dead nodes that are given to callers for longer than 3 s.
func TestNodeThatDiedWithItsReplicaStaysInRoster(t *testing.T) {
	silentSince := make(chan time.Time, 1)
	next := newEndpoint(t, "next")
	next.HandleChannel(control.MethodSubscribe, func(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
		for update := (control.Update{Roster: rosterOf(1)}); ctx.Err() == nil && ch.Send(update) == nil; time.Sleep(500 * time.Millisecond) {
			update.Roster = nil
		}
	})
	next.Start()
	c := newTestClient(t, serveSilent(t, "killed", &control.Update{Roster: rosterOf(3)}, silentSince), next.Address())
	since := <-silentSince
	await(t, "whole roster", func() bool { return len(c.Roster()) == 3 })
	await(t, "roster without the dead nodes", func() bool { return len(c.Roster()) == 1 })
	if took := time.Since(since); took > 3*time.Second {
		t.Errorf("got dead nodes in the roster for %s, want 3s at most", took.Round(time.Millisecond))
	}
}
