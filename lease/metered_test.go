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

// meteredNode is an entry node. Its process may be killed and restarted on a VM whose
// clock continues.
type meteredNode struct {
	pool       *Pool
	holder     fleet.Holder
	startCount uint64
	reserved   []fleet.Tokens
	// lastChangeAt is when the incarnation's latest applied change was made.
	lastChangeAt time.Duration
}

// meteredCluster is a ledger and its nodes, connected by a network that loses results and
// delays commands.
type meteredCluster struct {
	state   *ledger.State
	nodes   []*meteredNode
	now     time.Duration
	prepaid fleet.Tokens
	spent   fleet.Tokens
	// forfeited counts what joins forfeited, the unreported spending of ended
	// incarnations included.
	forfeited fleet.Tokens
	commands  []meteredCommand
	// unnamed makes the nodes that start name no end of the rise of their limits, as the build
	// before does.
	unnamed bool
}

type meteredCommand struct {
	node       *meteredNode
	startCount uint64
	change     ledger.LeaseChange
}

// newMeteredCluster returns a cluster with one budget and the first incarnations of the
// named nodes.
func newMeteredCluster(prepaid fleet.Tokens, names ...fleet.NodeID) *meteredCluster {
	c := &meteredCluster{
		state:   ledger.New(),
		prepaid: prepaid,
		now:     time.Minute,
	}
	c.state.SetMeteredPrepaid(testBudget, c.prepaid)
	for _, name := range names {
		n := &meteredNode{}
		c.nodes = append(c.nodes, n)
		c.start(n, name, "boot", false)
	}
	return c
}

// start starts a node's next incarnation. seen is true if the leader has the time of the
// previous incarnation's latest change.
func (c *meteredCluster) start(n *meteredNode, name fleet.NodeID, boot string, seen bool) {
	n.startCount++
	since := time.Duration(0)
	if seen && n.lastChangeAt > 0 {
		since = c.now - n.lastChangeAt + 1
	}
	n.lastChangeAt = 0
	n.holder = fleet.Holder{Node: name}
	join := ledger.Join{
		Holder:          n.holder,
		Nonce:           n.startCount,
		Boot:            boot,
		Started:         c.now,
		SinceLastChange: since,
		LimitRise:       LimitRise,
	}
	if c.unnamed {
		join.LimitRise = 0
	}
	c.state.BoundJoin(&join)
	incarnation, forfeit := c.state.AssignIncarnation(join)
	c.forfeited += forfeit.Spent
	n.holder.Incarnation = incarnation
	n.reserved = nil
	n.pool = New(Config{
		Holder:    n.holder,
		Partition: 10 * time.Second,
		Policy:    PolicyMetered,
	})
	n.pool.SetHeldBudgets(300, []fleet.BudgetID{testBudget}, c.now)
}

// send puts a node's changes on the network.
func (c *meteredCluster) send(n *meteredNode) {
	for _, change := range n.pool.Changes(c.now) {
		c.commands = append(c.commands, meteredCommand{
			node:       n,
			startCount: n.startCount,
			change:     change,
		})
	}
}

// deliver applies a command, and drops its result if loseResult is set. Commands of ended
// incarnations are delivered too, but their results are dropped.
func (c *meteredCluster) deliver(i int, loseResult bool) {
	cmd := c.commands[i]
	c.commands = append(c.commands[:i:i], c.commands[i+1:]...)
	result, recalls := c.state.ChangeLease(cmd.change)
	if cmd.startCount == cmd.node.startCount {
		cmd.node.lastChangeAt = max(cmd.node.lastChangeAt, cmd.change.At)
	}
	for _, recall := range recalls {
		for _, n := range c.nodes {
			if n.holder == recall.Holder {
				n.pool.Recall(recall.Budget, c.now)
			}
		}
	}
	if !loseResult && cmd.startCount == cmd.node.startCount {
		cmd.node.pool.ApplyResult(testBudget, result)
	}
}

