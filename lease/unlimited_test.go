package lease

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// noTotal is a total that no budget reaches.
const noTotal fleet.Tokens = 1 << 53

// unlimitedNode adds to a node what the test knows of it.
type unlimitedNode struct {
	*meteredNode
	// beyond is what the node has overdrawn and the ledger may not know, as the last change that it has applied may be
	// number overdrawnAt or an earlier one.
	beyond      fleet.Tokens
	overdrawnAt uint64
}

// unlimitedCluster is a cluster whose budget has a total at times only. Nodes learn of a change later than the ledger.
type unlimitedCluster struct {
	*meteredCluster
	nodes []*unlimitedNode
	// lost is what killed nodes had overdrawn.
	lost fleet.Tokens
	// most is what may be consumed in all, other than by overdrafts.
	most fleet.Tokens
}

func newUnlimitedCluster(names ...fleet.NodeID) *unlimitedCluster {
	c := &unlimitedCluster{
		meteredCluster: newMeteredCluster(noTotal),
		most:           noTotal,
	}
	for _, name := range names {
		n := &unlimitedNode{meteredNode: &meteredNode{}}
		c.nodes = append(c.nodes, n)
		c.meteredCluster.nodes = append(c.meteredCluster.nodes, n.meteredNode)
		c.restart(n, name, "boot", false)
	}
	return c
}

// restart starts a node's next incarnation, which knows the newest total.
func (c *unlimitedCluster) restart(n *unlimitedNode, name fleet.NodeID, boot string, seen bool) {
	for _, amount := range n.reserved {
		c.spent += amount
	}
	c.lost += n.beyond
	n.beyond = 0
	c.start(n.meteredNode, name, boot, seen)
	c.learn(n)
}

// learn tells a node the newest total.
func (c *unlimitedCluster) learn(n *unlimitedNode) {
	var unlimited []fleet.BudgetID
	if c.prepaid >= noTotal {
		unlimited = append(unlimited, testBudget)
	}
	n.pool.SetUnlimited(unlimited)
	n.pool.SetHeldBudgets(300, []fleet.BudgetID{testBudget}, c.now)
}

// setTotal changes the total at the ledger.
func (c *unlimitedCluster) setTotal(total fleet.Tokens) {
	c.prepaid = total
	for _, recall := range c.state.SetMeteredPrepaid(testBudget, total) {
		for _, n := range c.nodes {
			if n.holder == recall.Holder {
				n.pool.Recall(recall.Budget, c.now)
			}
		}
	}
	view, _ := c.state.Budget(testBudget)
	c.most = max(total, view.Settled+view.Leased)
}

// overdraw lets a node that knows of no total serve a request which it cannot lease quota for.
func (c *unlimitedCluster) overdraw(n *unlimitedNode, amount fleet.Tokens) {
	if !n.pool.Unlimited(testBudget) {
		return
	}
	n.reserved = append(n.reserved, amount)
	if n.pool.Reserve(testBudget, amount, c.now) {
		return
	}
	n.pool.Overdraw(testBudget, amount, c.now)
	n.beyond += amount
	n.overdrawnAt = n.pool.budgets[testBudget].seq
}

// exchange has a node report and get its result.
func (c *unlimitedCluster) exchange(n *unlimitedNode) {
	c.now += reportInterval
	at := len(c.commands)
	c.send(n.meteredNode)
	for len(c.commands) > at {
		c.deliver(at, false)
	}
	q := n.pool.quota(testBudget, c.now)
	if q.pending == nil && q.seq > n.overdrawnAt && q.overdrawn() == 0 {
		n.beyond = 0
	}
}

// check returns an error if something was consumed that the ledger counts neither as settled nor as leased, or if it counts more
// than a total allows that has come.
func (c *unlimitedCluster) check() error {
	consumed, beyond := c.spent, c.lost
	for _, n := range c.nodes {
		beyond += n.beyond
		for _, amount := range n.reserved {
			consumed += amount
		}
	}
	view, _ := c.state.Budget(testBudget)
	if counted := view.Settled + view.Leased; counted+beyond < consumed {
		return fmt.Errorf("got %d settled, %d leased and %d overdrawn, want the %d consumed or more", view.Settled, view.Leased, beyond, consumed)
	}
	if got := view.Settled + view.Leased; got > c.most {
		return fmt.Errorf("got %d settled or leased, want at most %d", got, c.most)
	}
	return nil
}

