// Package quota manages an entry node's quota: it reserves tokens for requests, requests
// more from the ledger and responds to its recalls.
package quota

import (
	"context"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/loop"
)

const (
	tickInterval = 100 * time.Millisecond
	// leaseTimeout is the timeout of one command to the ledger. It is longer than a
	// leader election takes.
	leaseTimeout = 3 * time.Second
	// exhaustedTime is how long the ledger's response that it cannot cover a need holds for other
	// requests that lack as much. After it, one asks again.
	exhaustedTime = 250 * time.Millisecond
)

// Ledger submits commands to the control group, which replicates the ledger.
type Ledger interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
}

// Shortage is the reason why a reservation failed.
type Shortage struct {
	// LedgerResponded is true if the ledger responded while the request waited.
	LedgerResponded bool `json:"answered,omitempty"`
	// Exhausted is true if the budget has not enough left and there is no holder to
	// recall quota from, so that waiting longer would not help.
	Exhausted bool `json:"spent,omitempty"`
	// LedgerUnreachable is true if the ledger could not be reached and the lenders
	// did not lend enough.
	LedgerUnreachable bool               `json:"cutOff,omitempty"`
	Last              ledger.LeaseResult `json:"last,omitzero"`
}

// Config configures a Manager.
type Config struct {
	Pool   *lease.Pool
	Ledger Ledger
	// MaxWait is how long a request waits for quota.
	MaxWait time.Duration
	// LedgerReachable, if set, reports whether the ledger can be reached. While it
	// cannot, requests do not wait for quota from it.
	LedgerReachable func() bool
	// Lenders, if set, lend quota while the ledger cannot be reached. They require
	// LedgerReachable.
	Lenders Lenders
	// Holders, if set, supply the quota of budgets of which this node is no holder.
	Holders Holders
}

// Holders are the nodes that lease a budget's quota and from which all other nodes draw.
// In a large fleet they are few, because a lease of every node would be smaller than a
// single request.
type Holders interface {
	// Holds reports whether this node is one of the holders.
	Holds(budget fleet.BudgetID) bool
	// Draw requests quota from the holders.
	Draw(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) DrawResult
	// Return returns quota to the holders, without waiting for a response.
	Return(budget fleet.BudgetID, amount fleet.Tokens)
	// CanReturn reports whether a holder can be reached at present.
	CanReturn(budget fleet.BudgetID) bool
}

// DrawResult is the result of Holders.Draw.
type DrawResult struct {
	Tokens fleet.Tokens
	// Reached is true if at least one holder responded.
	Reached bool
	// Shortage is the reason why there was not enough.
	Shortage *Shortage
}

