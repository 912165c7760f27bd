package lease

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/rapidseed"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 3000))
}

const testBudget fleet.BudgetID = "b"

// testNode is an entry node with its pool. Bills are kept until the ledger has
// answered.
type testNode struct {
	holder   fleet.Holder
	pool     *Pool
	running  []testRequest
	bills    []testBill
	attempts uint64
}

type testRequest struct {
	key      ledger.RequestKey
	reserved fleet.Tokens
}

type testBill struct {
	settlement ledger.Settlement
	own        bool
}

// command is one command under way to the ledger.
type command struct {
	node   *testNode
	change *ledger.LeaseChange
	bill   *testBill
}

// world is a ledger, its nodes, and a network that loses, repeats and reorders.
type world struct {
	t        *rapid.T
	state    *ledger.State
	nodes    []*testNode
	network  []command
	now      time.Duration
	requests int
	// billed is what callers were told that each request cost.
	billed map[ledger.RequestKey]fleet.Tokens
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:      t,
		state:  ledger.New(),
		billed: map[ledger.RequestKey]fleet.Tokens{},
		now:    time.Hour,
	}
	w.advance(0)
	w.state.SetPrepaid(testBudget, 1000)
	for i := range 3 {
		w.nodes = append(w.nodes, w.join(fleet.NodeID(fmt.Sprintf("n%d", i)), 1))
	}
	return w
}

func (w *world) join(id fleet.NodeID, incarnation fleet.Incarnation) *testNode {
	n := &testNode{holder: fleet.Holder{
		Node:        id,
		Incarnation: incarnation,
	}}
	n.pool = New(Config{
		Holder:        n.holder,
		SharePerMille: 300,
		Partition:     time.Minute,
		Policy:        PolicyDemandRecall,
	})
	if !w.state.Join(n.holder) {
		w.t.Fatalf("%v could not join", n.holder)
	}
	return n
}

func (w *world) advance(d time.Duration) {
	w.now += d
	w.state.Advance(fleet.UnixMillis(1_800_000_000_000 + w.now.Milliseconds()))
}

// requestID makes an id whose age the ledger accepts.
func (w *world) requestID() fleet.RequestID {
	w.requests++
	id := fleet.RequestID{}
	ms := uint64(1_800_000_000_000 + w.now.Milliseconds())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[15] = byte(w.requests)
	id[14] = byte(w.requests >> 8)
	return id
}

func (w *world) begin(n *testNode, key ledger.RequestKey, amount fleet.Tokens) {
	if !n.pool.Reserve(testBudget, amount, w.now) {
		n.pool.SetNeed(testBudget, amount, w.now)
		return
	}
	n.pool.SetNeed(testBudget, 0, w.now)
	n.running = append(n.running, testRequest{
		key:      key,
		reserved: amount,
	})
}

// finish ends a request: its bill is on this node and, as in a partition, perhaps
// on another.
func (w *world) finish(n *testNode, i int, spent fleet.Tokens, copyTo *testNode) {
	r := n.running[i]
	n.running = append(n.running[:i:i], n.running[i+1:]...)
	n.attempts++
	bill := testBill{
		settlement: ledger.Settlement{
			Key:     r.key,
			Budget:  testBudget,
			Holder:  n.holder,
			Tokens:  min(spent, r.reserved),
			Attempt: uint64(n.holder.Incarnation)<<40 | uint64(n.holder.Node[1])<<32 | n.attempts,
		},
		own: true,
	}
	n.pool.Release(testBudget, r.reserved, bill.settlement.Tokens, w.now)
	n.bills = append(n.bills, bill)
	if copyTo != nil && copyTo != n {
		bill.own = false
		copyTo.bills = append(copyTo.bills, bill)
	}
}

func (w *world) send(n *testNode) {
	for _, change := range n.pool.Changes(w.now) {
		w.network = append(w.network, command{
			node:   n,
			change: &change,
		})
	}
	for i := range n.bills {
		bill := n.bills[i]
		w.network = append(w.network, command{
			node: n,
			bill: &bill,
		})
	}
}

