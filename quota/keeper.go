// Package quota manages an entry node's quota: it reserves tokens for requests, requests
// more from the ledger and answers its recalls.
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
	// leaseTimeout is the timeout of one command to the ledger. It is longer than an
	// election takes.
	leaseTimeout = 3 * time.Second
)

// Ledger submits commands to the control group, which replicates the ledger.
type Ledger interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
}

// Shortage says why a reservation failed.
type Shortage struct {
	// Answered says that the ledger answered while the request waited.
	Answered bool `json:"answered,omitempty"`
	// Exhausted says that the ledger has not enough left and that there is no holder
	// to recall quota from: waiting longer would not help.
	Exhausted bool `json:"spent,omitempty"`
	// CutOff says that the ledger is unreachable and that peers did not lend enough.
	CutOff bool               `json:"cutOff,omitempty"`
	Last   ledger.LeaseResult `json:"last,omitzero"`
}

// Config configures a Keeper.
type Config struct {
	Pool   *lease.Pool
	Ledger Ledger
	// MaxWait is how long a request waits for quota.
	MaxWait time.Duration
	// LedgerReachable, if set, reports whether the ledger can be reached. While it
	// cannot, requests do not wait for quota from it.
	LedgerReachable func() bool
	// Peers, if set, lends quota while the ledger cannot be reached. It requires
	// LedgerReachable.
	Peers Peers
	// Holders, if set, hold quota for this node, unless it is one of them.
	Holders Holders
}

// Holders are the nodes that lease a budget's quota and hand it out to all other nodes.
// In a large fleet they are few: split among all nodes, each lease would be smaller than
// a single request.
type Holders interface {
	// Holds reports whether this node is one of the holders.
	Holds(budget fleet.BudgetID) bool
	// Draw asks the holders for quota.
	Draw(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) DrawResult
	// Return returns quota to the holders, without waiting for an answer.
	Return(budget fleet.BudgetID, amount fleet.Tokens)
}

// DrawResult is the result of Holders.Draw.
type DrawResult struct {
	Tokens fleet.Tokens
	// Reached says that at least one holder answered.
	Reached bool
	// Short says why there was not enough.
	Short *Shortage
}

