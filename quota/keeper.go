// Package quota keeps an entry node's quota: it sets tokens aside for requests, asks
// the ledger for more and answers its recalls.
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

// Times of the keeper.
const (
	tick = 100 * time.Millisecond
	// leaseTimeout bounds one command to the ledger, longer than an election
	// takes.
	leaseTimeout = 3 * time.Second
)

// Ledger is the way to the control group.
type Ledger interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
}

// Shortage tells why a reservation failed.
type Shortage struct {
	// Answered says that the ledger was heard while the request waited.
	Answered bool `json:"answered,omitempty"`
	// Exhausted says that the ledger has not enough left and that no holder is left
	// to give back: waiting longer would not help.
	Exhausted bool `json:"spent,omitempty"`
	// CutOff says that the ledger is out of reach and that no peer lent enough.
	CutOff bool               `json:"cutOff,omitempty"`
	Last   ledger.LeaseResult `json:"last,omitzero"`
}

// Config sets up a Keeper.
type Config struct {
	Pool   *lease.Pool
	Ledger Ledger
	// MaxWait is how long a request waits for quota.
	MaxWait time.Duration
	// LedgerReachable, where it is set, reports whether the ledger can be reached. While it
	// cannot, no request waits for quota that will not come.
	LedgerReachable func() bool
	// Peers, where it is set, lends quota while the ledger cannot be reached.
	Peers Peers
	// Holders, where it is set, hold quota for this node, unless it is one of them.
	Holders Holders
}

// Holders are the nodes that hold a budget's quota for all others. In a large fleet these
// are few: spread over all nodes, a lease would be smaller than a single request.
type Holders interface {
	// Holds reports whether this node is one of them.
	Holds(budget fleet.BudgetID) bool
	// Draw asks them for quota.
	Draw(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) DrawResult
	// Return gives quota back to them, without waiting.
	Return(budget fleet.BudgetID, amount fleet.Tokens)
}

// DrawResult is what holders gave.
type DrawResult struct {
	Tokens fleet.Tokens
	// Reached says that at least one of them was asked and answered.
	Reached bool
	// Short tells why there was not enough.
	Short *Shortage
}

