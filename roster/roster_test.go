package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

func report(seq uint64, incarnation fleet.Incarnation, load int) Report {
	return Report{
		Holder: fleet.Holder{
			Node:        "n",
			Incarnation: incarnation,
		},
		Seq:           seq,
		State:         StateUp,
		CallerAddress: netip.MustParseAddrPort("10.0.0.1:80"),
		LoadPerMille:  load,
	}
}

func state(t *testing.T, table *Table) State {
	t.Helper()
	reports := table.Reports(0)
	if len(reports) != 1 {
		t.Fatalf("got %d rows, want 1", len(reports))
	}
	return reports[0].State
}

// TestDeadWithoutHeartbeats checks that late heartbeats do not mark a node dead, that a node
// is dead within three seconds of its last heartbeat, and that a new heartbeat revives it.
func TestDeadWithoutHeartbeats(t *testing.T) {
	table := New()
	now := time.Minute
	for seq := uint64(1); seq < 5; seq++ {
		table.Merge(report(seq, 1, 0), now)
		now += 3 * HeartbeatInterval
		if table.MarkDead(now); state(t, table) != StateUp {
			t.Fatalf("got a dead node after %s without a heartbeat, want it up", 3*HeartbeatInterval)
		}
	}
	last := now - 3*HeartbeatInterval
	table.MarkDead(last + 3*time.Second)
	if got, want := state(t, table), StateDead; got != want {
		t.Errorf("got state %s after 3 s without a heartbeat, want %s", got, want)
	}
	if !table.Merge(report(9, 1, 0), now+time.Second) || state(t, table) != StateUp {
		t.Errorf("the node stayed dead after a new heartbeat, want it up")
	}
}

// TestOldReportDoesNotRevive guards against a dead node that counts as up again
// because another replica repeats an old report of it.
func TestOldReportDoesNotRevive(t *testing.T) {
	table := New()
	table.Merge(report(7, 1, 0), 0)
	table.MarkDead(4 * time.Second)
	old := report(7, 1, 0)
	old.AgeMillis = 4000
	if table.Merge(old, 4*time.Second) || state(t, table) != StateDead {
		t.Errorf("an old report revived the dead node")
	}
	if table.Merge(report(99, 0, 0), 4*time.Second) {
		t.Errorf("the table accepted a report of an earlier incarnation")
	}
}

// TestOnlyChangesAreSent checks that a subscriber receives a node's load only when it
// crosses a limit.
func TestOnlyChangesAreSent(t *testing.T) {
	table := New()
	table.Merge(report(1, 1, 0), 0)
	rows, number := table.Since(0)
	if got, want := len(rows), 1; got != want {
		t.Fatalf("got %d rows at first, want %d", got, want)
	}
	for seq, load := range []int{100, 300, 599} {
		table.Merge(report(uint64(seq+2), 1, load), 0)
	}
	if rows, _ = table.Since(number); len(rows) != 0 {
		t.Errorf("got %d rows for small changes of load, want 0", len(rows))
	}
	table.Merge(report(9, 1, BusyLoad), 0)
	if rows, _ = table.Since(number); len(rows) != 1 {
		t.Errorf("got %d rows when the node became busy, want 1", len(rows))
	}
}
