package consensus

import (
	"testing"
	"time"
)

// TestLeaderReportsUnappliedEntries checks that AppliedAll returns false between the
// message that commits an entry and the application of that entry. The leader holds
// its lease at that time, but a read from its state machine would be stale.
func TestLeaderReportsUnappliedEntries(t *testing.T) {
	members := Membership{Replicas: []Replica{
		{
			ID:    1,
			Node:  "a",
			Voter: true,
		},
		{
			ID:    2,
			Node:  "b",
			Voter: true,
		},
	}}
	cores := map[ReplicaID]*Core{}
	for _, m := range members.Replicas {
		cores[m.ID] = New(Config{
			ID:                m.ID,
			ElectionTimeout:   time.Second,
			HeartbeatInterval: 100 * time.Millisecond,
			Seed:              uint64(m.ID),
			HardState:         HardState{Term: 1},
			Snapshot: Snapshot{
				Index:      1,
				Term:       1,
				Membership: members,
			},
		})
	}
	now := time.Duration(0)
	var network []Message
	processOutput := func(c *Core) {
		out := c.Output()
		network = append(network, out.BeforeSync...)
		c.Persisted()
		network = append(network, out.AfterSync...)
	}
	deliver := func() {
		batch := network
		network = nil
		for _, m := range batch {
			cores[m.To].Step(m, now)
			processOutput(cores[m.To])
		}
	}
	leader := func() *Core {
		for _, c := range cores {
			if c.HoldsLease(now) {
				return c
			}
		}
		return nil
	}
	for leader() == nil && now < time.Minute {
		now += 20 * time.Millisecond
		for _, c := range cores {
			c.Tick(now)
			processOutput(c)
		}
		deliver()
	}
	current := leader()
	if current == nil {
		t.Fatal("no leader holds a lease after 1 minute")
	}
	for range 5 {
		deliver()
	}
	if !current.AppliedAll() {
		t.Fatal("idle leader has not applied all committed entries")
	}
	if _, _, ok := current.Propose([]byte("x")); !ok {
		t.Fatal("leader rejected a command")
	}
	processOutput(current)
	seen := false
	for range 6 {
		batch := network
		network = nil
		for _, m := range batch {
			cores[m.To].Step(m, now)
			if cores[m.To] == current && !current.AppliedAll() && current.HoldsLease(now) {
				seen = true
			}
			processOutput(cores[m.To])
		}
	}
	if !seen {
		t.Error("leader never reported a committed entry that was not yet applied")
	}
	if !current.AppliedAll() {
		t.Error("leader has not applied all committed entries at the end")
	}
}