// spendUp spends as much as a node is allowed to, up to 60 times the amount, so that the
// budget runs low.
func (c *meteredCluster) spendUp(n *meteredNode, amount fleet.Tokens) {
	for range 60 {
		if !n.pool.Reserve(testBudget, amount, c.now) {
			n.pool.SetNeed(testBudget, amount, c.now)
			return
		}
		c.spent += amount
		n.pool.Release(testBudget, amount, amount, c.now)
	}
}

// TestMeteredSpendStaysWithinPrepaid kills nodes, delays their commands, makes them lend
// quota and advances the time, and checks that spending never exceeds the prepaid amount.
// It fails without the limit of a pending change, the charge for a killed node, or the
// report of lent quota.
func TestMeteredSpendStaysWithinPrepaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []fleet.NodeID{"a", "b", "c"}
		c := newMeteredCluster(4000, names...)
		node := func() int { return rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node") }
		actions := map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				n := c.nodes[node()]
				amount := fleet.Tokens(rapid.SampledFrom([]int{10, 100, 400}).Draw(t, "amount"))
				if n.pool.Reserve(testBudget, amount, c.now) {
					n.reserved = append(n.reserved, amount)
				} else {
					n.pool.SetNeed(testBudget, amount, c.now)
					n.pool.SetWaiting(testBudget, amount*fleet.Tokens(rapid.IntRange(1, 3).Draw(t, "waiting")), c.now)
				}
			},
			"finish": func(t *rapid.T) {
				n := c.nodes[node()]
				if len(n.reserved) == 0 {
					return
				}
				amount := n.reserved[0]
				n.reserved = n.reserved[1:]
				spent := amount * fleet.Tokens(rapid.IntRange(0, 2).Draw(t, "halves")) / 2
				c.spent += spent
				n.pool.Release(testBudget, amount, spent, c.now)
				n.pool.SetNeed(testBudget, 0, c.now)
			},
			"burn": func(t *rapid.T) {
				n := c.nodes[node()]
				amount := fleet.Tokens(rapid.SampledFrom([]int{20, 100}).Draw(t, "amount"))
				c.spendUp(n, amount)
			},
			"exchange": func(*rapid.T) {
				n := c.nodes[node()]
				c.now += reportInterval
				at := len(c.commands)
				c.send(n)
				for len(c.commands) > at {
					c.deliver(at, false)
				}
			},
			"send": func(*rapid.T) { c.send(c.nodes[node()]) },
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "commands") {
					if len(c.commands) == 0 {
						return
					}
					i := rapid.IntRange(0, len(c.commands)-1).Draw(t, "command")
					c.deliver(i, rapid.IntRange(0, 3).Draw(t, "fault") == 0)
				}
			},
			"lend": func(t *rapid.T) {
				from, to := c.nodes[node()], c.nodes[node()]
				if from == to {
					return
				}
				lent := from.pool.Lend(testBudget, 300, c.now)
				if rapid.Bool().Draw(t, "arrives") {
					to.pool.AddBorrowed(testBudget, lent, c.now)
				}
			},
			"wait": func(t *rapid.T) {
				c.now += time.Duration(rapid.SampledFrom([]int{20, 250, 600, 3000}).Draw(t, "ms")) * time.Millisecond
			},
			"kill": func(t *rapid.T) {
				i := node()
				n := c.nodes[i]
				// The requests in flight may have spent all they reserved.
				for _, amount := range n.reserved {
					c.spent += amount
				}
				boot := "boot"
				if rapid.IntRange(0, 3).Draw(t, "reboot") == 0 {
					boot = rapid.StringN(4, 4, 4).Draw(t, "boot")
				}
				c.now += time.Duration(rapid.SampledFrom([]int{0, 500, 4000}).Draw(t, "down")) * time.Millisecond
				c.unnamed = rapid.IntRange(0, 3).Draw(t, "unnamed") == 0
				c.start(n, names[i], boot, rapid.Bool().Draw(t, "seen"))
			},
			// Some or all VMs lose power, the leader among them, so that nothing bounds when
			// their processes ended.
			"powerLoss": func(t *rapid.T) {
				c.now += time.Duration(rapid.SampledFrom([]int{0, 400, 2000, 9000}).Draw(t, "alone")) * time.Millisecond
				for i, n := range c.nodes {
					if rapid.IntRange(0, 3).Draw(t, "spared") == 0 {
						continue
					}
					c.spendUp(n, 20)
					for _, amount := range n.reserved {
						c.spent += amount
					}
					c.start(n, names[i], fmt.Sprint(c.now), false)
				}
			},
			"topUp": func(t *rapid.T) {
				c.prepaid += fleet.Tokens(rapid.IntRange(0, 300).Draw(t, "tokens"))
				c.state.SetMeteredPrepaid(testBudget, c.prepaid)
			},
			"snapshot": func(*rapid.T) { c.state = ledger.FromImage(c.state.Image()) },
		}
		check := func() {
			inUse := fleet.Tokens(0)
			for _, n := range c.nodes {
				for _, amount := range n.reserved {
					inUse += amount
				}
			}
			if c.spent+inUse > c.prepaid {
				t.Fatalf("got %d spent and %d reserved, want at most %d in total", c.spent, inUse, c.prepaid)
			}
			view, _ := c.state.Budget(testBudget)
			if view.Settled+view.Leased > view.Prepaid {
				t.Fatalf("got %d settled and %d leased, want at most %d in total", view.Settled, view.Leased, view.Prepaid)
			}
		}
		order := slices.Sorted(maps.Keys(actions))
		for range meteredSteps {
			actions[rapid.SampledFrom(order).Draw(t, "action")](t)
			check()
		}
		for range meteredSteps {
			i := rapid.IntRange(0, 2).Draw(t, "last")
			actions["exchange"](t)
			c.spendUp(c.nodes[i], 20)
			check()
		}
	})
}

