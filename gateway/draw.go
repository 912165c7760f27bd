package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/keepers"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/quota"
	"github.com/waxwingreel/waxwingreel/wire"
)

const (
	// MethodDraw asks a holder for quota. The request is a DrawRequest, the answer a
	// DrawAnswer.
	MethodDraw wire.Method = "draw"
	// MethodReturn gives drawn quota back. The message is a ReturnMessage.
	MethodReturn wire.Method = "return"
)

const (
	// holdersOfBudget is how many nodes hold each budget's quota. All nodes do in a
	// fleet that is no larger.
	holdersOfBudget = 8
	// drawTimeout bounds one holder's answer, drawPatience how long it waits for the
	// ledger itself: it answers in any case, so that it does not look lost.
	drawTimeout  = 150 * time.Millisecond
	drawPatience = 100 * time.Millisecond
	// maxDraws is how many holders are asked for one request.
	maxDraws = 3
)

// DrawRequest asks for quota of a budget.
type DrawRequest struct {
	Budget fleet.BudgetID `json:"budget"`
	Wanted fleet.Tokens   `json:"wanted"`
}

// DrawAnswer holds what was given, all that was wanted or nothing, and why nothing was.
type DrawAnswer struct {
	Tokens fleet.Tokens   `json:"tokens,omitempty"`
	Short  quota.Shortage `json:"short,omitzero"`
}

// ReturnMessage gives drawn quota back.
type ReturnMessage struct {
	Budget fleet.BudgetID `json:"budget"`
	Tokens fleet.Tokens   `json:"tokens"`
}

// holders implements quota.Holders by the keepers among the entry nodes.
//
// # Why few nodes hold a budget
//
// A lease must bridge a partition of some seconds, and requests of 20,000 tokens are
// common. With 82 entry nodes a workspace that spends 80,000 tokens a second comes to each
// node once in ten seconds: leases of that size are mostly smaller than the next request,
// so that each request would wait for the control group, 230 a second, and half of the
// quota would lie where nobody asks for it. Eight holders have leases ten times as large.
// The other nodes draw from a holder for each request, which takes one round trip inside a
// region and goes on in a partition from the control group, in which the entry nodes still
// reach one another. What is drawn is spent for the ledger, and unused quota goes back to a
// holder in a message; if that is lost, the quota is lost to the workspace, as everything
// that errs here errs towards spending less.
type holders struct {
	server *Server
}

// Holds implements quota.Holders.
func (h holders) Holds(budget fleet.BudgetID) bool {
	return h.server.holds(budget)
}

func (s *Server) holds(budget fleet.BudgetID) bool {
	first := s.peers.set().Replicas(string(budget), holdersOfBudget)
	if len(first) < holdersOfBudget {
		return true
	}
	return slices.ContainsFunc(first, func(n keepers.Node) bool { return n.ID == s.cfg.Node })
}

// holdersOf returns a budget's holders, those of the own data centre first, and the others
// in an order that differs from node to node.
func (s *Server) holdersOf(budget fleet.BudgetID) []fleet.NodeID {
	first := s.peers.set().Replicas(string(budget), holdersOfBudget)
	var near, far []fleet.NodeID
	turn := s.turn
	for i := range first {
		n := first[(i+turn)%len(first)]
		switch {
		case n.ID == s.cfg.Node:
		case n.DataCentre == s.cfg.DataCentre:
			near = append(near, n.ID)
		default:
			far = append(far, n.ID)
		}
	}
	return slices.Concat(near, far)
}

// Draw implements quota.Holders.
func (h holders) Draw(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) quota.DrawResult {
	s := h.server
	drawn := quota.DrawResult{}
	asked := 0
	for node, address := range s.peers.reachable(s.holdersOf(budget)) {
		if asked++; asked > maxDraws || ctx.Err() != nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, drawTimeout)
		answer := DrawAnswer{}
		err := s.cfg.Peers.Call(call, address, MethodDraw, DrawRequest{
			Budget: budget,
			Wanted: wanted,
		}, &answer)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				s.peers.avoid(node, err)
			}
			s.countDraw("noAnswer")
			continue
		}
		drawn.Reached = true
		if answer.Tokens > 0 {
			s.countDraw("given")
			drawn.Tokens = answer.Tokens
			return drawn
		}
		s.countDraw("short")
		drawn.Short = &answer.Short
		if answer.Short.Exhausted {
			return drawn
		}
	}
	return drawn
}

func (s *Server) countDraw(outcome string) {
	s.cfg.Metrics.Count("draws", metrics.Label{
		Name:  "outcome",
		Value: outcome,
	})
}

// Return implements quota.Holders.
func (h holders) Return(budget fleet.BudgetID, amount fleet.Tokens) {
	s := h.server
	for _, address := range s.peers.reachable(s.holdersOf(budget)) {
		s.cfg.Peers.Send(address, MethodReturn, ReturnMessage{
			Budget: budget,
			Tokens: amount,
		})
		return
	}
	s.cfg.Log.Warn(event.QuotaLost).Str("budget", string(budget)).Int64("tokens", int64(amount)).Msg("quota that was not used could not be given back to a holder; it counts as spent")
}

// HandleDraw gives quota of this node's leases to another node.
func (s *Server) HandleDraw(ctx context.Context, _ fleet.NodeID, body []byte) (any, error) {
	request := DrawRequest{}
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	keeper := s.keeper.Load()
	if keeper == nil || request.Wanted <= 0 {
		return DrawAnswer{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawPatience)
	defer cancel()
	if short := keeper.ReserveOwn(ctx, request.Budget, request.Wanted); short != nil {
		return DrawAnswer{Short: *short}, nil
	}
	keeper.Release(request.Budget, request.Wanted, request.Wanted)
	return DrawAnswer{Tokens: request.Wanted}, nil
}

// HandleReturn takes quota back that another node drew and did not use.
func (s *Server) HandleReturn(from fleet.NodeID, body []byte) {
	m := ReturnMessage{}
	if err := wire.Decode(body, &m); err != nil {
		s.cfg.Log.Warn(event.PeerLost).Str("peer", string(from)).Err(err).Msg("quota that is given back cannot be read; it counts as spent")
		return
	}
	if keeper := s.keeper.Load(); keeper != nil && m.Tokens > 0 {
		keeper.AddReturned(m.Budget, m.Tokens)
	}
}
