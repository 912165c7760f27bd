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

// groupOfOne is a ledger that answers at once, or not at all while it is cut.
type groupOfOne struct {
	mu    sync.Mutex
	state *ledger.State
	cut   bool
}

func (g *groupOfOne) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
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

func (g *groupOfOne) fresh() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cut
}

func (g *groupOfOne) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// peers lend what they have.
type peers struct {
	mu   sync.Mutex
	left fleet.Tokens
}

func (p *peers) Borrow(_ context.Context, _ fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	lent := min(wanted, p.left)
	p.left -= lent
	return lent
}

func newKeeper(t *testing.T, g *groupOfOne, p *peers) *Keeper {
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
		LedgerReachable: g.fresh,
	}
	if p != nil {
		cfg.Peers = p
	}
	k := New(cfg)
	t.Cleanup(k.Close)
	k.SetHeldBudgets(900, []fleet.BudgetID{"w"})
	return k
}

func TestSpentOnlyWhereTheLedgerHasNoMore(t *testing.T) {
	g := &groupOfOne{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 10_000)
	k := newKeeper(t, g, nil)
	if short := k.Reserve(context.Background(), "w", 9_000); short != nil {
		t.Fatalf("got %+v, want the quota", short)
	}
	short := k.Reserve(context.Background(), "w", 5_000)
	if short == nil || !short.Exhausted {
		t.Fatalf("got %+v, want that the budget is spent", short)
	}
	k.Release("w", 9_000, 0)
	if short := k.Reserve(context.Background(), "w", 5_000); short != nil {
		t.Fatalf("got %+v after the release, want the quota", short)
	}
}

// TestPartitionSaysNothingOfTheBudget cuts the ledger off: what is short then may be
// there a moment later, so that the budget must not be called spent.
func TestPartitionSaysNothingOfTheBudget(t *testing.T) {
	g := &groupOfOne{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 1_000_000)
	k := newKeeper(t, g, nil)
	if short := k.Reserve(context.Background(), "w", 100); short != nil {
		t.Fatalf("got %+v, want the quota", short)
	}
	g.setCut(true)
	short := k.Reserve(context.Background(), "w", 900_000)
	if short == nil || short.Exhausted {
		t.Fatalf("got %+v, want a shortage of this node alone", short)
	}
}

func TestPeersLendInAPartition(t *testing.T) {
	g := &groupOfOne{state: ledger.New()}
	g.state.SetMeteredPrepaid("w", 1_000)
	p := &peers{left: 500}
	k := newKeeper(t, g, p)
	g.setCut(true)
	if short := k.Reserve(context.Background(), "w", 400); short != nil {
		t.Fatalf("got %+v, want the peers' quota", short)
	}
	if short := k.Reserve(context.Background(), "w", 400); short == nil {
		t.Fatal("got quota that nobody has")
	}
}
