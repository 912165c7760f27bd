package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

const drawBudget = fleet.BudgetID("w")

// newDrawMesh returns a fleet with one prepaid workspace and waits until its leases are
// granted.
func newDrawMesh(t *testing.T, nodes int, prepaid fleet.Tokens) (*mesh, []*Server) {
	m, servers := newMesh(t, nodes)
	m.ledger.SetMeteredPrepaid(drawBudget, prepaid)
	for _, s := range servers {
		s.HandleRouting(routing.NewView(routing.Config{
			Version: 1,
			Workspaces: []routing.Workspace{{
				ID:      fleet.WorkspaceID(drawBudget),
				Prepaid: &prepaid,
			}},
		}))
		s.StartQuota()
	}
	time.Sleep(300 * time.Millisecond)
	return m, servers
}

// spend reserves quota for a number of requests of the same cost, each at a random node.
// It returns how many got quota and the tokens they used.
func spend(servers []*Server, requests int, cost fleet.Tokens, used func(fleet.Tokens) fleet.Tokens) (served int, spent fleet.Tokens) {
	for range requests {
		quotaManager := servers[rand.IntN(len(servers))].quotaManager.Load()
		if quotaManager.Reserve(context.Background(), drawBudget, cost) != nil {
			continue
		}
		served++
		tokens := used(cost)
		spent += tokens
		quotaManager.Release(drawBudget, cost, tokens)
	}
	return served, spent
}

// useAll returns the use of a request that uses all that it reserves.
func useAll(cost fleet.Tokens) fleet.Tokens { return cost }

// TestLargeFleetDrawsFromHolders has a workspace's requests arrive at forty nodes, each
// request larger than one fortieth of a lease. Only the holders may have leases, and the
// other nodes draw from them. Nearly all of the prepaid total must be usable, and no more
// than that.
func TestLargeFleetDrawsFromHolders(t *testing.T) {
	const nodes, cost, prepaid = 40, 20_000, 4_000_000
	m, servers := newDrawMesh(t, nodes, prepaid)
	m.mu.Lock()
	view, _ := m.ledger.Budget(drawBudget)
	m.mu.Unlock()
	holding := 0
	for _, l := range view.Leases {
		if l.Outstanding > 0 {
			holding++
		}
	}
	if holding > holdersPerBudget {
		t.Errorf("got %d nodes with leases, want at most %d", holding, holdersPerBudget)
	}
	served, spent := spend(servers, prepaid/cost+8, cost, useAll)
	if got, least := fleet.Tokens(served)*cost, fleet.Tokens(prepaid*97/100); got < least {
		t.Errorf("got %d tokens used, want at least %d of %d", got, least, prepaid)
	}
	if spent > prepaid {
		t.Errorf("got %d tokens spent, want at most %d", spent, prepaid)
	}
}

// TestDrawsContinueInPartition partitions all nodes from the control group: all nodes must
// still be able to draw the quota that holders have.
func TestDrawsContinueInPartition(t *testing.T) {
	const nodes, cost, prepaid = 40, 10_000, 4_000_000
	m, servers := newDrawMesh(t, nodes, prepaid)
	spend(servers, 40, cost, useAll)
	m.mu.Lock()
	m.partitioned = true
	m.mu.Unlock()
	served := 0
	for range 20 {
		one, _ := spend(servers, 1, cost, useAll)
		served += one
		// A holder that cannot reach the control group may use its lease only
		// gradually.
		time.Sleep(150 * time.Millisecond)
	}
	if served < 18 {
		t.Errorf("got %d of 20 requests served in the partition, want at least 18", served)
	}
}

// TestUnusedQuotaIsReturned has requests reserve ten times the tokens that they use. The
// unused quota must not accumulate on the nodes that drew it.
func TestUnusedQuotaIsReturned(t *testing.T) {
	const nodes, cost, prepaid = 40, 20_000, 2_000_000
	_, servers := newDrawMesh(t, nodes, prepaid)
	served, _ := spend(servers, 400, cost, func(c fleet.Tokens) fleet.Tokens { return c / 10 })
	if served < 390 {
		t.Errorf("got %d of 400 requests served, want at least 390: they use 40%% of the total", served)
	}
	unused := fleet.Tokens(0)
	for _, s := range servers {
		if s.holdsBudget(drawBudget) {
			continue
		}
		for _, h := range s.quotaManager.Load().Holdings() {
			unused += h.Free
		}
	}
	if most := fleet.Tokens(nodes) * 1000; unused > most {
		t.Errorf("got %d unused tokens left on nodes that drew them, want at most %d", unused, most)
	}
}

// TestUnreachableHoldersAreSkipped makes some of the holders unreachable: requests must
// draw from the others.
func TestUnreachableHoldersAreSkipped(t *testing.T) {
	m, servers := newDrawMesh(t, 40, 4_000_000)
	for i, n := range servers[0].peers.ownerSet().Owners(string(drawBudget), holdersPerBudget) {
		if i >= 3 {
			break
		}
		for _, report := range m.reports {
			if report.Holder.Node == n.ID {
				m.unreachable[report.WireAddress] = true
			}
		}
	}
	if served, _ := spend(servers, 60, 10_000, useAll); served < 50 {
		t.Errorf("got %d of 60 requests served while 3 of %d holders are unreachable, want at least 50", served, holdersPerBudget)
	}
}
