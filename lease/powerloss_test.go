package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// losePower makes the first nodes of the workload lose power together with the control group, so that
// nothing bounds when their processes ended. Their requests are aborted. It returns how many tokens
// were forfeited and not spent.
func (w *testWorkload) losePower(nodes int) fleet.Tokens {
	lost := map[*meteredNode]bool{}
	for i, n := range w.cluster.nodes[:nodes] {
		lost[n] = true
		delete(w.waiting, n)
		w.cluster.start(n, fleet.NodeID(fmt.Sprint(i)), fmt.Sprint(w.cluster.now), false)
		n.pool.SetHeldBudgets(int64(MeteredPerMille/len(w.cluster.nodes)), []fleet.BudgetID{testBudget}, w.cluster.now)
	}
	if w.holders > 0 {
		w.hold()
	}
	var running []workloadRequest
	for _, r := range w.running {
		if !lost[r.node] {
			running = append(running, r)
		}
	}
	w.running = running
	return w.unaccounted()
}

// unaccounted returns what counts as spent and was not, nor is reserved.
func (w *testWorkload) unaccounted() fleet.Tokens {
	view, _ := w.cluster.state.Budget(testBudget)
	out := view.Settled - w.cluster.spent
	for _, n := range w.cluster.nodes {
		if q := n.pool.budgets[testBudget]; q != nil {
			out += q.spent
		}
	}
	return out
}

// TestPowerLossForfeitsLittle has five losses of power in ten minutes, of one node, a third of the
// nodes or all, with the control group, under a total that lasts 1.3 times as long as the day. Quota
// that counts as spent although it was not must stay under 3% of the total for each loss and under 8%
// for all.
func TestPowerLossForfeitsLittle(t *testing.T) {
	const day = 10 * time.Minute
	for _, nodes := range []int{3, 8} {
		for _, test := range []struct {
			name   string
			losses []int
		}{
			{
				name:   "all each time",
				losses: []int{nodes, nodes, nodes, nodes, nodes},
			},
			{
				name:   "one, a third, all",
				losses: []int{1, (nodes + 2) / 3, nodes, 1, nodes},
			},
		} {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, test.name), func(t *testing.T) {
				const rate = 60_000
				prepaid := fleet.Tokens(rate * day.Seconds() * 1.3)
				w := newTestWorkload(nodes, prepaid, rate)
				before := fleet.Tokens(0)
				for _, lost := range test.losses {
					w.run(day / 6)
					after := w.losePower(lost)
					t.Logf("%d nodes lost power: %d per mille of the total forfeited", lost, 1000*(after-before)/prepaid)
					if part := 1000 * (after - before) / prepaid; part >= 30 {
						t.Errorf("got %d per mille forfeited in one loss, want less than 30", part)
					}
					before = after
					w.requested, w.rejected = 0, 0
					w.run(12 * time.Second)
					if 2*w.rejected > w.requested {
						t.Errorf("got %d of %d tokens rejected within 12 s, want at most half", w.rejected, w.requested)
					}
				}
				if part := 1000 * before / prepaid; part >= 80 {
					t.Errorf("got %d per mille forfeited in all, want less than 80", part)
				}
			})
		}
	}
}

// TestForfeitCoversSpendingInPartition cuts a node off for up to a minute, in which it spends all that
// it may, and then makes it lose power together with the control group. All that it spent must count.
func TestForfeitCoversSpendingInPartition(t *testing.T) {
	for _, alone := range []time.Duration{0, time.Second, LimitRise, LimitRise + time.Second, time.Minute} {
		c := newMeteredCluster(1_000_000, "a")
		n := c.nodes[0]
		for range 20 {
			c.now += reportInterval
			c.spendUp(n, 100)
			n.pool.SetNeed(testBudget, 0, c.now)
			c.send(n)
			for len(c.commands) > 0 {
				c.deliver(0, false)
			}
		}
		before := c.spent
		for end := c.now + alone; c.now < end; c.now += reportInterval {
			c.spendUp(n, 100)
		}
		c.spendUp(n, 100)
		c.start(n, "a", "other boot", false)
		view, _ := c.state.Budget(testBudget)
		if view.Settled < c.spent {
			t.Errorf("alone for %s: got %d settled, want at least the %d spent", alone, view.Settled, c.spent)
		}
		if view.Leased != 0 {
			t.Errorf("alone for %s: got %d still leased, want 0", alone, view.Leased)
		}
		t.Logf("alone for %s: spent %d, forfeited %d", alone, c.spent-before, view.Settled-before)
	}
}
