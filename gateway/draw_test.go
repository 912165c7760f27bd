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

// newDrawMesh is a large fleet with one workspace, whose leases have been granted.
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

// spend sends requests of one cost to nodes at random and returns how many got quota.
func spend(servers []*Server, requests int, cost fleet.Tokens, used func(fleet.Tokens) fleet.Tokens) (served int, spent fleet.Tokens) {
	for range requests {
		keeper := servers[rand.IntN(len(servers))].keeper.Load()
		if keeper.Reserve(context.Background(), drawBudget, cost) != nil {
			continue
		}
		served++
		tokens := used(cost)
		spent += tokens
		keeper.Release(drawBudget, cost, tokens)
	}
	return served, spent
}

func all(cost fleet.Tokens) fleet.Tokens { return cost }

// TestLargeFleetDrawsFromHolders answers the pattern of a workspace whose requests come to
// forty nodes, each of them larger than a fortieth of a lease. Few nodes hold its quota, the
// others draw; nearly all of the total can be used, and not more.
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
	if holding > holdersOfBudget {
		t.Errorf("got %d nodes with leases, want at most %d", holding, holdersOfBudget)
	}
	served, spent := spend(servers, prepaid/cost+8, cost, all)
	if got, least := fleet.Tokens(served)*cost, fleet.Tokens(prepaid*97/100); got < least {
		t.Errorf("got %d tokens used, want at least %d of %d", got, least, prepaid)
	}
	if spent > prepaid {
		t.Errorf("got %d tokens spent, want at most %d", spent, prepaid)
	}
}

// TestDrawsGoOnInAPartition cuts all nodes off from the control group: what holders have is
// still drawn by all.
func TestDrawsGoOnInAPartition(t *testing.T) {
	const nodes, cost, prepaid = 40, 10_000, 4_000_000
	m, servers := newDrawMesh(t, nodes, prepaid)
	spend(servers, 40, cost, all)
	m.mu.Lock()
	m.off = true
	m.mu.Unlock()
	served := 0
	for range 20 {
		one, _ := spend(servers, 1, cost, all)
		served += one
		// The use of a lease may rise only with time while nobody hears of it.
		time.Sleep(150 * time.Millisecond)
	}
	if served < 18 {
		t.Errorf("got %d of 20 requests served in the partition, want 18 or more", served)
	}
}

// TestUnusedQuotaGoesBack has requests reserve ten times what they use: what they leave must
// not pile up on the nodes that drew it.
func TestUnusedQuotaGoesBack(t *testing.T) {
	const nodes, cost, prepaid = 40, 20_000, 2_000_000
	_, servers := newDrawMesh(t, nodes, prepaid)
	served, _ := spend(servers, 400, cost, func(c fleet.Tokens) fleet.Tokens { return c / 10 })
	if served < 390 {
		t.Errorf("got %d of 400 requests served, want 390 or more: they use 40%% of the total", served)
	}
	kept := fleet.Tokens(0)
	for _, s := range servers {
		if s.holds(drawBudget) {
			continue
		}
		for _, h := range s.keeper.Load().Holdings() {
			kept += h.Free
		}
	}
	if most := fleet.Tokens(nodes) * 1000; kept > most {
		t.Errorf("got %d tokens left on nodes that drew them, want at most %d", kept, most)
	}
}

// TestLostHolderIsPassedOver cuts some of the holders off.
func TestLostHolderIsPassedOver(t *testing.T) {
	m, servers := newDrawMesh(t, 40, 4_000_000)
	for i, n := range servers[0].peers.set().Replicas(string(drawBudget), holdersOfBudget) {
		if i >= 3 {
			break
		}
		for _, report := range m.reports {
			if report.Holder.Node == n.ID {
				m.cut[report.WireAddress] = true
			}
		}
	}
	if served, _ := spend(servers, 60, 10_000, all); served < 50 {
		t.Errorf("got %d of 60 requests served while 3 of %d holders are lost, want 50 or more", served, holdersOfBudget)
	}
}
