// Package placement chooses the backend server for each request.
package placement

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Subset returns the backend servers that a node uses: size of them, or all if there
// are fewer.
//
// Nodes and servers are both sorted by hash. With N nodes and B servers, the node of
// rank i uses the servers from rank i*B/N on, wrapping around at the end. So each server
// is used by N*size/B nodes, plus or minus one, for any set of nodes. When a node joins
// or leaves, the first server of each other node moves by at most B/N ranks.
//
// Independent random subsets would spread the nodes unevenly: with 660 nodes that each
// use 38 of 2800 servers, the least used server would have 1 node and the most used 23.
// With this scheme all servers have 8 to 10.
func Subset(self fleet.NodeID, nodes []fleet.NodeID, servers []catalog.BackendServer, size int) []catalog.BackendServer {
	if len(servers) <= size {
		return servers
	}
	sortedServers := slices.Clone(servers)
	slices.SortFunc(sortedServers, func(a, b catalog.BackendServer) int {
		return compareByHash(string(a.ID), string(b.ID))
	})
	sortedNodes := slices.Clone(nodes)
	if !slices.Contains(sortedNodes, self) {
		sortedNodes = append(sortedNodes, self)
	}
	slices.SortFunc(sortedNodes, func(a, b fleet.NodeID) int {
		return compareByHash(string(a), string(b))
	})
	rank := slices.Index(sortedNodes, self)
	first := int(math.Round(float64(rank) * float64(len(sortedServers)) / float64(len(sortedNodes))))
	subset := make([]catalog.BackendServer, 0, size)
	for i := range size {
		subset = append(subset, sortedServers[(first+i)%len(sortedServers)])
	}
	return subset
}

// compareByHash orders strings by hash, and equal hashes by text.
func compareByHash(a, b string) int {
	ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return strings.Compare(a, b)
}
