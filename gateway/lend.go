package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/wire"
)

// MethodLend asks an entry node to lend quota. The request is a LendRequest, the response a
// LendResponse.
const MethodLend wire.Method = "lend"

const (
	// lendTimeout limits one lend call; it allows several round trips inside a region.
	lendTimeout = 120 * time.Millisecond
	// maxLenders limits the nodes that are called to borrow for one request.
	maxLenders = 6
)

// LendRequest asks for quota of a budget.
type LendRequest struct {
	Budget fleet.BudgetID `json:"budget"`
	Wanted fleet.Tokens   `json:"wanted"`
}

// LendResponse has the amount that was lent.
type LendResponse struct {
	Lent fleet.Tokens `json:"lent"`
}

// HandleLend handles MethodLend: it lends quota to another entry node.
//
// Entry nodes lend quota only while they cannot reach the control group. The lender
// reports the loan to the ledger as spent, and the borrower does not report what it
// spends of it. So the ledger's total stays correct if either node fails. The workspace
// loses what the borrower does not use, so only the demand of a few seconds is lent.
func (s *Server) HandleLend(_ context.Context, from fleet.NodeID, body []byte) (any, error) {
	request := LendRequest{}
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	quotaManager := s.quotaManager.Load()
	if quotaManager == nil {
		return LendResponse{}, nil
	}
	lent := quotaManager.Lend(request.Budget, request.Wanted)
	s.cfg.Log.Info(event.QuotaLent).
		Str("budget", string(request.Budget)).
		Str("to", string(from)).
		Int64("wantedTokens", int64(request.Wanted)).
		Int64("lentTokens", int64(lent)).
		Msg("quota lent to another entry node")
	return LendResponse{Lent: lent}, nil
}

// quotaLenders implements quota.Lenders with calls to the holders among the other entry
// nodes.
type quotaLenders struct {
	server *Server
}

// Borrow implements quota.Lenders.
func (l quotaLenders) Borrow(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) fleet.Tokens {
	s := l.server
	total := fleet.Tokens(0)
	asked := 0
	nodes := s.holdersOf(budget)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for node, address := range s.peers.reachable(nodes) {
		if asked++; asked > maxLenders || total >= wanted || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, lendTimeout)
		response := LendResponse{}
		err := s.cfg.Peers.Call(callCtx, address, MethodLend, LendRequest{
			Budget: budget,
			Wanted: wanted - total,
		}, &response)
		cancel()
		if err != nil {
			s.cfg.Log.Warn(event.QuotaLent).Str("budget", string(budget)).Str("from", string(node)).Err(err).Msg("call to borrow quota from an entry node failed")
			continue
		}
		total += response.Lent
	}
	return total
}
