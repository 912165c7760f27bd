package quota

import (
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// waiter is a request that waits for quota. It receives nil on result once its amount is
// reserved, or the reason why it was rejected.
type waiter struct {
	amount          fleet.Tokens
	deadline        time.Duration
	ledgerResponded bool
	result          chan *Shortage
}

// exhaustion is the ledger's response that a budget has less left than a need.
type exhaustion struct {
	need fleet.Tokens
	at   time.Duration
}

func (m *Manager) updateNeed(budget fleet.BudgetID) {
	need, all := fleet.Tokens(0), fleet.Tokens(0)
	for i, w := range m.waiting[budget] {
		if i == 0 {
			need = w.amount
		}
		all += w.amount
	}
	m.pool.SetNeed(budget, need, clock.SinceBoot())
	m.pool.SetWaiting(budget, all, clock.SinceBoot())
}

// serveWaiters reserves quota for the waiting requests, in order.
func (m *Manager) serveWaiters(budget fleet.BudgetID) {
	waiting := m.waiting[budget]
	for len(waiting) > 0 && m.pool.Reserve(budget, waiting[0].amount, clock.SinceBoot()) {
		waiting[0].result <- nil
		waiting = waiting[1:]
	}
	m.setWaiting(budget, waiting)
}

func (m *Manager) setWaiting(budget fleet.BudgetID, waiting []*waiter) {
	if len(waiting) == 0 {
		delete(m.waiting, budget)
	} else {
		m.waiting[budget] = waiting
	}
	m.updateNeed(budget)
}

// cancelWait removes a waiter whose request was cancelled, or releases its reservation if
// it got one in the meantime.
func (m *Manager) cancelWait(budget fleet.BudgetID, w *waiter) {
	select {
	case s := <-w.result:
		if s == nil {
			m.pool.Release(budget, w.amount, 0, clock.SinceBoot())
		}
		return
	default:
	}
	var kept []*waiter
	for _, other := range m.waiting[budget] {
		if other != w {
			kept = append(kept, other)
		}
	}
	m.waiting[budget] = kept
	m.updateNeed(budget)
}

// rejectExhausted rejects the waiting requests that lack as much as the change did, or more, if the
// ledger granted nothing and has recalled no quota from other holders. It may cover smaller ones.
func (m *Manager) rejectExhausted(budget fleet.BudgetID, change ledger.LeaseChange, result ledger.LeaseResult) {
	waiting := m.waiting[budget]
	for _, w := range waiting {
		w.ledgerResponded = true
	}
	if change.Need == 0 {
		return
	}
	if result.Granted > 0 || result.Recalling {
		delete(m.exhausted, budget)
		return
	}
	if result.Unknown && m.pool.Unlimited(budget) {
		// The ledger has said nothing of a total.
		for _, w := range waiting {
			m.overdraw(budget, w.amount)
			w.result <- nil
		}
		m.setWaiting(budget, nil)
		return
	}
	m.exhausted[budget] = exhaustion{
		need: change.Need,
		at:   clock.SinceBoot(),
	}
	var kept []*waiter
	for _, w := range waiting {
		if m.pool.Shortfall(budget, w.amount) < change.Need {
			kept = append(kept, w)
			continue
		}
		w.result <- &Shortage{
			LedgerResponded: true,
			Exhausted:       true,
			Last:            result,
		}
	}
	m.setWaiting(budget, kept)
}

// knownExhausted reports whether the ledger has said lately that it cannot cover the amount.
func (m *Manager) knownExhausted(budget fleet.BudgetID, amount fleet.Tokens) bool {
	e, ok := m.exhausted[budget]
	if ok && clock.SinceBoot()-e.at >= exhaustedTime {
		delete(m.exhausted, budget)
		return false
	}
	return ok && m.pool.Shortfall(budget, amount) >= e.need
}