// deliver applies a command; its answer may be lost, and the command may come
// again.
func (w *world) deliver(i int, loseAnswer, repeat bool) {
	c := w.network[i]
	if !repeat {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	}
	if c.change != nil {
		result, recalls := w.state.ChangeLease(*c.change)
		w.recall(recalls)
		if !loseAnswer && !result.Unknown {
			c.node.pool.ApplyResult(testBudget, result)
		}
		return
	}
	result := w.state.Settle(c.bill.settlement)
	if result.Status == ledger.SettleUnbacked || result.Status == ledger.SettleTooOld {
		w.t.Fatalf("settlement %+v: got %s", c.bill.settlement, result.Status)
	}
	if before, ok := w.billed[c.bill.settlement.Key]; ok && before != result.Billed {
		w.t.Fatalf("request was billed %d and then %d", before, result.Billed)
	}
	w.billed[c.bill.settlement.Key] = result.Billed
	if !loseAnswer {
		c.node.settled(c.bill.settlement, result, w.now)
	}
}

// settled drops a bill that the ledger has, and takes back what it did not charge.
func (n *testNode) settled(s ledger.Settlement, result ledger.SettleResult, now time.Duration) {
	for i, bill := range n.bills {
		if bill.settlement.Attempt != s.Attempt {
			continue
		}
		n.bills = append(n.bills[:i:i], n.bills[i+1:]...)
		if bill.own && s.Holder == n.holder {
			n.pool.Refund(testBudget, s.Tokens-result.Charged, now)
		}
		return
	}
}

func (w *world) recall(recalls []ledger.Recall) {
	for _, recall := range recalls {
		for _, n := range w.nodes {
			if n.holder == recall.Holder {
				n.pool.Recall(recall.Budget, w.now)
			}
		}
	}
}

// restart begins a node's next life. Its bills are on its disk, or else, as a
// settlement is on two nodes before its answer is whole, on another node.
func (w *world) restart(i int, disk bool) {
	old := w.nodes[i]
	next := w.join(old.holder.Node, old.holder.Incarnation+1)
	for _, bill := range old.bills {
		bill.own = false
		if disk || !w.elsewhere(old, bill) {
			next.bills = append(next.bills, bill)
		}
	}
	w.nodes[i] = next
}

func (w *world) elsewhere(node *testNode, bill testBill) bool {
	for _, n := range w.nodes {
		for _, other := range n.bills {
			if n != node && other.settlement.Attempt == bill.settlement.Attempt {
				return true
			}
		}
	}
	return false
}

// confirm lets a node answer for the ended holders, if it holds none of their
// bills.
func (w *world) confirm(n *testNode) {
	for _, ended := range w.state.UnconfirmedBy(n.holder.Node) {
		holds := false
		for _, bill := range n.bills {
			holds = holds || bill.settlement.Holder == ended
		}
		if !holds {
			w.state.Confirm(ledger.ConfirmNoneHeld{
				By:    n.holder,
				Ended: ended,
			})
		}
	}
}

// check verifies the ledger's invariant, and that no node counts on more than the
// ledger has leased to it.
func (w *world) check() {
	if err := w.state.Check(); err != nil {
		w.t.Fatal(err)
	}
	view, _ := w.state.Budget(testBudget)
	leased := map[fleet.Holder]fleet.Tokens{}
	for _, l := range view.Leases {
		leased[l.Holder] = l.Outstanding
	}
	for _, n := range w.nodes {
		local := fleet.Tokens(0)
		for _, h := range n.pool.Holdings() {
			local += h.Free + h.Reserved
		}
		if local > leased[n.holder] {
			w.t.Fatalf("%v counts on %d, the ledger has leased %d", n.holder, local, leased[n.holder])
		}
	}
	sum := fleet.Tokens(0)
	for _, tokens := range w.billed {
		sum += tokens
	}
	if sum != view.Settled {
		w.t.Fatalf("callers were billed %d, the ledger settled %d", sum, view.Settled)
	}
}

