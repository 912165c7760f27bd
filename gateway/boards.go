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
	"github.com/waxwingreel/waxwingreel/roster"
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
	// keeperPause keeps a node that did not answer from being asked: each request
	// would wait for it in vain.
	keeperPause = 700 * time.Millisecond
	// claimRounds is how many engines a request claims at most.
	claimRounds = 3
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

// boards are the board of this node and the way to those of others. It is safe for
// concurrent use.
type boards struct {
	node  fleet.NodeID
	link  Link
	nodes Caller
	log   *event.Log

	mu    sync.Mutex
	board *placement.Board
	// keepers and wires were worked out from the roster that begins at roster.
	roster  *roster.Report
	keepers placement.Keepers
	wires   map[fleet.NodeID]netip.AddrPort
	// avoided holds the nodes that did not answer, until when.
	avoided map[fleet.NodeID]time.Duration
}

func newBoards(cfg Config) *boards {
	return &boards{
		node:    cfg.Node,
		link:    cfg.Link,
		nodes:   cfg.Nodes,
		log:     cfg.Log,
		board:   placement.NewBoard(),
		wires:   map[fleet.NodeID]netip.AddrPort{},
		avoided: map[fleet.NodeID]time.Duration{},
	}
}

// keeper returns who keeps an engine's board. It reports false where nobody does, or where
// that node is not to be asked now.
func (b *boards) keeper(engine fleet.BackendServerID) (node fleet.NodeID, address netip.AddrPort, ok bool) {
	reports := b.link.Roster()
	if len(reports) == 0 {
		return "", address, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.roster != &reports[0] {
		b.learn(reports)
	}
	node = b.keepers.Of(engine)
	if node == "" || len(b.wires) < 2 || clock.Boot() < b.avoided[node] {
		return node, address, false
	}
	return node, b.wires[node], true
}

func (b *boards) learn(reports []roster.Report) {
	b.roster = &reports[0]
	b.wires = map[fleet.NodeID]netip.AddrPort{}
	var up []fleet.NodeID
	for _, report := range reports {
		if report.Callers.IsValid() && report.State == roster.StateUp {
			up = append(up, report.Holder.Node)
			b.wires[report.Holder.Node] = report.Wire
		}
	}
	b.keepers = placement.NewKeepers(up)
}

// claim claims an engine and returns what others have claimed. It reports false where no
// board told in time.
func (b *boards) claim(ctx context.Context, c placement.Claim) (others fleet.Tokens, ok bool) {
	node, address, ok := b.keeper(c.Engine)
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
			b.avoid(node, err)
		}
		return 0, false
	}
	return answer.Others, true
}

func (b *boards) avoid(node fleet.NodeID, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Boot()
	if now < b.avoided[node] {
		return
	}
	b.avoided[node] = now + keeperPause
	b.log.Info(event.BoardLost).
		Str("keeper", string(node)).
		Int64("pauseMillis", keeperPause.Milliseconds()).
		Err(err).
		Msg("a node does not tell of its boards; requests are placed without them")
}

// tell tells a board of a claim without waiting.
func (b *boards) tell(m BoardMessage) {
	node, address, ok := b.keeper(m.Claim.Engine)
	switch {
	case !ok:
	case node == b.node:
		b.enter(m)
	default:
		b.nodes.Send(address, MethodBoard, m)
	}
}

func (b *boards) enter(m BoardMessage) {
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

// HandleBoard takes in MethodBoard.
func (s *Server) HandleBoard(from fleet.NodeID, body []byte) {
	m := BoardMessage{}
	if err := wire.Decode(body, &m); err != nil {
		s.cfg.Log.Warn(event.BoardLost).Str("from", string(from)).Err(err).Msg("a message for a board cannot be read")
		return
	}
	s.boards.enter(m)
}

// choose chooses an instance. For a prompt it claims the engine on its board, and turns to
// another if what other nodes have claimed makes that the better one.
func (x *exchange) choose(ask placement.ForecastRequest) (placed *placement.Placed, listAge time.Duration, ok bool) {
	placed, listAge, ok = x.s.dispatch.pick(x.service.ID, ask, x.attempts+x.connects == 0)
	if !ok || x.service.Engine == nil || ask.Prompt == 0 {
		return placed, listAge, ok
	}
	for range claimRounds {
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
		x.s.boards.tell(BoardMessage{
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
	x.s.boards.tell(BoardMessage{Claim: claim})
	x.claimed = &claim
	return placed, listAge, true
}

func (x *exchange) claim(placed *placement.Placed) placement.Claim {
	return placement.Claim{
		Engine:  placed.Instance.ID,
		Node:    x.s.cfg.Node,
		Request: x.request.ID,
		Tokens:  placed.Uncached,
	}
}

// unclaim ends the claim of the present attempt: its prompt was read, or will not be.
func (x *exchange) unclaim() {
	if x.claimed == nil {
		return
	}
	x.s.boards.tell(BoardMessage{
		Claim: *x.claimed,
		Ended: true,
	})
	x.claimed = nil
}