// Peers are the other nodes that hold quota.
type Peers interface {
	// Borrow asks them for quota and returns what they lent, which may be less.
	Borrow(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens
}

// Keeper owns the node's lease pool. Its state belongs to one goroutine.
type Keeper struct {
	*loop.Loop
	ledger   Ledger
	patience time.Duration
	fresh    func() bool
	peers    Peers
	holders  Holders
	loans    map[fleet.BudgetID]*loan
	pool     *lease.Pool
	waiting  map[fleet.BudgetID][]*waiter
	// sending is true while a command of lease changes is under way.
	sending bool
	// sent numbers the commands, acknowledged is the latest with an answer.
	sent         uint64
	acknowledged uint64
}

type waiter struct {
	amount   fleet.Tokens
	deadline time.Duration
	answered bool
	answer   chan *Shortage
}

// New starts a keeper.
func New(cfg Config) *Keeper {
	k := &Keeper{
		Loop:     loop.New(),
		ledger:   cfg.Ledger,
		patience: cfg.MaxWait,
		fresh:    cfg.LedgerReachable,
		peers:    cfg.Peers,
		holders:  cfg.Holders,
		loans:    map[fleet.BudgetID]*loan{},
		pool:     cfg.Pool,
		waiting:  map[fleet.BudgetID][]*waiter{},
	}
	k.Start(tick, k.expire, k.send)
	return k
}

// Reserve sets quota aside, asking the budget's holders or the ledger for more if need
// be. It returns nil when that is done.
func (k *Keeper) Reserve(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) *Shortage {
	if k.holders != nil && !k.holders.Holds(budget) {
		if short, done := k.draw(ctx, budget, amount); done {
			return short
		}
	}
	return k.ReserveOwn(ctx, budget, amount)
}

// drawRounds bounds how often a request draws, since another one may use what it drew.
const drawRounds = 3

// keptChange is the quota of a budget that a node which does not hold it keeps from what
// requests did not use.
const keptChange = 1000

// draw sets quota aside that the budget's holders give. It reports false where none of them
// could be asked.
func (k *Keeper) draw(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) (short *Shortage, done bool) {
	got := fleet.Tokens(0)
	for range drawRounds {
		lacks, reserved := fleet.Tokens(0), false
		k.Ask(func() {
			now := clock.Boot()
			k.pool.AddBorrowed(budget, got, now)
			reserved = k.pool.Reserve(budget, amount, now)
			if lacks = k.pool.Shortfall(budget, amount); lacks == 0 {
				lacks = amount
			}
		})
		if reserved {
			return nil, true
		}
		drawn := k.holders.Draw(ctx, budget, lacks)
		if !drawn.Reached {
			return nil, false
		}
		if drawn.Tokens == 0 {
			return drawn.Short, true
		}
		got = drawn.Tokens
	}
	k.Do(func() { k.pool.AddBorrowed(budget, got, clock.Boot()) })
	return &Shortage{Answered: true}, true
}

// ReserveOwn sets quota of this node's own leases aside, asking the ledger for more if need be.
func (k *Keeper) ReserveOwn(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) *Shortage {
	w := &waiter{
		amount:   amount,
		deadline: clock.Boot() + k.patience,
		answer:   make(chan *Shortage, 1),
	}
	k.Do(func() {
		if len(k.waiting[budget]) == 0 && k.pool.Reserve(budget, amount, clock.Boot()) {
			w.answer <- nil
			return
		}
		if k.fresh != nil && !k.fresh() && !k.borrow(budget, amount) {
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
	k.Do(func() { k.abandon(budget, w) })
	return &Shortage{}
}

// loan is the borrowing of one budget's quota.
type loan struct {
	under    bool
	failedAt time.Duration
}

// loanPause is the time after vain borrowing in which no peer is asked again: they
// have nothing, or cannot be reached.
const loanPause = 300 * time.Millisecond

// borrow asks the peers for quota, unless that is under way. It reports whether quota
// may come of it.
func (k *Keeper) borrow(budget fleet.BudgetID, cost fleet.Tokens) bool {
	if k.peers == nil {
		return false
	}
	l, ok := k.loans[budget]
	if !ok {
		l = &loan{failedAt: -loanPause}
		k.loans[budget] = l
	}
	now := clock.Boot()
	if l.under {
		return true
	}
	if now-l.failedAt < loanPause {
		return false
	}
	l.under = true
	wanted := k.pool.BorrowAmount(budget, cost, now)
	k.Go(func() {
		ctx, cancel := context.WithTimeout(k.Context(), k.patience)
		defer cancel()
		lent := k.peers.Borrow(ctx, budget, wanted)
		k.Do(func() { k.borrowed(l, budget, lent) })
	})
	return true
}

// borrowed serves the waiting requests with what was lent, and refuses the others.
func (k *Keeper) borrowed(l *loan, budget fleet.BudgetID, lent fleet.Tokens) {
	l.under = false
	k.pool.AddBorrowed(budget, lent, clock.Boot())
	k.serveWaiters(budget)
	waiting := k.waiting[budget]
	if len(waiting) == 0 || k.fresh() {
		return
	}
	l.failedAt = clock.Boot()
	for _, w := range waiting {
		w.answer <- &Shortage{CutOff: true}
	}
	k.setWaiting(budget, nil)
}

// Lend gives another node a part of what is free.
func (k *Keeper) Lend(budget fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	lent := fleet.Tokens(0)
	k.Ask(func() { lent = k.pool.Lend(budget, wanted, clock.Boot()) })
	return lent
}

// abandon takes out a waiter whose caller has gone, or frees what it was given in
// the meantime.
func (k *Keeper) abandon(budget fleet.BudgetID, w *waiter) {
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

// Release ends a reservation, of which spent was used.
func (k *Keeper) Release(budget fleet.BudgetID, reserved, spent fleet.Tokens) {
	k.Do(func() {
		k.pool.Release(budget, reserved, spent, clock.Boot())
		k.serveWaiters(budget)
		k.returnChange(budget, keptChange)
	})
}

// returnChange gives what requests did not use back to the budget's holders, but for a
// little.
func (k *Keeper) returnChange(budget fleet.BudgetID, keep fleet.Tokens) {
	if k.holders == nil || k.holders.Holds(budget) {
		return
	}
	if amount := k.pool.TakeBorrowed(budget, keep, clock.Boot()); amount > 0 {
		k.holders.Return(budget, amount)
	}
}

// AddReturned takes in quota that another node drew and did not use.
func (k *Keeper) AddReturned(budget fleet.BudgetID, amount fleet.Tokens) {
	k.Do(func() {
		k.pool.AddBorrowed(budget, amount, clock.Boot())
		k.serveWaiters(budget)
	})
}

// Refund takes back quota that was held as spent but was not billed after all.
func (k *Keeper) Refund(budget fleet.BudgetID, amount fleet.Tokens) {
	k.Do(func() {
		k.pool.Refund(budget, amount, clock.Boot())
		k.serveWaiters(budget)
	})
}

// SetHeldBudgets sets the part of metered budgets that the node keeps.
func (k *Keeper) SetHeldBudgets(perMille int64, budgets []fleet.BudgetID) {
	k.Do(func() { k.pool.SetHeldBudgets(perMille, budgets, clock.Boot()) })
}

// HandleRecalls takes in the ledger's recalls.
func (k *Keeper) HandleRecalls(recalls []ledger.Recall) {
	k.Do(func() {
		for _, recall := range recalls {
			k.pool.Recall(recall.Budget, clock.Boot())
		}
	})
}

// Holdings returns what the pool has.
func (k *Keeper) Holdings() []lease.Holding {
	var holdings []lease.Holding
	k.Ask(func() { holdings = k.pool.Holdings() })
	return holdings
}

func (k *Keeper) updateNeed(budget fleet.BudgetID) {
	need := fleet.Tokens(0)
	if waiting := k.waiting[budget]; len(waiting) > 0 {
		need = waiting[0].amount
	}
	k.pool.SetNeed(budget, need, clock.Boot())
}

// serveWaiters gives quota to the waiting requests, in order.
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

// expire refuses the requests that have waited too long.
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

// send hands the pool's changes to the ledger, one command at a time.
func (k *Keeper) send() {
	if k.sending {
		return
	}
	changes := k.pool.Changes(clock.Boot())
	if len(changes) == 0 {
		return
	}
	k.sending = true
	k.sent++
	number := k.sent
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
				k.answers(changes, result.Leases)
			}
		})
	})
}

