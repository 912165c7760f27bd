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

// testNode is an entry node with its pool. It keeps settlements until it has the ledger's
// results.
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
	ownLease   bool
}

// testCommand is one command in flight to the ledger.
type testCommand struct {
	node   *testNode
	change *ledger.LeaseChange
	bill   *testBill
}

// testCluster is a ledger and its nodes, connected by a network that loses, duplicates
// and reorders commands.
type testCluster struct {
	t        *rapid.T
	state    *ledger.State
	nodes    []*testNode
	network  []testCommand
	now      time.Duration
	requests int
	// billed is the cost of each request as reported to its caller.
	billed map[ledger.RequestKey]fleet.Tokens
}

func newTestCluster(t *rapid.T) *testCluster {
	c := &testCluster{
		t:      t,
		state:  ledger.New(),
		billed: map[ledger.RequestKey]fleet.Tokens{},
		now:    time.Hour,
	}
	c.advance(0)
	c.state.SetPrepaid(testBudget, 1000)
	for i := range 3 {
		c.nodes = append(c.nodes, c.join(fleet.NodeID(fmt.Sprintf("n%d", i)), 1))
	}
	return c
}

func (c *testCluster) join(id fleet.NodeID, incarnation fleet.Incarnation) *testNode {
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
	if !c.state.Join(n.holder) {
		c.t.Fatalf("ledger rejected the join of %v", n.holder)
	}
	return n
}

func (c *testCluster) advance(d time.Duration) {
	c.now += d
	c.state.Advance(fleet.UnixMillis(1_800_000_000_000 + c.now.Milliseconds()))
}

// requestID returns a unique request id with the current time.
func (c *testCluster) requestID() fleet.RequestID {
	c.requests++
	id := fleet.RequestID{}
	ms := uint64(1_800_000_000_000 + c.now.Milliseconds())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[15] = byte(c.requests)
	id[14] = byte(c.requests >> 8)
	return id
}

func (c *testCluster) begin(n *testNode, key ledger.RequestKey, amount fleet.Tokens) {
	if !n.pool.Reserve(testBudget, amount, c.now) {
		n.pool.SetNeed(testBudget, amount, c.now)
		return
	}
	n.pool.SetNeed(testBudget, 0, c.now)
	n.running = append(n.running, testRequest{
		key:      key,
		reserved: amount,
	})
}

// finish ends a request. Its settlement is stored on this node and, if copyTo is set, also
// on another one, as in a network partition.
func (c *testCluster) finish(n *testNode, i int, spent fleet.Tokens, copyTo *testNode) {
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
		ownLease: true,
	}
	n.pool.Release(testBudget, r.reserved, bill.settlement.Tokens, c.now)
	n.bills = append(n.bills, bill)
	if copyTo != nil && copyTo != n {
		bill.ownLease = false
		copyTo.bills = append(copyTo.bills, bill)
	}
}

func (c *testCluster) send(n *testNode) {
	for _, change := range n.pool.Changes(c.now) {
		c.network = append(c.network, testCommand{
			node:   n,
			change: &change,
		})
	}
	for i := range n.bills {
		bill := n.bills[i]
		c.network = append(c.network, testCommand{
			node: n,
			bill: &bill,
		})
	}
}

