package burn

import (
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

var testSeries = Series{
	Workspace: "w",
	Class:     fleet.ClassInteractive,
	Tier:      fleet.TierPaying,
}

var testObjectives = []Objective{{
	Class:            fleet.ClassInteractive,
	Tier:             fleet.TierPaying,
	AnsweredPerMille: 990,
	FirstToken:       time.Second,
}}

func observe(r *Recorder, n int, cause Cause, first time.Duration, at time.Duration) {
	for range n {
		r.Observe(Observation{
			Series:     testSeries,
			Cause:      cause,
			FirstToken: first,
		}, at)
	}
}

// TestBurn checks the example in the package comment: 50 per mille of bad requests under
// an objective of 990 per mille give a burn rate of 5.
func TestBurn(t *testing.T) {
	r := New(testObjectives)
	now := 2 * time.Hour
	observe(r, 1000, "", 0, now-30*time.Minute)
	observe(r, 190, "", time.Millisecond, now)
	observe(r, 4, "", 2*time.Second, now)
	observe(r, 6, CauseBackend, 0, now)
	nodes := []NodeCounts{
		{
			Node:   "n1",
			Counts: r.Counts(now),
		},
		{
			Node:   "n2",
			Counts: r.Counts(now),
		},
	}
	report := Merge(nodes, []fleet.NodeID{"n3"}, testObjectives)
	if got, want := len(report.Lines), 1; got != want {
		t.Fatalf("got %d lines, want %d", got, want)
	}
	l := report.Lines[0]
	if got, want := l.Short, (WindowCount{
		Total: 400,
		Bad:   20,
	}); got != want {
		t.Errorf("got %+v in the short window, want %+v", got, want)
	}
	if l.ShortBurn < 4.99 || l.ShortBurn > 5.01 {
		t.Errorf("got a short-window burn rate of %v, want 5", l.ShortBurn)
	}
	if l.LongBurn < 0.83 || l.LongBurn > 0.84 {
		t.Errorf("got a long-window burn rate of %v, want 20 of 2400 over 0.01", l.LongBurn)
	}
	if got, want := l.Causes[0].Cause, CauseBackend; got != want {
		t.Errorf("got %s as the first cause, want %s", got, want)
	}
	if got, want := report.Missing[0], fleet.NodeID("n3"); got != want {
		t.Errorf("got %s as the missing node, want %s", got, want)
	}
}

// TestWindowsExpire checks that requests drop out of each window when it has passed.
func TestWindowsExpire(t *testing.T) {
	r := New(testObjectives)
	observe(r, 5, CauseBackend, 0, time.Hour)
	at := func(now time.Duration) Count {
		t.Helper()
		counts := r.Counts(now)
		if len(counts) == 0 {
			return Count{}
		}
		return counts[0]
	}
	if got := at(time.Hour + time.Minute); got.Short.Bad != 5 || got.Long.Bad != 5 {
		t.Errorf("after a minute: got %+v, want 5 bad in both windows", got)
	}
	if got := at(time.Hour + 6*time.Minute); got.Short.Bad != 0 || got.Long.Bad != 5 {
		t.Errorf("after 6 minutes: got %+v, want 5 bad in the long window only", got)
	}
	if got := at(2*time.Hour + time.Minute); got.Long.Bad != 0 {
		t.Errorf("after an hour: got %+v, want none", got)
	}
}
