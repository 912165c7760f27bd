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

// TestSilence lets one heartbeat be slow and then the node die: the first changes
// nothing, the second is known within three seconds.
func TestSilence(t *testing.T) {
	table := New()
	now := time.Minute
	for seq := uint64(1); seq < 5; seq++ {
		table.Merge(report(seq, 1, 0), now)
		now += 3 * HeartbeatInterval
		if table.MarkDead(now); state(t, table) != StateUp {
			t.Fatalf("dead after %s of silence", 3*HeartbeatInterval)
		}
	}
	last := now - 3*HeartbeatInterval
	table.MarkDead(last + 3*time.Second)
	if got, want := state(t, table), StateDead; got != want {
		t.Errorf("got %s after 3 s of silence, want %s", got, want)
	}
	if !table.Merge(report(9, 1, 0), now+time.Second) || state(t, table) != StateUp {
		t.Errorf("a node that is heard again stayed dead")
	}
}

// TestRelayedWordDoesNotRevive lets another replica repeat an old report of a dead
// node.
func TestRelayedWordDoesNotRevive(t *testing.T) {
	table := New()
	table.Merge(report(7, 1, 0), 0)
	table.MarkDead(4 * time.Second)
	old := report(7, 1, 0)
	old.AgeMillis = 4000
	if table.Merge(old, 4*time.Second) || state(t, table) != StateDead {
		t.Errorf("an old report revived the node")
	}
	if table.Merge(report(99, 0, 0), 4*time.Second) {
		t.Errorf("a report of an earlier life was taken")
	}
}

// TestOnlyChangesArePassedOn counts what a subscriber is sent.
func TestOnlyChangesArePassedOn(t *testing.T) {
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
