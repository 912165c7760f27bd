package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/wire"
)

const (
	// MethodClaim claims an engine on its board. The request is a placement.Claim,
	// the answer a ClaimAnswer.
	MethodClaim wire.Method = "claim"
	// MethodBoard tells a board of a claim that needs no answer, or of one that has
	// ended. The message is a BoardMessage.
	MethodBoard wire.Method = "board"
)

const (
	// claimTimeout is several round trips inside a region. A board that takes longer
	// is not worth the wait.
	claimTimeout = 15 * time.Millisecond
)

// ClaimAnswer says what others have claimed of the engine.
type ClaimAnswer struct {
	Others fleet.Tokens `json:"others"`
}

// BoardMessage is a claim that holds, or that has ended.
type BoardMessage struct {
	Claim placement.Claim `json:"claim"`
	Ended bool            `json:"ended,omitempty"`
}

// claimRegistry are the board of this node and the way to those of others. It is safe for
// concurrent use.
type claimRegistry struct {
	node  fleet.NodeID
	peers *peers
	peerClient Caller

	mu    sync.Mutex
	local *placement.Board
}

func newClaimRegistry(cfg Config, p *peers) *claimRegistry {
	return &claimRegistry{
		node:  cfg.Node,
		peers: p,
		peerClient: cfg.Nodes,
		local: placement.NewBoard(),
	}
}

// coordinator returns who keeps an engine's board. It reports false where nobody does, or where
// that node is not to be asked now.
func (b *claimRegistry) coordinator(engine fleet.BackendServerID, dataCentre fleet.DataCentre) (node fleet.NodeID, address netip.AddrPort, ok bool) {
	node = b.peers.coordinatorSet().Of(string(engine), dataCentre)
	address, ok = b.peers.address(node)
	return node, address, ok
}

// claim claims an engine and returns what others have claimed. It reports false where no
// board told in time.
func (b *claimRegistry) claim(ctx context.Context, c placement.Claim) (others fleet.Tokens, ok bool) {
	node, address, ok := b.coordinator(c.Engine, c.DataCentre)
	if !ok {
		return 0, false
	}
	if node == b.node {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.local.Claim(c, clock.Boot()), true
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer := ClaimAnswer{}
	if err := b.peerClient.Call(call, address, MethodClaim, c, &answer); err != nil {
		if ctx.Err() == nil {
			b.peers.markUnresponsive(node, err)
		}
		return 0, false
	}
	return answer.Others, true
}

// sendUpdate tells a board of a claim without waiting.
func (b *claimRegistry) sendUpdate(m BoardMessage) {
	node, address, ok := b.coordinator(m.Claim.Engine, m.Claim.DataCentre)
	switch {
	case !ok:
	case node == b.node:
		b.apply(m)
	default:
		b.peerClient.Send(address, MethodBoard, m)
	}
}

func (b *claimRegistry) apply(m BoardMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Ended {
		b.local.Release(m.Claim)
		return
	}
	b.local.Claim(m.Claim, clock.Boot())
}

// HandleClaim answers MethodClaim.
func (s *Server) HandleClaim(_ context.Context, _ fleet.NodeID, body []byte) (any, error) {
	c := placement.Claim{}
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	return ClaimAnswer{Others: s.claims.local.Claim(c, clock.Boot())}, nil
}

// HandleBoard takes in MethodBoard.
func (s *Server) HandleBoard(from fleet.NodeID, body []byte) {
	m := BoardMessage{}
	if err := wire.Decode(body, &m); err != nil {
		s.cfg.Log.Warn(event.PeerLost).Str("from", string(from)).Err(err).Msg("a message for a board cannot be read")
		return
	}
	s.claims.apply(m)
}

// chooseInstance chooses an instance. For a prompt it claims the engine on its board, and turns to
// another if what other nodes have claimed makes that the better one.
func (x *exchange) chooseInstance(ask placement.ForecastRequest) (placed *placement.Placed, listAge time.Duration, ok bool) {
	placed, listAge, ok = x.s.dispatch.pick(x.service.ID, ask, x.attempts+x.failedConnects == 0)
	if !ok || x.service.Engine == nil || ask.Prompt == 0 {
		return placed, listAge, ok
	}
	for range placement.ClaimRounds {
		claim := x.newClaim(placed)
		others, told := x.s.claims.claim(x.ctx, claim)
		if !told {
			return placed, listAge, true
		}
		next, found := x.s.dispatch.reconsider(x.service.ID, placed, ask, others)
		if found && next.Instance.ID == claim.Engine {
			x.activeClaim = &claim
			return next, listAge, true
		}
		x.s.claims.sendUpdate(BoardMessage{
			Claim: claim,
			Ended: true,
		})
		if !found {
			return nil, listAge, false
		}
		placed = next
		x.reassignments++
	}
	claim := x.newClaim(placed)
	x.s.claims.sendUpdate(BoardMessage{Claim: claim})
	x.activeClaim = &claim
	return placed, listAge, true
}

func (x *exchange) newClaim(placed *placement.Placed) placement.Claim {
	return placement.Claim{
		Engine:     placed.Instance.ID,
		DataCentre: placed.Instance.DataCentre,
		Node:       x.s.cfg.Node,
		Request:    x.request.ID,
		Tokens:     placed.Uncached,
	}
}

// releaseClaim ends the claim of the present attempt: its prompt was read, or will not be.
func (x *exchange) releaseClaim() {
	if x.activeClaim == nil {
		return
	}
	x.s.claims.sendUpdate(BoardMessage{
		Claim: *x.activeClaim,
		Ended: true,
	})
	x.activeClaim = nil
}
