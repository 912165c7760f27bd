package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// testHolders is how many nodes of a large fleet hold a budget; the others draw from them.
	testHolders = 8
	// drawRetention and drawRetained are how long, and how much, a node keeps of what it drew.
	drawRetention = time.Second
	drawRetained  = 1000
)

// newDrawingWorkload returns the traffic of one workspace on a fleet in which only the first
// testHolders nodes hold its budget.
func newDrawingWorkload(nodes int, prepaid fleet.Tokens, rate, meanCost float64) *testWorkload {
	w := newTestWorkload(nodes, prepaid, rate)
	w.meanCost = meanCost
	w.holders = testHolders
	w.hold()
	return w
}

// hold makes the first nodes hold the budget.
func (w *testWorkload) hold() {
	for i, n := range w.cluster.nodes {
		var budgets []fleet.BudgetID
		if i < w.holders {
			budgets = []fleet.BudgetID{testBudget}
		}
		n.pool.SetHeldBudgets(int64(MeteredPerMille/w.holders), budgets, w.cluster.now)
	}
}

// draws reports whether the node draws from the holders.
func (w *testWorkload) draws(node *meteredNode) bool {
	return w.holders > 0 && !w.holds(node)
}

func (w *testWorkload) holds(node *meteredNode) bool {
	for _, n := range w.cluster.nodes[:w.holders] {
		if n == node {
			return true
		}
	}
	return false
}

// reserveDrawn reserves quota that the node draws from one of three holders.
func (w *testWorkload) reserveDrawn(node *meteredNode, cost fleet.Tokens) bool {
	now := w.cluster.now
	if node.pool.Reserve(testBudget, cost, now) {
		return true
	}
	wanted := node.pool.Shortfall(testBudget, cost)
	if wanted == 0 {
		wanted = cost
	}
	for _, i := range w.rng.Perm(w.holders)[:3] {
		holder := w.cluster.nodes[i].pool
		if !holder.Reserve(testBudget, wanted, now) {
			w.drawNeeds[w.cluster.nodes[i]] = append(w.drawNeeds[w.cluster.nodes[i]], wanted)
			continue
		}
		holder.Release(testBudget, wanted, wanted, now)
		node.pool.AddBorrowed(testBudget, wanted, now)
		return node.pool.Reserve(testBudget, cost, now)
	}
	return false
}

// returnDrawn returns to the first holder what the drawing nodes hold and do not need.
func (w *testWorkload) returnDrawn() {
	now := w.cluster.now
	for _, n := range w.cluster.nodes {
		if !w.draws(n) {
			continue
		}
		keep := fleet.Tokens(drawRetained)
		if len(n.pool.IdleBorrowed(drawRetention, now)) > 0 {
			keep = 0
		}
		if amount := n.pool.TakeBorrowed(testBudget, keep, now); amount > 0 {
			w.cluster.nodes[0].pool.AddBorrowed(testBudget, amount, now)
		}
	}
}

// TestPowerLossOfLargeFleetForfeitsLittle guards against budgets that one loss of power of all VMs and the
// control group takes a sixth of: 8 of 65 nodes hold totals that last 45 to 65 s, the others draw.
func TestPowerLossOfLargeFleetForfeitsLittle(t *testing.T) {
	const (
		nodes       = 65
		lossAt      = 38 * time.Second
		recoverTime = 15 * time.Second
	)
	for _, test := range []struct {
		prepaid  fleet.Tokens
		lasts    time.Duration
		meanCost float64
	}{
		{
			prepaid:  1_000_000,
			lasts:    45 * time.Second,
			meanCost: 1_400,
		},
		{
			prepaid:  1_000_000,
			lasts:    65 * time.Second,
			meanCost: 9_000,
		},
		{
			prepaid:  6_000_000,
			lasts:    55 * time.Second,
			meanCost: 9_000,
		},
		{
			prepaid:  37_000_000,
			lasts:    45 * time.Second,
			meanCost: 17_000,
		},
		{
			prepaid:  37_000_000,
			lasts:    65 * time.Second,
			meanCost: 9_000,
		},
	} {
		t.Run(fmt.Sprintf("%d tokens for %s, %.0f a request", test.prepaid, test.lasts, test.meanCost), func(t *testing.T) {
			rate := float64(test.prepaid) / test.lasts.Seconds()
			w := newDrawingWorkload(nodes, test.prepaid, rate, test.meanCost)
			w.run(lossAt)
			inFlight := fleet.Tokens(0)
			for _, r := range w.running {
				inFlight += r.cost
			}
			lost := w.losePower(nodes)
			t.Logf("lost %d per mille of the total, %d per mille in flight", 1000*lost/test.prepaid, 1000*inFlight/test.prepaid)
			if part := 1000 * lost / test.prepaid; part >= 50 {
				t.Errorf("got %d per mille forfeited or drawn and lost, want less than 50", part)
			}
			w.requested = 0
			before := w.cluster.spent
			w.run(recoverTime)
			allowed := min(test.prepaid-before, w.requested)
			if got := w.cluster.spent - before; 2*got < allowed {
				t.Errorf("got %d tokens served within %s, want at least half of the %d that the budget allows", got, recoverTime, allowed)
			}
			if w.cluster.spent > test.prepaid {
				t.Errorf("got %d spent, want at most %d", w.cluster.spent, test.prepaid)
			}
		})
	}
}

// TestCrowdedHolderServesAfterRestart guards against a holder that has quota and spends it one waiting request
// at a time: its limits followed what it had spent, which is nothing after a restart.
func TestCrowdedHolderServesAfterRestart(t *testing.T) {
	const (
		nodes = 8
		rate  = 850_000
	)
	w := newTestWorkload(nodes, rate*120, rate)
	w.meanCost = 8_000
	w.focus = 0.5
	w.commitTime = 100 * time.Millisecond
	w.run(20 * time.Second)
	w.losePower(nodes)
	w.requested, w.rejected = 0, 0
	w.run(3 * time.Second)
	if 10*w.rejected > w.requested {
		t.Errorf("got %d of %d tokens rejected within 3 s after the restart, want at most a tenth", w.rejected, w.requested)
	}
}
