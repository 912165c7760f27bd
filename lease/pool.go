// Package lease keeps the quota that an entry node holds on lease from the
// budgets, and decides how much more to ask for and what to give back.
//
// # What a node should hold
//
// A node that holds too little refuses callers when it is cut off, or makes each
// request wait for the ledger. A node that holds too much strands quota: nobody
// else can spend it while the node is silent. The pool therefore follows demand: it
// aims at what its callers spend in the coming seconds, plus what they would spend
// in a network partition of the configured length. The ledger grants at most a
// share of what is still free, so that the aim shrinks as a budget runs out.
//
// For example, at 200 tokens/s and a partition of 20 minutes a pool aims at
// 241,000 tokens; with a share of 100 per mille and 500,000 free, it gets 50,000.
//
// The package is a pure state machine; times are on the clock of the caller.
package lease

import (
	"math"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// Times of the pool.
const (
	// horizon is the spending that is kept at hand while connected.
	horizon = 5 * time.Second
	// rateWindow and slowWindow are the times over which spending is averaged.
	rateWindow = 30 * time.Second
	slowWindow = 10 * time.Minute
	// resendAfter is the wait for an answer before a change is repeated.
	resendAfter = 500 * time.Millisecond
	// idleAfter is the time without a request after which quota is given back.
	idleAfter = 2 * time.Minute
	// askAgainAfter keeps a pool that got less than it wanted from asking at
	// once again.
	askAgainAfter = time.Second
	// needAgainAfter is the same for a pool that got nothing while requests
	// wait.
	needAgainAfter = 50 * time.Millisecond
)

// Policy chooses how much a pool aims at.
type Policy string

// The policies. PolicyDemandRecall and PolicyMetered are in use; the others are
// baselines that measurements compare with.
const (
	// PolicyFixedShare aims at the ledger's share, whatever the demand, and
	// answers no recall.
	PolicyFixedShare Policy = "fixedShare"
	// PolicyDemand follows demand and answers no recall.
	PolicyDemand Policy = "demand"
	// PolicyDemandRecall follows demand and answers recalls.
	PolicyDemandRecall Policy = "demandRecall"
	// PolicyMetered is for metered budgets: the pool keeps a fixed part of what
	// a budget has left, reports what it spends, and answers recalls.
	PolicyMetered Policy = "metered"
)

// Config sets up a Pool.
type Config struct {
	Holder        fleet.Holder
	SharePerMille int64
	// Partition is how long the node should be able to spend while cut off.
	Partition time.Duration
	Policy    Policy
}

// Pool is the quota of one holder. It is not safe for concurrent use.
type Pool struct {
	cfg     Config
	budgets map[fleet.BudgetID]*quota
	// holdPerMille is the part of a metered budget's remainder that this
	// holder keeps.
	holdPerMille int64
	// held are the metered budgets of which it keeps that part.
	held map[fleet.BudgetID]bool
}

type quota struct {
	free     fleet.Tokens
	reserved fleet.Tokens
	seq      uint64
	// pending is the change that waits for its answer.
	pending   *ledger.LeaseChange
	pendingAt time.Duration
	// need is what the first waiting request needs.
	need     fleet.Tokens
	recalled bool
	rate     float64 // tokens for each second, over rateWindow
	slowRate float64 // the same over slowWindow
	rateAt   time.Duration
	usedAt   time.Duration
	askedAt  time.Duration
	last     ledger.LeaseResult
	// spent is what was used of a metered lease and has not been reported.
	spent fleet.Tokens
	// wanted asks for a change although nothing was spent.
	wanted bool
	// foreign is what other nodes lent, which the ledger counts as spent already.
	foreign fleet.Tokens
	// used is all that was ever reserved or spent. It stays below the bound that
	// the ledger has acknowledged and, where a change is pending, below its bound
	// as well: the ledger may know either.
	used         fleet.Tokens
	bound        bound
	pendingBound *bound
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
			rateAt:  now,
			usedAt:  now,
			askedAt: -askAgainAfter,
		}
		p.budgets[budget] = q
	}
	return q
}

