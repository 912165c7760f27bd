package entry

import (
	"context"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// Times of the quota keeper.
const (
	quotaTick = 100 * time.Millisecond
	// quotaPatience is how long a request waits for quota.
	quotaPatience = 1500 * time.Millisecond
	leaseTimeout  = 3 * time.Second
)

// Ledger is the way to the control group.
type Ledger interface {
	Submit(ctx context.Context, command control.Command) (control.Result, error)
}

// shortage tells why a reservation failed.
type shortage struct {
	// answered says that the ledger was heard.
	answered bool
	last     ledger.LeaseResult
}

// quotaKeeper owns the node's lease pool. Its state belongs to one goroutine.
type quotaKeeper struct {
	*owner
	ledger  Ledger
	pool    *lease.Pool
	waiting map[fleet.BudgetID][]*quotaWaiter
	// sending is true while a command of lease changes is under way.
	sending bool
}

type quotaWaiter struct {
	amount   fleet.Tokens
	deadline time.Duration
	answered bool
	answer   chan *shortage
}

func newQuotaKeeper(pool *lease.Pool, l Ledger) *quotaKeeper {
	k := &quotaKeeper{
		owner:   newOwner(),
		ledger:  l,
		pool:    pool,
		waiting: map[fleet.BudgetID][]*quotaWaiter{},
	}
	k.start(quotaTick, k.expire, k.send)
	return k
}

// reserve sets quota aside, asking the ledger for more if need be. It returns nil
// when that is done.
func (k *quotaKeeper) reserve(ctx context.Context, budget fleet.BudgetID, amount fleet.Tokens) *shortage {
	w := &quotaWaiter{
		amount:   amount,
		deadline: clock.Boot() + quotaPatience,
		answer:   make(chan *shortage, 1),
	}
	k.do(func() {
		if len(k.waiting[budget]) == 0 && k.pool.Reserve(budget, amount, clock.Boot()) {
			w.answer <- nil
			return
		}
		k.waiting[budget] = append(k.waiting[budget], w)
		k.updateNeed(budget)
	})
	select {
	case s := <-w.answer:
		return s
	case <-ctx.Done():
	case <-k.ctx.Done():
		return &shortage{}
	}
	k.do(func() { k.abandon(budget, w) })
	return &shortage{}
}

// abandon takes out a waiter whose caller has gone, or frees what it was given in
// the meantime.
func (k *quotaKeeper) abandon(budget fleet.BudgetID, w *quotaWaiter) {
	select {
	case s := <-w.answer:
		if s == nil {
			k.pool.Release(budget, w.amount, 0, clock.Boot())
		}
		return
	default:
	}
	var kept []*quotaWaiter
	for _, other := range k.waiting[budget] {
		if other != w {
			kept = append(kept, other)
		}
	}
	k.waiting[budget] = kept
	k.updateNeed(budget)
}

func (k *quotaKeeper) release(budget fleet.BudgetID, reserved, spent fleet.Tokens) {
	k.do(func() {
		k.pool.Release(budget, reserved, spent, clock.Boot())
		k.serveWaiters(budget)
	})
}

func (k *quotaKeeper) refund(budget fleet.BudgetID, amount fleet.Tokens) {
	k.do(func() {
		k.pool.Refund(budget, amount, clock.Boot())
		k.serveWaiters(budget)
	})
}

func (k *quotaKeeper) recalled(recalls []ledger.Recall) {
	k.do(func() {
		for _, recall := range recalls {
			k.pool.Recall(recall.Budget, clock.Boot())
		}
	})
}

func (k *quotaKeeper) holdings() []lease.Holding {
	var holdings []lease.Holding
	k.ask(func() { holdings = k.pool.Holdings() })
	return holdings
}

func (k *quotaKeeper) updateNeed(budget fleet.BudgetID) {
	need := fleet.Tokens(0)
	if waiting := k.waiting[budget]; len(waiting) > 0 {
		need = waiting[0].amount
	}
	k.pool.SetNeed(budget, need, clock.Boot())
}

// serveWaiters gives quota to the waiting requests, in order.
func (k *quotaKeeper) serveWaiters(budget fleet.BudgetID) {
	waiting := k.waiting[budget]
	for len(waiting) > 0 && k.pool.Reserve(budget, waiting[0].amount, clock.Boot()) {
		waiting[0].answer <- nil
		waiting = waiting[1:]
	}
	k.setWaiting(budget, waiting)
}

func (k *quotaKeeper) setWaiting(budget fleet.BudgetID, waiting []*quotaWaiter) {
	if len(waiting) == 0 {
		delete(k.waiting, budget)
	} else {
		k.waiting[budget] = waiting
	}
	k.updateNeed(budget)
}

// expire refuses the requests that have waited too long.
func (k *quotaKeeper) expire() {
	now := clock.Boot()
	for budget, waiting := range k.waiting {
		var kept []*quotaWaiter
		for _, w := range waiting {
			if now < w.deadline {
				kept = append(kept, w)
				continue
			}
			w.answer <- &shortage{
				answered: w.answered,
				last:     k.pool.Last(budget),
			}
		}
		if len(kept) < len(waiting) {
			k.setWaiting(budget, kept)
		}
	}
}

// send hands the pool's changes to the ledger, one command at a time.
func (k *quotaKeeper) send() {
	if k.sending {
		return
	}
	changes := k.pool.Changes(clock.Boot())
	if len(changes) == 0 {
		return
	}
	k.sending = true
	k.wait.Go(func() {
		ctx, cancel := context.WithTimeout(k.ctx, leaseTimeout)
		defer cancel()
		result, err := k.ledger.Submit(ctx, control.Command{Leases: changes})
		k.do(func() {
			k.sending = false
			if err == nil {
				k.answers(changes, result.Leases)
			}
		})
	})
}

func (k *quotaKeeper) answers(changes []ledger.LeaseChange, results []ledger.LeaseResult) {
	for i, result := range results {
		budget := changes[i].Budget
		if !k.pool.Answer(budget, result) {
			continue
		}
		k.serveWaiters(budget)
		k.refuseFirst(budget, changes[i], result)
	}
}

// refuseFirst refuses the first waiting request when the ledger has said that it
// cannot be met and that nobody was asked to give back.
func (k *quotaKeeper) refuseFirst(budget fleet.BudgetID, change ledger.LeaseChange, result ledger.LeaseResult) {
	waiting := k.waiting[budget]
	for _, w := range waiting {
		w.answered = true
	}
	if len(waiting) == 0 || change.Need == 0 || result.Granted > 0 || result.Recalling {
		return
	}
	waiting[0].answer <- &shortage{
		answered: true,
		last:     result,
	}
	k.setWaiting(budget, waiting[1:])
}

// giveAll returns all free quota, for a planned stop.
func (k *quotaKeeper) giveAll(ctx context.Context) error {
	var changes []ledger.LeaseChange
	k.ask(func() { changes = k.pool.GiveAll() })
	if len(changes) == 0 {
		return nil
	}
	_, err := k.ledger.Submit(ctx, control.Command{Leases: changes})
	return err
}
