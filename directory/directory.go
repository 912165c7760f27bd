// Package directory tells callers which entry nodes to use.
package directory

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
)

// maxEntries bounds the list that a caller gets.
const maxEntries = 5

// Query is what the order depends on.
type Query struct {
	Workspace fleet.WorkspaceID
	// DataCentre is where the caller is, if it said so.
	DataCentre fleet.DataCentre
	// Caller distinguishes callers of one workspace, so that a busy one is
	// spread over several nodes.
	Caller string
	// Isolated is set by a node that has lost the control group, and names
	// that node. It hears no other node, but cannot tell whether they are dead
	// or it is itself cut off. Its callers, who may reach the others, are told
	// of them first and of the node itself last.
	Isolated fleet.NodeID
}

// Entry is one entry node in a caller's list.
type Entry struct {
	Node       fleet.NodeID     `json:"node"`
	Address    netip.AddrPort   `json:"address"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
}

// Order lists the entry nodes that a caller is to try, the first first. Nodes that
// are stopping or dead are left out; overloaded ones come last.
//
// The order of the nodes of one workspace is that of a rendezvous hash. So a
// workspace's requests meet on one node, which keeps its leases and its prompt
// prefixes together, and when a node goes only its own workspaces move. A workspace
// whose first node is busy is spread: its callers start at different places among
// the first two, three or four nodes.
func Order(q Query, reports []roster.Report) []Entry {
	var live []roster.Report
	for _, r := range reports {
		usable := r.State == roster.StateUp || r.State == roster.StateDead && q.Isolated != ""
		if usable && r.CallerAddress.IsValid() {
			live = append(live, r)
		}
	}
	slices.SortFunc(live, func(a, b roster.Report) int { return compare(q, a, b) })
	rotate(q, live)
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

func compare(q Query, a, b roster.Report) int {
	if la, lb := a.Holder.Node == q.Isolated, b.Holder.Node == q.Isolated; la != lb {
		return order(lb)
	}
	if oa, ob := a.LoadPerMille >= roster.OverloadLoad, b.LoadPerMille >= roster.OverloadLoad; oa != ob {
		return order(ob)
	}
	if na, nb := a.DataCentre == q.DataCentre, b.DataCentre == q.DataCentre; na != nb && q.DataCentre != "" {
		return order(na)
	}
	return order(score(q.Workspace, a) > score(q.Workspace, b))
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

func score(workspace fleet.WorkspaceID, r roster.Report) uint64 {
	return xxhash.Sum64String(string(workspace) + "/" + string(r.Holder.Node))
}

// rotate lets callers of a busy workspace start at different nodes.
func rotate(q Query, live []roster.Report) {
	width := 1
	for width < len(live) && width < maxEntries-1 && live[width-1].LoadPerMille >= roster.BusyLoad {
		width++
	}
	if width < 2 {
		return
	}
	turn := int(xxhash.Sum64String(q.Caller) % uint64(width))
	head := slices.Clone(live[:width])
	for i := range head {
		live[i] = head[(i+turn)%width]
	}
}
