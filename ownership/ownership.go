// Package ownership chooses the entry nodes, called owners, that hold shared state for all
// nodes: the claim registry of an engine or the quota of a workspace. Keys are assigned to
// owners by rendezvous hash, so that nodes with the same list of nodes agree without a
// message.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// One in nodesPerOwner nodes is an owner, and at least minOwners nodes are. Each node
	// connects to all owners, so they must be few. Owners receive messages for every request,
	// so their number must grow with the fleet.
	nodesPerOwner = 8
	minOwners     = 8
)

// Node is an entry node that is up.
type Node struct {
	ID         fleet.NodeID
	DataCentre fleet.DataCentre
}

// Set is the set of owners of a fleet. It is immutable.
type Set struct {
	nodes []Node
}

// New chooses the owners from the nodes that are up.
func New(up []Node) Set {
	nodes := slices.Clone(up)
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(a.ID, ""), weight(b.ID, "")), cmp.Compare(a.ID, b.ID))
	})
	return Set{nodes: nodes[:min(len(nodes), max(minOwners, len(nodes)/nodesPerOwner))]}
}

// weight returns the rendezvous hash of a node and a key.
func weight(node fleet.NodeID, key string) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + key)
}

// Owner returns the owner of a key, or an empty id if no node is up. It prefers owners in the
// given data centre.
func (s Set) Owner(key string, dataCentre fleet.DataCentre) fleet.NodeID {
	best, bestWeight, bestLocal := fleet.NodeID(""), uint64(0), false
	for _, n := range s.nodes {
		w, local := weight(n.ID, key), n.DataCentre == dataCentre
		if best == "" || local && !bestLocal || local == bestLocal && w > bestWeight {
			best, bestWeight, bestLocal = n.ID, w, local
		}
	}
	return best
}

// All returns all owners.
func (s Set) All() []Node { return s.nodes }

// Owners returns the first n owners in the hash order of a key, or the whole set if it has
// at most n.
func (s Set) Owners(key string, n int) []Node {
	if len(s.nodes) <= n {
		return s.nodes
	}
	weights := make(map[fleet.NodeID]uint64, len(s.nodes))
	for _, node := range s.nodes {
		weights[node.ID] = weight(node.ID, key)
	}
	nodes := slices.Clone(s.nodes)
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(weights[b.ID], weights[a.ID]) })
	return nodes[:n]
}
