package ownership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ownership"
)

func newNodes(n int) []ownership.Node {
	var nodes []ownership.Node
	for i := range n {
		nodes = append(nodes, ownership.Node{
			ID:         fleet.NodeID(fmt.Sprintf("n%d", i)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%4)),
		})
	}
	return nodes
}

// TestOwnersAreFewAndStable checks for fleets of different sizes that owners are few and keys
// are spread over them, and that few keys move when a node leaves.
func TestOwnersAreFewAndStable(t *testing.T) {
	nodes := newNodes(660)
	for _, n := range []int{1, 8, 65, 660} {
		s := ownership.New(nodes[:n])
		keyCounts := map[fleet.NodeID]int{}
		for key := range 2800 {
			keyCounts[s.Owner(fmt.Sprint(key), "elsewhere")]++
		}
		if got, most := len(keyCounts), max(8, n/8); got > most || got > n {
			t.Errorf("%d nodes: got %d owners, want at most %d", n, got, most)
		}
		for node, got := range keyCounts {
			if mean := 2800 / len(keyCounts); got > 2*mean {
				t.Errorf("%d nodes: got %d keys on %s, want at most twice the mean of %d", n, got, node, mean)
			}
		}
	}
	before, after := ownership.New(nodes[:65]), ownership.New(nodes[1:65])
	moved := 0
	for key := range 1000 {
		if before.Owner(fmt.Sprint(key), "") != after.Owner(fmt.Sprint(key), "") {
			moved++
		}
	}
	if moved > 250 {
		t.Errorf("got %d of 1000 keys moved when one node left, want at most 250", moved)
	}
	if got := ownership.New(nil).Owner("e", ""); got != "" {
		t.Errorf("got owner %q without nodes, want none", got)
	}
}

// TestOwnerIsInTheGivenDataCentre checks that an owner in the given data centre is preferred if
// there is one.
func TestOwnerIsInTheGivenDataCentre(t *testing.T) {
	s := ownership.New(newNodes(65))
	dataCentres := map[fleet.NodeID]fleet.DataCentre{}
	for _, n := range newNodes(65) {
		dataCentres[n.ID] = n.DataCentre
	}
	withOwner := map[fleet.DataCentre]bool{}
	for _, n := range s.Owners("", 65) {
		withOwner[n.DataCentre] = true
	}
	for key := range 100 {
		for dataCentre := range withOwner {
			if got := dataCentres[s.Owner(fmt.Sprint(key), dataCentre)]; got != dataCentre {
				t.Fatalf("got an owner in %s, want one in %s", got, dataCentre)
			}
		}
	}
}

// TestOwnersDoNotDependOnOrder checks that nodes with differently ordered lists agree on the
// owners of a key.
func TestOwnersDoNotDependOnOrder(t *testing.T) {
	nodes := newNodes(65)
	reversed := slices.Clone(nodes)
	slices.Reverse(reversed)
	for key := range 50 {
		got, want := ownership.New(reversed).Owners(fmt.Sprint(key), 4), ownership.New(nodes).Owners(fmt.Sprint(key), 4)
		if !slices.Equal(got, want) || len(got) != 4 {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}
