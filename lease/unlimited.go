package lease

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// SetUnlimited sets the metered budgets that have no total. They are leased like the others, so that what is spent or on lease
// counts against a total that comes later; a lease follows the spending alone, since there is no remainder to divide.
func (p *Pool) SetUnlimited(budgets []fleet.BudgetID) {
	p.unlimited = map[fleet.BudgetID]bool{}
	for _, id := range budgets {
		p.unlimited[id] = true
	}
	for id, q := range p.budgets {
		if q.unlimited != p.unlimited[id] {
			q.unlimited = p.unlimited[id]
			// What the ledger said of the remainder no longer holds.
			q.last = ledger.LeaseResult{}
		}
	}
}

// Unlimited reports whether a budget has no total, as far as this node knows.
func (p *Pool) Unlimited(budget fleet.BudgetID) bool {
	return p.unlimited[budget]
}

// Overdraw reserves quota of an unlimited budget beyond the lease, for a request that cannot wait for the ledger. The pool leases
// it afterwards, and reports it as spent then.
func (p *Pool) Overdraw(budget fleet.BudgetID, amount fleet.Tokens, now time.Duration) {
	q := p.quota(budget, now)
	q.usedAt = now
	q.free -= amount
	q.reserved += amount
	q.used += amount
}

// Overdrawn returns the quota that was overdrawn and is not leased yet, of all budgets.
func (p *Pool) Overdrawn() fleet.Tokens {
	sum := fleet.Tokens(0)
	for _, q := range p.budgets {
		sum += q.overdrawn()
	}
	return sum
}

// overdrawn returns what is reserved or was spent beyond the lease.
func (q *quota) overdrawn() fleet.Tokens {
	return max(-q.free, q.borrowed-q.free-q.reserved, 0)
}

// reportable returns how much spending the ledger can take from the lease now. It ignores what exceeds the lease, so the rest of
// what was overdrawn is reported once it is leased.
func (q *quota) reportable() fleet.Tokens {
	leased := q.free - q.borrowed + q.reserved + q.spent
	return max(min(q.spent, leased), 0)
}

// coverOverdraft makes a change request what was overdrawn, or as much of it as a total leaves that has come since.
func (q *quota) coverOverdraft(change *ledger.LeaseChange) {
	const wholePerMille = 1000
	if overdrawn := q.overdrawn(); overdrawn > 0 {
		change.Need = 0
		change.Want = overdrawn + q.need
		change.HoldPerMille = wholePerMille
	}
}

// leaseOverdrawn returns changes that lease what was overdrawn: the pending one, which the ledger may not have, and one for the
// rest. The change that follows them in the same command reports it as spent.
func (p *Pool) leaseOverdrawn(id fleet.BudgetID, q *quota) []ledger.LeaseChange {
	var changes []ledger.LeaseChange
	if q.pending != nil {
		changes = append(changes, *q.pending)
	}
	change := p.newChange(id, q)
	change.Limit = q.reserved + q.spent
	q.coverOverdraft(change)
	q.free += change.Want
	return append(changes, *change)
}