// TestConsumptionWithoutTotalIsForgotten consumes from a budget that has a total at times, on nodes that learn of it late, are killed
// and lose power. Guards against a total that begins at nothing consumed, as what came before it was not recorded.
func TestConsumptionWithoutTotalIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []fleet.NodeID{"a", "b", "c"}
		c := newUnlimitedCluster(names...)
		node := func() int { return rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node") }
		amount := func() fleet.Tokens {
			return fleet.Tokens(rapid.SampledFrom([]int{10, 100, 400}).Draw(t, "amount"))
		}
		actions := map[string]func(*rapid.T){
			"begin": func(*rapid.T) {
				n, cost := c.nodes[node()], amount()
				if n.pool.Reserve(testBudget, cost, c.now) {
					n.reserved = append(n.reserved, cost)
					return
				}
				n.pool.SetNeed(testBudget, cost, c.now)
			},
			"overdraw": func(*rapid.T) { c.overdraw(c.nodes[node()], amount()) },
			"finish": func(t *rapid.T) {
				n := c.nodes[node()]
				if len(n.reserved) == 0 {
					return
				}
				cost := n.reserved[0]
				n.reserved = n.reserved[1:]
				spent := cost * fleet.Tokens(rapid.IntRange(0, 2).Draw(t, "halves")) / 2
				c.spent += spent
				n.pool.Release(testBudget, cost, spent, c.now)
				n.pool.SetNeed(testBudget, 0, c.now)
			},
			"burn":     func(*rapid.T) { c.spendUp(c.nodes[node()].meteredNode, 20) },
			"exchange": func(*rapid.T) { c.exchange(c.nodes[node()]) },
			"send":     func(*rapid.T) { c.send(c.nodes[node()].meteredNode) },
			"deliver": func(t *rapid.T) {
				if len(c.commands) > 0 {
					i := rapid.IntRange(0, len(c.commands)-1).Draw(t, "command")
					c.deliver(i, rapid.IntRange(0, 3).Draw(t, "fault") == 0)
				}
			},
			"lend": func(*rapid.T) {
				from, to := c.nodes[node()], c.nodes[node()]
				if from != to {
					to.pool.AddBorrowed(testBudget, from.pool.Lend(testBudget, 300, c.now), c.now)
				}
			},
			"wait": func(t *rapid.T) {
				c.now += time.Duration(rapid.SampledFrom([]int{20, 250, 600, 3000, 12_000}).Draw(t, "ms")) * time.Millisecond
			},
			"kill": func(t *rapid.T) {
				i := node()
				boot := rapid.SampledFrom([]string{"boot", fmt.Sprint(c.now)}).Draw(t, "boot")
				c.restart(c.nodes[i], names[i], boot, rapid.Bool().Draw(t, "seen"))
			},
			"total": func(t *rapid.T) {
				c.setTotal(fleet.Tokens(rapid.SampledFrom([]int{0, 500, 4000, 20_000}).Draw(t, "total")))
			},
			"noTotal":  func(*rapid.T) { c.setTotal(noTotal) },
			"learn":    func(*rapid.T) { c.learn(c.nodes[node()]) },
			"snapshot": func(*rapid.T) { c.state = ledger.FromImage(c.state.Image()) },
		}
		order := slices.Sorted(maps.Keys(actions))
		for range meteredSteps {
			name := rapid.SampledFrom(order).Draw(t, "action")
			actions[name](t)
			if err := c.check(); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
	})
}

// TestUnlimitedLeaseFollowsSpending guards against nodes that lease a part of a total that does not exist: a killed one would forfeit
// it, and a total that comes would be spent before it began.
func TestUnlimitedLeaseFollowsSpending(t *testing.T) {
	const cost = 1000
	c := newUnlimitedCluster("a", "b")
	n := c.nodes[0]
	c.exchange(c.nodes[1])
	for range 40 {
		n.pool.SetNeed(testBudget, cost, c.now)
		c.exchange(n)
		if !n.pool.Reserve(testBudget, cost, c.now) {
			t.Fatal("got no quota of a budget without a total")
		}
		n.pool.SetNeed(testBudget, 0, c.now)
		n.pool.Release(testBudget, cost, cost, c.now)
		c.spent += cost
	}
	view, _ := c.state.Budget(testBudget)
	if got, most := view.Leased, fleet.Tokens(2*cost*15); got > most {
		t.Errorf("got %d leased at 2000 a second, want %d at most", got, most)
	}
	c.now += reportInterval
	c.restart(n, "a", "other boot", false)
	view, _ = c.state.Budget(testBudget)
	if got, most := view.Settled-c.spent, fleet.Tokens(2*cost*15); got > most {
		t.Errorf("got %d forfeited, want %d at most", got, most)
	}
}

// TestPlannedStopReportsOverdraft stops a node that has served beyond its lease. Guards against consumption that ends with the process.
func TestPlannedStopReportsOverdraft(t *testing.T) {
	c := newUnlimitedCluster("a")
	n := c.nodes[0]
	c.overdraw(n, 700)
	n.pool.Release(testBudget, 700, 600, c.now)
	for _, change := range n.pool.ReturnAll() {
		c.state.ChangeLease(change)
	}
	view, _ := c.state.Budget(testBudget)
	if got, want := view.Settled, fleet.Tokens(600); got != want || view.Leased != 0 {
		t.Errorf("got %d settled and %d leased, want %d and 0", got, view.Leased, want)
	}
}
