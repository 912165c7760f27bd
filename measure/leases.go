package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// The lease measurement's world: eight nodes that draw on one budget, with most
// requests at two of them, one of which is cut off for an hour.
const (
	leaseNodes    = 8
	leaseBudget   = fleet.BudgetID("b")
	requestWorst  = fleet.Tokens(400)
	requestSpent  = fleet.Tokens(250)
	leaseStep     = 200 * time.Millisecond
	cutFrom       = 10 * time.Minute
	cutUntil      = 70 * time.Minute
	leaseDuration = 80 * time.Minute
)

// leaseResult is what one policy did.
type leaseResult struct {
	requests int
	// falseRefusals are requests refused while the budget, leases included,
	// still had their price; cutRefusals are those of them on the cut-off node.
	falseRefusals int
	cutRefusals   int
	// stranded is the highest amount that the cut-off node held unused while
	// another node had to refuse.
	stranded fleet.Tokens
	spent    fleet.Tokens
}

// Leases compares three policies of lease sizes, and shares of the policy in use.
func Leases() Group {
	g := Group{
		Name:    "leases",
		Setting: "A budget drawn on by 8 nodes, 2 of them busy, one of the busy ones cut off from minute 10 to minute 70 of 80. \"Ample\" is a budget of three times the demand, \"tight\" one that runs out at about minute 60. A refusal is false if the budget had the price left anywhere.",
	}
	ample := fleet.Tokens(3 * 80 * 60 * 250 * 3)
	tight := ample / 4
	for _, p := range []struct {
		name      string
		policy    lease.Policy
		share     int64
		partition time.Duration
	}{
		{
			name:      "fixed share 125‰",
			policy:    lease.PolicyFixedShare,
			share:     125,
			partition: time.Hour,
		},
		{
			name:      "demand 150‰ 60 min",
			policy:    lease.PolicyDemand,
			share:     150,
			partition: time.Hour,
		},
		{
			name:      "demand+recall 50‰ 15 min",
			policy:    lease.PolicyDemandRecall,
			share:     50,
			partition: 15 * time.Minute,
		},
		{
			name:      "demand+recall 150‰ 60 min",
			policy:    lease.PolicyDemandRecall,
			share:     150,
			partition: time.Hour,
		},
		{
			name:      "demand+recall 400‰ 60 min",
			policy:    lease.PolicyDemandRecall,
			share:     400,
			partition: time.Hour,
		},
	} {
		for _, b := range []struct {
			name    string
			prepaid fleet.Tokens
		}{
			{
				name:    "ample",
				prepaid: ample,
			},
			{
				name:    "tight",
				prepaid: tight,
			},
		} {
			r := runLeases(p.policy, p.share, p.partition, b.prepaid)
			name := fmt.Sprintf("%s, %s: ", p.name, b.name)
			g.add(name+"false refusals", 1000*float64(r.falseRefusals)/float64(r.requests), "‰ of requests")
			g.add(name+"of them on the cut-off node", 1000*float64(r.cutRefusals)/float64(r.requests), "‰ of requests")
			g.add(name+"stranded while others refused, highest", 1000*float64(r.stranded)/float64(b.prepaid), "‰ of the budget")
			g.atMost(name+"spent", 1000*float64(r.spent)/float64(b.prepaid), "‰ of the budget", 1000)
		}
	}
	return g
}

type leaseWorld struct {
	state *ledger.State
	pools []*lease.Pool
	now   time.Duration
	rng   *rand.Rand
	next  uint64
}

