package control

import (
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestReplicaBehindItsSubscriberIsStale guards against a subscriber that has a later configuration
// than the replica to which it turns: whatever the replica knows of its leader, it is behind.
func TestReplicaBehindItsSubscriberIsStale(t *testing.T) {
	machine, err := stateMachineFromSnapshot(nil)
	if err != nil {
		t.Fatal(err)
	}
	machine.routing.Config.Version = 29
	// A single voter becomes the leader and is up to date.
	r := &Replica{
		machine: machine,
		core: consensus.New(consensus.Config{
			ID:                1,
			ElectionTimeout:   time.Second,
			HeartbeatInterval: 100 * time.Millisecond,
			Snapshot: consensus.Snapshot{
				Index:      1,
				Term:       1,
				Membership: consensus.Membership{Replicas: []consensus.Replica{{ID: 1, Voter: true}}},
			},
		}),
	}
	now := 10 * time.Second
	r.core.Tick(now)
	r.core.Output()
	r.core.Persisted()
	for version, want := range map[routing.Version]bool{
		28: false,
		29: false,
		43: true,
	} {
		if got := r.staleFor(&subscriber{routingVersion: version}, now); got != want {
			t.Errorf("got stale %t for a subscriber with configuration %d, want %t", got, version, want)
		}
	}
}