// Reserve sets the amount aside for a request, or reports false and takes note of
// the need.
func (p *Pool) Reserve(budget fleet.BudgetID, amount fleet.Tokens, now time.Duration) bool {
	q := p.quota(budget, now)
	q.usedAt = now
	if q.free < amount || p.limited(q, amount, now) {
		return false
	}
	q.free -= amount
	q.reserved += amount
	q.used += amount
	return true
}

// SetNeed tells what the request that waits first for this budget needs. The needs
// of several are not added up: a sum that the budget cannot meet would be granted
// nothing, and all would be refused where one could be served.
func (p *Pool) SetNeed(budget fleet.BudgetID, need fleet.Tokens, now time.Duration) {
	p.quota(budget, now).need = need
}

// Release ends a reservation of which spent was billed to the lease.
func (p *Pool) Release(budget fleet.BudgetID, reserved, spent fleet.Tokens, now time.Duration) {
	q := p.quota(budget, now)
	q.reserved -= reserved
	q.free += reserved - spent
	q.used -= reserved - spent
	if p.cfg.Policy != PolicyMetered {
		q.observe(spent, now)
		return
	}
	lent := min(spent, q.foreign)
	q.foreign -= lent
	q.spent += spent - lent
	q.meter(now)
	q.rate += float64(spent) / meteredWindow.Seconds()
}

// Refund takes back quota that was held as spent but was not billed after all.
func (p *Pool) Refund(budget fleet.BudgetID, amount fleet.Tokens, now time.Duration) {
	p.quota(budget, now).free += amount
}

// observe averages the spending over both windows.
func (q *quota) observe(spent fleet.Tokens, now time.Duration) {
	q.decay(now)
	q.rate += float64(spent) / rateWindow.Seconds()
	q.slowRate += float64(spent) / slowWindow.Seconds()
}

func (q *quota) decay(now time.Duration) {
	passed := (now - q.rateAt).Seconds()
	if passed > 0 {
		q.rate *= math.Exp(-passed / rateWindow.Seconds())
		q.slowRate *= math.Exp(-passed / slowWindow.Seconds())
		q.rateAt = now
	}
}

// Recall takes note that the ledger wants quota back.
func (p *Pool) Recall(budget fleet.BudgetID, now time.Duration) {
	if p.cfg.Policy == PolicyDemandRecall || p.cfg.Policy == PolicyMetered {
		p.quota(budget, now).recalled = true
	}
}

// target is what the pool aims to hold free.
func (p *Pool) target(q *quota, now time.Duration) fleet.Tokens {
	if p.cfg.Policy == PolicyFixedShare {
		return math.MaxInt64 / 4
	}
	q.decay(now)
	rate := max(q.rate, q.slowRate)
	return fleet.Tokens(rate * (horizon + p.cfg.Partition).Seconds())
}

// floorPerMille is the part of the target below which the pool asks for more. A
// network partition may begin at any moment, so the pool is kept nearly full.
const floorPerMille = 900

