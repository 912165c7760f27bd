package placement

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// ClaimRounds bounds the rounds in which a node claims an engine for a request and compares
// it with what other nodes have claimed. The engine chosen in the last round is claimed
// without waiting for the response.
const ClaimRounds = 3

const (
	// claimTTL expires a claim that its node has not released at the first token, because
	// the node failed or its message was lost. Few prompts take longer to prefill.
	claimTTL = 2 * time.Second
	// maxClaimsPerEngine is higher than the number of requests that an engine can queue.
	maxClaimsPerEngine = 1024
)

// Claim announces a prompt that a node sends to an engine for prefill.
type Claim struct {
	Engine fleet.BackendServerID `json:"engine"`
	// DataCentre is the data centre of the engine.
	DataCentre fleet.DataCentre  `json:"dataCentre,omitempty"`
	Node       fleet.NodeID      `json:"node"`
	Request    routing.RequestID `json:"request"`
	// Tokens is the expected number of prompt tokens that are not in the engine's cache.
	Tokens fleet.Tokens `json:"tokens"`
}

// ClaimRegistry tracks the prompts of all nodes that are in prefill, for the engines that
// this node owns (package ownership). It is not safe for concurrent use.
//
// # Why claims are registered
//
// An entry node has exact data only on its own prompts. The prompts of other nodes appear only
// in the load that the engine reported with its last response, some hundred milliseconds ago.
// So two nodes can send long prompts to one engine at the same time while another engine is
// idle: in the simulator 5.8% of the digest requests are late with 8 nodes, 8.5% with 65, and
// 2.2% if one node decides for all (simulator/testdata/calm.txt). Broadcasting every prompt to
// every node would take messages in proportion to the square of the number of nodes. Instead,
// each engine has an owner, a node chosen by hash, which keeps the registry of its claims. A
// node claims an engine at its owner and receives the tokens that other nodes have claimed
// there. If that makes another engine the better choice, it claims that one. This takes two
// short messages for each claim, whatever the number of nodes. If a registry is lost, only the
// choices get worse.
type ClaimRegistry struct {
	engines map[fleet.BackendServerID]map[claimKey]claimEntry
}

type claimKey struct {
	node    fleet.NodeID
	request routing.RequestID
}

type claimEntry struct {
	tokens    fleet.Tokens
	claimedAt time.Duration
}

// NewClaimRegistry returns an empty registry.
func NewClaimRegistry() *ClaimRegistry {
	return &ClaimRegistry{engines: map[fleet.BackendServerID]map[claimKey]claimEntry{}}
}

// Claim records a claim and returns the tokens that other nodes have claimed on the engine.
func (r *ClaimRegistry) Claim(c Claim, now time.Duration) fleet.Tokens {
	claims, ok := r.engines[c.Engine]
	if !ok {
		claims = map[claimKey]claimEntry{}
		r.engines[c.Engine] = claims
	}
	others := fleet.Tokens(0)
	for key, claim := range claims {
		switch {
		case now-claim.claimedAt > claimTTL:
			delete(claims, key)
		case key.node != c.Node:
			others += claim.tokens
		}
	}
	if len(claims) < maxClaimsPerEngine {
		claims[claimKey{
			node:    c.Node,
			request: c.Request,
		}] = claimEntry{
			tokens:    c.Tokens,
			claimedAt: now,
		}
	}
	return others
}

// Release removes a claim.
func (r *ClaimRegistry) Release(c Claim) {
	claims := r.engines[c.Engine]
	delete(claims, claimKey{
		node:    c.Node,
		request: c.Request,
	})
	if len(claims) == 0 {
		delete(r.engines, c.Engine)
	}
}
