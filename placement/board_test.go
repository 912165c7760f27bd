package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

func claim(node fleet.NodeID, request string, tokens fleet.Tokens) Claim {
	return Claim{
		Engine:  "e",
		Node:    node,
		Request: routing.RequestID(request),
		Tokens:  tokens,
	}
}

func TestBoardTellsWhatOthersClaimed(t *testing.T) {
	b := NewBoard()
	if got := b.Claim(claim("n1", "a", 100), 0); got != 0 {
		t.Errorf("got %d claimed by others on an empty board, want 0", got)
	}
	b.Claim(claim("n1", "b", 20), 0)
	if got := b.Claim(claim("n2", "c", 5), time.Millisecond); got != 120 {
		t.Errorf("got %d claimed by others, want 120", got)
	}
	if got := b.Claim(claim("n1", "a", 100), time.Millisecond); got != 5 {
		t.Errorf("got %d claimed by others of a node that claims again, want 5", got)
	}
	b.Release(claim("n1", "a", 0))
	if got := b.Claim(claim("n2", "d", 1), time.Millisecond); got != 20 {
		t.Errorf("got %d claimed by others after a release, want 20", got)
	}
	if got := b.Claim(claim("n3", "e", 1), claimLife+2*time.Millisecond); got != 0 {
		t.Errorf("got %d claimed by others after the claims' life, want 0", got)
	}
}

// TestKeepersAreFewAndStable has nodes come and go: boards are kept by few nodes, spread
// over them, and stay where they are when another node leaves.
func TestKeepersAreFewAndStable(t *testing.T) {
	var nodes []fleet.NodeID
	for i := range 660 {
		nodes = append(nodes, fleet.NodeID(fmt.Sprintf("n%d", i)))
	}
	for _, n := range []int{1, 8, 65, 660} {
		k := NewKeepers(nodes[:n])
		kept := map[fleet.NodeID]int{}
		for e := range 2800 {
			kept[k.Of(fleet.BackendServerID(fmt.Sprint(e)))]++
		}
		if got, most := len(kept), max(leastKeepers, n/keeperShare); got > most || got > n {
			t.Errorf("%d nodes: got %d keepers, want at most %d", n, got, most)
		}
		for node, got := range kept {
			if mean := 2800 / len(kept); got > 2*mean {
				t.Errorf("%d nodes: got %d boards on %s, want at most twice the mean of %d", n, got, node, mean)
			}
		}
	}
	before, after := NewKeepers(nodes[:65]), NewKeepers(nodes[1:65])
	moved := 0
	for e := range 1000 {
		engine := fleet.BackendServerID(fmt.Sprint(e))
		if before.Of(engine) != after.Of(engine) {
			moved++
		}
	}
	if moved > 250 {
		t.Errorf("got %d of 1000 boards moved when one node left, want at most 250", moved)
	}
	if got := NewKeepers(nil).Of("e"); got != "" {
		t.Errorf("got keeper %q without nodes, want none", got)
	}
}
