package lease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// testWorkload is one workspace's traffic, spread over entry nodes at random.
type testWorkload struct {
	cluster *meteredCluster
	rng     *rand.Rand
	// rate is the requested spending in tokens per second, and meanCost the mean cost
	// of a request in tokens. Costs have a heavy tail.
	rate        float64
	meanCost    float64
	partitioned bool
	// focus is the part of the requests that the first node gets. The others are spread over all
	// nodes.
	focus float64
	// holders, if not 0, is how many nodes hold the budget. The others draw from them; drawNeeds has
	// what the holders could not give since their latest changes.
	holders   int
	drawNeeds map[*meteredNode][]fleet.Tokens
	// commitTime is how long a change takes to the ledger and back.
	commitTime time.Duration

	requested fleet.Tokens
	rejected  fleet.Tokens
	running   []workloadRequest
	waiting   map[*meteredNode][]workloadRequest
}

// workloadRequest is a running or a waiting request. For a running request at is when it
// ends, for a waiting one when it began to wait.
type workloadRequest struct {
	node *meteredNode
	cost fleet.Tokens
	at   time.Duration
}

const (
	workloadStep = 50 * time.Millisecond
	// requestDuration is how long a request holds its reservation.
	requestDuration = 500 * time.Millisecond
	// requestTimeout is how long a request waits for quota.
	requestTimeout = 350 * time.Millisecond
	// maxLenders is how many nodes one request tries to borrow from.
	maxLenders = 6
)

func newTestWorkload(nodes int, prepaid fleet.Tokens, rate float64) *testWorkload {
	w := &testWorkload{
		cluster:  newMeteredCluster(prepaid),
		rng:      rand.New(rand.NewPCG(1, uint64(nodes))),
		rate:     rate,
		meanCost: 10_000,
		waiting:  map[*meteredNode][]workloadRequest{},

		drawNeeds: map[*meteredNode][]fleet.Tokens{},
	}
	cluster := w.cluster
	for i := range nodes {
		n := &meteredNode{}
		cluster.nodes = append(cluster.nodes, n)
		cluster.start(n, fleet.NodeID(fmt.Sprint(i)), "boot", false)
		n.pool = New(Config{
			Holder:    n.holder,
			Partition: MeteredPartition,
			Policy:    PolicyMetered,
		})
		n.pool.SetHeldBudgets(int64(MeteredPerMille/nodes), []fleet.BudgetID{testBudget}, cluster.now)
	}
	return w
}

// run sends requests for the given time.
func (w *testWorkload) run(span time.Duration) {
	cluster := w.cluster
	for end := cluster.now + span; cluster.now < end; cluster.now += workloadStep {
		w.finish()
		for n := w.rate / w.meanCost * workloadStep.Seconds(); n > 0 && w.rng.Float64() < n; n-- {
			w.sendRequest()
		}
		w.serve()
		w.returnDrawn()
		if w.partitioned {
			continue
		}
		for _, n := range cluster.nodes {
			cluster.send(n)
		}
		for i := 0; i < len(cluster.commands); {
			if cluster.now-cluster.commands[i].change.At < w.commitTime {
				i++
				continue
			}
			cluster.deliver(i, false)
		}
	}
}

func (w *testWorkload) finish() {
	var running []workloadRequest
	for _, r := range w.running {
		if r.at > w.cluster.now {
			running = append(running, r)
			continue
		}
		w.cluster.spent += r.cost
		r.node.pool.Release(testBudget, r.cost, r.cost, w.cluster.now)
	}
	w.running = running
}

// sendRequest sends one request to a random node, which borrows from others during a
// partition.
func (w *testWorkload) sendRequest() {
	cluster := w.cluster
	node := cluster.nodes[w.rng.IntN(len(cluster.nodes))]
	if w.focus > 0 && w.rng.Float64() < w.focus {
		node = cluster.nodes[0]
	}
	cost := fleet.Tokens(min(w.meanCost*math.Exp(w.rng.NormFloat64()*0.8-0.32), 6*w.meanCost))
	w.requested += cost
	switch {
	case len(w.waiting[node]) == 0 && w.reserve(node, cost), w.partitioned && w.borrow(node, cost):
		w.start(node, cost)
	case w.partitioned:
		w.rejected += cost
	default:
		w.waiting[node] = append(w.waiting[node], workloadRequest{
			node: node,
			cost: cost,
			at:   cluster.now,
		})
	}
}

// serve starts the waiting requests of each node in order, and rejects those that have
// timed out.
func (w *testWorkload) serve() {
	for _, node := range w.cluster.nodes {
		waiting := w.waiting[node]
		for len(waiting) > 0 && w.reserve(node, waiting[0].cost) {
			w.start(node, waiting[0].cost)
			waiting = waiting[1:]
		}
		for len(waiting) > 0 && (w.partitioned || w.cluster.now-waiting[0].at > requestTimeout) {
			w.rejected += waiting[0].cost
			waiting = waiting[1:]
		}
		w.waiting[node] = waiting
		if !w.draws(node) {
			w.setNeed(node)
		}
	}
}

