// Package keepers chooses the entry nodes that keep something for all others: an engine's
// board, a workspace's quota. Nodes that know of the same nodes agree without a message.
package keepers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// share is one in how many nodes is a keeper, least how many are at least. A node
	// talks to all keepers, so they stay few; a keeper hears of every request, so they
	// grow with the fleet.
	share = 8
	least = 8
)

// Node is an entry node that is up.
type Node struct {
	ID         fleet.NodeID
	DataCentre fleet.DataCentre
}

// Set is the keepers of a fleet. It does not change.
type Set struct {
	nodes []Node
}

// New chooses the keepers from all nodes that are up.
func New(up []Node) Set {
	nodes := slices.Clone(up)
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(a.ID, ""), weight(b.ID, "")), cmp.Compare(a.ID, b.ID))
	})
	return Set{nodes: nodes[:min(len(nodes), max(least, len(nodes)/share))]}
}

func weight(node fleet.NodeID, key string) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + key)
}

// Keeper returns who keeps what a key names, or none where no node is up. A keeper in the
// data centre is preferred, where there is one.
func (s Set) Keeper(key string, dataCentre fleet.DataCentre) fleet.NodeID {
	best, bestWeight, bestNear := fleet.NodeID(""), uint64(0), false
	for _, n := range s.nodes {
		w, near := weight(n.ID, key), n.DataCentre == dataCentre
		if best == "" || near && !bestNear || near == bestNear && w > bestWeight {
			best, bestWeight, bestNear = n.ID, w, near
		}
	}
	return best
}

// All returns the keepers.
func (s Set) All() []Node { return s.nodes }

// Replicas returns the n keepers that keep a copy of what a key names.
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
