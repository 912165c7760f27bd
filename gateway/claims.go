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
	// MethodClaim claims an engine at the engine's owner, the node that registers the claims
	// of all nodes on it. The request is a placement.Claim, the response a ClaimResponse.
	MethodClaim wire.Method = "claim"
	// MethodClaimUpdate reports a claim that needs no response, or the end of a claim. The
	// message is a ClaimUpdate.
	MethodClaimUpdate wire.Method = "board"
)

const (
	// claimTimeout allows several round trips inside a region. Placing without the response
	// is better than a longer wait.
	claimTimeout = 15 * time.Millisecond
)

// ClaimResponse has the prompt tokens that other nodes have claimed on the engine.
type ClaimResponse struct {
	Others fleet.Tokens `json:"others"`
	// Speeds are estimates of engines' speeds, that of the claimed one among them.
	Speeds []placement.SpeedReport `json:"speeds,omitempty"`
}

// ClaimUpdate reports a new claim, or the end of one.
type ClaimUpdate struct {
	Claim placement.Claim `json:"claim"`
	Ended bool            `json:"ended,omitempty"`
	// Sample is what the first byte has told of the engine's speed, nil if nothing.
	Sample *placement.SpeedSample `json:"sample,omitempty"`
}

// claimRegistry registers the claims on the engines that this node owns, and sends claims on
// other engines to their owners. It is safe for concurrent use.
type claimRegistry struct {
	node       fleet.NodeID
	peers      *peers
	peerClient PeerClient

	mu    sync.Mutex
	local *placement.ClaimRegistry
	// speeds has the estimates of the engines that this node owns, and of others as their owners told.
	speeds placement.Speeds
	log    *event.Log
}

func newClaimRegistry(cfg Config, p *peers) *claimRegistry {
	return &claimRegistry{
		node:       cfg.Node,
		peers:      p,
		peerClient: cfg.Peers,
		local:      placement.NewClaimRegistry(),
		log:        cfg.Log,
	}
}

// owner returns the node that registers the claims on an engine. It returns false if there
// is none, or if that node may not be called now.
func (r *claimRegistry) owner(engine fleet.BackendServerID, dataCentre fleet.DataCentre) (node fleet.NodeID, address netip.AddrPort, ok bool) {
	node = r.peers.ownerSet().Owner(string(engine), dataCentre)
	address, ok = r.peers.address(node)
	return node, address, ok
}

// claim claims an engine and returns what its owner answers. It returns false if the owner did not respond
// in time.
func (r *claimRegistry) claim(ctx context.Context, c placement.Claim) (response ClaimResponse, ok bool) {
	node, address, ok := r.owner(c.Engine, c.DataCentre)
	if !ok {
		return ClaimResponse{}, false
	}
	if node == r.node {
		return r.register(c), true
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := r.peerClient.Call(callCtx, address, MethodClaim, c, &response); err != nil {
		if ctx.Err() == nil {
			r.peers.markUnresponsive(node, err)
		}
		return ClaimResponse{}, false
	}
	r.learnSpeeds(response.Speeds)
	return response, true
}

// register registers a claim on an engine that this node owns.
func (r *claimRegistry) register(c placement.Claim) ClaimResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.SinceBoot()
	return ClaimResponse{
		Others: r.local.Claim(c, now),
		Speeds: r.speeds.Some(c.Engine, placement.SpeedsPassedOn, now),
	}
}

// sendUpdate sends a claim or its end to the engine's owner without waiting.
func (r *claimRegistry) sendUpdate(m ClaimUpdate) {
	node, address, ok := r.owner(m.Claim.Engine, m.Claim.DataCentre)
	switch {
	case !ok:
	case node == r.node:
		r.apply(m)
	default:
		r.peerClient.Send(address, MethodClaimUpdate, m)
	}
}

// apply applies an update to the claims on an engine that this node owns.
func (r *claimRegistry) apply(m ClaimUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Ended {
		r.local.Release(m.Claim)
		r.observeSpeed(m)
		return
	}
	r.local.Claim(m.Claim, clock.SinceBoot())
}

// HandleClaim handles MethodClaim.
func (s *Server) HandleClaim(_ context.Context, _ fleet.NodeID, body []byte) (any, error) {
	c := placement.Claim{}
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	return s.claims.register(c), nil
}

// HandleClaimUpdate handles MethodClaimUpdate.
func (s *Server) HandleClaimUpdate(from fleet.NodeID, body []byte) {
	m := ClaimUpdate{}
	if err := wire.Decode(body, &m); err != nil {
		s.cfg.Log.Warn(event.PeerLost).Str("from", string(from)).Err(err).Msg("cannot decode claim update")
		return
	}
	s.claims.apply(m)
}

// claimInstance chooses an instance. For a prompt it claims the engine at its owner, and chooses
// again if the claims of other nodes make another engine the better choice.
func (x *exchange) claimInstance(request placement.ForecastRequest) (placed *placement.Assignment, listAge time.Duration, ok bool) {
	placed, listAge, ok = x.s.dispatch.pick(x.service.ID, request, !x.counted)
	x.counted = true
	if !ok || x.service.Engine == nil || request.Prompt == 0 {
		return placed, listAge, ok
	}
	for range placement.ClaimRounds {
		claim := x.newClaim(placed)
		response, responded := x.s.claims.claim(x.ctx, claim)
		if !responded {
			return placed, listAge, true
		}
		next, found := x.s.dispatch.reconsider(x.service.ID, placed, request, response)
		if found && next.Instance.ID == claim.Engine {
			x.activeClaim = &claim
			return next, listAge, true
		}
		x.s.claims.sendUpdate(ClaimUpdate{
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
	x.s.claims.sendUpdate(ClaimUpdate{Claim: claim})
	x.activeClaim = &claim
	return placed, listAge, true
}

// newClaim returns the claim for a placed prompt.
func (x *exchange) newClaim(placed *placement.Assignment) placement.Claim {
	return placement.Claim{
		Engine:     placed.Instance.ID,
		DataCentre: placed.Instance.DataCentre,
		Node:       x.s.cfg.Node,
		Request:    x.request.ID,
		Tokens:     placed.Uncached,
	}
}

// releaseClaim ends the claim of the current attempt, if any: the engine has processed
// the prompt, or will not do so.
func (x *exchange) releaseClaim() {
	if x.activeClaim == nil {
		return
	}
	x.s.claims.sendUpdate(ClaimUpdate{
		Claim:  *x.activeClaim,
		Ended:  true,
		Sample: x.speedSample,
	})
	x.activeClaim = nil
}
