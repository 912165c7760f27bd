package consensus

import (
	"testing"
	"time"
)

// TestLeaderKnowsWhatItHasNotApplied brings a leader to the moment between a message
// that commits its entry and the carrying out of it. It holds its lease then, but what
// it has carried out is older than what is committed.
func TestLeaderKnowsWhatItHasNotApplied(t *testing.T) {
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
	work := func(c *Core) {
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
			work(cores[m.To])
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
			work(c)
		}
		deliver()
	}
	l := leader()
	if l == nil {
		t.Fatal("got no leader")
	}
	for range 5 {
		deliver()
	}
	if !l.AppliedAll() {
		t.Fatal("got a leader at rest that has not applied all, want that it has")
	}
	if _, _, ok := l.Propose([]byte("x")); !ok {
		t.Fatal("the leader did not take a command")
	}
	work(l)
	seen := false
	for range 6 {
		batch := network
		network = nil
		for _, m := range batch {
			cores[m.To].Step(m, now)
			if cores[m.To] == l && !l.AppliedAll() && l.HoldsLease(now) {
				seen = true
			}
			work(cores[m.To])
		}
	}
	if !seen {
		t.Error("got no moment at which the leader knew of committed entries that it had not applied")
	}
	if !l.AppliedAll() {
		t.Error("got a leader that has not applied all in the end")
	}
}
