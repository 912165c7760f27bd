package lease

import (
	"testing"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// TestStoppedNodeGivesBackOnlyItsOwn stops a node that has quota that another lent, while a
// request runs on quota of its own lease. What was lent is spent for the ledger: given back
// with the lease it would free the quota of the request under way.
func TestStoppedNodeGivesBackOnlyItsOwn(t *testing.T) {
	w := newMeteredWorld(100_000, "a")
	n := w.nodes[0]
	n.pool.SetNeed(testBudget, 4000, w.now)
	w.send(n)
	w.deliver(0, false)
	const underWay = fleet.Tokens(4000)
	if !n.pool.Reserve(testBudget, underWay, w.now) {
		t.Fatal("got no quota, want it for the request")
	}
	n.pool.SetNeed(testBudget, 0, w.now)
	n.pool.AddBorrowed(testBudget, 3000, w.now)
	for _, change := range n.pool.ReturnAll() {
		w.state.ChangeLease(change)
	}
	view, _ := w.state.Budget(testBudget)
	if got := view.Leased + view.Settled; got < underWay {
		t.Errorf("got %d tokens accounted for after the stop, want the %d of the request under way", got, underWay)
	}
}
