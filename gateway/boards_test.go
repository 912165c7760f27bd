package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// prompt starts a long prompt's exchange on a server, as far as its choice of an engine.
func prompt(s *Server, id string) *exchange {
	return &exchange{
		s:       s,
		ctx:     context.Background(),
		service: &routing.Service{Engine: &routing.Engine{}},
		request: routing.Request{ID: routing.RequestID(id)},
	}
}

var longPrompt = placement.ForecastRequest{Prompt: 20_000}

// TestNodesDoNotMeetAtOneEngine answers the pattern of long prompts that come to several
// entry nodes in the same moment. Six nodes that choose of twelve engines without knowing of
// the others meet at one for 21% of the prompts. With boards a prompt may still meet
// another one, at the engine that its node turned to last.
func TestNodesDoNotMeetAtOneEngine(t *testing.T) {
	const nodes, engines, rounds = 6, 12, 40
	var list []routing.Instance
	for i := range engines {
		list = append(list, routing.Instance{
			ID:    fleet.BackendServerID(fmt.Sprint("e", i)),
			Slots: 64,
		})
	}
	met := 0
	for range rounds {
		_, servers := newMesh(t, nodes)
		count := map[fleet.BackendServerID]int{}
		var all []*exchange
		for i, s := range servers {
			s.SetInstances(list)
			x := prompt(s, fmt.Sprint(i))
			placed, _, ok := x.choose(longPrompt)
			if !ok || x.claimed == nil || x.claimed.Engine != placed.Instance.ID {
				t.Fatalf("got no claimed engine for prompt %d", i)
			}
			if count[placed.Instance.ID]++; count[placed.Instance.ID] > 1 {
				met++
			}
			all = append(all, x)
		}
		checkBoardsEmpty(t, servers, all, list)
	}
	if most := nodes * rounds * 7 / 100; met > most {
		t.Errorf("got %d of %d prompts that met another, want at most %d", met, nodes*rounds, most)
	}
}

// checkBoardsEmpty ends all claims, after which no board must hold any.
func checkBoardsEmpty(t *testing.T, servers []*Server, all []*exchange, list []routing.Instance) {
	t.Helper()
	for _, x := range all {
		x.unclaim()
	}
	for _, s := range servers {
		for _, i := range list {
			c := placement.Claim{
				Engine:  i.ID,
				Node:    "other",
				Request: "r",
			}
			if got := s.boards.board.Claim(c, 0); got != 0 {
				t.Fatalf("got %d tokens claimed on a board after all had ended, want 0", got)
			}
		}
	}
}

// TestLostKeeperCostsLittle cuts a keeper off: the first request waits for it a moment, the
// next ones do not.
func TestLostKeeperCostsLittle(t *testing.T) {
	m, servers := newMesh(t, 2)
	s := servers[0]
	engine := fleet.BackendServerID("")
	for i := range 100 {
		engine = fleet.BackendServerID(fmt.Sprint("e", i))
		if node, _, _ := s.boards.keeper(engine, ""); node != s.cfg.Node {
			break
		}
	}
	s.SetInstances([]routing.Instance{{
		ID:    engine,
		Slots: 64,
	}})
	m.cut[m.reports[1].WireAddress] = true
	for i := range 5 {
		started := time.Now()
		x := prompt(s, fmt.Sprint(i))
		if _, _, ok := x.choose(longPrompt); !ok {
			t.Fatal("got no engine without its keeper")
		}
		if took := time.Since(started); i == 0 && took > 10*claimTimeout || i > 0 && m.calls.Load() > 1 {
			t.Errorf("got an engine after %s and %d calls, want one call that waits for %s", took, m.calls.Load(), claimTimeout)
		}
	}
}