// meteredSteps is the number of random actions, enough to exhaust the budget.
const meteredSteps = 100

// TestKilledNodeForfeitsOnlyUpToItsLimit kills a node half a second after its last report.
// Only what its limit allows counts as spent, so most of the lease must return to the
// budget.
func TestKilledNodeForfeitsOnlyUpToItsLimit(t *testing.T) {
	c := newMeteredCluster(1_000_000, "a")
	n := c.nodes[0]
	for range 20 {
		c.now += reportInterval
		if n.pool.Reserve(testBudget, 1000, c.now) {
			n.pool.Release(testBudget, 1000, 1000, c.now)
			c.spent += 1000
		}
		c.send(n)
		for len(c.commands) > 0 {
			c.deliver(0, false)
		}
	}
	view, _ := c.state.Budget(testBudget)
	if view.Leased < 40_000 {
		t.Fatalf("got %d leased before the kill, want at least 40000 for the test to be meaningful", view.Leased)
	}
	c.now += 500 * time.Millisecond
	c.start(n, "a", "boot", false)
	view, _ = c.state.Budget(testBudget)
	if lost := view.Settled - c.spent; lost > 25_000 {
		t.Errorf("got %d forfeited by the killed process, want at most 25000", lost)
	}
	if view.Leased != 0 {
		t.Errorf("got %d still leased, want 0", view.Leased)
	}
}

// TestStoppedNodeIsChargedForRequestsInFlight stops a node while a request runs. The stop
// aborts the request, but its reservation may have been spent and must not return to the
// budget.
func TestStoppedNodeIsChargedForRequestsInFlight(t *testing.T) {
	c := newMeteredCluster(100_000, "a")
	n := c.nodes[0]
	n.pool.SetNeed(testBudget, 4000, c.now)
	c.send(n)
	c.deliver(0, false)
	if !n.pool.Reserve(testBudget, 4000, c.now) {
		t.Fatal("got no quota for the request, want a reservation")
	}
	for _, change := range n.pool.ReturnAll() {
		c.state.ChangeLease(change)
	}
	c.now += time.Second
	c.start(n, "a", "boot", false)
	view, _ := c.state.Budget(testBudget)
	if got, want := view.Settled, fleet.Tokens(4000); got < want {
		t.Errorf("got %d settled, want at least the %d of the request in flight", got, want)
	}
}
