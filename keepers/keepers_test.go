package keepers_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/keepers"
)

func fleetOf(n int) []keepers.Node {
	var nodes []keepers.Node
	for i := range n {
		nodes = append(nodes, keepers.Node{
			ID:         fleet.NodeID(fmt.Sprintf("n%d", i)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%4)),
		})
	}
	return nodes
}

// TestKeepersAreFewAndStable has nodes come and go: keepers are few, keys are spread over
// them, and stay where they are when another node leaves.
func TestKeepersAreFewAndStable(t *testing.T) {
	nodes := fleetOf(660)
	for _, n := range []int{1, 8, 65, 660} {
		s := keepers.New(nodes[:n])
		kept := map[fleet.NodeID]int{}
		for key := range 2800 {
			kept[s.Keeper(fmt.Sprint(key), "elsewhere")]++
		}
		if got, most := len(kept), max(8, n/8); got > most || got > n {
			t.Errorf("%d nodes: got %d keepers, want at most %d", n, got, most)
		}
		for node, got := range kept {
			if mean := 2800 / len(kept); got > 2*mean {
				t.Errorf("%d nodes: got %d keys on %s, want at most twice the mean of %d", n, got, node, mean)
			}
		}
	}
	before, after := keepers.New(nodes[:65]), keepers.New(nodes[1:65])
	moved := 0
	for key := range 1000 {
		if before.Keeper(fmt.Sprint(key), "") != after.Keeper(fmt.Sprint(key), "") {
			moved++
		}
	}
	if moved > 250 {
		t.Errorf("got %d of 1000 keys moved when one node left, want at most 250", moved)
	}
	if got := keepers.New(nil).Keeper("e", ""); got != "" {
		t.Errorf("got keeper %q without nodes, want none", got)
	}
}

func TestKeeperIsNear(t *testing.T) {
	s := keepers.New(fleetOf(65))
	places := map[fleet.NodeID]fleet.DataCentre{}
	for _, n := range fleetOf(65) {
		places[n.ID] = n.DataCentre
	}
	near := map[fleet.DataCentre]bool{}
	for _, n := range s.Replicas("", 65) {
		near[n.DataCentre] = true
	}
	for key := range 100 {
		for dataCentre := range near {
			if got := places[s.Keeper(fmt.Sprint(key), dataCentre)]; got != dataCentre {
				t.Fatalf("got a keeper in %s, want one in %s", got, dataCentre)
			}
		}
	}
}

func TestFirstAreTheSameForAll(t *testing.T) {
	nodes := fleetOf(65)
	other := slices.Clone(nodes)
	slices.Reverse(other)
	for key := range 50 {
		got, want := keepers.New(other).Replicas(fmt.Sprint(key), 4), keepers.New(nodes).Replicas(fmt.Sprint(key), 4)
		if !slices.Equal(got, want) || len(got) != 4 {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}
