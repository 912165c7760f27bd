package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// keeperShare is one in how many nodes keeps boards, leastKeepers how many do at
	// least. A node talks to all keepers, so they stay few; a keeper hears of every
	// request to its engines, so they grow with the fleet.
	keeperShare  = 8
	leastKeepers = 8
)

// Keepers tells which node keeps the board of an engine. Nodes that know of the same nodes
// agree without a message.
type Keepers struct {
	nodes []fleet.NodeID
}

// NewKeepers chooses the keepers from all nodes that are up.
func NewKeepers(up []fleet.NodeID) Keepers {
	nodes := slices.Clone(up)
	slices.SortFunc(nodes, func(a, b fleet.NodeID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return Keepers{nodes: nodes[:min(len(nodes), max(leastKeepers, len(nodes)/keeperShare))]}
}

// Of returns the node that keeps an engine's board, or none where no node is up.
func (k Keepers) Of(engine fleet.BackendServerID) fleet.NodeID {
	best, bestWeight := fleet.NodeID(""), uint64(0)
	for _, node := range k.nodes {
		weight := xxhash.Sum64String(string(node) + "\x00" + string(engine))
		if best == "" || weight > bestWeight {
			best, bestWeight = node, weight
		}
	}
	return best
}
