package controlclient

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
)

// carryTime is how long a node stays in the roster that the replica which is followed has not reported. A replica that has just
// started hears all nodes within a heartbeat interval, by itself or through the others. A dead node leaves the directory within 3 s
// also if its replica died with it.
const carryTime = 2 * roster.HeartbeatInterval

// carryRoster returns the roster with which the node begins to follow another replica.
func (c *Client) carryRoster(now time.Duration) map[fleet.NodeID]roster.Report {
	known := map[fleet.NodeID]roster.Report{}
	for _, report := range c.Roster() {
		node := report.Holder.Node
		known[node] = report
		if _, ok := c.carried[node]; !ok {
			c.carried[node] = now
		}
	}
	return known
}

// dropCarried removes the nodes that were carried for carryTime, and reports whether there were any.
func (c *Client) dropCarried(known map[fleet.NodeID]roster.Report, now time.Duration) bool {
	dropped := false
	for node, since := range c.carried {
		if now-since >= carryTime {
			delete(c.carried, node)
			delete(known, node)
			dropped = true
		}
	}
	return dropped
}
