package lease

import (
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

const (
	// MeteredPartition is the length of a network partition from the control group
	// that a node's own leases cover. It is just above 9 s, the longest partition in
	// normal operation. What a limit may rise to is forfeited when all VMs lose power, so
	// no more than that is held.
	MeteredPartition = 9500 * time.Millisecond
	// MeteredPerMille is the part of each remainder that all nodes may hold
	// together. The rest stays free for nodes whose requests need it.
	MeteredPerMille = 700
	// LimitRise is how long a spending limit rises after its change was issued. What an
	// incarnation spent that ended at an unknown time is bounded by what its limits had
	// risen to then.
	LimitRise = 7 * time.Second
	// meteredWindow is the averaging window of metered spending: long enough for
	// several requests, short compared with a network partition.
	meteredWindow = 4 * time.Second
	// meteredSlowWindow is the window of the average on which limits rest, because few requests
	// fall into meteredWindow on a small node.
	meteredSlowWindow = 12 * time.Second
	// minHoldDivisor divides the part of the remainder that a pool may hold into its
	// minimum target: a workspace that sends little or nothing yet may send more
	// during a network partition.
	minHoldDivisor = 3
	// minSpendDivisor divides the same part into what a limit at least rises to.
	minSpendDivisor = 24
	// maxHoldPerMille is the part of the remainder that one pool may hold.
	maxHoldPerMille = 500
	// scarceTime is the time for which a budget must last at the present rate for its
	// limits to cover a whole partition. With less left they cover a part that falls by
	// the fourth power: a workspace that runs out soon anyway spends after a partition what it could not
	// spend during it, but what is forfeited is lost.
	scarceTime = 16 * time.Second
	// minBridge is the shortest time that a limit covers, the time between two reports.
	minBridge = reportInterval
	// slowMargin and burstMargin are the multiples of the slow and the fast average that a limit
	// covers. The fast one is exceeded by chance more often.
	slowMargin  = 1.2
	burstMargin = 0.9
	// limitHeadroom is the spending at the average rate that a new limit allows at
	// once.
	limitHeadroom = time.Second
	// reportInterval is the time between the changes of a budget in use, and
	// activeTime is how long it counts as in use after a request. Changes are sent
	// regularly because a lease whose last change is old counts as spent when its
	// holder is killed.
	reportInterval = 500 * time.Millisecond
	activeTime     = 10 * time.Second
	// surplusFactor is the multiple of its target above which a pool returns quota.
	surplusFactor = 1.3
	// borrowHorizon is the spending at the average rate that a pool borrows in
	// advance.
	borrowHorizon = 3 * time.Second
)

// spendLimit is a limit on the total spending from a metered lease. It rises linearly
// with time, for LimitRise.
type spendLimit struct {
	level fleet.Tokens
	slope fleet.Tokens // tokens per second
	at    time.Duration
}

func (l spendLimit) allows(used fleet.Tokens, now time.Duration) bool {
	return used <= l.level+fleet.Tokens(float64(l.slope)*min(now-l.at, LimitRise).Seconds())
}

// exceedsLimit reports whether spending the amount would exceed a limit that the ledger
// may have in force: the acknowledged one, or that of the pending change.
func (p *Pool) exceedsLimit(q *quota, amount fleet.Tokens, now time.Duration) bool {
	if p.cfg.Policy != PolicyMetered {
		return false
	}
	used := q.used + amount
	return !q.ackedLimit.allows(used, now) || q.pendingLimit != nil && !q.pendingLimit.allows(used, now)
}

// SetHeldBudgets sets the budgets that the pool holds, and the part of each one's
// remainder, in per mille, that it may hold. It requests quota at once, because a network
// partition may begin before the first request. Quota of all other budgets is returned.
func (p *Pool) SetHeldBudgets(perMille int64, budgets []fleet.BudgetID, now time.Duration) {
	p.holdPerMille = perMille
	p.held = map[fleet.BudgetID]bool{}
	for _, id := range budgets {
		p.held[id] = true
		if p.unlimited[id] && p.budgets[id] == nil {
			continue
		}
		p.quota(id, now).changeRequested = true
	}
}

// ownFree returns the free quota of the holder's own lease, without what it borrowed.
func (q *quota) ownFree() fleet.Tokens {
	return max(q.free-q.borrowed, 0)
}

// decayMetered decays the spending averages.
func (q *quota) decayMetered(now time.Duration) {
	if elapsed := (now - q.rateAt).Seconds(); elapsed > 0 {
		q.rate *= math.Exp(-elapsed / meteredWindow.Seconds())
		q.slowRate *= math.Exp(-elapsed / meteredSlowWindow.Seconds())
		q.rateAt = now
	}
}

// Lend takes quota out of a metered lease for another node, at most half of what is free
// beyond this node's own need. It is reported to the ledger as spent, so that nothing is
// spent twice whatever happens to the other node.
func (p *Pool) Lend(budget fleet.BudgetID, wanted fleet.Tokens, now time.Duration) fleet.Tokens {
	q := p.quota(budget, now)
	lent := max(min(wanted, (q.free-q.need)/2), 0)
	for lent > 0 && p.exceedsLimit(q, lent, now) {
		lent /= 2
	}
	q.free -= lent
	q.used += lent
	fromBorrowed := min(lent, q.borrowed)
	q.borrowed -= fromBorrowed
	q.spent += lent - fromBorrowed
	return lent
}

// AddBorrowed adds quota that the ledger already counts as spent: lent by another node,
// drawn from a holder, or returned by a node that drew it and did not use it.
func (p *Pool) AddBorrowed(budget fleet.BudgetID, amount fleet.Tokens, now time.Duration) {
	q := p.quota(budget, now)
	q.addBorrowed(amount)
}

// addBorrowed changes the borrowed quota by the amount, which may be negative. The limits
// move with it, because the ledger already counts borrowed quota as spent.
func (q *quota) addBorrowed(amount fleet.Tokens) {
	q.free += amount
	q.borrowed += amount
	q.ackedLimit.level += amount
	if q.pendingLimit != nil {
		q.pendingLimit.level += amount
	}
}

// BorrowAmount returns how much to borrow for a request of this cost: the cost plus the
// expected spending of the next few seconds.
func (p *Pool) BorrowAmount(budget fleet.BudgetID, cost fleet.Tokens, now time.Duration) fleet.Tokens {
	q := p.quota(budget, now)
	q.decayMetered(now)
	return cost + fleet.Tokens(q.rate*borrowHorizon.Seconds())
}

// nextMeteredChange reports spending, requests quota up to the target and returns a
// surplus well above it. A report is due whenever something was spent, so the request
// needs no command of its own.
func (p *Pool) nextMeteredChange(id fleet.BudgetID, q *quota, now time.Duration) *ledger.LeaseChange {
	if !p.held[id] {
		return p.nextUnheldChange(id, q, now)
	}
	needsMore := q.needsMore(now)
	limited := q.need > 0 && p.exceedsLimit(q, q.need, now)
	settling := !q.active(now) && q.ackedLimit.slope > 0
	due := (q.spent > 0 || q.changeRequested || q.active(now) || settling) && now-q.requestedAt >= reportInterval
	if !needsMore && !limited && !due {
		return nil
	}
	q.requestedAt = now
	q.changeRequested = false
	change := p.newChange(id, q)
	p.setLimit(q, change, p.bridged(q), now)
	change.Need = max(q.need-q.free, 0)
	if q.last.Seq == 0 && !q.unlimited {
		change.Want = math.MaxInt64 / 4
		change.HoldPerMille = max(p.holdPerMille/minHoldDivisor, 1)
		q.coverOverdraft(change)
		return change
	}
	target := p.meteredTarget(q, now)
	change.HoldPerMille = p.maxHold(q, target)
	own := q.ownFree()
	switch {
	case q.free < target:
		change.Want = target - q.free + change.Need
	case q.need == 0 && float64(own) > surplusFactor*float64(target):
		change.Returned = own - target
		q.free -= change.Returned
	}
	q.coverOverdraft(change)
	return change
}

// nextUnheldChange returns the quota of a budget that is held by other nodes. It requests
// quota only for a waiting request, which happens when none of those nodes was reachable.
func (p *Pool) nextUnheldChange(id fleet.BudgetID, q *quota, now time.Duration) *ledger.LeaseChange {
	own := q.ownFree()
	needsMore := q.needsMore(now)
	due := (own > 0 || q.spent > 0) && now-q.requestedAt >= reportInterval
	if !needsMore && !due {
		return nil
	}
	q.requestedAt = now
	q.changeRequested = false
	change := p.newChange(id, q)
	if q.need == 0 {
		change.Returned = own
		q.free -= own
	}
	p.setLimit(q, change, 0, now)
	change.Need = max(q.need-q.free, 0)
	change.Want = change.Need
	q.coverOverdraft(change)
	return change
}

// IdleBorrowed returns the budgets with borrowed quota that no request has used for the given time.
func (p *Pool) IdleBorrowed(idle, now time.Duration) []fleet.BudgetID {
	var budgets []fleet.BudgetID
	for _, id := range p.ids() {
		if q := p.budgets[id]; q.borrowed > 0 && q.free > 0 && q.reserved == 0 && now-q.usedAt >= idle {
			budgets = append(budgets, id)
		}
	}
	return budgets
}

// TakeBorrowed removes the borrowed quota above the amount to keep from the pool, and
// returns how much it removed. Reservations may rely on borrowed quota, since a limit on the
// lease does not cover them, so as much stays as is reserved.
func (p *Pool) TakeBorrowed(budget fleet.BudgetID, keep fleet.Tokens, now time.Duration) fleet.Tokens {
	q := p.quota(budget, now)
	amount := max(min(q.borrowed-max(keep, q.reserved), q.free), 0)
	q.addBorrowed(-amount)
	return amount
}

// active reports whether the budget had a request within the last activeTime.
func (q *quota) active(now time.Duration) bool {
	return now-q.usedAt < activeTime
}

// setLimit puts a spending limit into the change, which rises to the target within LimitRise. That
// is what an incarnation forfeits if nothing bounds when it ended. A lower limit forfeits less when
// the process is killed, but makes a workspace that sends more than usual wait for the next change
// sooner. The limit of an idle budget does not rise, because no further change may follow.
//
// Quota that is borrowed and free is spent before the lease, so it is no part of the change's limit. What was overdrawn and
// is not reported yet is.
func (p *Pool) setLimit(q *quota, change *ledger.LeaseChange, target fleet.Tokens, now time.Duration) {
	q.decayMetered(now)
	allowed := max(min(fleet.Tokens(q.rate*limitHeadroom.Seconds()), target), q.need, min(q.waiting, q.free))
	slope := fleet.Tokens(float64(max(target-allowed, 0)) / LimitRise.Seconds())
	if !q.active(now) {
		allowed, slope = max(target, q.need, min(q.waiting, q.free)), 0
	}
	q.pendingLimit = &spendLimit{
		level: q.used + allowed + min(q.borrowed, max(q.free, 0)),
		slope: slope,
		at:    now,
	}
	change.Limit = allowed + q.reserved + q.spent
	change.Slope = slope
	change.At = now
}

// remainder estimates what the budget has left to spend, from its last result and the
// quota in the pool.
func (p *Pool) remainder(q *quota) fleet.Tokens {
	return q.last.Free + q.last.LeasedElsewhere + q.free + q.reserved
}

// maxHold returns the part of the remainder that the pool may hold, in per mille: an even part, or
// more if its own requests need it and the others hold less than theirs. Callers keep to an address
// that works, so one node may get most of a workspace's requests, and in a partition the others
// could lend it their leases only as fast as their own limits rise.
func (p *Pool) maxHold(q *quota, target fleet.Tokens) int64 {
	perMille := p.remainder(q) / 1000
	if perMille == 0 || target <= perMille*fleet.Tokens(p.holdPerMille) {
		return p.holdPerMille
	}
	left := MeteredPerMille - int64(q.last.LeasedElsewhere/perMille)
	return max(p.holdPerMille, min(left, maxHoldPerMille))
}

// meteredTarget returns how much free quota the pool tries to hold: its spending during a
// network partition of the configured length, and at least a part of the remainder.
func (p *Pool) meteredTarget(q *quota, now time.Duration) fleet.Tokens {
	q.decayMetered(now)
	return max(fleet.Tokens(q.rate*p.cfg.Partition.Seconds()), p.evenPart(q)/minHoldDivisor)
}

// bridged returns how much the pool may spend during a network partition: its spending for the
// configured length or, of a budget that is scarce, for less, and at least a part of the remainder.
func (p *Pool) bridged(q *quota) fleet.Tokens {
	minimum := p.evenPart(q) / minSpendDivisor
	rate := max(q.slowRate*slowMargin, q.rate*burstMargin)
	if rate <= 0 {
		return minimum
	}
	// A total that was lowered may leave less than nothing.
	left := 1.0
	if !q.unlimited {
		left = max(min(float64(p.ownPart(q))/q.slowRate/scarceTime.Seconds(), 1), 0)
	}
	span := max(time.Duration(float64(p.cfg.Partition)*left*left*left*left), minBridge)
	return max(fleet.Tokens(rate*span.Seconds()), minimum)
}

// evenPart returns the part of the remainder that the pool may hold. An unlimited budget has none.
func (p *Pool) evenPart(q *quota) fleet.Tokens {
	if q.unlimited {
		return 0
	}
	return p.remainder(q) / 1000 * fleet.Tokens(p.holdPerMille)
}

// ownPart estimates the part of the remainder that is left for this node's requests: an even part,
// or its part of what all nodes have leased beyond their minimum, if that is more.
func (p *Pool) ownPart(q *quota) fleet.Tokens {
	part := float64(p.holdPerMille) / MeteredPerMille
	remainder := p.remainder(q)
	minimum := p.evenPart(q) / minHoldDivisor
	minimumElsewhere := remainder/1000*MeteredPerMille/minHoldDivisor - minimum
	own := max(q.ownFree()+q.reserved-minimum, 0)
	elsewhere := max(q.last.LeasedElsewhere-minimumElsewhere, 0)
	if all := own + elsewhere; all > 0 {
		part = max(part, float64(own)/float64(all))
	}
	return fleet.Tokens(float64(remainder) * part)
}
