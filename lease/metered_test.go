package lease

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// meteredNode is an entry node whose process is killed and started again on a VM whose
// clock goes on.
type meteredNode struct {
	pool     *Pool
	holder   fleet.Holder
	life     uint64
	reserved []fleet.Tokens
	// made is when the latest of its changes that was carried out was made.
	made time.Duration
}

// meteredWorld is a ledger and its nodes, with a network that loses and delays.
type meteredWorld struct {
	state    *ledger.State
	nodes    []*meteredNode
	now      time.Duration
	prepaid  fleet.Tokens
	spent    fleet.Tokens
	commands []meteredCommand
}

type meteredCommand struct {
	node   *meteredNode
	life   uint64
	change ledger.LeaseChange
}

// newMeteredWorld returns a world with one budget and the first lives of some nodes.
func newMeteredWorld(prepaid fleet.Tokens, names ...fleet.NodeID) *meteredWorld {
	w := &meteredWorld{
		state:   ledger.New(),
		prepaid: prepaid,
		now:     time.Minute,
	}
	w.state.SetMeteredPrepaid(testBudget, w.prepaid)
	for _, name := range names {
		n := &meteredNode{}
		w.nodes = append(w.nodes, n)
		w.start(n, name, "boot", false)
	}
	return w
}

// start starts a node's next life. Seen says that the leader knows when the life before
// made its latest change.
func (w *meteredWorld) start(n *meteredNode, name fleet.NodeID, boot string, seen bool) {
	n.life++
	since := time.Duration(0)
	if seen && n.made > 0 {
		since = w.now - n.made + 1
	}
	n.made = 0
	n.holder = fleet.Holder{Node: name}
	incarnation, _ := w.state.AssignIncarnation(ledger.Join{
		Holder:          n.holder,
		Nonce:           n.life,
		Boot:            boot,
		Started:         w.now,
		SinceLastChange: since,
	})
	n.holder.Incarnation = incarnation
	n.reserved = nil
	n.pool = New(Config{
		Holder:    n.holder,
		Partition: 10 * time.Second,
		Policy:    PolicyMetered,
	})
	n.pool.SetHeldBudgets(300, []fleet.BudgetID{testBudget}, w.now)
}

// send hands a node's changes to the network.
func (w *meteredWorld) send(n *meteredNode) {
	for _, change := range n.pool.Changes(w.now) {
		w.commands = append(w.commands, meteredCommand{
			node:   n,
			life:   n.life,
			change: change,
		})
	}
}

// deliver carries out a command, and loses its answer if told to. Commands and answers
// of ended lives arrive too.
func (w *meteredWorld) deliver(i int, loseAnswer bool) {
	c := w.commands[i]
	w.commands = append(w.commands[:i:i], w.commands[i+1:]...)
	result, recalls := w.state.ChangeLease(c.change)
	if c.life == c.node.life {
		c.node.made = max(c.node.made, c.change.At)
	}
	for _, recall := range recalls {
		for _, n := range w.nodes {
			if n.holder == recall.Holder {
				n.pool.Recall(recall.Budget, w.now)
			}
		}
	}
	if !loseAnswer && c.life == c.node.life {
		c.node.pool.ApplyResult(testBudget, result)
	}
}

// burn spends all that a node may, so that the budget runs low.
func (w *meteredWorld) burn(n *meteredNode, amount fleet.Tokens) {
	for range 60 {
		if !n.pool.Reserve(testBudget, amount, w.now) {
			n.pool.SetNeed(testBudget, amount, w.now)
			return
		}
		w.spent += amount
		n.pool.Release(testBudget, amount, amount, w.now)
	}
}