// Lenders are the other nodes that hold quota and lend it while the ledger cannot be
// reached.
type Lenders interface {
	// Borrow requests quota from the lenders and returns the amount that they lent,
	// which may be less than wanted.
	Borrow(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens
}

// Manager owns the node's lease pool. Only the goroutine of its Loop accesses its state.
type Manager struct {
	*loop.Loop
	ledger          Ledger
	maxWait         time.Duration
	ledgerReachable func() bool
	lenders         Lenders
	holders         Holders
	borrowing       map[fleet.BudgetID]*borrowState
	pool            *lease.Pool
	waiting         map[fleet.BudgetID][]*waiter
	// exhausted has the latest response of the ledger that a budget cannot cover a need.
	exhausted map[fleet.BudgetID]exhaustion
	// sending is true while a command with lease changes is in flight.
	sending bool
	// lastSent is the sequence number of the last command that was sent, and
	// acknowledged that of the last one that got a result.
	lastSent     uint64
	acknowledged uint64
}

// New starts a manager.
func New(cfg Config) *Manager {
	m := &Manager{
		Loop:            loop.New(),
		ledger:          cfg.Ledger,
		maxWait:         cfg.MaxWait,
		ledgerReachable: cfg.LedgerReachable,
		lenders:         cfg.Lenders,
		holders:         cfg.Holders,
		borrowing:       map[fleet.BudgetID]*borrowState{},
		pool:            cfg.Pool,
		waiting:         map[fleet.BudgetID][]*waiter{},
		exhausted:       map[fleet.BudgetID]exhaustion{},
	}
	m.Start(tickInterval, m.expire, m.send)
	return m
}

// Reserve reserves quota, requesting more from the budget's holders or the ledger if
// necessary. It returns nil on success.
func (m *Manager) Reserve(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) *Shortage {
	if m.holders != nil && !m.holders.Holds(budget) {
		if shortage, done := m.reserveDrawn(ctx, budget, amount); done {
			return shortage
		}
	}
	return m.ReserveOwn(ctx, budget, amount)
}

// maxDrawAttempts is how often one request draws quota. One draw may not be enough,
// because a concurrent request may use the drawn quota.
const maxDrawAttempts = 3

// retainedTokens is how much unused drawn quota of a budget a node keeps instead of
// returning it to the holders.
const retainedTokens = 1000

// retentionTime is how long a node keeps drawn quota of a budget without a request. With 68 nodes
// that draw, 1000 tokens on each are a tenth of a small budget.
const retentionTime = time.Second

// reserveDrawn reserves quota that it draws from the budget's holders. It reports
// done = false if none of them could be reached.
func (m *Manager) reserveDrawn(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) (shortage *Shortage, done bool) {
	drawnTokens := fleet.Tokens(0)
	for range maxDrawAttempts {
		shortfall, reserved := fleet.Tokens(0), false
		m.DoAndWait(func() {
			now := clock.SinceBoot()
			m.pool.AddBorrowed(budget, drawnTokens, now)
			reserved = m.pool.Reserve(budget, amount, now)
			if shortfall = m.pool.Shortfall(budget, amount); shortfall == 0 {
				shortfall = amount
			}
		})
		if reserved {
			return nil, true
		}
		drawn := m.holders.Draw(ctx, budget, shortfall)
		if !drawn.Reached {
			return nil, false
		}
		if drawn.Tokens == 0 {
			return drawn.Shortage, !m.mayOverdraw(budget, drawn.Shortage)
		}
		drawnTokens = drawn.Tokens
	}
	m.Do(func() { m.pool.AddBorrowed(budget, drawnTokens, clock.SinceBoot()) })
	shortage = &Shortage{LedgerResponded: true}
	return shortage, !m.mayOverdraw(budget, shortage)
}

// ReserveOwn reserves quota from this node's own leases, requesting more from the ledger
// if necessary.
func (m *Manager) ReserveOwn(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) *Shortage {
	w := &waiter{
		amount:   amount,
		deadline: clock.SinceBoot() + m.maxWait,
		result:   make(chan *Shortage, 1),
	}
	m.Do(func() {
		if len(m.waiting[budget]) == 0 && m.pool.Reserve(budget, amount, clock.SinceBoot()) {
			w.result <- nil
			return
		}
		if m.knownExhausted(budget, amount) {
			w.result <- &Shortage{
				LedgerResponded: true,
				Exhausted:       true,
				Last:            m.pool.LastResult(budget),
			}
			return
		}
		if m.ledgerReachable != nil && !m.ledgerReachable() {
			if m.overdraw(budget, amount) {
				w.result <- nil
				return
			}
			if !m.borrow(budget, amount) {
				w.result <- &Shortage{LedgerUnreachable: true}
				return
			}
		}
		m.waiting[budget] = append(m.waiting[budget], w)
		m.updateNeed(budget)
	})
	select {
	case s := <-w.result:
		return s
	case <-ctx.Done():
	case <-m.Context().Done():
		return &Shortage{}
	}
	m.Do(func() { m.cancelWait(budget, w) })
	return &Shortage{}
}

// borrowState is the state of borrowing quota of one budget from lenders.
type borrowState struct {
	inFlight bool
	failedAt time.Duration
}

// borrowRetryDelay is the minimum time between a failed attempt to borrow and the next
// one, because the lenders have nothing or cannot be reached.
const borrowRetryDelay = 300 * time.Millisecond

// borrow requests quota from the lenders, unless such a request is in flight. It reports
// whether the caller should wait for the result.
func (m *Manager) borrow(budget fleet.BudgetID, cost fleet.Tokens) bool {
	if m.lenders == nil {
		return false
	}
	b, ok := m.borrowing[budget]
	if !ok {
		b = &borrowState{failedAt: -borrowRetryDelay}
		m.borrowing[budget] = b
	}
	now := clock.SinceBoot()
	if b.inFlight {
		return true
	}
	if now-b.failedAt < borrowRetryDelay {
		return false
	}
	b.inFlight = true
	wanted := m.pool.BorrowAmount(budget, cost, now)
	m.Go(func() {
		ctx, cancel := context.WithTimeout(m.Context(), m.maxWait)
		defer cancel()
		lent := m.lenders.Borrow(ctx, budget, wanted)
		m.Do(func() { m.finishBorrow(b, budget, lent) })
	})
	return true
}

// finishBorrow serves the waiting requests with the quota that was lent. It rejects the
// others, unless the ledger can be reached again.
func (m *Manager) finishBorrow(b *borrowState, budget fleet.BudgetID, lent fleet.Tokens) {
	b.inFlight = false
	m.pool.AddBorrowed(budget, lent, clock.SinceBoot())
	m.serveWaiters(budget)
	waiting := m.waiting[budget]
	if len(waiting) == 0 || m.ledgerReachable() {
		return
	}
	b.failedAt = clock.SinceBoot()
	for _, w := range waiting {
		w.result <- &Shortage{LedgerUnreachable: true}
	}
	m.setWaiting(budget, nil)
}

// Lend takes free quota out of the pool for another node and returns the amount.
func (m *Manager) Lend(budget fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	lent := fleet.Tokens(0)
	m.DoAndWait(func() { lent = m.pool.Lend(budget, wanted, clock.SinceBoot()) })
	return lent
}

// Release ends a reservation, of which the given part was spent.
func (m *Manager) Release(budget fleet.BudgetID, reserved, spent fleet.Tokens) {
	m.Do(func() {
		m.pool.Release(budget, reserved, spent, clock.SinceBoot())
		m.serveWaiters(budget)
		m.returnUnused(budget, retainedTokens)
	})
}

// returnUnused returns drawn quota above the amount to keep to the budget's holders.
func (m *Manager) returnUnused(budget fleet.BudgetID, keep fleet.Tokens) {
	if m.holders == nil || m.holders.Holds(budget) {
		return
	}
	if amount := m.pool.TakeBorrowed(budget, keep, clock.SinceBoot()); amount > 0 {
		m.holders.Return(budget, amount)
	}
}

// AddReturned adds quota that another node drew and did not use.
func (m *Manager) AddReturned(budget fleet.BudgetID, amount fleet.Tokens) {
	m.Do(func() {
		m.pool.AddBorrowed(budget, amount, clock.SinceBoot())
		m.serveWaiters(budget)
	})
}

// Refund returns quota to the pool that was released as spent but was not billed.
func (m *Manager) Refund(budget fleet.BudgetID, amount fleet.Tokens) {
	m.Do(func() {
		m.pool.Refund(budget, amount, clock.SinceBoot())
		m.serveWaiters(budget)
	})
}

// SetUnlimited sets the budgets without a total. It is called before SetHeldBudgets.
func (m *Manager) SetUnlimited(budgets []fleet.BudgetID) {
	m.Do(func() { m.pool.SetUnlimited(budgets) })
}

// overdraw reserves quota of an unlimited budget beyond the lease: a budget without a total refuses nothing, whatever can be
// reached. It returns false for other budgets.
func (m *Manager) overdraw(budget fleet.BudgetID, amount fleet.Tokens) bool {
	if !m.pool.Unlimited(budget) {
		return false
	}
	m.pool.Overdraw(budget, amount, clock.SinceBoot())
	return true
}

// mayOverdraw reports whether a request that got no quota from the holders of a budget may get it otherwise, as the budget has no
// total that this node or the ledger knows.
func (m *Manager) mayOverdraw(budget fleet.BudgetID, shortage *Shortage) (may bool) {
	if shortage != nil && shortage.Exhausted {
		return false
	}
	m.DoAndWait(func() { may = m.pool.Unlimited(budget) })
	return may
}

// Overdrawn returns the quota of unlimited budgets that was reserved or spent beyond the leases.
func (m *Manager) Overdrawn() (tokens fleet.Tokens) {
	m.DoAndWait(func() { tokens = m.pool.Overdrawn() })
	return tokens
}

// SetHeldBudgets sets the budgets that the node holds, and the part of each one's
// remainder, in per mille, that it may hold.
func (m *Manager) SetHeldBudgets(perMille int64, budgets []fleet.BudgetID) {
	m.Do(func() {
		// Totals may have been raised.
		clear(m.exhausted)
		m.pool.SetHeldBudgets(perMille, budgets, clock.SinceBoot())
	})
}

// HandleRecalls records the ledger's recalls. The next changes respond to them.
func (m *Manager) HandleRecalls(recalls []ledger.Recall) {
	m.Do(func() {
		for _, recall := range recalls {
			m.pool.Recall(recall.Budget, clock.SinceBoot())
		}
	})
}

// Holdings returns the quota in the pool, sorted by budget.
func (m *Manager) Holdings() []lease.Holding {
	var holdings []lease.Holding
	m.DoAndWait(func() { holdings = m.pool.Holdings() })
	return holdings
}

// returnIdle returns drawn quota that no request has used for a while.
func (m *Manager) returnIdle(now time.Duration) {
	for _, budget := range m.pool.IdleBorrowed(retentionTime, now) {
		if m.holders != nil && m.holders.CanReturn(budget) {
			m.returnUnused(budget, 0)
		}
	}
}

// expire rejects the requests whose deadline has passed.
func (m *Manager) expire() {
	now := clock.SinceBoot()
	m.returnIdle(now)
	for budget, waiting := range m.waiting {
		var kept []*waiter
		for _, w := range waiting {
			if now < w.deadline {
				kept = append(kept, w)
				continue
			}
			if !w.ledgerResponded && m.overdraw(budget, w.amount) {
				w.result <- nil
				continue
			}
			w.result <- &Shortage{
				LedgerResponded: w.ledgerResponded,
				Last:            m.pool.LastResult(budget),
			}
		}
		if len(kept) < len(waiting) {
			m.setWaiting(budget, kept)
		}
	}
}

// send submits the pool's changes to the ledger, one command at a time.
func (m *Manager) send() {
	if m.sending {
		return
	}
	changes := m.pool.Changes(clock.SinceBoot())
	if len(changes) == 0 {
		return
	}
	m.sending = true
	m.lastSent++
	number := m.lastSent
	command := control.Command{
		Leases: changes,
		Sequence: &control.Sequence{
			Holder:       changes[0].Holder,
			Number:       number,
			Acknowledged: m.acknowledged,
		},
	}
	m.Go(func() {
		ctx, cancel := context.WithTimeout(m.Context(), leaseTimeout)
		defer cancel()
		result, err := m.ledger.Submit(ctx, command)
		m.Do(func() {
			m.sending = false
			if err == nil {
				m.acknowledged = number
				m.applyResults(changes, result.Leases)
			}
		})
	})
}

func (m *Manager) applyResults(changes []ledger.LeaseChange, results []ledger.LeaseResult) {
	for i, result := range results {
		budget := changes[i].Budget
		if !m.pool.ApplyResult(budget, result) {
			continue
		}
		m.serveWaiters(budget)
		m.rejectExhausted(budget, changes[i], result)
	}
}

// ReturnAll returns all free quota to the holders and the ledger. It is called on a
// planned stop.
func (m *Manager) ReturnAll(ctx context.Context) error {
	var changes []ledger.LeaseChange
	m.DoAndWait(func() {
		for _, h := range m.pool.Holdings() {
			m.returnUnused(h.Budget, 0)
		}
		changes = m.pool.ReturnAll()
	})
	if len(changes) == 0 {
		return nil
	}
	_, err := m.ledger.Submit(ctx, control.Command{Leases: changes})
	return err
}
