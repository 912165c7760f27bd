package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// engines returns n engines, spread over four data centres.
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
	f.SetInstances(instances, 0)
	return f
}

// digest returns a request on one of many subjects, with a long shared part and a part of its
// own.
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

// TestNodesAgreeOnTheEngineOfASubject guards against many engines prefilling the same shared
// part. The requests are those of morning digests: many subjects with a long shared part.
// Eight nodes without contact must send a subject's requests to the same engine, so that its
// shared part is prefilled once.
func TestNodesAgreeOnTheEngineOfASubject(t *testing.T) {
	const nodes, subjects = 8, 96
	prefills := 0
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
		prefills += len(used)
	}
	if limit := subjects * 5 / 4; prefills > limit {
		t.Errorf("got %d prefills of %d subjects, want at most %d", prefills, subjects, limit)
	}
}

// TestHotSubjectSpreads guards against all requests for one subject queueing on one engine if
// it gets much of the traffic. The queue then costs more than recomputing the shared part on
// other engines.
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

// TestShortPromptsAvoidEnginesWithLongOnes guards against chats queueing on an engine that is
// busy with the prefill of a long prompt.
func TestShortPromptsAvoidEnginesWithLongOnes(t *testing.T) {
	f := newForecast(1, engines(4))
	busy := map[fleet.BackendServerID]bool{}
	for i := range 3 {
		placed, _ := f.Pick(digest(i, 53_000), time.Second)
		busy[placed.Instance.ID] = true
	}
	for range 5 {
		placed, ok := f.Pick(ForecastRequest{Prompt: 1460}, time.Second)
		if !ok || busy[placed.Instance.ID] {
			t.Fatalf("got a chat on %s behind a long prompt, want it on another engine", placed.Instance.ID)
		}
	}
}

// TestUnresponsiveEngineGetsNoRequests guards against requests to engines that stop responding
// while their connections stay open: none are sent after responseTimeout.
func TestUnresponsiveEngineGetsNoRequests(t *testing.T) {
	f := newForecast(1, engines(4))
	unresponsive, _ := f.Pick(digest(1, 100), time.Second)
	now := time.Second + responseTimeout + time.Millisecond
	for range 20 {
		placed, _ := f.Pick(digest(1, 100), now)
		if placed.Instance.ID == unresponsive.Instance.ID {
			t.Fatal("got another request on an engine that does not respond, want it on another one")
		}
		f.RecordFirstByte(&placed, now)
		f.Finish(&placed, OutcomeOK, now)
	}
}

// TestPartlyFailingServerGetsFewerRequests guards against servers that fail a part of their
// requests although their health checks succeed.
func TestPartlyFailingServerGetsFewerRequests(t *testing.T) {
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
		f.RecordFirstByte(&placed, now)
		outcome := OutcomeOK
		if placed.Instance.ID == "e00" && i%5 < 2 {
			outcome = OutcomeFailed
		}
		f.Finish(&placed, outcome, now+15*time.Millisecond)
	}
	if got := count["e00"]; got > 50 {
		t.Errorf("got %d of 400 on the server that fails, want at most 50", got)
	}
}

// TestSuspectedServersAreUsedIfAllFail guards against a service without servers when all of
// them are suspected of failure.
func TestSuspectedServersAreUsedIfAllFail(t *testing.T) {
	f := newForecast(1, engines(3))
	for range 20 {
		placed, ok := f.Pick(ForecastRequest{}, time.Second)
		if !ok {
			t.Fatal("got no server, want one of those that failed")
		}
		f.Finish(&placed, OutcomeFailed, time.Second)
	}
}

// TestDrainingInstanceGetsNoRequests checks that a draining instance is excluded, whether the
// list marks it as draining or the instance itself reports it.
func TestDrainingInstanceGetsNoRequests(t *testing.T) {
	list := engines(2)
	list[0].Draining = true
	f := newForecast(1, list)
	for range 10 {
		if placed, _ := f.Pick(ForecastRequest{}, time.Second); placed.Instance.ID != "e01" {
			t.Fatalf("got %s, want the one that is not draining", placed.Instance.ID)
		}
	}
	f.MarkDraining("e01", time.Second)
	if placed, ok := f.Pick(ForecastRequest{}, time.Second); ok {
		t.Errorf("got %s, want none", placed.Instance.ID)
	}
	if _, ok := f.Pick(ForecastRequest{}, time.Second+drainingExclusion); !ok {
		t.Error("got none after drainingExclusion, want the instance that is still listed")
	}
}

// TestStaleReportsDoNotCauseHerding guards against many nodes sending their requests to the one
// engine that was idle in an old load report. Eight nodes each assign a second of chats
// without contact.
func TestStaleReportsDoNotCauseHerding(t *testing.T) {
	const nodes = 8
	count := map[fleet.BackendServerID]int{}
	for node := range nodes {
		list := engines(12)
		for i := range list {
			list[i].DataCentre = "d0"
		}
		f := newForecast(uint64(node), list)
		for _, i := range list {
			// All nodes have a report that one engine is idle.
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
