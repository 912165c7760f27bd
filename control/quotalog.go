package control

import (
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

const (
	// nearlySpentPerMille is the part of a budget's total below which what is left is worth a log message.
	nearlySpentPerMille = 30
	// unmetNeedInterval is the time between two log messages about unmet needs of one budget.
	unmetNeedInterval = time.Second
)

// quotaLog decides which events about budgets this replica logs as leader.
type quotaLog struct {
	// forfeitedByBound counts what ended incarnations forfeited, as far as this replica committed their
	// successors' joins as leader.
	forfeitedByBound map[ledger.Bound]fleet.Tokens
	// nearlySpent has, for each budget reported as nearly spent, the total that it had then.
	nearlySpent map[fleet.BudgetID]fleet.Tokens
	// unmetAt is when an unmet need of each budget was last logged.
	unmetAt map[fleet.BudgetID]time.Duration
}

func newQuotaLog() quotaLog {
	return quotaLog{
		forfeitedByBound: map[ledger.Bound]fleet.Tokens{},
		nearlySpent:      map[fleet.BudgetID]fleet.Tokens{},
		unmetAt:          map[fleet.BudgetID]time.Duration{},
	}
}

// logNearlySpent logs budgets of which little is left, once for each total.
func (r *Replica) logNearlySpent(changes []ledger.LeaseChange) {
	for _, change := range changes {
		b, ok := r.machine.ledger.MeteredBudget(change.Budget)
		if !ok || r.quotaLog.nearlySpent[change.Budget] == b.Prepaid || b.Prepaid-b.Settled > b.Prepaid/1000*nearlySpentPerMille {
			continue
		}
		r.quotaLog.nearlySpent[change.Budget] = b.Prepaid
		r.cfg.Log.Info(event.BudgetNearlySpent).
			Str("budget", string(change.Budget)).
			Int64("prepaidTokens", int64(b.Prepaid)).
			Int64("settledTokens", int64(b.Settled)).
			Int64("leasedTokens", int64(b.Leased)).
			Int64("forfeitedTokens", int64(b.Forfeited)).
			Msg("little is left of a budget; forfeitedTokens of it may not have been spent")
	}
}

// logTotals logs the budgets whose totals a configuration has changed.
func (r *Replica) logTotals(changes []totalChange) {
	for _, change := range changes {
		r.cfg.Log.Info(event.BudgetTotalChanged).
			Str("budget", string(change.budget)).
			Int64("beforeTokens", int64(change.before.Prepaid)).
			Int64("prepaidTokens", int64(change.total)).
			Int64("settledTokens", int64(change.before.Settled)).
			Int64("leasedTokens", int64(change.before.Leased)).
			Int64("forfeitedTokens", int64(change.before.Forfeited)).
			Msg("the prepaid total of a budget has changed")
	}
}

// logUnmetNeeds logs, for each budget once in unmetNeedInterval, that a holder was not granted what a
// waiting request needs, and who has the quota that is on lease.
func (r *Replica) logUnmetNeeds(changes []ledger.LeaseChange, results []ledger.LeaseResult) {
	now := clock.SinceBoot()
	for i, change := range changes {
		if i >= len(results) || results[i].Granted >= change.Need {
			continue
		}
		if last, logged := r.quotaLog.unmetAt[change.Budget]; logged && now-last < unmetNeedInterval {
			continue
		}
		view, ok := r.machine.ledger.Budget(change.Budget)
		if !ok {
			continue
		}
		r.quotaLog.unmetAt[change.Budget] = now
		r.cfg.Log.Info(event.NeedUnmet).
			Str("budget", string(change.Budget)).
			Str("holder", string(change.Holder.Node)).
			Int64("needTokens", int64(change.Need)).
			Int64("freeTokens", int64(view.Free)).
			Int64("leasedElsewhereTokens", int64(results[i].LeasedElsewhere)).
			Bool("recalling", results[i].Recalling).
			Any("leases", leasedTokens(view)).
			Msg("a budget has not enough free for a waiting request")
	}
}

// leasedTokens returns the tokens on lease by node, without empty leases.
func leasedTokens(view ledger.BudgetView) map[fleet.NodeID]fleet.Tokens {
	leased := map[fleet.NodeID]fleet.Tokens{}
	for _, l := range view.Leases {
		if l.Outstanding > 0 {
			leased[l.Holder.Node] += l.Outstanding
		}
	}
	return leased
}