// reserve reserves quota from the node's own pool or, if it is no holder, from the holders.
func (w *testWorkload) reserve(node *meteredNode, cost fleet.Tokens) bool {
	if w.draws(node) {
		return w.reserveDrawn(node, cost)
	}
	return node.pool.Reserve(testBudget, cost, w.cluster.now)
}

// setNeed tells the node's pool which requests and draws wait for quota.
func (w *testWorkload) setNeed(node *meteredNode) {
	var waiting []fleet.Tokens
	for _, r := range w.waiting[node] {
		waiting = append(waiting, r.cost)
	}
	waiting = append(waiting, w.drawNeeds[node]...)
	delete(w.drawNeeds, node)
	need, all := fleet.Tokens(0), fleet.Tokens(0)
	for i, amount := range waiting {
		if i == 0 {
			need = amount
		}
		all += amount
	}
	node.pool.SetNeed(testBudget, need, w.cluster.now)
	node.pool.SetWaiting(testBudget, all, w.cluster.now)
}

func (w *testWorkload) start(node *meteredNode, cost fleet.Tokens) {
	w.running = append(w.running, workloadRequest{
		node: node,
		cost: cost,
		at:   w.cluster.now + requestDuration,
	})
}

func (w *testWorkload) borrow(node *meteredNode, cost fleet.Tokens) bool {
	cluster := w.cluster
	tried := 0
	for _, i := range w.rng.Perm(len(cluster.nodes)) {
		if cluster.nodes[i] == node {
			continue
		}
		if tried++; tried > maxLenders {
			break
		}
		wanted := node.pool.BorrowAmount(testBudget, cost, cluster.now)
		node.pool.AddBorrowed(testBudget, cluster.nodes[i].pool.Lend(testBudget, wanted, cluster.now), cluster.now)
		if node.pool.Reserve(testBudget, cost, cluster.now) {
			return true
		}
	}
	return false
}

// TestPartitionOfNineSeconds partitions all entry nodes from the control group for nine
// seconds, early with most of the total left, or late with 16 s of spending left. The
// leases must cover nearly all requests until the partition ends.
func TestPartitionOfNineSeconds(t *testing.T) {
	for _, test := range []struct {
		name  string
		nodes int
		// left is how long the rest of the total lasts when the partition begins.
		left time.Duration
		// focus is the part of the requests that one node gets, since callers keep to the
		// address that works.
		focus float64
		// minServed is the part of the requested tokens that must be served, in per mille.
		minServed int64
	}{
		{
			name:      "early, 8 nodes",
			nodes:     8,
			left:      40 * time.Second,
			minServed: 900,
		},
		{
			name:      "late, 8 nodes",
			nodes:     8,
			left:      16 * time.Second,
			minServed: 900,
		},
		{
			name:      "early, callers keep to one of 8 nodes",
			nodes:     8,
			left:      40 * time.Second,
			focus:     0.8,
			minServed: 900,
		},
		{
			name:      "late, callers keep to one of 8 nodes",
			nodes:     8,
			left:      16 * time.Second,
			focus:     0.8,
			minServed: 900,
		},
		{
			name:      "early, 65 nodes",
			nodes:     65,
			left:      40 * time.Second,
			minServed: 900,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			const connectedTime = 20 * time.Second
			rate := 60_000.0 * float64(test.nodes) / 8
			workload := newTestWorkload(test.nodes, fleet.Tokens(rate*(connectedTime+test.left).Seconds()), rate)
			workload.focus = test.focus
			workload.run(connectedTime)
			if served := 1000 * (workload.requested - workload.rejected) / workload.requested; served < 990 {
				t.Errorf("got %d per mille served while connected, want 990 or more", served)
			}
			workload.requested, workload.rejected = 0, 0
			view, _ := workload.cluster.state.Budget(testBudget)
			t.Logf("leased %.1f s of spending, free %.1f s", float64(view.Leased)/rate, float64(view.Free)/rate)
			workload.partitioned = true
			workload.run(9 * time.Second)
			if served := int64(1000 * (workload.requested - workload.rejected) / workload.requested); served < test.minServed {
				t.Errorf("got %d per mille served during the partition, want %d or more", served, test.minServed)
			}
			t.Logf("served %d per mille during the partition", 1000*(workload.requested-workload.rejected)/workload.requested)
			if workload.cluster.spent > workload.cluster.prepaid {
				t.Errorf("got %d spent, want at most %d", workload.cluster.spent, workload.cluster.prepaid)
			}
		})
	}
}

// TestSurplusAfterTrafficPeakIsReturned triples a workspace's traffic for a while. The grown
// leases must shrink again soon afterwards, because a power loss of all VMs forfeits what is
// leased.
func TestSurplusAfterTrafficPeakIsReturned(t *testing.T) {
	w := newTestWorkload(8, 4_000_000, 60_000)
	w.run(10 * time.Second)
	w.rate *= 3
	w.run(6 * time.Second)
	w.rate /= 3
	w.run(8 * time.Second)
	view, _ := w.cluster.state.Budget(testBudget)
	if got, maximum := time.Duration(float64(view.Leased)/w.rate*float64(time.Second)), 15*time.Second; got > maximum {
		t.Errorf("got leases of %s of spending, want at most %s", got.Round(time.Millisecond), maximum)
	}
}
