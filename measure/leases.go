package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// Parameters of the lease simulation: eight nodes reserve tokens of one budget. Two of them get
// most requests, and one of these two is partitioned from the ledger for an hour.
const (
	leaseNodes        = 8
	leaseBudget       = fleet.BudgetID("b")
	requestMaxPrice   = fleet.Tokens(400)
	requestPrice      = fleet.Tokens(250)
	stepDuration      = 200 * time.Millisecond
	partitionStart    = 10 * time.Minute
	partitionEnd      = 70 * time.Minute
	simulatedDuration = 80 * time.Minute
)

// leaseResult is the result of a policy.
type leaseResult struct {
	requests int
	// falseRefusals counts the refused requests whose maximum price was still left in
	// the budget, including its leases; partitionedRefusals counts those of them on the
	// partitioned node.
	falseRefusals       int
	partitionedRefusals int
	// stranded is the maximum unused amount that the partitioned node held when another
	// node falsely refused a request.
	stranded fleet.Tokens
	spent    fleet.Tokens
}

// Leases compares three policies for lease sizes, and several shares for the policy in use.
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
			r := simulateLeases(p.policy, p.share, p.partition, b.prepaid)
			name := fmt.Sprintf("%s, %s: ", p.name, b.name)
			g.add(name+"false refusals", 1000*float64(r.falseRefusals)/float64(r.requests), "‰ of requests")
			g.add(name+"of them on the cut-off node", 1000*float64(r.partitionedRefusals)/float64(r.requests), "‰ of requests")
			g.add(name+"stranded while others refused, highest", 1000*float64(r.stranded)/float64(b.prepaid), "‰ of the budget")
			g.addWithBound(name+"spent", 1000*float64(r.spent)/float64(b.prepaid), "‰ of the budget", 1000)
		}
	}
	return g
}

type leaseSimulation struct {
	state       *ledger.State
	pools       []*lease.Pool
	now         time.Duration
	rng         *rand.Rand
	lastRequest uint64
}

func simulateLeases(policy lease.Policy, share int64, partition time.Duration, prepaid fleet.Tokens) leaseResult {
	s := &leaseSimulation{
		state: ledger.New(),
		rng:   rand.New(rand.NewPCG(7, 7)),
	}
	s.state.SetPrepaid(leaseBudget, prepaid)
	for i := range leaseNodes {
		holder := fleet.Holder{
			Node:        fleet.NodeID(fmt.Sprintf("n%d", i)),
			Incarnation: 1,
		}
		s.state.Join(holder)
		s.pools = append(s.pools, lease.New(lease.Config{
			Holder:        holder,
			SharePerMille: share,
			Partition:     partition,
			Policy:        policy,
		}))
	}
	result := leaseResult{}
	for ; s.now < simulatedDuration; s.now += stepDuration {
		s.state.Advance(fleet.UnixMillis(1_800_000_000_000 + s.now.Milliseconds()))
		s.exchangeLeases()
		s.sendRequests(&result)
	}
	view, _ := s.state.Budget(leaseBudget)
	result.spent = view.Settled
	return result
}

// isPartitioned reports whether a node is currently partitioned from the ledger.
func (s *leaseSimulation) isPartitioned(node int) bool {
	return node == 0 && s.now >= partitionStart && s.now < partitionEnd
}

func (s *leaseSimulation) exchangeLeases() {
	for i, p := range s.pools {
		if s.isPartitioned(i) {
			continue
		}
		for _, change := range p.Changes(s.now) {
			result, recalls := s.state.ChangeLease(change)
			p.ApplyResult(leaseBudget, result)
			s.handleRecalls(recalls)
		}
	}
}

func (s *leaseSimulation) handleRecalls(recalls []ledger.Recall) {
	for _, recall := range recalls {
		for i, p := range s.pools {
			if recall.Holder.Node == fleet.NodeID(fmt.Sprintf("n%d", i)) && !s.isPartitioned(i) {
				p.Recall(leaseBudget, s.now)
			}
		}
	}
}

// sendRequests sends requests at random: 1.2 per second to each of two nodes, 0.1 per second to
// each of the others.
func (s *leaseSimulation) sendRequests(result *leaseResult) {
	for i, p := range s.pools {
		rate := 0.1
		if i < 2 {
			rate = 1.2
		}
		if s.rng.Float64() >= rate*stepDuration.Seconds() {
			continue
		}
		result.requests++
		if !s.sendRequest(i, p) {
			s.countRefusal(i, result)
		}
	}
}

// sendRequest reserves the maximum price of a request and settles it. If the lease is too
// small, it requests more from the ledger, which takes two round trips and 60 ms, and tries
// again, up to three times in total.
func (s *leaseSimulation) sendRequest(i int, p *lease.Pool) bool {
	for range 3 {
		if p.Reserve(leaseBudget, requestMaxPrice, s.now) {
			s.settle(p, i)
			return true
		}
		p.SetNeed(leaseBudget, requestMaxPrice, s.now)
		s.now += 60 * time.Millisecond
		s.exchangeLeases()
		s.exchangeLeases()
		s.now -= 60 * time.Millisecond
	}
	p.SetNeed(leaseBudget, 0, s.now)
	return false
}

// settle settles a request in the ledger. A partitioned node would settle it later, but since
// its lease covers the request, settling it at once does not change the measurements.
func (s *leaseSimulation) settle(p *lease.Pool, i int) {
	p.SetNeed(leaseBudget, 0, s.now)
	s.lastRequest++
	id := fleet.RequestID{}
	ms := uint64(1_800_000_000_000 + s.now.Milliseconds())
	for b := range 6 {
		id[b] = byte(ms >> (40 - 8*b))
	}
	for b := range 8 {
		id[15-b] = byte(s.lastRequest >> (8 * b))
	}
	result := s.state.Settle(ledger.Settlement{
		Key: ledger.RequestKey{
			Workspace: "w",
			Request:   id,
		},
		Budget: leaseBudget,
		Holder: fleet.Holder{
			Node:        fleet.NodeID(fmt.Sprintf("n%d", i)),
			Incarnation: 1,
		},
		Tokens:  requestPrice,
		Attempt: s.lastRequest,
	})
	p.Release(leaseBudget, requestMaxPrice, result.Charged, s.now)
}

func (s *leaseSimulation) countRefusal(i int, result *leaseResult) {
	view, _ := s.state.Budget(leaseBudget)
	if view.Free+view.Leased < requestMaxPrice {
		return
	}
	result.falseRefusals++
	if s.isPartitioned(i) {
		result.partitionedRefusals++
		return
	}
	for _, l := range view.Leases {
		if l.Holder.Node == "n0" && s.now >= partitionStart && s.now < partitionEnd {
			result.stranded = max(result.stranded, l.Outstanding)
		}
	}
}
