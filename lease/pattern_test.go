package lease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// crowd is one workspace's traffic, spread over entry nodes at random.
type crowd struct {
	world *meteredWorld
	rng   *rand.Rand
	// rate is what the workspace asks for, in tokens a second, and mean the mean
	// cost of a request. Costs have a heavy tail.
	rate float64
	mean float64
	cut  bool

	asked   fleet.Tokens
	refused fleet.Tokens
	ends    []ending
	waiting map[*meteredNode][]ending
}

// ending is a request under way, and when it ends, or one that waits, and since when.
type ending struct {
	node *meteredNode
	cost fleet.Tokens
	at   time.Duration
}

const (
	crowdStep = 50 * time.Millisecond
	// crowdWork is how long a request holds what was set aside for it.
	crowdWork = 500 * time.Millisecond
	// crowdPatience is how long a request waits for quota.
	crowdPatience = 350 * time.Millisecond
	// crowdLenders is how many nodes are asked for one request.
	crowdLenders = 6
)

func newCrowd(nodes int, prepaid fleet.Tokens, rate float64) *crowd {
	c := &crowd{
		world:   newMeteredWorld(prepaid),
		rng:     rand.New(rand.NewPCG(1, uint64(nodes))),
		rate:    rate,
		mean:    10_000,
		waiting: map[*meteredNode][]ending{},
	}
	w := c.world
	for i := range nodes {
		n := &meteredNode{}
		w.nodes = append(w.nodes, n)
		w.start(n, fleet.NodeID(fmt.Sprint(i)), "boot", false)
		n.pool = New(Config{
			Holder:    n.holder,
			Partition: MeteredPartition,
			Policy:    PolicyMetered,
		})
		n.pool.SetHeldBudgets(int64(MeteredPerMille/nodes), []fleet.BudgetID{testBudget}, w.now)
	}
	return c
}

// run lets the crowd ask for a while.
func (c *crowd) run(span time.Duration) {
	w := c.world
	for end := w.now + span; w.now < end; w.now += crowdStep {
		c.finish()
		for n := c.rate / c.mean * crowdStep.Seconds(); n > 0 && c.rng.Float64() < n; n-- {
			c.ask()
		}
		c.serve()
		if c.cut {
			continue
		}
		for _, n := range w.nodes {
			w.send(n)
		}
		for len(w.commands) > 0 {
			w.deliver(0, false)
		}
	}
}

func (c *crowd) finish() {
	var under []ending
	for _, e := range c.ends {
		if e.at > c.world.now {
			under = append(under, e)
			continue
		}
		c.world.spent += e.cost
		e.node.pool.Release(testBudget, e.cost, e.cost, c.world.now)
	}
	c.ends = under
}

// ask sends one request to a node, which borrows from others while it is cut off.
func (c *crowd) ask() {
	w := c.world
	node := w.nodes[c.rng.IntN(len(w.nodes))]
	cost := fleet.Tokens(min(c.mean*math.Exp(c.rng.NormFloat64()*0.8-0.32), 6*c.mean))
	c.asked += cost
	switch {
	case len(c.waiting[node]) == 0 && node.pool.Reserve(testBudget, cost, w.now), c.cut && c.borrow(node, cost):
		c.start(node, cost)
	case c.cut:
		c.refused += cost
	default:
		c.waiting[node] = append(c.waiting[node], ending{
			node: node,
			cost: cost,
			at:   w.now,
		})
	}
}

// serve tries the requests that wait at each node, in order, and refuses those that have
// waited too long.
func (c *crowd) serve() {
	for _, node := range c.world.nodes {
		waiting := c.waiting[node]
		for len(waiting) > 0 && node.pool.Reserve(testBudget, waiting[0].cost, c.world.now) {
			c.start(node, waiting[0].cost)
			waiting = waiting[1:]
		}
		for len(waiting) > 0 && (c.cut || c.world.now-waiting[0].at > crowdPatience) {
			c.refused += waiting[0].cost
			waiting = waiting[1:]
		}
		c.waiting[node] = waiting
		need := fleet.Tokens(0)
		if len(waiting) > 0 {
			need = waiting[0].cost
		}
		node.pool.SetNeed(testBudget, need, c.world.now)
	}
}

func (c *crowd) start(node *meteredNode, cost fleet.Tokens) {
	c.ends = append(c.ends, ending{
		node: node,
		cost: cost,
		at:   c.world.now + crowdWork,
	})
}

func (c *crowd) borrow(node *meteredNode, cost fleet.Tokens) bool {
	w := c.world
	asked := 0
	for _, i := range c.rng.Perm(len(w.nodes)) {
		if w.nodes[i] == node {
			continue
		}
		if asked++; asked > crowdLenders {
			break
		}
		wanted := node.pool.BorrowAmount(testBudget, cost, w.now)
		node.pool.AddBorrowed(testBudget, w.nodes[i].pool.Lend(testBudget, wanted, w.now), w.now)
		if node.pool.Reserve(testBudget, cost, w.now) {
			return true
		}
	}
	return false
}

// TestCutOfNineSeconds cuts all entry nodes off from the control group for nine seconds,
// once early, with most of the total left, and once late, with 16 s of spending left.
func TestCutOfNineSeconds(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		left  time.Duration
		// least is the part of what is asked for that must be served, in per mille.
		least int64
	}{
		{
			name:  "early, 8 nodes",
			nodes: 8,
			left:  40 * time.Second,
			least: 900,
		},
		{
			name:  "late, 8 nodes",
			nodes: 8,
			left:  16 * time.Second,
			least: 900,
		},
		{
			name:  "early, 65 nodes",
			nodes: 65,
			left:  40 * time.Second,
			least: 900,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			const calm = 20 * time.Second
			rate := 60_000.0 * float64(c.nodes) / 8
			crowd := newCrowd(c.nodes, fleet.Tokens(rate*(calm+c.left).Seconds()), rate)
			crowd.run(calm)
			if served := 1000 * (crowd.asked - crowd.refused) / crowd.asked; served < 990 {
				t.Errorf("got %d per mille served while connected, want 990 or more", served)
			}
			crowd.asked, crowd.refused = 0, 0
			view, _ := crowd.world.state.Budget(testBudget)
			t.Logf("leased %.1f s of spending, free %.1f s", float64(view.Leased)/rate, float64(view.Free)/rate)
			crowd.cut = true
			crowd.run(9 * time.Second)
			if served := int64(1000 * (crowd.asked - crowd.refused) / crowd.asked); served < c.least {
				t.Errorf("got %d per mille served in the cut, want %d or more", served, c.least)
			}
			t.Logf("served %d per mille in the cut", 1000*(crowd.asked-crowd.refused)/crowd.asked)
			if crowd.world.spent > crowd.world.prepaid {
				t.Errorf("got %d spent, want at most %d", crowd.world.spent, crowd.world.prepaid)
			}
		})
	}
}

// TestSurplusOfABusyTenantComesBack has a workspace send three times its usual for a
// while. What its leases grew to must come back soon, since a power loss of all VMs
// forfeits what is leased.
func TestSurplusOfABusyTenantComesBack(t *testing.T) {
	c := newCrowd(8, 4_000_000, 60_000)
	c.run(10 * time.Second)
	c.rate *= 3
	c.run(6 * time.Second)
	c.rate /= 3
	c.run(8 * time.Second)
	view, _ := c.world.state.Budget(testBudget)
	if got, most := time.Duration(float64(view.Leased)/c.rate*float64(time.Second)), 15*time.Second; got > most {
		t.Errorf("got leases of %s of spending, want at most %s", got.Round(time.Millisecond), most)
	}
}
