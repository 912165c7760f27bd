package lease

import (
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// Figures of metered budgets.
const (
	// MeteredPartition is the network partition from the control group that a node's
	// own leases bridge: the longest on the users' calm days is 9 s. What is leased is
	// forfeited when all VMs lose power, so no more is held.
	MeteredPartition = 9500 * time.Millisecond
	// MeteredPerMille is the part of each remainder that all nodes may hold
	// together. The rest goes where the need is.
	MeteredPerMille = 700
	// meteredWindow is the time over which spending from metered leases is
	// averaged: some requests, and short beside a network partition.
	meteredWindow = 4 * time.Second
	// firstPart divides the part of the remainder that a pool may hold into what
	// it holds at least, for a workspace that sends little, or nothing yet, and may
	// send more in a network partition.
	firstPart = 3
	// roomTime is the spending that a bound leaves room for at once, and
	// slopeTimes how much faster than the spending it rises.
	roomTime   = time.Second
	slopeTimes = 1.5
	// slopeTime is the time in which a bound lets at least all that is free be used.
	slopeTime = 10 * time.Second
	// reportInterval is the time between the changes of a budget in use, and
	// reportFor how long it counts as in use after a request. A lease whose last
	// change is old counts as spent when its holder dies.
	reportInterval = 500 * time.Millisecond
	reportFor      = 10 * time.Second
	// surplusTimes is how many times its target a pool holds before it gives back.
	surplusTimes = 1.3
	// borrowAhead is the spending for which a pool borrows at once.
	borrowAhead = 3 * time.Second
)

// bound is a limit to the use of a metered lease that rises with time.
type bound struct {
	level fleet.Tokens
	slope fleet.Tokens // a second
	at    time.Duration
}

func (b bound) allows(used fleet.Tokens, now time.Duration) bool {
	return used <= b.level+fleet.Tokens(float64(b.slope)*(now-b.at).Seconds())
}

// limited reports whether an amount would pass the bound that the ledger knows of.
func (p *Pool) limited(q *quota, amount fleet.Tokens, now time.Duration) bool {
	if p.cfg.Policy != PolicyMetered {
		return false
	}
	used := q.used + amount
	return !q.bound.allows(used, now) || q.pendingBound != nil && !q.pendingBound.allows(used, now)
}

// SetHeldBudgets sets the budgets of which the pool keeps a part of what remains, and asks for it
// at once: a network partition may come before their first request. What it has of others
// is given back.
func (p *Pool) SetHeldBudgets(perMille int64, budgets []fleet.BudgetID, now time.Duration) {
	p.holdPerMille = perMille
	p.held = map[fleet.BudgetID]bool{}
	for _, id := range budgets {
		p.held[id] = true
		p.quota(id, now).wanted = true
	}
}

// own is what is free of the holder's own lease.
func (q *quota) own() fleet.Tokens {
	return max(q.free-q.foreign, 0)
}

// meter lets the average over meteredWindow decay.
func (q *quota) meter(now time.Duration) {
	if passed := (now - q.rateAt).Seconds(); passed > 0 {
		q.rate *= math.Exp(-passed / meteredWindow.Seconds())
		q.rateAt = now
	}
}

// Lend gives a part of a metered lease to another node, half of what is free at the
// most. The ledger hears of it as spent, so that whatever becomes of the other node
// nothing is spent twice.
func (p *Pool) Lend(budget fleet.BudgetID, wanted fleet.Tokens, now time.Duration) fleet.Tokens {
	q := p.quota(budget, now)
	lent := max(min(wanted, (q.free-q.need)/2), 0)
	for lent > 0 && p.limited(q, lent, now) {
		lent /= 2
	}
	q.free -= lent
	q.used += lent
	foreign := min(lent, q.foreign)
	q.foreign -= foreign
	q.spent += lent - foreign
	return lent
}

// AddBorrowed takes in what another node lent.
func (p *Pool) AddBorrowed(budget fleet.BudgetID, amount fleet.Tokens, now time.Duration) {
	q := p.quota(budget, now)
	q.addForeign(amount)
}

// addForeign adds to what other nodes lent, or takes from it. The bounds move with it: the
// ledger counts it as spent already.
func (q *quota) addForeign(amount fleet.Tokens) {
	q.free += amount
	q.foreign += amount
	q.bound.level += amount
	if q.pendingBound != nil {
		q.pendingBound.level += amount
	}
}

// BorrowAmount returns how much to borrow for a request of this cost: enough for the requests
// of the next seconds as well.
func (p *Pool) BorrowAmount(budget fleet.BudgetID, cost fleet.Tokens, now time.Duration) fleet.Tokens {
	q := p.quota(budget, now)
	q.meter(now)
	return cost + fleet.Tokens(q.rate*borrowAhead.Seconds())
}

// meteredChange reports spending, asks for what the pool aims at and gives back what
// it has far beyond. A report is due whenever something was spent, and asking with it
// costs nothing.
func (p *Pool) meteredChange(id fleet.BudgetID, q *quota, now time.Duration) *ledger.LeaseChange {
	if !p.held[id] {
		return p.unheldChange(id, q, now)
	}
	short := q.short(now)
	limited := q.need > 0 && p.limited(q, q.need, now)
	due := (q.spent > 0 || q.wanted || now-q.usedAt < reportFor) && now-q.askedAt >= reportInterval
	if !short && !limited && !due {
		return nil
	}
	q.askedAt = now
	q.wanted = false
	change := p.change(id, q)
	p.limit(q, change, now)
	change.Need = max(q.need-q.free, 0)
	if q.last.Seq == 0 {
		change.Want = math.MaxInt64 / 4
		change.HoldPerMille = max(p.holdPerMille/firstPart, 1)
		return change
	}
	target := p.meteredTarget(q, now)
	own := q.own()
	switch {
	case q.free < target:
		change.Want = target - q.free + change.Need
	case q.need == 0 && float64(own) > surplusTimes*float64(target):
		change.Returned = own - target
		q.free -= change.Returned
	}
	return change
}

// unheldChange gives back what the pool has of a budget that others hold. Only where none
// of them could be asked does it want what a request needs.
func (p *Pool) unheldChange(id fleet.BudgetID, q *quota, now time.Duration) *ledger.LeaseChange {
	own := q.own()
	short := q.short(now)
	due := (own > 0 || q.spent > 0) && now-q.askedAt >= reportInterval
	if !short && !due {
		return nil
	}
	q.askedAt = now
	q.wanted = false
	change := p.change(id, q)
	if q.need == 0 {
		change.Returned = own
		q.free -= own
	}
	p.limit(q, change, now)
	change.Need = max(q.need-q.free, 0)
	change.Want = change.Need
	return change
}

// TakeBorrowed takes out what other nodes lent beyond an amount that is kept as change.
func (p *Pool) TakeBorrowed(budget fleet.BudgetID, keep fleet.Tokens, now time.Duration) fleet.Tokens {
	q := p.quota(budget, now)
	amount := max(min(q.foreign-keep, q.free), 0)
	q.addForeign(-amount)
	return amount
}

// limit names how far the use may rise. The less the room, the less is lost with a
// killed process, and the sooner a workspace that sends more than usual must wait for
// the next change.
func (p *Pool) limit(q *quota, change *ledger.LeaseChange, now time.Duration) {
	q.meter(now)
	q.pendingBound = &bound{
		level: q.used + max(fleet.Tokens(q.rate*roomTime.Seconds()), q.need),
		slope: fleet.Tokens(max(q.rate*slopeTimes, float64(q.free)/slopeTime.Seconds())),
		at:    now,
	}
	change.Limit = q.pendingBound.level - q.used + q.reserved
	change.Slope = q.pendingBound.slope
	change.At = now
}

// remainder is about what the budget has left.
func (p *Pool) remainder(q *quota) fleet.Tokens {
	return q.last.Free + q.last.LeasedElsewhere + q.free + q.reserved
}

// meteredTarget is what the pool aims to have free: what it spends while a network
// partition lasts, and at least a part of the remainder.
func (p *Pool) meteredTarget(q *quota, now time.Duration) fleet.Tokens {
	q.meter(now)
	least := p.remainder(q) / 1000 * fleet.Tokens(p.holdPerMille) / firstPart
	return max(fleet.Tokens(q.rate*p.cfg.Partition.Seconds()), least)
}