// Changes returns the changes that must be sent now: new ones, and those that have
// waited too long for an answer.
func (p *Pool) Changes(now time.Duration) []ledger.LeaseChange {
	var changes []ledger.LeaseChange
	for _, id := range p.ids() {
		q := p.budgets[id]
		if q.pending == nil {
			q.pending = p.nextChange(id, q, now)
			q.pendingAt = now - resendAfter
		}
		if q.pending != nil && now-q.pendingAt >= resendAfter {
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

// short reports whether a request waits for more than there is, and the ledger is to be
// asked for it now.
func (q *quota) short(now time.Duration) bool {
	return q.need > q.free && (q.last.Granted > 0 || now-q.askedAt >= needAgainAfter)
}

// nextChange decides whether to ask, to give back, or neither. What is given back
// leaves the pool at once: it must not be spent once the change may be under way.
func (p *Pool) nextChange(id fleet.BudgetID, q *quota, now time.Duration) *ledger.LeaseChange {
	if q.recalled {
		return p.answerRecall(id, q, now)
	}
	if p.cfg.Policy == PolicyMetered {
		return p.meteredChange(id, q, now)
	}
	target := p.target(q, now)
	short := q.short(now)
	low := q.free < target*floorPerMille/1000 && now-q.askedAt >= askAgainAfter
	idle := q.free > 0 && q.need == 0 && now-q.usedAt > idleAfter
	switch {
	case short || low:
		q.askedAt = now
		change := p.change(id, q)
		change.Need = max(q.need-q.free, 0)
		change.Want = max(target-q.free, change.Need)
		return change
	case idle:
		change := p.change(id, q)
		change.Returned = q.free
		q.free = 0
		return change
	}
	return nil
}

func (p *Pool) answerRecall(id fleet.BudgetID, q *quota, now time.Duration) *ledger.LeaseChange {
	q.recalled = false
	change := p.change(id, q)
	if p.cfg.Policy == PolicyMetered {
		p.limit(q, change, now)
	}
	change.AnswersRecall = true
	change.Returned = max(q.free-q.need-q.foreign, 0)
	q.free -= change.Returned
	q.askedAt = 0
	return change
}

func (p *Pool) change(id fleet.BudgetID, q *quota) *ledger.LeaseChange {
	q.seq++
	spent := q.spent
	q.spent = 0
	return &ledger.LeaseChange{
		Holder:        p.cfg.Holder,
		Budget:        id,
		Seq:           q.seq,
		SharePerMille: p.cfg.SharePerMille,
		Spent:         spent,
		HoldPerMille:  p.holdPerMille,
	}
}

// ApplyResult takes in the ledger's answer. It reports false for an answer to an
// earlier change.
func (p *Pool) ApplyResult(budget fleet.BudgetID, result ledger.LeaseResult) bool {
	q, ok := p.budgets[budget]
	if !ok || q.pending == nil || q.pending.Seq != result.Seq {
		return false
	}
	q.pending = nil
	q.free += result.Granted
	if q.pendingBound != nil {
		q.bound = *q.pendingBound
		q.pendingBound = nil
	}
	q.last = result
	return true
}

// LastResult returns the latest answer for a budget.
func (p *Pool) LastResult(budget fleet.BudgetID) ledger.LeaseResult {
	q, ok := p.budgets[budget]
	if !ok {
		return ledger.LeaseResult{}
	}
	return q.last
}

// Shortfall returns how much more quota a request of this cost needs.
func (p *Pool) Shortfall(budget fleet.BudgetID, cost fleet.Tokens) fleet.Tokens {
	q, ok := p.budgets[budget]
	if !ok {
		return cost
	}
	return max(cost-q.free, 0)
}

// ReturnAll returns changes that give back all that is free. It is for a planned
// stop, after the last request.
func (p *Pool) ReturnAll() []ledger.LeaseChange {
	var changes []ledger.LeaseChange
	for _, id := range p.ids() {
		q := p.budgets[id]
		if q.pending != nil || q.free == 0 && q.spent == 0 {
			continue
		}
		change := p.change(id, q)
		// What other nodes lent is spent for the ledger already.
		change.Returned = q.own()
		change.Limit = q.reserved
		q.free = 0
		changes = append(changes, *change)
	}
	return changes
}

// Holding is what a pool has of one budget.
type Holding struct {
	Budget   fleet.BudgetID `json:"budget"`
	Free     fleet.Tokens   `json:"free"`
	Reserved fleet.Tokens   `json:"reserved"`
	// RatePerSecond is the average spending.
	RatePerSecond float64 `json:"ratePerSecond"`
}

// Holdings returns what the pool has, in order of budget.
func (p *Pool) Holdings() []Holding {
	var holdings []Holding
	for _, id := range p.ids() {
		q := p.budgets[id]
		holdings = append(holdings, Holding{
			Budget:        id,
			Free:          q.free,
			Reserved:      q.reserved,
			RatePerSecond: q.rate,
		})
	}
	return holdings
}
