// Package keepers chooses the entry nodes, called keepers, that hold shared state for all
// nodes: the claim registry of an engine or the quota of a workspace. Keys are assigned to
// keepers by rendezvous hash, so that nodes with the same list of nodes agree without a
// message.
package keepers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// One in nodesPerOwner nodes is a keeper, and at least minKeepers nodes are. A node talks
	// to all keepers, so they must be few. Keepers are told of every request, so their number
	// must grow with the fleet.
	nodesPerOwner = 8
	minOwners     = 8
)

// Node is an entry node that is up.
type Node struct {
	ID         fleet.NodeID
	DataCentre fleet.DataCentre
}

// Set is the set of keepers of a fleet. It is immutable.
type Set struct {
	nodes []Node
}

// New chooses the keepers from the nodes that are up.
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

// Keeper returns the keeper for a key, or an empty id if no node is up. It prefers keepers in
// the given data centre.
func (s Set) Keeper(key string, dataCentre fleet.DataCentre) fleet.NodeID {
	best, bestWeight, bestLocal := fleet.NodeID(""), uint64(0), false
	for _, n := range s.nodes {
		w, local := weight(n.ID, key), n.DataCentre == dataCentre
		if best == "" || local && !bestLocal || local == bestLocal && w > bestWeight {
			best, bestWeight, bestLocal = n.ID, w, local
		}
	}
	return best
}

// All returns the keepers.
func (s Set) All() []Node { return s.nodes }

// Replicas returns the n keepers that hold a replica of the state for a key.
func (s Set) Replicas(key string, n int) []Node {
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
