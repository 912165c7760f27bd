package placement

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// ClaimRounds is how many engines a node claims at most for one request. The one that it
// turns to last it claims without hearing of others.
const ClaimRounds = 3

// Figures of a Board.
const (
	// claimLife ends a claim whose node does not say that the first token came: it has
	// died, or its message was lost. Few prompts take longer to be read.
	claimLife = 2 * time.Second
	// maxClaims bounds the claims on one engine, beyond what an engine can queue.
	maxClaims = 1024
)

// Claim is a prompt that a node has an engine read.
type Claim struct {
	Engine fleet.BackendServerID `json:"engine"`
	// DataCentre is the engine's.
	DataCentre fleet.DataCentre  `json:"dataCentre,omitempty"`
	Node       fleet.NodeID      `json:"node"`
	Request    routing.RequestID `json:"request"`
	// Tokens are what the engine is expected to read of it, beyond its cache.
	Tokens fleet.Tokens `json:"tokens"`
}

// ClaimRegistry knows which prompts all nodes have an engine read at the moment, for the engines
// that this node keeps. It is not safe for concurrent use.
//
// # Why a board
//
// Each entry node knows its own prompts, and of the others' only what an engine said of
// its load with its last answer, some hundred milliseconds ago. So two nodes send long
// prompts to one engine in the same moment while the engine beside it is idle: in the
// simulator 5.8% of the digests come late with 8 nodes, 8.5% with 65, and 2.2% where one
// node decides for all (testdata/calm.txt). Telling every node of every prompt grows with
// the square of the nodes. So each engine has one node that keeps its board, found by hash
// (package keepers). A node claims an engine on the board and is told what others
// have claimed; if that makes another engine the better one, it turns to that. Two short
// messages a request, whatever the number of nodes, and a lost board costs only knowledge.
type ClaimRegistry struct {
	engines map[fleet.BackendServerID]map[claimKey]boardClaim
}

type claimKey struct {
	node    fleet.NodeID
	request routing.RequestID
}

type boardClaim struct {
	tokens fleet.Tokens
	at     time.Duration
}

// NewClaimRegistry returns an empty board.
func NewClaimRegistry() *ClaimRegistry {
	return &ClaimRegistry{engines: map[fleet.BackendServerID]map[claimKey]boardClaim{}}
}

// Claim enters a claim and returns what others have claimed of its engine.
func (b *ClaimRegistry) Claim(c Claim, now time.Duration) fleet.Tokens {
	claims, ok := b.engines[c.Engine]
	if !ok {
		claims = map[claimKey]boardClaim{}
		b.engines[c.Engine] = claims
	}
	others := fleet.Tokens(0)
	for key, claim := range claims {
		switch {
		case now-claim.at > claimLife:
			delete(claims, key)
		case key.node != c.Node:
			others += claim.tokens
		}
	}
	if len(claims) < maxClaims {
		claims[claimKey{
			node:    c.Node,
			request: c.Request,
		}] = boardClaim{
			tokens: c.Tokens,
			at:     now,
		}
	}
	return others
}

// Release ends a claim.
func (b *ClaimRegistry) Release(c Claim) {
	claims := b.engines[c.Engine]
	delete(claims, claimKey{
		node:    c.Node,
		request: c.Request,
	})
	if len(claims) == 0 {
		delete(b.engines, c.Engine)
	}
}