// TestMeteredSpendStaysWithinPrepaid kills nodes, cuts them off, lets them lend and
// moves the time on, and checks that what was spent never exceeds what was prepaid.
// It fails without the bound of a pending change, the charge for a killed node, or the
// report of what was lent.
func TestMeteredSpendStaysWithinPrepaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []fleet.NodeID{"a", "b", "c"}
		w := newMeteredWorld(4000, names...)
		node := func() int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node") }
		actions := map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				n := w.nodes[node()]
				amount := fleet.Tokens(rapid.SampledFrom([]int{10, 100, 400}).Draw(t, "amount"))
				if n.pool.Reserve(testBudget, amount, w.now) {
					n.reserved = append(n.reserved, amount)
				} else {
					n.pool.SetNeed(testBudget, amount, w.now)
				}
			},
			"finish": func(t *rapid.T) {
				n := w.nodes[node()]
				if len(n.reserved) == 0 {
					return
				}
				amount := n.reserved[0]
				n.reserved = n.reserved[1:]
				spent := amount * fleet.Tokens(rapid.IntRange(0, 2).Draw(t, "halves")) / 2
				w.spent += spent
				n.pool.Release(testBudget, amount, spent, w.now)
				n.pool.SetNeed(testBudget, 0, w.now)
			},
			"burn": func(t *rapid.T) {
				n := w.nodes[node()]
				amount := fleet.Tokens(rapid.SampledFrom([]int{20, 100}).Draw(t, "amount"))
				w.burn(n, amount)
			},
			"exchange": func(*rapid.T) {
				n := w.nodes[node()]
				w.now += reportInterval
				at := len(w.commands)
				w.send(n)
				for len(w.commands) > at {
					w.deliver(at, false)
				}
			},
			"send": func(*rapid.T) { w.send(w.nodes[node()]) },
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "commands") {
					if len(w.commands) == 0 {
						return
					}
					i := rapid.IntRange(0, len(w.commands)-1).Draw(t, "command")
					w.deliver(i, rapid.IntRange(0, 3).Draw(t, "fate") == 0)
				}
			},
			"lend": func(t *rapid.T) {
				from, to := w.nodes[node()], w.nodes[node()]
				if from == to {
					return
				}
				lent := from.pool.Lend(testBudget, 300, w.now)
				if rapid.Bool().Draw(t, "arrives") {
					to.pool.AddBorrowed(testBudget, lent, w.now)
				}
			},
			"wait": func(t *rapid.T) {
				w.now += time.Duration(rapid.SampledFrom([]int{20, 250, 600, 3000}).Draw(t, "ms")) * time.Millisecond
			},
			"kill": func(t *rapid.T) {
				i := node()
				n := w.nodes[i]
				// What was under way may have been spent in full.
				for _, amount := range n.reserved {
					w.spent += amount
				}
				boot := "boot"
				if rapid.IntRange(0, 3).Draw(t, "reboot") == 0 {
					boot = rapid.StringN(4, 4, 4).Draw(t, "boot")
				}
				w.now += time.Duration(rapid.SampledFrom([]int{0, 500, 4000}).Draw(t, "down")) * time.Millisecond
				w.start(n, names[i], boot, rapid.Bool().Draw(t, "seen"))
			},
			"topUp": func(t *rapid.T) {
				w.prepaid += fleet.Tokens(rapid.IntRange(0, 300).Draw(t, "tokens"))
				w.state.SetMeteredPrepaid(testBudget, w.prepaid)
			},
			"snapshot": func(*rapid.T) { w.state = ledger.FromImage(w.state.Image()) },
		}
		check := func() {
			inUse := fleet.Tokens(0)
			for _, n := range w.nodes {
				for _, amount := range n.reserved {
					inUse += amount
				}
			}
			if w.spent+inUse > w.prepaid {
				t.Fatalf("got %d spent and %d in use, want at most %d", w.spent, inUse, w.prepaid)
			}
			view, _ := w.state.Budget(testBudget)
			if view.Settled+view.Leased > view.Prepaid {
				t.Fatalf("got %d settled and %d leased, want at most %d", view.Settled, view.Leased, view.Prepaid)
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
			w.burn(w.nodes[i], 20)
			check()
		}
	})
}

// meteredSteps is enough for a budget to be used up.
const meteredSteps = 100

// TestKilledNodeForfeitsWhatItCanHaveSpent kills a node half a second after its last
// report: nearly all of its lease comes back.
func TestKilledNodeForfeitsWhatItCanHaveSpent(t *testing.T) {
	w := newMeteredWorld(1_000_000, "a")
	n := w.nodes[0]
	for range 20 {
		w.now += reportInterval
		if n.pool.Reserve(testBudget, 1000, w.now) {
			n.pool.Release(testBudget, 1000, 1000, w.now)
			w.spent += 1000
		}
		w.send(n)
		for len(w.commands) > 0 {
			w.deliver(0, false)
		}
	}
	view, _ := w.state.Budget(testBudget)
	if view.Leased < 40_000 {
		t.Fatalf("got %d leased before the kill, want a lease worth losing", view.Leased)
	}
	w.now += 500 * time.Millisecond
	w.start(n, "a", "boot", false)
	view, _ = w.state.Budget(testBudget)
	if lost := view.Settled - w.spent; lost > 25_000 {
		t.Errorf("got %d lost with the killed process, want at most 25000", lost)
	}
	if view.Leased != 0 {
		t.Errorf("got %d still leased, want 0", view.Leased)
	}
}

// TestStoppedNodeIsChargedForWhatIsUnderWay stops a node while a request runs that is cut
// off by the stop: what was set aside for it may be spent, and must not come back.
func TestStoppedNodeIsChargedForWhatIsUnderWay(t *testing.T) {
	w := newMeteredWorld(100_000, "a")
	n := w.nodes[0]
	n.pool.SetNeed(testBudget, 4000, w.now)
	w.send(n)
	w.deliver(0, false)
	if !n.pool.Reserve(testBudget, 4000, w.now) {
		t.Fatal("got no quota, want it for the request")
	}
	for _, change := range n.pool.ReturnAll() {
		w.state.ChangeLease(change)
	}
	w.now += time.Second
	w.start(n, "a", "boot", false)
	view, _ := w.state.Budget(testBudget)
	if got, want := view.Settled, fleet.Tokens(4000); got < want {
		t.Errorf("got %d settled, want at least the %d of the request under way", got, want)
	}
}
