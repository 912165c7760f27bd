package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/metrics"
	"github.com/waxwingreel/waxwingreel/ownership"
	"github.com/waxwingreel/waxwingreel/quota"
	"github.com/waxwingreel/waxwingreel/wire"
)

const (
	// MethodDraw asks a holder for quota. The request is a DrawRequest, the response a
	// DrawResponse.
	MethodDraw wire.Method = "draw"
	// MethodReturn returns unused drawn quota to a holder. The message is a
	// ReturnMessage.
	MethodReturn wire.Method = "return"
)

const (
	// holdersPerBudget is the number of nodes that hold each budget's quota. In a fleet
	// with no more nodes than this, all nodes hold it.
	holdersPerBudget = 8
	// drawTimeout limits one draw call. drawLedgerTimeout limits the holder's own wait
	// for the ledger; it is shorter, so that the holder always responds in time and is not
	// taken for unresponsive.
	drawTimeout       = 150 * time.Millisecond
	drawLedgerTimeout = 100 * time.Millisecond
	// maxDrawHolders limits the holders that are called for one request.
	maxDrawHolders = 3
)

// DrawRequest asks for quota of a budget.
type DrawRequest struct {
	Budget fleet.BudgetID `json:"budget"`
	Wanted fleet.Tokens   `json:"wanted"`
}

// DrawResponse has the tokens drawn, either all that were wanted or none. If none, Shortage is
// the reason.
type DrawResponse struct {
	Tokens   fleet.Tokens   `json:"tokens,omitempty"`
	Shortage quota.Shortage `json:"short,omitzero"`
}

// ReturnMessage returns drawn quota that was not used.
type ReturnMessage struct {
	Budget fleet.BudgetID `json:"budget"`
	Tokens fleet.Tokens   `json:"tokens"`
}

// quotaHolders implements quota.Holders with calls to the holders among the entry nodes.
//
// # Why few nodes hold a budget
//
// A lease must bridge a partition from the control group of some seconds, and requests of
// 20,000 tokens are common. With 82 entry nodes, a workspace that spends 80,000 tokens a
// second has a request at each node about every ten seconds. If every node had a lease,
// most leases would be smaller than the next request. Each request would wait for the
// control group, at 230 requests a second, and half of the quota would be idle on nodes
// without demand.
//
// With eight holders the leases are ten times as large. The other nodes draw quota from a
// holder for each request. This takes one round trip inside a region, and works during a
// partition from the control group in which the entry nodes still reach one another. The
// ledger counts drawn quota as spent. Unused quota returns to a holder in a message. If
// that message is lost, the workspace loses the quota: all errors are on the side of
// spending less.
type quotaHolders struct {
	server *Server
}

// Holds implements quota.Holders.
func (h quotaHolders) Holds(budget fleet.BudgetID) bool {
	return h.server.holdsBudget(budget)
}

// holdsBudget reports whether this node is one of a budget's holders.
func (s *Server) holdsBudget(budget fleet.BudgetID) bool {
	owners := s.peers.ownerSet().Owners(string(budget), holdersPerBudget)
	if len(owners) < holdersPerBudget {
		return true
	}
	return slices.ContainsFunc(owners, func(n ownership.Node) bool { return n.ID == s.cfg.Node })
}

// holdersOf returns the other nodes that hold a budget, those in this node's data centre
// first. Each node is meant to start at another holder, but holderOffset is always 0 at
// present.
func (s *Server) holdersOf(budget fleet.BudgetID) []fleet.NodeID {
	owners := s.peers.ownerSet().Owners(string(budget), holdersPerBudget)
	var near, far []fleet.NodeID
	offset := s.holderOffset
	for i := range owners {
		n := owners[(i+offset)%len(owners)]
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
func (h quotaHolders) Draw(ctx context.Context, budget fleet.BudgetID, wanted fleet.Tokens) quota.DrawResult {
	s := h.server
	drawn := quota.DrawResult{}
	asked := 0
	for node, address := range s.peers.reachable(s.holdersOf(budget)) {
		if asked++; asked > maxDrawHolders || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, drawTimeout)
		response := DrawResponse{}
		err := s.cfg.Peers.Call(callCtx, address, MethodDraw, DrawRequest{
			Budget: budget,
			Wanted: wanted,
		}, &response)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				s.peers.markUnresponsive(node, err)
			}
			s.countDraw("noAnswer")
			continue
		}
		drawn.Reached = true
		if response.Tokens > 0 {
			s.countDraw("given")
			drawn.Tokens = response.Tokens
			return drawn
		}
		s.countDraw("short")
		drawn.Shortage = &response.Shortage
		if response.Shortage.Exhausted {
			return drawn
		}
	}
	return drawn
}

// countDraw counts one holder's response to a draw.
func (s *Server) countDraw(outcome string) {
	s.cfg.Metrics.Count("draws", metrics.Label{
		Name:  "outcome",
		Value: outcome,
	})
}

// CanReturn implements quota.Holders.
func (h quotaHolders) CanReturn(budget fleet.BudgetID) bool {
	for range h.server.peers.reachable(h.server.holdersOf(budget)) {
		return true
	}
	return false
}

// Return implements quota.Holders.
func (h quotaHolders) Return(budget fleet.BudgetID, amount fleet.Tokens) {
	s := h.server
	for _, address := range s.peers.reachable(s.holdersOf(budget)) {
		s.cfg.Peers.Send(address, MethodReturn, ReturnMessage{
			Budget: budget,
			Tokens: amount,
		})
		return
	}
	s.cfg.Log.Warn(event.QuotaLost).Str("budget", string(budget)).Int64("tokens", int64(amount)).Msg("unused quota not returned: no holder of the budget can be reached; it counts as spent")
}

// HandleDraw handles MethodDraw: another node draws quota from this node's leases.
func (s *Server) HandleDraw(ctx context.Context, _ fleet.NodeID, body []byte) (any, error) {
	request := DrawRequest{}
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	quotaManager := s.quotaManager.Load()
	if quotaManager == nil || request.Wanted <= 0 {
		return DrawResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawLedgerTimeout)
	defer cancel()
	if shortage := quotaManager.ReserveOwn(ctx, request.Budget, request.Wanted); shortage != nil {
		return DrawResponse{Shortage: *shortage}, nil
	}
	quotaManager.Release(request.Budget, request.Wanted, request.Wanted)
	return DrawResponse{Tokens: request.Wanted}, nil
}

// HandleReturn handles MethodReturn: another node returns quota that it drew and did not
// use.
func (s *Server) HandleReturn(from fleet.NodeID, body []byte) {
	m := ReturnMessage{}
	if err := wire.Decode(body, &m); err != nil {
		s.cfg.Log.Warn(event.PeerLost).Str("peer", string(from)).Err(err).Msg("cannot decode message that returns unused quota; the quota counts as spent")
		return
	}
	if quotaManager := s.quotaManager.Load(); quotaManager != nil && m.Tokens > 0 {
		quotaManager.AddReturned(m.Budget, m.Tokens)
	}
}
