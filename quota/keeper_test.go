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
}

func (g *fakeLedger) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.partitioned {
		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()
		return control.Result{}, ctx.Err()
	}
	result := control.Result{}
	for _, change := range command.Leases {
		leaseResult, _ := g.state.ChangeLease(change)
		result.Leases = append(result.Leases, leaseResult)
	}
	return result, nil
}

func (g *fakeLedger) reachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.partitioned
}

func (g *fakeLedger) setPartitioned(partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned = partitioned
}

// fakeLenders lend quota until left is used up.
type fakeLenders struct {
	mu   sync.Mutex
	left fleet.Tokens
}

func (p *fakeLenders) Borrow(_ context.Context, _ fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	lent := min(wanted, p.left)
	p.left -= lent
	return lent
}

func newManager(t *testing.T, g *fakeLedger, p *fakeLenders) *Keeper {
	holder := fleet.Holder{
		Node:        "n1",
		Incarnation: 1,
	}
	g.state.Join(holder)
	cfg := Config{
		Pool: lease.New(lease.Config{
			Holder:    holder,
			Partition: 10 * time.Second,
			Policy:    lease.PolicyMetered,
		}),
		Ledger:          g,
		MaxWait:         300 * time.Millisecond,
		LedgerReachable: g.reachable,
	}
	if p != nil {
		cfg.Peers = p
	}
	m := New(cfg)
	t.Cleanup(m.Close)
	m.SetHeldBudgets(900, []fleet.BudgetID{"w"})
	return m
}

func TestExhaustedOnlyIfLedgerHasNoMore(t *testing.T) {
	g := &fakeLedger{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 10_000)
	m := newManager(t, g, nil)
	if short := m.Reserve(context.Background(), "w", 9_000); short != nil {
		t.Fatalf("got %+v, want the quota", short)
	}
	short := m.Reserve(context.Background(), "w", 5_000)
	if short == nil || !short.Exhausted {
		t.Fatalf("got %+v, want a shortage with an exhausted budget", short)
	}
	m.Release("w", 9_000, 0)
	if short := m.Reserve(context.Background(), "w", 5_000); short != nil {
		t.Fatalf("got %+v after the release, want the quota", short)
	}
}

// TestPartitionDoesNotReportExhaustedBudget makes the ledger unreachable. The ledger may still
// have the missing quota, so the budget must not be reported as exhausted.
func TestPartitionDoesNotReportExhaustedBudget(t *testing.T) {
	g := &fakeLedger{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 1_000_000)
	m := newManager(t, g, nil)
	if short := m.Reserve(context.Background(), "w", 100); short != nil {
		t.Fatalf("got %+v, want the quota", short)
	}
	g.setPartitioned(true)
	short := m.Reserve(context.Background(), "w", 900_000)
	if short == nil || short.Exhausted {
		t.Fatalf("got %+v, want a shortage without an exhausted budget", short)
	}
}

func TestPeersLendDuringPartition(t *testing.T) {
	g := &fakeLedger{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 1_000)
	p := &fakeLenders{left: 500}
	m := newManager(t, g, p)
	g.setPartitioned(true)
	if short := m.Reserve(context.Background(), "w", 400); short != nil {
		t.Fatalf("got %+v, want quota from the lenders", short)
	}
	if short := m.Reserve(context.Background(), "w", 400); short == nil {
		t.Fatal("got a reservation of 400, want a shortage: only 100 are left to lend")
	}
}
