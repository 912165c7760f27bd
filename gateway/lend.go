package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/wire"
)

// MethodLend asks an entry node for quota. The request is a LendRequest, the answer a
// LendAnswer.
const MethodLend wire.Method = "lend"

const (
	// lendTimeout bounds one node's answer, some round trips inside a region.
	lendTimeout = 120 * time.Millisecond
	// maxLenders bounds the nodes that are asked for one request.
	maxLenders = 6
)

// LendRequest asks for quota of a budget.
type LendRequest struct {
	Budget fleet.BudgetID `json:"budget"`
	Wanted fleet.Tokens   `json:"wanted"`
}

// LendAnswer says how much was lent.
type LendAnswer struct {
	Lent fleet.Tokens `json:"lent"`
}

// HandleLend lends quota to another entry node.
//
// Leases are moved between entry nodes only while the control group is out of reach.
// The lender reports what it lent as spent, and the borrower spends it without a
// report. So the ledger's sum is right whatever becomes of either; what a borrower does
// not use is lost to the workspace, which is why only a few seconds' need is lent.
func (s *Server) HandleLend(_ context.Context, from fleet.NodeID, body []byte) (any, error) {
	request := LendRequest{}
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	keeper := s.keeper.Load()
	if keeper == nil {
		return LendAnswer{}, nil
	}
	lent := keeper.Lend(request.Budget, request.Wanted)
	s.cfg.Log.Info(event.QuotaLent).
		Str("budget", string(request.Budget)).
		Str("to", string(from)).
		Int64("wantedTokens", int64(request.Wanted)).
		Int64("lentTokens", int64(lent)).
		Msg("quota lent to another entry node")
	return LendAnswer{Lent: lent}, nil
}

// lenders implements quota.Peers by the other entry nodes.
type lenders struct {
	server *Server
}

// Borrow implements quota.Peers.
func (l lenders) Borrow(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	s := l.server
	total := fleet.Tokens(0)
	asked := 0
	nodes := s.holdersOf(budget)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for node, address := range s.peers.reachable(nodes) {
		if asked++; asked > maxLenders || total >= wanted || ctx.Err() != nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, lendTimeout)
		answer := LendAnswer{}
		err := s.cfg.Peers.Call(call, address, MethodLend, LendRequest{
			Budget: budget,
			Wanted: wanted - total,
		}, &answer)
		cancel()
		if err != nil {
			s.cfg.Log.Warn(event.QuotaLent).Str("budget", string(budget)).Str("from", string(node)).Err(err).Msg("an entry node did not lend")
			continue
		}
		total += answer.Lent
	}
	return total
}
