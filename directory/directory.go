// Package directory selects and orders the entry nodes that a caller should use.
package directory

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
)

// maxEntries bounds the list returned to a caller.
const maxEntries = 5

// Query describes the caller that asks for entry nodes.
type Query struct {
	Workspace fleet.WorkspaceID
	// DataCentre is the caller's data centre, or empty if the caller did not specify it.
	DataCentre fleet.DataCentre
	// Caller identifies the caller, so that the callers of a busy workspace are
	// spread over several nodes.
	Caller string
	// Isolated is the id of the responding node if it cannot reach the control
	// group, and empty otherwise. It receives no heartbeats, so it cannot distinguish
	// whether the other nodes have failed or it is partitioned from them. Its callers
	// may still reach the other nodes, so these are listed first, even if they are
	// in state dead, and the node itself last.
	Isolated fleet.NodeID
}

// Entry is one entry node in a caller's list.
type Entry struct {
	Node       fleet.NodeID     `json:"node"`
	Address    netip.AddrPort   `json:"address"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
}

// Order lists the entry nodes that a caller should try, in order of preference. Nodes
// that are stopping or dead are omitted; overloaded ones come last.
//
// The nodes are ordered by a rendezvous hash of the workspace. So the requests of a
// workspace arrive at one node, which keeps its leases and prompt prefixes together, and
// when a node stops or fails only its own workspaces move. If the first node of a workspace is
// busy, the workspace is spread: its callers start at different positions among the
// first two, three or four nodes.
func Order(q Query, reports []roster.Report) []Entry {
	var live []roster.Report
	for _, r := range reports {
		usable := r.State == roster.StateUp || r.State == roster.StateDead && q.Isolated != ""
		if usable && r.CallerAddress.IsValid() {
			live = append(live, r)
		}
	}
	slices.SortFunc(live, func(a, b roster.Report) int { return compare(q, a, b) })
	spreadBusyWorkspace(q, live)
	entries := make([]Entry, 0, maxEntries)
	for _, r := range live[:min(maxEntries, len(live))] {
		entries = append(entries, Entry{
			Node:       r.Holder.Node,
			Address:    r.CallerAddress,
			DataCentre: r.DataCentre,
		})
	}
	return entries
}

// compare orders nodes by preference: not isolated, not overloaded, in the caller's data
// centre, and then by score.
func compare(q Query, a, b roster.Report) int {
	if isolatedA, isolatedB := a.Holder.Node == q.Isolated, b.Holder.Node == q.Isolated; isolatedA != isolatedB {
		return boolOrder(isolatedB)
	}
	if overloadedA, overloadedB := a.LoadPerMille >= roster.OverloadLoad, b.LoadPerMille >= roster.OverloadLoad; overloadedA != overloadedB {
		return boolOrder(overloadedB)
	}
	if localA, localB := a.DataCentre == q.DataCentre, b.DataCentre == q.DataCentre; localA != localB && q.DataCentre != "" {
		return boolOrder(localA)
	}
	return boolOrder(score(q.Workspace, a) > score(q.Workspace, b))
}

// boolOrder returns the result of a comparison whose first operand is ordered first or last.
func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

// score returns the rendezvous hash of a workspace and a node.
func score(workspace fleet.WorkspaceID, r roster.Report) uint64 {
	return xxhash.Sum64String(string(workspace) + "/" + string(r.Holder.Node))
}

// spreadBusyWorkspace rotates the first nodes by caller if the first one is busy. The number
// of nodes grows by one for each busy node among them.
func spreadBusyWorkspace(q Query, live []roster.Report) {
	width := 1
	for width < len(live) && width < maxEntries-1 && live[width-1].LoadPerMille >= roster.BusyLoad {
		width++
	}
	if width < 2 {
		return
	}
	offset := int(xxhash.Sum64String(q.Caller) % uint64(width))
	head := slices.Clone(live[:width])
	for i := range head {
		live[i] = head[(i+offset)%width]
	}
}
