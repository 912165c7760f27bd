package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// shareOfLimit is the part of a limit that all nodes without an owner may use together.
const shareOfLimit = 0.5

// Share holds a node that cannot reach the owners of limited instances to its part of the limits.
// It is not safe for concurrent use.
type Share struct {
	rng     *rand.Rand
	buckets map[fleet.BackendServerID]*bucket
	// coldUntil is until when the instance of a bucket is cold.
	coldUntil map[fleet.BackendServerID]time.Duration
}

// NewShare returns a share that was not used yet.
func NewShare(seed uint64) *Share {
	return &Share{
		rng:       rand.New(rand.NewPCG(seed, 4)),
		buckets:   map[fleet.BackendServerID]*bucket{},
		coldUntil: map[fleet.BackendServerID]time.Duration{},
	}
}

// Take reports whether one request may be sent to an instance of which the node knows r, and otherwise
// when to try again.
func (s *Share) Take(r Report, nodes int, now time.Duration) (wait time.Duration, granted bool) {
	id := r.Instance
	b, ok := s.buckets[id]
	if r.Cold != nil {
		// What accumulated since the instance was cold before would come from all nodes at once.
		ok = ok && (r.Limit != nil || now < s.coldUntil[id])
		s.coldUntil[id] = max(s.coldUntil[id], now+time.Duration(r.Cold.ForMillis)*time.Millisecond)
	}
	if !ok {
		// Nodes that lose the owner together must not all send a request at once.
		b = &bucket{
			tokens: s.rng.Float64(),
			at:     now,
		}
		s.buckets[id] = b
	}
	rate := max(r.Rate(), probeRate) * shareOfLimit / routing.Rate(max(nodes, 1))
	b.fill(rate, 1, now)
	if b.take() {
		return 0, true
	}
	return min(max(b.wait(rate), minWait), maxWait), false
}

// Reset forgets an instance whose owner is in reach.
func (s *Share) Reset(id fleet.BackendServerID) {
	delete(s.buckets, id)
	delete(s.coldUntil, id)
}
