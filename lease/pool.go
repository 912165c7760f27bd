// Package lease manages the quota that an entry node has leased from budgets, and
// decides how much more to request and how much to return.
//
// # Sizing a lease
//
// A node that holds too little rejects requests during a network partition, or makes
// each request wait for the ledger. A node that holds too much strands quota: no other
// node can spend it while this node is unreachable. The pool therefore follows demand:
// its target is what its callers spend in the coming seconds, plus what they would
// spend during a network partition of the configured length. The ledger grants at most
// a share of what is still free, so grants shrink as a budget runs out.
//
// For example, at 200 tokens/s and a partition of 20 minutes the target is 241,000
// tokens; with a share of 100 per mille and 500,000 free, the pool gets 50,000.
//
// The package is a pure state machine: the time is passed in as an argument.
package lease

import (
	"math"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

const (
	// horizon is the spending that the target covers while the ledger is reachable.
	horizon = 5 * time.Second
	// rateWindow and slowWindow are the windows of the two spending averages.
	rateWindow = 30 * time.Second
	slowWindow = 10 * time.Minute
	// resendTimeout is the time after which a change without a result is resent.
	resendTimeout = 500 * time.Millisecond
	// idleTimeout is the time without a request after which quota is returned.
	idleTimeout = 2 * time.Minute
	// refillInterval is the minimum time between requests for more quota, so that a
	// pool that was granted less than its target does not repeat its request at once.
	refillInterval = time.Second
	// needRetryInterval is the same for a pool that was granted nothing while
	// requests wait.
	needRetryInterval = 50 * time.Millisecond
)

// Policy selects how the pool computes its target and whether it responds to recalls.
type Policy string

// PolicyDemandRecall and PolicyMetered are in use; the others are baselines for
// measurements.
const (
	// PolicyFixedShare requests the ledger's full share regardless of demand, and
	// ignores recalls.
	PolicyFixedShare Policy = "fixedShare"
	// PolicyDemand follows demand and ignores recalls.
	PolicyDemand Policy = "demand"
	// PolicyDemandRecall follows demand and responds to recalls.
	PolicyDemandRecall Policy = "demandRecall"
	// PolicyMetered is for metered budgets: the pool keeps a part of what the
	// budget has left, reports its spending, and responds to recalls.
	PolicyMetered Policy = "metered"
)

// Config configures a Pool.
type Config struct {
	Holder        fleet.Holder
	SharePerMille int64
	// Partition is the length of a network partition that the leased quota should
	// cover.
	Partition time.Duration
	Policy    Policy
}

// Pool is the leased quota of one holder. It is not safe for concurrent use.
type Pool struct {
	cfg     Config
	budgets map[fleet.BudgetID]*quota
	// holdPerMille is the part of a metered budget's remainder that this holder may
	// keep.
	holdPerMille int64
	// held is the set of metered budgets of which the holder keeps that part.
	held map[fleet.BudgetID]bool
	// unlimited is the set of metered budgets that have no total.
	unlimited map[fleet.BudgetID]bool
	// returned is set once all free quota was returned. A later change would overtake those that
	// return it, and lease it again.
	returned bool
}

type quota struct {
	// free is negative while more is overdrawn than is on lease.
	free     fleet.Tokens
	reserved fleet.Tokens
	seq      uint64
	// pending is the change that waits for its result, or nil.
	pending   *ledger.LeaseChange
	pendingAt time.Duration
	// need is the cost of the first waiting request, or 0, and waiting that of all of them.
	need        fleet.Tokens
	waiting     fleet.Tokens
	recalled    bool
	rate        float64 // tokens per second over rateWindow, or meteredWindow if metered
	slowRate    float64 // tokens per second over slowWindow, or meteredSlowWindow
	rateAt      time.Duration
	usedAt      time.Duration
	requestedAt time.Duration
	last        ledger.LeaseResult
	// spent is the spending from a metered lease that has not been reported yet.
	spent fleet.Tokens
	// unlimited is set if the budget has no total.
	unlimited bool
	// changeRequested makes a change due although nothing was spent.
	changeRequested bool
	// borrowed is the part of free that other nodes lent, or that was drawn from a
	// holder or returned to it. The ledger already counts it as spent.
	borrowed fleet.Tokens
	// used is the total ever reserved or spent. It stays within the limit that the
	// ledger has acknowledged and, while a change is pending, within that change's
	// limit too, because the ledger may have applied either.
	used         fleet.Tokens
	ackedLimit   spendLimit
	pendingLimit *spendLimit
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{
		cfg:     cfg,
		budgets: map[fleet.BudgetID]*quota{},
	}
}

func (p *Pool) quota(budget fleet.BudgetID, now time.Duration) *quota {
	q, ok := p.budgets[budget]
	if !ok {
		q = &quota{
			rateAt:      now,
			usedAt:      now,
			requestedAt: -refillInterval,
			unlimited:   p.unlimited[budget],
		}
		p.budgets[budget] = q
	}
	return q
}

// Reserve sets the amount aside for a request. It reports false if the pool cannot
// cover the amount; the caller then records the need with SetNeed.
func (p *Pool) Reserve(budget fleet.BudgetID, amount fleet.Tokens, now time.Duration) bool {
	q := p.quota(budget, now)
	q.usedAt = now
	if q.free < amount || p.exceedsLimit(q, amount, now) {
		return false
	}
	q.free -= amount
	q.reserved += amount
	q.used += amount
	return true
}

// SetNeed sets the cost of the first request that waits for this budget. The costs of
// several waiting requests are not added up: the ledger grants nothing for a sum that
// the budget cannot cover, so all would be rejected where one could be served.
func (p *Pool) SetNeed(budget fleet.BudgetID, need fleet.Tokens, now time.Duration) {
	q := p.quota(budget, now)
	q.need = need
	q.waiting = need
}

// SetWaiting sets the cost of all requests that wait for this budget. It follows SetNeed. Limits
// cover all of them, since a holder's lease may be large while it has spent little lately.
func (p *Pool) SetWaiting(budget fleet.BudgetID, waiting fleet.Tokens, now time.Duration) {
	p.quota(budget, now).waiting = waiting
}

// Release ends a reservation, of which the given part was spent.
func (p *Pool) Release(budget fleet.BudgetID, reserved, spent fleet.Tokens, now time.Duration) {
	q := p.quota(budget, now)
	q.reserved -= reserved
	q.free += reserved - spent
	q.used -= reserved - spent
	if p.cfg.Policy != PolicyMetered {
		q.recordSpending(spent, now)
		return
	}
	fromBorrowed := min(spent, q.borrowed)
	q.borrowed -= fromBorrowed
	q.spent += spent - fromBorrowed
	q.decayMetered(now)
	q.rate += float64(spent) / meteredWindow.Seconds()
	q.slowRate += float64(spent) / meteredSlowWindow.Seconds()
}

// Refund returns quota to the pool that was released as spent but was not billed.
func (p *Pool) Refund(budget fleet.BudgetID, amount fleet.Tokens, now time.Duration) {
	p.quota(budget, now).free += amount
}

// recordSpending adds to the spending averages of both windows.
func (q *quota) recordSpending(spent fleet.Tokens, now time.Duration) {
	q.decay(now)
	q.rate += float64(spent) / rateWindow.Seconds()
	q.slowRate += float64(spent) / slowWindow.Seconds()
}

func (q *quota) decay(now time.Duration) {
	elapsed := (now - q.rateAt).Seconds()
	if elapsed > 0 {
		q.rate *= math.Exp(-elapsed / rateWindow.Seconds())
		q.slowRate *= math.Exp(-elapsed / slowWindow.Seconds())
		q.rateAt = now
	}
}

// Recall records that the ledger has recalled quota. The next change responds to it.
func (p *Pool) Recall(budget fleet.BudgetID, now time.Duration) {
	if p.cfg.Policy == PolicyDemandRecall || p.cfg.Policy == PolicyMetered {
		p.quota(budget, now).recalled = true
	}
}

// target returns how much free quota the pool tries to hold.
func (p *Pool) target(q *quota, now time.Duration) fleet.Tokens {
	if p.cfg.Policy == PolicyFixedShare {
		return math.MaxInt64 / 4
	}
	q.decay(now)
	rate := max(q.rate, q.slowRate)
	return fleet.Tokens(rate * (horizon + p.cfg.Partition).Seconds())
}

// refillPerMille is the part of the target below which the pool requests more. A
// network partition may begin at any time, so the pool is kept nearly full.
const refillPerMille = 900

// Changes returns the changes to send now: new ones, and pending ones whose result is
// overdue.
func (p *Pool) Changes(now time.Duration) []ledger.LeaseChange {
	var changes []ledger.LeaseChange
	for _, id := range p.ids() {
		q := p.budgets[id]
		if q.pending == nil && !p.returned {
			q.pending = p.nextChange(id, q, now)
			q.pendingAt = now - resendTimeout
		}
		if q.pending != nil && now-q.pendingAt >= resendTimeout {
			q.pendingAt = now
			changes = append(changes, *q.pending)
		}
	}
	return changes
}

func (p *Pool) ids() []fleet.BudgetID {
	ids := make([]fleet.BudgetID, 0, len(p.budgets))
	for id := range p.budgets {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// needsMore reports whether a waiting request costs more than is free and more should be
// requested from the ledger now.
func (q *quota) needsMore(now time.Duration) bool {
	return q.need > q.free && (q.last.Granted > 0 || now-q.requestedAt >= needRetryInterval)
}

// nextChange decides whether to request quota, return quota, or neither. Returned quota
// leaves the pool at once, because it must not be spent once the change may have been
// sent.
func (p *Pool) nextChange(id fleet.BudgetID, q *quota, now time.Duration) *ledger.LeaseChange {
	if q.recalled {
		return p.respondToRecall(id, q, now)
	}
	if p.cfg.Policy == PolicyMetered {
		return p.nextMeteredChange(id, q, now)
	}
	target := p.target(q, now)
	needsMore := q.needsMore(now)
	low := q.free < target*refillPerMille/1000 && now-q.requestedAt >= refillInterval
	idle := q.free > 0 && q.need == 0 && now-q.usedAt > idleTimeout
	switch {
	case needsMore || low:
		q.requestedAt = now
		change := p.newChange(id, q)
		change.Need = max(q.need-q.free, 0)
		change.Want = max(target-q.free, change.Need)
		return change
	case idle:
		change := p.newChange(id, q)
		change.Returned = q.free
		q.free = 0
		return change
	}
	return nil
}

func (p *Pool) respondToRecall(id fleet.BudgetID, q *quota, now time.Duration) *ledger.LeaseChange {
	q.recalled = false
	change := p.newChange(id, q)
	if p.cfg.Policy == PolicyMetered {
		p.setLimit(q, change, 0, now)
	}
	change.AnswersRecall = true
	change.Returned = max(q.free-q.need-q.borrowed, 0)
	q.free -= change.Returned
	q.requestedAt = 0
	return change
}

func (p *Pool) newChange(id fleet.BudgetID, q *quota) *ledger.LeaseChange {
	q.seq++
	spent := q.spent
	if p.cfg.Policy == PolicyMetered {
		spent = q.reportable()
	}
	q.spent -= spent
	return &ledger.LeaseChange{
		Holder:        p.cfg.Holder,
		Budget:        id,
		Seq:           q.seq,
		SharePerMille: p.cfg.SharePerMille,
		Spent:         spent,
		HoldPerMille:  p.holdPerMille,
	}
}

// ApplyResult applies the ledger's result of the pending change. It reports false for
// the result of any other change.
func (p *Pool) ApplyResult(budget fleet.BudgetID, result ledger.LeaseResult) bool {
	q, ok := p.budgets[budget]
	if !ok || q.pending == nil || q.pending.Seq != result.Seq {
		return false
	}
	q.pending = nil
	q.free += result.Granted
	if q.pendingLimit != nil {
		q.ackedLimit = *q.pendingLimit
		q.pendingLimit = nil
	}
	q.last = result
	return true
}

// LastResult returns the latest result for a budget, or a zero one if there is none.
func (p *Pool) LastResult(budget fleet.BudgetID) ledger.LeaseResult {
	q, ok := p.budgets[budget]
	if !ok {
		return ledger.LeaseResult{}
	}
	return q.last
}

// Shortfall returns how much the free quota is below this cost.
func (p *Pool) Shortfall(budget fleet.BudgetID, cost fleet.Tokens) fleet.Tokens {
	q, ok := p.budgets[budget]
	if !ok {
		return cost
	}
	return max(cost-q.free, 0)
}

// ReturnAll returns changes that return all free quota. It is called on a planned stop,
// after the last request.
func (p *Pool) ReturnAll() []ledger.LeaseChange {
	p.returned = true
	var changes []ledger.LeaseChange
	for _, id := range p.ids() {
		q := p.budgets[id]
		if q.overdrawn() > 0 {
			changes = append(changes, p.leaseOverdrawn(id, q)...)
		} else if q.pending != nil || q.free == 0 && q.spent == 0 {
			continue
		}
		change := p.newChange(id, q)
		// The ledger already counts borrowed quota as spent.
		change.Returned = q.ownFree()
		change.Limit = q.reserved
		q.free = 0
		changes = append(changes, *change)
	}
	return changes
}

// Holding is the quota of one budget in a pool.
type Holding struct {
	Budget   fleet.BudgetID `json:"budget"`
	Free     fleet.Tokens   `json:"free"`
	Reserved fleet.Tokens   `json:"reserved"`
	// Borrowed is the part of Free that the ledger already counts as spent.
	Borrowed fleet.Tokens `json:"borrowed,omitempty"`
	// RatePerSecond is the average spending in tokens per second.
	RatePerSecond float64 `json:"ratePerSecond"`
}

// Holdings returns the quota in the pool, sorted by budget.
func (p *Pool) Holdings() []Holding {
	var holdings []Holding
	for _, id := range p.ids() {
		q := p.budgets[id]
		holdings = append(holdings, Holding{
			Budget:        id,
			Free:          q.free,
			Reserved:      q.reserved,
			Borrowed:      q.borrowed,
			RatePerSecond: q.rate,
		})
	}
	return holdings
}