// heal lets everything arrive and everybody give back, and checks that no quota is
// lost.
func (w *world) heal() {
	for range 40 {
		w.advance(700 * time.Millisecond)
		for i, n := range w.nodes {
			for len(n.running) > 0 {
				w.finish(n, 0, 1, nil)
			}
			w.send(w.nodes[i])
		}
		for len(w.network) > 0 {
			w.deliver(0, false, false)
		}
		for _, n := range w.nodes {
			w.confirm(n)
		}
	}
	for _, n := range w.nodes {
		for _, change := range n.pool.ReturnAll() {
			w.state.ChangeLease(change)
		}
	}
	w.check()
	view, _ := w.state.Budget(testBudget)
	if got, want := view.Leased, fleet.Tokens(0); got != want {
		w.t.Fatalf("after healing %d tokens are still leased: %+v", got, view.Leases)
	}
}

// TestSpendStaysWithinPrepaid drives the ledger and three nodes through lost,
// repeated and reordered commands, restarts, top-ups and requests that are retried
// on other nodes.
func TestSpendStaysWithinPrepaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		var keys []ledger.RequestKey
		prepaid := fleet.Tokens(1000)
		node := func() *testNode {
			return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				key := ledger.RequestKey{
					Workspace: "w",
					Request:   w.requestID(),
				}
				keys = append(keys, key)
				w.begin(node(), key, fleet.Tokens(rapid.IntRange(1, 300).Draw(t, "amount")))
			},
			"retryElsewhere": func(t *rapid.T) {
				if len(keys) > 0 {
					w.begin(node(), rapid.SampledFrom(keys).Draw(t, "key"), 50)
				}
			},
			"finish": func(t *rapid.T) {
				n := node()
				if len(n.running) == 0 {
					return
				}
				copyTo := (*testNode)(nil)
				if rapid.Bool().Draw(t, "copy") {
					copyTo = node()
				}
				i := rapid.IntRange(0, len(n.running)-1).Draw(t, "request")
				w.finish(n, i, fleet.Tokens(rapid.SampledFrom([]int{0, 1, 20, 300}).Draw(t, "spent")), copyTo)
			},
			"work": func(t *rapid.T) {
				// A request that gets its quota at once, so that the
				// budget runs low.
				n := node()
				key := ledger.RequestKey{
					Workspace: "w",
					Request:   w.requestID(),
				}
				amount := fleet.Tokens(rapid.IntRange(50, 400).Draw(t, "amount"))
				for range 3 {
					w.begin(n, key, amount)
					if len(n.running) > 0 {
						break
					}
					w.advance(60 * time.Millisecond)
					at := len(w.network)
					w.send(n)
					for len(w.network) > at {
						w.deliver(at, false, false)
					}
				}
			},
			"send": func(*rapid.T) { w.send(node()) },
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "commands") {
					if len(w.network) == 0 {
						return
					}
					i := rapid.IntRange(0, len(w.network)-1).Draw(t, "command")
					fate := rapid.IntRange(0, 5).Draw(t, "fate")
					w.deliver(i, fate == 0, fate == 1)
				}
			},
			"lose": func(t *rapid.T) {
				if len(w.network) > 0 {
					i := rapid.IntRange(0, len(w.network)-1).Draw(t, "command")
					w.network = append(w.network[:i:i], w.network[i+1:]...)
				}
			},
			"wait": func(t *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom([]int{10, 100, 600, 5000, 150_000}).Draw(t, "ms")) * time.Millisecond)
			},
			"topUp": func(t *rapid.T) {
				prepaid += fleet.Tokens(rapid.IntRange(0, 500).Draw(t, "tokens"))
				w.state.SetPrepaid(testBudget, prepaid)
			},
			"restart": func(t *rapid.T) { w.restart(rapid.IntRange(0, 2).Draw(t, "node"), rapid.Bool().Draw(t, "disk")) },
			"confirm": func(*rapid.T) { w.confirm(node()) },
			"snapshot": func(*rapid.T) {
				w.state = ledger.FromImage(w.state.Image())
			},
			"": func(*rapid.T) { w.check() },
		})
		w.heal()
	})
}
