package consensus

import (
	"testing"
	"time"
)

// TestDelayedHeartbeatCountsAsFresh cuts a follower off while messages to it are in flight, lets
// the others commit more, and delivers the old messages late, as a connection does that repeats
// what was lost. They must not make the follower count as up to date. Guards against replicas that
// give out an old configuration as the newest.
func TestDelayedHeartbeatCountsAsFresh(t *testing.T) {
	c := newDirectCluster(3)
	for c.leader() == nil {
		c.tick()
		c.deliver(nil, func() {})
	}
	leader := c.leader()
	follower := ReplicaID(1)
	if leader.cfg.ID == follower {
		follower = 2
	}
	for range 20 {
		c.tick()
		c.deliver(nil, func() {})
	}
	c.tick()
	var delayed []Message
	for _, m := range c.network {
		if m.To == follower {
			delayed = append(delayed, m)
		}
	}
	cut := []ReplicaID{follower}
	c.deliver(cut, func() {})
	sent := c.now
	if _, _, ok := leader.Propose([]byte("newer")); !ok {
		t.Fatal("the leader takes no command")
	}
	c.collect(leader)
	for c.now-sent <= 2*uptodateWithin {
		c.deliver(cut, func() {})
		c.tick()
	}
	if len(delayed) == 0 {
		t.Fatal("no message was in flight")
	}
	core := c.cores[follower]
	for _, m := range delayed {
		m.Term = max(m.Term, core.Term())
		core.Step(m, c.now)
		c.collect(core)
	}
	if core.UpToDate(c.now, uptodateWithin) {
		t.Errorf("got a replica up to date by messages sent %s ago, want it not up to date after %s", (c.now - sent).Round(time.Millisecond), uptodateWithin)
	}
}

// stripStamps removes the stamps from the messages in flight from and to a replica, as a version
// that does not know them sends none and reads none.
func (c *directCluster) stripStamps(old ReplicaID) {
	for i := range c.network {
		if m := &c.network[i]; m.From == old || m.To == old {
			m.Stamp, m.Echo = 0, 0
		}
	}
}

// TestReplicasOfOldVersionAreUpToDate runs groups in which one replica, or none, is of a version
// without stamps. All must count as up to date. Guards against a rolling upgrade that leaves the
// entry nodes without a replica.
func TestReplicasOfOldVersionAreUpToDate(t *testing.T) {
	for old := range ReplicaID(4) {
		c := newDirectCluster(3)
		for range 100 {
			c.tick()
			c.stripStamps(old)
			c.deliver(nil, func() { c.stripStamps(old) })
		}
		for id, core := range c.cores {
			if !core.UpToDate(c.now, uptodateWithin) {
				t.Errorf("with replica %d of an old version: got replica %d not up to date", old, id)
			}
		}
	}
}
