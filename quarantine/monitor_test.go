package quarantine_test

import (
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/routing"
)

var (
	deadlyParts = []routing.Part{{ID: "subject"}, {ID: "deadly"}, {ID: "own"}}
	soundParts  = []routing.Part{{ID: "subject"}, {ID: "own"}}
)

func newMonitor(trial bool) *quarantine.Monitor {
	return quarantine.NewMonitor(quarantine.MonitorConfig{
		Trial:  func(routing.PartID) bool { return trial },
		Notify: func() {},
	})
}

func suspension(remaining time.Duration) quarantine.List {
	return quarantine.List{Notices: []quarantine.Notice{{
		Key: quarantine.Key{
			Service: "s",
			Part:    "deadly",
		},
		State:           quarantine.StateSuspended,
		RemainingMillis: remaining.Milliseconds(),
		PeriodMillis:    30000,
	}}}
}

// TestSuspensionOutlivesItsReplica switches a node to a replica that has just started and knows
// nothing. The suspension must stay, and the new replica must be told of it.
func TestSuspensionOutlivesItsReplica(t *testing.T) {
	m := newMonitor(false)
	m.Apply(suspension(30*time.Second), time.Hour)
	now := time.Hour + time.Second
	m.Apply(quarantine.List{}, now)
	if wait, part := m.SuspendedFor("s", deadlyParts, now); wait == 0 || part != "deadly" {
		t.Errorf("got %s of suspension for part %q, want some for deadly", wait, part)
	}
	if wait, part := m.SuspendedFor("s", soundParts, now); wait > 0 {
		t.Errorf("got %s of suspension for part %q, want none", wait, part)
	}
	_, told := m.TakeEvidence(true, now)
	if len(told) != 1 || told[0].RemainingMillis != 29000 {
		t.Errorf("got suspensions %+v for the new replica, want one of 29000 ms", told)
	}
}

// TestOneRequestAtATimeAfterSuspension lets a suspension end. Only the node that tries the part may
// let requests through, one at a time, until one is complete.
func TestOneRequestAtATimeAfterSuspension(t *testing.T) {
	for _, trial := range []bool{true, false} {
		m := newMonitor(trial)
		m.Apply(suspension(-time.Second), time.Hour)
		admitted := 0
		for i := range 10 {
			if wait, _ := m.Admit("s", deadlyParts, time.Hour+time.Duration(i)*100*time.Millisecond); wait == 0 {
				admitted++
			}
		}
		want := 0
		if trial {
			want = 1
		}
		if admitted != want {
			t.Errorf("got %d requests let through with trial %t, want %d", admitted, trial, want)
		}
	}
}

// TestNodeObjectsToWatchedPart has a node complete a response on a part before a replica watches
// it. The node must report that at once, and a response that is completed later too.
func TestNodeObjectsToWatchedPart(t *testing.T) {
	m := newMonitor(false)
	m.Completed("s", soundParts, "", time.Hour)
	watched := quarantine.List{Notices: []quarantine.Notice{{
		Key: quarantine.Key{
			Service: "s",
			Part:    "subject",
		},
		State:          quarantine.StateWatched,
		CrashAgeMillis: 3000,
	}}}
	m.Apply(watched, time.Hour+time.Second)
	evidence, _ := m.TakeEvidence(false, time.Hour+time.Second)
	if len(evidence) != 1 || evidence[0].Engine != "" || evidence[0].AgeMillis != 1000 {
		t.Errorf("got evidence %+v, want a response that was completed 1000 ms ago", evidence)
	}
	m.Completed("s", soundParts, "", time.Hour+5*time.Second)
	if evidence, _ := m.TakeEvidence(false, time.Hour+5*time.Second); len(evidence) != 1 {
		t.Errorf("got evidence %+v, want the response", evidence)
	}
}

// TestManyEnginesAtOnceAreNoEvidence breaks the responses of many engines at one node, as a cut of
// its network does.
func TestManyEnginesAtOnceAreNoEvidence(t *testing.T) {
	m := newMonitor(false)
	for i, engine := range []fleet.BackendServerID{"e1", "e2", "e3", "e4", "e5"} {
		m.Crashed(quarantine.Crash{
			Service: "s",
			Engine:  engine,
			Parts:   deadlyParts,
			Begun:   true,
		}, time.Hour+time.Duration(i)*time.Millisecond)
	}
	if evidence, _ := m.TakeEvidence(false, time.Hour+time.Second); len(evidence) > 2 {
		t.Errorf("got evidence of %d crashes, want at most 2", len(evidence))
	}
}