func (k *Keeper) answers(changes []ledger.LeaseChange, results []ledger.LeaseResult) {
	for i, result := range results {
		budget := changes[i].Budget
		if !k.pool.ApplyResult(budget, result) {
			continue
		}
		k.serveWaiters(budget)
		k.refuseFirst(budget, changes[i], result)
	}
}

// refuseFirst refuses the first waiting request when the ledger has said that it
// cannot be met and that nobody was asked to give back.
func (k *Keeper) refuseFirst(budget fleet.BudgetID, change ledger.LeaseChange, result ledger.LeaseResult) {
	waiting := k.waiting[budget]
	for _, w := range waiting {
		w.answered = true
	}
	if len(waiting) == 0 || change.Need == 0 || result.Granted > 0 || result.Recalling {
		return
	}
	if k.pool.Shortfall(budget, waiting[0].amount) < change.Need {
		// Another request is first now, for which less may do.
		return
	}
	waiting[0].answer <- &Shortage{
		Answered:  true,
		Exhausted: true,
		Last:      result,
	}
	k.setWaiting(budget, waiting[1:])
}

// ReturnAll returns all free quota, for a planned stop.
func (k *Keeper) ReturnAll(ctx context.Context) error {
	var changes []ledger.LeaseChange
	k.Ask(func() {
		for _, h := range k.pool.Holdings() {
			k.returnChange(h.Budget, 0)
		}
		changes = k.pool.ReturnAll()
	})
	if len(changes) == 0 {
		return nil
	}
	_, err := k.ledger.Submit(ctx, control.Command{Leases: changes})
	return err
}
