package quota

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// fakeLedger is a ledger that responds at once, or not at all while it is partitioned.
type fakeLedger struct {
	mu          sync.Mutex
	state       *ledger.State
	partitioned bool
	// delay is how long a command takes.
	delay time.Duration
}

func (l *fakeLedger) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned {
		l.mu.Unlock()
		<-ctx.Done()
		l.mu.Lock()
		return control.Result{}, ctx.Err()
	}
	result := control.Result{}
	for _, change := range command.Leases {
		leaseResult, _ := l.state.ChangeLease(change)
		result.Leases = append(result.Leases, leaseResult)
	}
	return result, nil
}

func (l *fakeLedger) reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.partitioned
}

func (l *fakeLedger) setPartitioned(partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = partitioned
}

// fakeLenders lend quota until left is used up.
type fakeLenders struct {
	mu   sync.Mutex
	left fleet.Tokens
}

func (l *fakeLenders) Borrow(_ context.Context, _ fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	lent := min(wanted, l.left)
	l.left -= lent
	return lent
}

func newManager(t *testing.T, l *fakeLedger, lenders *fakeLenders) *Manager {
	holder := fleet.Holder{
		Node:        "n1",
		Incarnation: 1,
	}
	l.state.Join(holder)
	cfg := Config{
		Pool: lease.New(lease.Config{
			Holder:    holder,
			Partition: 10 * time.Second,
			Policy:    lease.PolicyMetered,
		}),
		Ledger:          l,
		MaxWait:         300 * time.Millisecond,
		LedgerReachable: l.reachable,
	}
	if lenders != nil {
		cfg.Lenders = lenders
	}
	m := New(cfg)
	t.Cleanup(m.Close)
	m.SetHeldBudgets(900, []fleet.BudgetID{"w"})
	return m
}

func TestExhaustedOnlyIfLedgerHasNoMore(t *testing.T) {
	l := &fakeLedger{state: ledger.New()}
	l.state.SetMeteredPrepaid("w", 10_000)
	m := newManager(t, l, nil)
	if shortage := m.Reserve(context.Background(), "w", 9_000); shortage != nil {
		t.Fatalf("got %+v, want the quota", shortage)
	}
	shortage := m.Reserve(context.Background(), "w", 5_000)
	if shortage == nil || !shortage.Exhausted {
		t.Fatalf("got %+v, want a shortage with an exhausted budget", shortage)
	}
	m.Release("w", 9_000, 0)
	if shortage := m.Reserve(context.Background(), "w", 5_000); shortage != nil {
		t.Fatalf("got %+v after the release, want the quota", shortage)
	}
}

// TestPartitionDoesNotReportExhaustedBudget makes the ledger unreachable. The ledger may still
// have the missing quota, so the budget must not be reported as exhausted.
func TestPartitionDoesNotReportExhaustedBudget(t *testing.T) {
	l := &fakeLedger{state: ledger.New()}
	l.state.SetMeteredPrepaid("w", 1_000_000)
	m := newManager(t, l, nil)
	if shortage := m.Reserve(context.Background(), "w", 100); shortage != nil {
		t.Fatalf("got %+v, want the quota", shortage)
	}
	l.setPartitioned(true)
	shortage := m.Reserve(context.Background(), "w", 900_000)
	if shortage == nil || shortage.Exhausted {
		t.Fatalf("got %+v, want a shortage without an exhausted budget", shortage)
	}
}

func TestLendersLendDuringPartition(t *testing.T) {
	l := &fakeLedger{state: ledger.New()}
	l.state.SetMeteredPrepaid("w", 1_000)
	lenders := &fakeLenders{left: 500}
	m := newManager(t, l, lenders)
	l.setPartitioned(true)
	if shortage := m.Reserve(context.Background(), "w", 400); shortage != nil {
		t.Fatalf("got %+v, want quota from the lenders", shortage)
	}
	if shortage := m.Reserve(context.Background(), "w", 400); shortage == nil {
		t.Fatal("got a reservation of 400, want a shortage: only 100 are left to lend")
	}
}

// TestWaitersOfSpentBudgetAreRefusedTogether guards against requests of a workspace whose budget is spent that
// wait until their time is up: the ledger's response refused one of them at a time.
func TestWaitersOfSpentBudgetAreRefusedTogether(t *testing.T) {
	const waiters = 40
	l := &fakeLedger{
		state: ledger.New(),
		delay: 20 * time.Millisecond,
	}
	l.state.SetMeteredPrepaid("w", 1_000)
	m := newManager(t, l, nil)
	if shortage := m.Reserve(context.Background(), "w", 900); shortage != nil {
		t.Fatalf("got %+v, want the quota", shortage)
	}
	m.Release("w", 900, 900)
	started := time.Now()
	shortages := make(chan *Shortage, waiters)
	for range waiters {
		go func() { shortages <- m.Reserve(context.Background(), "w", 200) }()
	}
	for range waiters {
		if shortage := <-shortages; shortage == nil || !shortage.Exhausted {
			t.Errorf("got %+v, want a shortage with an exhausted budget", shortage)
		}
	}
	if got, want := time.Since(started), 200*time.Millisecond; got > want {
		t.Errorf("got the last refusal after %s, want it within %s", got, want)
	}
	if shortage := m.Reserve(context.Background(), "w", 50); shortage != nil {
		t.Errorf("got %+v for a request that the rest covers, want the quota", shortage)
	}
}

// TestRaisedTotalIsSpentAtOnce guards against a budget that is taken for spent after its total was raised.
func TestRaisedTotalIsSpentAtOnce(t *testing.T) {
	l := &fakeLedger{state: ledger.New()}
	l.state.SetMeteredPrepaid("w", 1_000)
	m := newManager(t, l, nil)
	if shortage := m.Reserve(context.Background(), "w", 2_000); shortage == nil || !shortage.Exhausted {
		t.Fatalf("got %+v, want a shortage with an exhausted budget", shortage)
	}
	l.state.SetMeteredPrepaid("w", 10_000)
	m.SetHeldBudgets(900, []fleet.BudgetID{"w"})
	if shortage := m.Reserve(context.Background(), "w", 2_000); shortage != nil {
		t.Errorf("got %+v after the total was raised, want the quota", shortage)
	}
}