// Peers are the other nodes that hold quota.
type Peers interface {
	// Borrow asks the peers for quota and returns the amount that they lent, which
	// may be less than wanted.
	Borrow(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens
}

// Keeper owns the node's lease pool. Only the goroutine of its Loop accesses its state.
type Keeper struct {
	*loop.Loop
	ledger          Ledger
	maxWait         time.Duration
	ledgerReachable func() bool
	peers           Peers
	holders         Holders
	borrowing       map[fleet.BudgetID]*borrowState
	pool            *lease.Pool
	waiting         map[fleet.BudgetID][]*waiter
	// sending is true while a command with lease changes is in flight.
	sending bool
	// lastSent is the sequence number of the last command that was sent, and
	// acknowledged that of the last one that was answered.
	lastSent     uint64
	acknowledged uint64
}

// waiter is a request that waits for quota. It receives nil on answer once its amount is
// reserved.
type waiter struct {
	amount   fleet.Tokens
	deadline time.Duration
	answered bool
	answer   chan *Shortage
}

// New starts a keeper.
func New(cfg Config) *Keeper {
	k := &Keeper{
		Loop:            loop.New(),
		ledger:          cfg.Ledger,
		maxWait:         cfg.MaxWait,
		ledgerReachable: cfg.LedgerReachable,
		peers:           cfg.Peers,
		holders:         cfg.Holders,
		borrowing:       map[fleet.BudgetID]*borrowState{},
		pool:            cfg.Pool,
		waiting:         map[fleet.BudgetID][]*waiter{},
	}
	k.Start(tickInterval, k.expire, k.send)
	return k
}

// Reserve reserves quota, asking the budget's holders or the ledger for more if
// necessary. It returns nil on success.
func (k *Keeper) Reserve(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) *Shortage {
	if k.holders != nil && !k.holders.Holds(budget) {
		if short, done := k.reserveDrawn(ctx, budget, amount); done {
			return short
		}
	}
	return k.ReserveOwn(ctx, budget, amount)
}

// maxDrawAttempts is how often one request draws quota: a concurrent request may use what
// it drew.
const maxDrawAttempts = 3

// retainedTokens is how much unused drawn quota of a budget a node keeps instead of
// returning it to the holders.
const retainedTokens = 1000

// reserveDrawn reserves quota that it draws from the budget's holders. It reports
// done = false if none of them could be reached.
func (k *Keeper) reserveDrawn(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) (short *Shortage, done bool) {
	drawnTokens := fleet.Tokens(0)
	for range maxDrawAttempts {
		missing, reserved := fleet.Tokens(0), false
		k.DoAndWait(func() {
			now := clock.Boot()
			k.pool.AddBorrowed(budget, drawnTokens, now)
			reserved = k.pool.Reserve(budget, amount, now)
			if missing = k.pool.Shortfall(budget, amount); missing == 0 {
				missing = amount
			}
		})
		if reserved {
			return nil, true
		}
		drawn := k.holders.Draw(ctx, budget, missing)
		if !drawn.Reached {
			return nil, false
		}
		if drawn.Tokens == 0 {
			return drawn.Short, true
		}
		drawnTokens = drawn.Tokens
	}
	k.Do(func() { k.pool.AddBorrowed(budget, drawnTokens, clock.Boot()) })
	return &Shortage{Answered: true}, true
}

// ReserveOwn reserves quota from this node's own leases, asking the ledger for more if
// necessary.
func (k *Keeper) ReserveOwn(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) *Shortage {
	w := &waiter{
		amount:   amount,
		deadline: clock.Boot() + k.maxWait,
		answer:   make(chan *Shortage, 1),
	}
	k.Do(func() {
		if len(k.waiting[budget]) == 0 && k.pool.Reserve(budget, amount, clock.Boot()) {
			w.answer <- nil
			return
		}
		if k.ledgerReachable != nil && !k.ledgerReachable() && !k.borrow(budget, amount) {
			w.answer <- &Shortage{CutOff: true}
			return
		}
		k.waiting[budget] = append(k.waiting[budget], w)
		k.updateNeed(budget)
	})
	select {
	case s := <-w.answer:
		return s
	case <-ctx.Done():
	case <-k.Context().Done():
		return &Shortage{}
	}
	k.Do(func() { k.cancelWait(budget, w) })
	return &Shortage{}
}

// borrowState is the state of borrowing quota of one budget from peers.
type borrowState struct {
	inFlight bool
	failedAt time.Duration
}

// borrowRetryDelay is how long no peer is asked again after borrowing failed: the peers
// have nothing or cannot be reached.
const borrowRetryDelay = 300 * time.Millisecond

// borrow asks the peers for quota, unless it is already doing so. It reports whether the
// request should wait for the result.
func (k *Keeper) borrow(budget fleet.BudgetID, cost fleet.Tokens) bool {
	if k.peers == nil {
		return false
	}
	b, ok := k.borrowing[budget]
	if !ok {
		b = &borrowState{failedAt: -borrowRetryDelay}
		k.borrowing[budget] = b
	}
	now := clock.Boot()
	if b.inFlight {
		return true
	}
	if now-b.failedAt < borrowRetryDelay {
		return false
	}
	b.inFlight = true
	wanted := k.pool.BorrowAmount(budget, cost, now)
	k.Go(func() {
		ctx, cancel := context.WithTimeout(k.Context(), k.maxWait)
		defer cancel()
		lent := k.peers.Borrow(ctx, budget, wanted)
		k.Do(func() { k.finishBorrow(b, budget, lent) })
	})
	return true
}

// finishBorrow serves the waiting requests with the quota that was lent. It rejects the
// others, unless the ledger can be reached again.
func (k *Keeper) finishBorrow(b *borrowState, budget fleet.BudgetID, lent fleet.Tokens) {
	b.inFlight = false
	k.pool.AddBorrowed(budget, lent, clock.Boot())
	k.serveWaiters(budget)
	waiting := k.waiting[budget]
	if len(waiting) == 0 || k.ledgerReachable() {
		return
	}
	b.failedAt = clock.Boot()
	for _, w := range waiting {
		w.answer <- &Shortage{CutOff: true}
	}
	k.setWaiting(budget, nil)
}

// Lend takes free quota out of the pool for another node and returns the amount.
func (k *Keeper) Lend(budget fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	lent := fleet.Tokens(0)
	k.DoAndWait(func() { lent = k.pool.Lend(budget, wanted, clock.Boot()) })
	return lent
}

// cancelWait removes a waiter whose caller has gone, or releases its reservation if it
// got one in the meantime.
func (k *Keeper) cancelWait(budget fleet.BudgetID, w *waiter) {
	select {
	case s := <-w.answer:
		if s == nil {
			k.pool.Release(budget, w.amount, 0, clock.Boot())
		}
		return
	default:
	}
	var kept []*waiter
	for _, other := range k.waiting[budget] {
		if other != w {
			kept = append(kept, other)
		}
	}
	k.waiting[budget] = kept
	k.updateNeed(budget)
}

// Release ends a reservation of which the part spent was used.
func (k *Keeper) Release(budget fleet.BudgetID, reserved, spent fleet.Tokens) {
	k.Do(func() {
		k.pool.Release(budget, reserved, spent, clock.Boot())
		k.serveWaiters(budget)
		k.returnUnused(budget, retainedTokens)
	})
}

// returnUnused returns drawn quota above the amount to keep to the budget's holders.
func (k *Keeper) returnUnused(budget fleet.BudgetID, keep fleet.Tokens) {
	if k.holders == nil || k.holders.Holds(budget) {
		return
	}
	if amount := k.pool.TakeBorrowed(budget, keep, clock.Boot()); amount > 0 {
		k.holders.Return(budget, amount)
	}
}

// AddReturned adds quota that another node drew and did not use.
func (k *Keeper) AddReturned(budget fleet.BudgetID, amount fleet.Tokens) {
	k.Do(func() {
		k.pool.AddBorrowed(budget, amount, clock.Boot())
		k.serveWaiters(budget)
	})
}

// Refund returns quota to the pool that was released as spent but was not billed.
func (k *Keeper) Refund(budget fleet.BudgetID, amount fleet.Tokens) {
	k.Do(func() {
		k.pool.Refund(budget, amount, clock.Boot())
		k.serveWaiters(budget)
	})
}

// SetHeldBudgets sets the budgets of which the node keeps a part of the remainder, in
// per mille.
func (k *Keeper) SetHeldBudgets(perMille int64, budgets []fleet.BudgetID) {
	k.Do(func() { k.pool.SetHeldBudgets(perMille, budgets, clock.Boot()) })
}

// HandleRecalls records the ledger's recalls. The next changes answer them.
func (k *Keeper) HandleRecalls(recalls []ledger.Recall) {
	k.Do(func() {
		for _, recall := range recalls {
			k.pool.Recall(recall.Budget, clock.Boot())
		}
	})
}

// Holdings returns the quota in the pool, sorted by budget.
func (k *Keeper) Holdings() []lease.Holding {
	var holdings []lease.Holding
	k.DoAndWait(func() { holdings = k.pool.Holdings() })
	return holdings
}

func (k *Keeper) updateNeed(budget fleet.BudgetID) {
	need := fleet.Tokens(0)
	if waiting := k.waiting[budget]; len(waiting) > 0 {
		need = waiting[0].amount
	}
	k.pool.SetNeed(budget, need, clock.Boot())
}

// serveWaiters reserves quota for the waiting requests, in order.
func (k *Keeper) serveWaiters(budget fleet.BudgetID) {
	waiting := k.waiting[budget]
	for len(waiting) > 0 && k.pool.Reserve(budget, waiting[0].amount, clock.Boot()) {
		waiting[0].answer <- nil
		waiting = waiting[1:]
	}
	k.setWaiting(budget, waiting)
}

func (k *Keeper) setWaiting(budget fleet.BudgetID, waiting []*waiter) {
	if len(waiting) == 0 {
		delete(k.waiting, budget)
	} else {
		k.waiting[budget] = waiting
	}
	k.updateNeed(budget)
}

// expire rejects the requests whose deadline has passed.
func (k *Keeper) expire() {
	now := clock.Boot()
	for budget, waiting := range k.waiting {
		var kept []*waiter
		for _, w := range waiting {
			if now < w.deadline {
				kept = append(kept, w)
				continue
			}
			w.answer <- &Shortage{
				Answered: w.answered,
				Last:     k.pool.LastResult(budget),
			}
		}
		if len(kept) < len(waiting) {
			k.setWaiting(budget, kept)
		}
	}
}

// send submits the pool's changes to the ledger, one command at a time.
func (k *Keeper) send() {
	if k.sending {
		return
	}
	changes := k.pool.Changes(clock.Boot())
	if len(changes) == 0 {
		return
	}
	k.sending = true
	k.lastSent++
	number := k.lastSent
	command := control.Command{
		Leases: changes,
		Sequence: &control.Sequence{
			Holder:       changes[0].Holder,
			Number:       number,
			Acknowledged: k.acknowledged,
		},
	}
	k.Go(func() {
		ctx, cancel := context.WithTimeout(k.Context(), leaseTimeout)
		defer cancel()
		result, err := k.ledger.Submit(ctx, command)
		k.Do(func() {
			k.sending = false
			if err == nil {
				k.acknowledged = number
				k.applyResults(changes, result.Leases)
			}
		})
	})
}

func (k *Keeper) applyResults(changes []ledger.LeaseChange, results []ledger.LeaseResult) {
	for i, result := range results {
		budget := changes[i].Budget
		if !k.pool.ApplyResult(budget, result) {
			continue
		}
		k.serveWaiters(budget)
		k.rejectFirst(budget, changes[i], result)
	}
}

// rejectFirst rejects the first waiting request if the ledger granted nothing for it and
// has recalled no quota from other holders.
func (k *Keeper) rejectFirst(budget fleet.BudgetID, change ledger.LeaseChange, result ledger.LeaseResult) {
	waiting := k.waiting[budget]
	for _, w := range waiting {
		w.answered = true
	}
	if len(waiting) == 0 || change.Need == 0 || result.Granted > 0 || result.Recalling {
		return
	}
	if k.pool.Shortfall(budget, waiting[0].amount) < change.Need {
		// A different, smaller request is first now, and the ledger may cover it.
		return
	}
	waiting[0].answer <- &Shortage{
		Answered:  true,
		Exhausted: true,
		Last:      result,
	}
	k.setWaiting(budget, waiting[1:])
}

// ReturnAll returns all free quota to the holders and the ledger. It is called on a
// planned stop.
func (k *Keeper) ReturnAll(ctx context.Context) error {
	var changes []ledger.LeaseChange
	k.DoAndWait(func() {
		for _, h := range k.pool.Holdings() {
			k.returnUnused(h.Budget, 0)
		}
		changes = k.pool.ReturnAll()
	})
	if len(changes) == 0 {
		return nil
	}
	_, err := k.ledger.Submit(ctx, control.Command{Leases: changes})
	return err
}
