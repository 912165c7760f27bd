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
	// MethodClaimUpdate tells a board of a claim that needs no answer, or of one that has
	// ended. The message is a BoardMessage.
	MethodClaimUpdate wire.Method = "board"
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

// ClaimUpdate is a claim that holds, or that has ended.
type ClaimUpdate struct {
	Claim placement.Claim `json:"claim"`
	Ended bool            `json:"ended,omitempty"`
}

// boards are the board of this node and the way to those of others. It is safe for
// concurrent use.
type boards struct {
	node  fleet.NodeID
	peers *peers
	nodes PeerClient

	mu    sync.Mutex
	board *placement.ClaimRegistry
}

func newBoards(cfg Config, p *peers) *boards {
	return &boards{
		node:  cfg.Node,
		peers: p,
		nodes: cfg.Peers,
		board: placement.NewClaimRegistry(),
	}
}

// keeper returns who keeps an engine's board. It reports false where nobody does, or where
// that node is not to be asked now.
func (b *boards) keeper(engine fleet.BackendServerID, dataCentre fleet.DataCentre) (node fleet.NodeID, address netip.AddrPort, ok bool) {
	node = b.peers.set().Keeper(string(engine), dataCentre)
	address, ok = b.peers.address(node)
	return node, address, ok
}

// claim claims an engine and returns what others have claimed. It reports false where no
// board told in time.
func (b *boards) claim(ctx context.Context, c placement.Claim) (others fleet.Tokens, ok bool) {
	node, address, ok := b.keeper(c.Engine, c.DataCentre)
	if !ok {
		return 0, false
	}
	if node == b.node {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.board.Claim(c, clock.Boot()), true
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer := ClaimAnswer{}
	if err := b.nodes.Call(call, address, MethodClaim, c, &answer); err != nil {
		if ctx.Err() == nil {
			b.peers.avoid(node, err)
		}
		return 0, false
	}
	return answer.Others, true
}

// tell tells a board of a claim without waiting.
func (b *boards) tell(m ClaimUpdate) {
	node, address, ok := b.keeper(m.Claim.Engine, m.Claim.DataCentre)
	switch {
	case !ok:
	case node == b.node:
		b.enter(m)
	default:
		b.nodes.Send(address, MethodClaimUpdate, m)
	}
}

func (b *boards) enter(m ClaimUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Ended {
		b.board.Release(m.Claim)
		return
	}
	b.board.Claim(m.Claim, clock.Boot())
}

// HandleClaim answers MethodClaim.
func (s *Server) HandleClaim(_ context.Context, _ fleet.NodeID, body []byte) (any, error) {
	c := placement.Claim{}
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	s.boards.mu.Lock()
	defer s.boards.mu.Unlock()
	return ClaimAnswer{Others: s.boards.board.Claim(c, clock.Boot())}, nil
}

// HandleClaimUpdate takes in MethodBoard.
func (s *Server) HandleClaimUpdate(from fleet.NodeID, body []byte) {
	m := ClaimUpdate{}
	if err := wire.Decode(body, &m); err != nil {
		s.cfg.Log.Warn(event.PeerLost).Str("from", string(from)).Err(err).Msg("a message for a board cannot be read")
		return
	}
	s.boards.enter(m)
}

// choose chooses an instance. For a prompt it claims the engine on its board, and turns to
// another if what other nodes have claimed makes that the better one.
func (x *exchange) choose(ask placement.ForecastRequest) (placed *placement.Assignment, listAge time.Duration, ok bool) {
	placed, listAge, ok = x.s.dispatch.pick(x.service.ID, ask, x.attempts+x.connects == 0)
	if !ok || x.service.Engine == nil || ask.Prompt == 0 {
		return placed, listAge, ok
	}
	for range placement.ClaimRounds {
		claim := x.claim(placed)
		others, told := x.s.boards.claim(x.ctx, claim)
		if !told {
			return placed, listAge, true
		}
		next, found := x.s.dispatch.reconsider(x.service.ID, placed, ask, others)
		if found && next.Instance.ID == claim.Engine {
			x.claimed = &claim
			return next, listAge, true
		}
		x.s.boards.tell(ClaimUpdate{
			Claim: claim,
			Ended: true,
		})
		if !found {
			return nil, listAge, false
		}
		placed = next
		x.moves++
	}
	claim := x.claim(placed)
	x.s.boards.tell(ClaimUpdate{Claim: claim})
	x.claimed = &claim
	return placed, listAge, true
}

func (x *exchange) claim(placed *placement.Assignment) placement.Claim {
	return placement.Claim{
		Engine:     placed.Instance.ID,
		DataCentre: placed.Instance.DataCentre,
		Node:       x.s.cfg.Node,
		Request:    x.request.ID,
		Tokens:     placed.Uncached,
	}
}

// unclaim ends the claim of the present attempt: its prompt was read, or will not be.
func (x *exchange) unclaim() {
	if x.claimed == nil {
		return
	}
	x.s.boards.tell(ClaimUpdate{
		Claim: *x.claimed,
		Ended: true,
	})
	x.claimed = nil
}
