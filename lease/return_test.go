package lease

import (
	"testing"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// TestStoppedNodeReturnsOnlyItsOwnLease stops a node that has borrowed quota while a request
// runs on quota of its own lease. The ledger counts borrowed quota as spent already, so
// returning it with the lease would free the quota of the request in flight.
func TestStoppedNodeReturnsOnlyItsOwnLease(t *testing.T) {
	c := newMeteredCluster(100_000, "a")
	n := c.nodes[0]
	n.pool.SetNeed(testBudget, 4000, c.now)
	c.send(n)
	c.deliver(0, false)
	const inFlight = fleet.Tokens(4000)
	if !n.pool.Reserve(testBudget, inFlight, c.now) {
		t.Fatal("got no quota for the request, want a reservation")
	}
	n.pool.SetNeed(testBudget, 0, c.now)
	n.pool.AddBorrowed(testBudget, 3000, c.now)
	for _, change := range n.pool.ReturnAll() {
		c.state.ChangeLease(change)
	}
	view, _ := c.state.Budget(testBudget)
	if got := view.Leased + view.Settled; got < inFlight {
		t.Errorf("got %d tokens accounted for after the stop, want at least the %d of the request in flight", got, inFlight)
	}
}
