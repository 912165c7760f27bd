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

// fakeLedger is a ledger that answers at once, or not at all while it is partitioned.
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
		answer, _ := g.state.ChangeLease(change)
		result.Leases = append(result.Leases, answer)
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

// fakePeers lends quota until left is used up.
type fakePeers struct {
	mu   sync.Mutex
	left fleet.Tokens
}

func (p *fakePeers) Borrow(_ context.Context, _ fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	lent := min(wanted, p.left)
	p.left -= lent
	return lent
}

func newKeeper(t *testing.T, g *fakeLedger, p *fakePeers) *Keeper {
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
	k := New(cfg)
	t.Cleanup(k.Close)
	k.SetHeldBudgets(900, []fleet.BudgetID{"w"})
	return k
}

func TestExhaustedOnlyIfLedgerHasNoMore(t *testing.T) {
	g := &fakeLedger{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 10_000)
	k := newKeeper(t, g, nil)
	if short := k.Reserve(context.Background(), "w", 9_000); short != nil {
		t.Fatalf("got %+v, want the quota", short)
	}
	short := k.Reserve(context.Background(), "w", 5_000)
	if short == nil || !short.Exhausted {
		t.Fatalf("got %+v, want a shortage with an exhausted budget", short)
	}
	k.Release("w", 9_000, 0)
	if short := k.Reserve(context.Background(), "w", 5_000); short != nil {
		t.Fatalf("got %+v after the release, want the quota", short)
	}
}

// TestPartitionDoesNotReportExhaustedBudget makes the ledger unreachable. Quota that is missing
// then may be available a moment later, so the budget must not be reported as exhausted.
func TestPartitionDoesNotReportExhaustedBudget(t *testing.T) {
	g := &fakeLedger{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 1_000_000)
	k := newKeeper(t, g, nil)
	if short := k.Reserve(context.Background(), "w", 100); short != nil {
		t.Fatalf("got %+v, want the quota", short)
	}
	g.setPartitioned(true)
	short := k.Reserve(context.Background(), "w", 900_000)
	if short == nil || short.Exhausted {
		t.Fatalf("got %+v, want a shortage without an exhausted budget", short)
	}
}

func TestPeersLendDuringPartition(t *testing.T) {
	g := &fakeLedger{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 1_000)
	p := &fakePeers{left: 500}
	k := newKeeper(t, g, p)
	g.setPartitioned(true)
	if short := k.Reserve(context.Background(), "w", 400); short != nil {
		t.Fatalf("got %+v, want quota lent by peers", short)
	}
	if short := k.Reserve(context.Background(), "w", 400); short == nil {
		t.Fatal("got a reservation of 400, want a shortage: only 100 are left to lend")
	}
}
