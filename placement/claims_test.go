package placement

import (
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// claim returns a claim on engine e.
func claim(node fleet.NodeID, request string, tokens fleet.Tokens) Claim {
	return Claim{
		Engine:  "e",
		Node:    node,
		Request: routing.RequestID(request),
		Tokens:  tokens,
	}
}

func TestClaimReturnsTokensClaimedByOtherNodes(t *testing.T) {
	r := NewClaimRegistry()
	if got := r.Claim(claim("n1", "a", 100), 0); got != 0 {
		t.Errorf("got %d claimed by others in an empty registry, want 0", got)
	}
	r.Claim(claim("n1", "b", 20), 0)
	if got := r.Claim(claim("n2", "c", 5), time.Millisecond); got != 120 {
		t.Errorf("got %d claimed by others, want 120", got)
	}
	if got := r.Claim(claim("n1", "a", 100), time.Millisecond); got != 5 {
		t.Errorf("got %d claimed by others when a node repeats its claim, want 5", got)
	}
	r.Release(claim("n1", "a", 0))
	if got := r.Claim(claim("n2", "d", 1), time.Millisecond); got != 20 {
		t.Errorf("got %d claimed by others after a release, want 20", got)
	}
	if got := r.Claim(claim("n3", "e", 1), claimTTL+2*time.Millisecond); got != 0 {
		t.Errorf("got %d claimed by others after the claims expired, want 0", got)
	}
}
