package directory

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
)

func reports(n int) []roster.Report {
	var list []roster.Report
	for i := range n {
		list = append(list, roster.Report{
			Holder:        fleet.Holder{Node: fleet.NodeID(fmt.Sprintf("n%d", i))},
			State:         roster.StateUp,
			DataCentre:    fleet.DataCentre(fmt.Sprintf("dc%d", i%3)),
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return list
}

func names(entries []Entry) string {
	text := ""
	for _, e := range entries {
		text += string(e.Node) + " "
	}
	return text
}

// TestUnusableNodesAreOmitted covers dead nodes, stopping nodes and nodes without an address for
// callers.
func TestUnusableNodesAreOmitted(t *testing.T) {
	list := reports(4)
	list[0].State = roster.StateDead
	list[1].State = roster.StateStopping
	list[2].CallerAddress = netip.AddrPort{}
	if got, want := names(Order(Query{Workspace: "w"}, list)), "n3 "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestOnlyWorkspacesOfARemovedNodeMove guards against the loss of one node moving the workspaces
// of others, which would scatter their leases and cached prefixes.
func TestOnlyWorkspacesOfARemovedNodeMove(t *testing.T) {
	before := reports(8)
	after := append(append([]roster.Report{}, before[:3]...), before[4:]...)
	moved := 0
	for i := range 1000 {
		q := Query{Workspace: fleet.WorkspaceID(fmt.Sprintf("w%d", i))}
		first, next := Order(q, before)[0].Node, Order(q, after)[0].Node
		if first != "n3" && first != next {
			t.Fatalf("workspace %s moved from %s to %s, although only n3 was removed", q.Workspace, first, next)
		}
		if first == "n3" {
			moved++
		}
	}
	if moved < 60 || moved > 200 {
		t.Errorf("got %d of 1000 workspaces on one node of 8, want about 125", moved)
	}
}

func TestBusyWorkspaceIsSpread(t *testing.T) {
	list := reports(6)
	q := Query{Workspace: "w"}
	first := Order(q, list)[0].Node
	for i := range list {
		if list[i].Holder.Node == first {
			list[i].LoadPerMille = 700
		}
	}
	seen := map[fleet.NodeID]bool{}
	for i := range 50 {
		q.Caller = fmt.Sprintf("10.0.0.1:%d", i)
		seen[Order(q, list)[0].Node] = true
	}
	if got, want := len(seen), 2; got != want {
		t.Errorf("callers start at %d nodes, want %d", got, want)
	}
}

func TestOverloadedNodesComeLast(t *testing.T) {
	list := reports(3)
	list[1].LoadPerMille = 990
	entries := Order(Query{
		Workspace:  "w",
		DataCentre: "dc1",
	}, list)
	if got, want := entries[2].Node, fleet.NodeID("n1"); got != want {
		t.Errorf("got %s last, want %s", got, want)
	}
}

// TestIsolatedNodeListsOthersFirst checks the response of a node that cannot reach the control
// group and so receives no heartbeats: it lists the others first, although they are in state
// dead, and itself last.
func TestIsolatedNodeListsOthersFirst(t *testing.T) {
	list := reports(3)
	list[0].State = roster.StateDead
	list[2].State = roster.StateDead
	entries := Order(Query{
		Workspace: "w",
		Isolated:  "n1",
	}, list)
	if got, want := len(entries), 3; got != want {
		t.Fatalf("got %d entries, want %d", got, want)
	}
	if got, want := entries[2].Node, fleet.NodeID("n1"); got != want {
		t.Errorf("got %s last, want %s", got, want)
	}
}