// deliver applies a command. Its result may be lost, and the command may be delivered
// again.
func (c *testCluster) deliver(i int, loseResult, repeat bool) {
	cmd := c.network[i]
	if !repeat {
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
	if cmd.change != nil {
		result, recalls := c.state.ChangeLease(*cmd.change)
		c.recall(recalls)
		if !loseResult && !result.Unknown {
			cmd.node.pool.ApplyResult(testBudget, result)
		}
		return
	}
	result := c.state.Settle(cmd.bill.settlement)
	if result.Status == ledger.SettleUnbacked || result.Status == ledger.SettleTooOld {
		c.t.Fatalf("settlement %+v: got %s", cmd.bill.settlement, result.Status)
	}
	if before, ok := c.billed[cmd.bill.settlement.Key]; ok && before != result.Billed {
		c.t.Fatalf("request was billed %d first and %d later", before, result.Billed)
	}
	c.billed[cmd.bill.settlement.Key] = result.Billed
	if !loseResult {
		cmd.node.settled(cmd.bill.settlement, result, c.now)
	}
}

// settled drops a settlement that has a result, and refunds what the ledger did not charge
// to the lease.
func (n *testNode) settled(s ledger.Settlement, result ledger.SettleResult, now time.Duration) {
	for i, bill := range n.bills {
		if bill.settlement.Attempt != s.Attempt {
			continue
		}
		n.bills = append(n.bills[:i:i], n.bills[i+1:]...)
		if bill.ownLease && s.Holder == n.holder {
			n.pool.Refund(testBudget, s.Tokens-result.Charged, now)
		}
		return
	}
}

func (c *testCluster) recall(recalls []ledger.Recall) {
	for _, recall := range recalls {
		for _, n := range c.nodes {
			if n.holder == recall.Holder {
				n.pool.Recall(recall.Budget, c.now)
			}
		}
	}
}

// restart starts a node's next incarnation. If the node keeps its disk, it finds its
// settlements there. Otherwise it loses those that another node stores too: a settlement is
// stored on two nodes before the response to the caller is complete.
func (c *testCluster) restart(i int, disk bool) {
	old := c.nodes[i]
	next := c.join(old.holder.Node, old.holder.Incarnation+1)
	for _, bill := range old.bills {
		bill.ownLease = false
		if disk || !c.storedElsewhere(old, bill) {
			next.bills = append(next.bills, bill)
		}
	}
	c.nodes[i] = next
}

func (c *testCluster) storedElsewhere(node *testNode, bill testBill) bool {
	for _, n := range c.nodes {
		for _, other := range n.bills {
			if n != node && other.settlement.Attempt == bill.settlement.Attempt {
				return true
			}
		}
	}
	return false
}

// confirm makes a node confirm each ended holder of which it has no settlement.
func (c *testCluster) confirm(n *testNode) {
	for _, ended := range c.state.UnconfirmedBy(n.holder.Node) {
		holds := false
		for _, bill := range n.bills {
			holds = holds || bill.settlement.Holder == ended
		}
		if !holds {
			c.state.Confirm(ledger.ConfirmNoneHeld{
				By:    n.holder,
				Ended: ended,
			})
		}
	}
}

// check verifies the ledger's invariant, that no pool holds more than the ledger has leased
// to it, and that the settled amount is the sum of what callers were billed.
func (c *testCluster) check() {
	if err := c.state.Check(); err != nil {
		c.t.Fatal(err)
	}
	view, _ := c.state.Budget(testBudget)
	leased := map[fleet.Holder]fleet.Tokens{}
	for _, l := range view.Leases {
		leased[l.Holder] = l.Outstanding
	}
	for _, n := range c.nodes {
		local := fleet.Tokens(0)
		for _, h := range n.pool.Holdings() {
			local += h.Free + h.Reserved
		}
		if local > leased[n.holder] {
			c.t.Fatalf("pool of %v holds %d tokens, but the ledger has leased %d", n.holder, local, leased[n.holder])
		}
	}
	sum := fleet.Tokens(0)
	for _, tokens := range c.billed {
		sum += tokens
	}
	if sum != view.Settled {
		c.t.Fatalf("callers were billed %d in total, but the ledger settled %d", sum, view.Settled)
	}
}

// drain delivers all commands, makes all nodes return their quota, and checks that nothing
// remains leased, which would be lost quota.
func (c *testCluster) drain() {
	for range 40 {
		c.advance(700 * time.Millisecond)
		for i, n := range c.nodes {
			for len(n.running) > 0 {
				c.finish(n, 0, 1, nil)
			}
			c.send(c.nodes[i])
		}
		for len(c.network) > 0 {
			c.deliver(0, false, false)
		}
		for _, n := range c.nodes {
			c.confirm(n)
		}
	}
	for _, n := range c.nodes {
		for _, change := range n.pool.ReturnAll() {
			c.state.ChangeLease(change)
		}
	}
	c.check()
	view, _ := c.state.Budget(testBudget)
	if got, want := view.Leased, fleet.Tokens(0); got != want {
		c.t.Fatalf("after draining %d tokens are still leased: %+v", got, view.Leases)
	}
}

// TestSpendStaysWithinPrepaid runs the ledger and three nodes through lost, duplicated and
// reordered commands, restarts, top-ups and requests that are retried on other nodes, and
// checks that spending never exceeds the prepaid amount.
func TestSpendStaysWithinPrepaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t)
		var keys []ledger.RequestKey
		prepaid := fleet.Tokens(1000)
		node := func() *testNode {
			return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				key := ledger.RequestKey{
					Workspace: "w",
					Request:   c.requestID(),
				}
				keys = append(keys, key)
				c.begin(node(), key, fleet.Tokens(rapid.IntRange(1, 300).Draw(t, "amount")))
			},
			"retryElsewhere": func(t *rapid.T) {
				if len(keys) > 0 {
					c.begin(node(), rapid.SampledFrom(keys).Draw(t, "key"), 50)
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
				c.finish(n, i, fleet.Tokens(rapid.SampledFrom([]int{0, 1, 20, 300}).Draw(t, "spent")), copyTo)
			},
			"work": func(t *rapid.T) {
				// A request that gets its quota quickly, so that the budget
				// runs low.
				n := node()
				key := ledger.RequestKey{
					Workspace: "w",
					Request:   c.requestID(),
				}
				amount := fleet.Tokens(rapid.IntRange(50, 400).Draw(t, "amount"))
				for range 3 {
					c.begin(n, key, amount)
					if len(n.running) > 0 {
						break
					}
					c.advance(60 * time.Millisecond)
					at := len(c.network)
					c.send(n)
					for len(c.network) > at {
						c.deliver(at, false, false)
					}
				}
			},
			"send": func(*rapid.T) { c.send(node()) },
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "commands") {
					if len(c.network) == 0 {
						return
					}
					i := rapid.IntRange(0, len(c.network)-1).Draw(t, "command")
					fault := rapid.IntRange(0, 5).Draw(t, "fault")
					c.deliver(i, fault == 0, fault == 1)
				}
			},
			"lose": func(t *rapid.T) {
				if len(c.network) > 0 {
					i := rapid.IntRange(0, len(c.network)-1).Draw(t, "command")
					c.network = append(c.network[:i:i], c.network[i+1:]...)
				}
			},
			"wait": func(t *rapid.T) {
				c.advance(time.Duration(rapid.SampledFrom([]int{10, 100, 600, 5000, 150_000}).Draw(t, "ms")) * time.Millisecond)
			},
			"topUp": func(t *rapid.T) {
				prepaid += fleet.Tokens(rapid.IntRange(0, 500).Draw(t, "tokens"))
				c.state.SetPrepaid(testBudget, prepaid)
			},
			"restart": func(t *rapid.T) { c.restart(rapid.IntRange(0, 2).Draw(t, "node"), rapid.Bool().Draw(t, "disk")) },
			"confirm": func(*rapid.T) { c.confirm(node()) },
			"snapshot": func(*rapid.T) {
				c.state = ledger.FromImage(c.state.Image())
			},
			"": func(*rapid.T) { c.check() },
		})
		c.drain()
	})
}
