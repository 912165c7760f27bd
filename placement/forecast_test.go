package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

func engines(n int) []routing.Instance {
	var list []routing.Instance
	for i := range n {
		list = append(list, routing.Instance{
			ID:         fleet.BackendServerID(fmt.Sprintf("e%02d", i)),
			Service:    "s",
			DataCentre: fleet.DataCentre(fmt.Sprintf("d%d", i%4)),
			Slots:      64,
		})
	}
	return list
}

func newForecast(seed uint64, instances []routing.Instance) *Forecast {
	f := NewForecast(ForecastConfig{
		DataCentre: "d0",
		Seed:       seed,
	})
	f.SetInstances(instances)
	return f
}

// digest is a request about one of many subjects: a long shared part and an own one.
func digest(subject int, own fleet.Tokens) ForecastRequest {
	return ForecastRequest{
		Prompt: 13_300 + own,
		Parts: []routing.Part{
			{
				ID:     routing.PartID(fmt.Sprintf("subject-%d", subject)),
				Tokens: 13_300,
			},
			{
				ID:     "own",
				Tokens: own,
			},
		},
	}
}

// TestNodesAgreeOnTheEngineOfASubject answers the pattern of morning digests: many
// subjects with a long shared prompt. Eight nodes that know nothing of one another send
// a subject's requests to the same engine, so that its prompt is read once.
func TestNodesAgreeOnTheEngineOfASubject(t *testing.T) {
	const nodes, subjects = 8, 96
	read := 0
	for subject := range subjects {
		used := map[fleet.BackendServerID]bool{}
		for node := range nodes {
			f := newForecast(uint64(node), engines(12))
			placed, ok := f.Pick(digest(subject, 3720), time.Second)
			if !ok {
				t.Fatal("got no engine")
			}
			used[placed.Instance.ID] = true
		}
		read += len(used)
	}
	if limit := subjects * 5 / 4; read > limit {
		t.Errorf("got %d readings of %d subjects, want at most %d", read, subjects, limit)
	}
}

// TestHotSubjectSpreads answers the pattern of one subject that gets much of the
// traffic: its engine's queue costs more than reading the subject again elsewhere, so
// that no request waits behind all others.
func TestHotSubjectSpreads(t *testing.T) {
	f := newForecast(1, engines(12))
	count := map[fleet.BackendServerID]int{}
	for range 60 {
		placed, ok := f.Pick(digest(1, 3720), time.Second)
		if !ok {
			t.Fatal("got no engine")
		}
		count[placed.Instance.ID]++
	}
	if len(count) < 8 {
		t.Errorf("got 60 requests at once on %d engines, want them on 8 or more", len(count))
	}
	for id, n := range count {
		if n > 15 {
			t.Errorf("got %d of 60 on %s, want no more than 15", n, id)
		}
	}
}

// TestLongPromptsStandApartFromShortOnes answers the pattern of long prompts that flood
// short ones: a chat does not queue behind an engine that reads a long prompt.
func TestLongPromptsStandApartFromShortOnes(t *testing.T) {
	f := newForecast(1, engines(4))
	busy := map[fleet.BackendServerID]bool{}
	for i := range 3 {
		placed, _ := f.Pick(digest(i, 53_000), time.Second)
		busy[placed.Instance.ID] = true
	}
	for range 5 {
		placed, ok := f.Pick(ForecastRequest{Prompt: 1460}, time.Second)
		if !ok || busy[placed.Instance.ID] {
			t.Fatalf("got a chat on %s behind a long prompt, want it elsewhere", placed.Instance.ID)
		}
	}
}

// TestDarkEngineLosesItsTraffic answers the pattern of engines that fall silent while
// their connections stay open: after a moment without a word nothing more is sent.
func TestDarkEngineLosesItsTraffic(t *testing.T) {
	f := newForecast(1, engines(4))
	dark, _ := f.Pick(digest(1, 100), time.Second)
	now := time.Second + overdueAfter + time.Millisecond
	for range 20 {
		placed, _ := f.Pick(digest(1, 100), now)
		if placed.Instance.ID == dark.Instance.ID {
			t.Fatal("got more work on an engine that has been silent, want it elsewhere")
		}
		f.Began(&placed, now)
		f.Done(&placed, OutcomeOK, now)
	}
}

// TestGreyServerGetsLessWork answers the pattern of servers that fail a part of their
// requests while their health is good.
func TestGreyServerGetsLessWork(t *testing.T) {
	list := engines(4)
	for i := range list {
		list[i].Slots = 6
		list[i].DataCentre = "d0"
	}
	f := newForecast(1, list)
	count := map[fleet.BackendServerID]int{}
	for i := range 400 {
		now := time.Duration(i) * 20 * time.Millisecond
		placed, ok := f.Pick(ForecastRequest{}, now)
		if !ok {
			t.Fatal("got no server")
		}
		count[placed.Instance.ID]++
		f.Began(&placed, now)
		outcome := OutcomeOK
		if placed.Instance.ID == "e00" && i%5 < 2 {
			outcome = OutcomeFailed
		}
		f.Done(&placed, outcome, now+15*time.Millisecond)
	}
	if got := count["e00"]; got > 50 {
		t.Errorf("got %d of 400 on the server that fails, want at most 50", got)
	}
}

// TestVerdictsNeverEmptyAService fails every server: work still goes to one of them.
func TestVerdictsNeverEmptyAService(t *testing.T) {
	f := newForecast(1, engines(3))
	for range 20 {
		placed, ok := f.Pick(ForecastRequest{}, time.Second)
		if !ok {
			t.Fatal("got no server, want one of those that failed")
		}
		f.Done(&placed, OutcomeFailed, time.Second)
	}
}

// TestLeavingInstanceGetsNothing covers both ways in which it is learnt.
func TestLeavingInstanceGetsNothing(t *testing.T) {
	list := engines(2)
	list[0].Draining = true
	f := newForecast(1, list)
	for range 10 {
		if placed, _ := f.Pick(ForecastRequest{}, time.Second); placed.Instance.ID != "e01" {
			t.Fatalf("got %s, want the one that stays", placed.Instance.ID)
		}
	}
	f.MarkDraining("e01", time.Second)
	if placed, ok := f.Pick(ForecastRequest{}, time.Second); ok {
		t.Errorf("got %s, want none", placed.Instance.ID)
	}
	if _, ok := f.Pick(ForecastRequest{}, time.Second+goneHold); !ok {
		t.Error("got none after the list must have said so, want the one that it names")
	}
}

// TestUnevenNodesDoNotHerd answers the pattern of many nodes with the same stale
// reports: eight nodes place a second of chats each without hearing of one another.
func TestUnevenNodesDoNotHerd(t *testing.T) {
	const nodes = 8
	count := map[fleet.BackendServerID]int{}
	for node := range nodes {
		list := engines(12)
		for i := range list {
			list[i].DataCentre = "d0"
		}
		f := newForecast(uint64(node), list)
		for _, i := range list {
			// All heard that one engine was idle.
			running := 20
			if i.ID == "e05" {
				running = 0
			}
			f.Report(i.ID, running, 0, time.Second)
		}
		for range 30 {
			placed, _ := f.Pick(ForecastRequest{Prompt: 1460}, time.Second)
			count[placed.Instance.ID]++
		}
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	if mean := nodes * 30 / 12; most > 3*mean {
		t.Errorf("got %d requests on the busiest engine, want at most three times the mean of %d", most, mean)
	}
}