func runLeases(policy lease.Policy, share int64, partition time.Duration, prepaid fleet.Tokens) leaseResult {
	w := &leaseWorld{
		state: ledger.New(),
		rng:   rand.New(rand.NewPCG(7, 7)),
	}
	w.state.SetPrepaid(leaseBudget, prepaid)
	for i := range leaseNodes {
		holder := fleet.Holder{
			Node:        fleet.NodeID(fmt.Sprintf("n%d", i)),
			Incarnation: 1,
		}
		w.state.Join(holder)
		w.pools = append(w.pools, lease.New(lease.Config{
			Holder:        holder,
			SharePerMille: share,
			Partition:     partition,
			Policy:        policy,
		}))
	}
	result := leaseResult{}
	for ; w.now < leaseDuration; w.now += leaseStep {
		w.state.Advance(fleet.UnixMillis(1_800_000_000_000 + w.now.Milliseconds()))
		w.exchange()
		w.demand(&result)
	}
	view, _ := w.state.Budget(leaseBudget)
	result.spent = view.Settled
	return result
}

// cut reports whether a node is cut off from the ledger now.
func (w *leaseWorld) cut(node int) bool {
	return node == 0 && w.now >= cutFrom && w.now < cutUntil
}

func (w *leaseWorld) exchange() {
	for i, p := range w.pools {
		if w.cut(i) {
			continue
		}
		for _, change := range p.Changes(w.now) {
			result, recalls := w.state.ChangeLease(change)
			p.ApplyResult(leaseBudget, result)
			w.recall(recalls)
		}
	}
}

func (w *leaseWorld) recall(recalls []ledger.Recall) {
	for _, recall := range recalls {
		for i, p := range w.pools {
			if recall.Holder.Node == fleet.NodeID(fmt.Sprintf("n%d", i)) && !w.cut(i) {
				p.Recall(leaseBudget, w.now)
			}
		}
	}
}

// demand sends 1.2 requests a second to each of two nodes and 0.1 to the others.
func (w *leaseWorld) demand(result *leaseResult) {
	for i, p := range w.pools {
		rate := 0.1
		if i < 2 {
			rate = 1.2
		}
		if w.rng.Float64() >= rate*leaseStep.Seconds() {
			continue
		}
		result.requests++
		if !w.serve(i, p) {
			w.refused(i, result)
		}
	}
}

// serve tries a request, with two round trips to the ledger if need be.
func (w *leaseWorld) serve(i int, p *lease.Pool) bool {
	for range 3 {
		if p.Reserve(leaseBudget, requestWorst, w.now) {
			w.settle(p, i)
			return true
		}
		p.SetNeed(leaseBudget, requestWorst, w.now)
		w.now += 60 * time.Millisecond
		w.exchange()
		w.exchange()
		w.now -= 60 * time.Millisecond
	}
	p.SetNeed(leaseBudget, 0, w.now)
	return false
}

// settle bills a request. What a cut-off node bills reaches the ledger later; for
// the figures it makes no difference that it is settled at once, since its lease
// covers it.
func (w *leaseWorld) settle(p *lease.Pool, i int) {
	p.SetNeed(leaseBudget, 0, w.now)
	w.next++
	id := fleet.RequestID{}
	ms := uint64(1_800_000_000_000 + w.now.Milliseconds())
	for b := range 6 {
		id[b] = byte(ms >> (40 - 8*b))
	}
	for b := range 8 {
		id[15-b] = byte(w.next >> (8 * b))
	}
	result := w.state.Settle(ledger.Settlement{
		Key: ledger.RequestKey{
			Workspace: "w",
			Request:   id,
		},
		Budget: leaseBudget,
		Holder: fleet.Holder{
			Node:        fleet.NodeID(fmt.Sprintf("n%d", i)),
			Incarnation: 1,
		},
		Tokens:  requestSpent,
		Attempt: w.next,
	})
	p.Release(leaseBudget, requestWorst, result.Charged, w.now)
}

func (w *leaseWorld) refused(i int, result *leaseResult) {
	view, _ := w.state.Budget(leaseBudget)
	if view.Free+view.Leased < requestWorst {
		return
	}
	result.falseRefusals++
	if w.cut(i) {
		result.cutRefusals++
		return
	}
	for _, l := range view.Leases {
		if l.Holder.Node == "n0" && w.now >= cutFrom && w.now < cutUntil {
			result.stranded = max(result.stranded, l.Outstanding)
		}
	}
}
