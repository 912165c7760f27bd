package consensus

import "testing"

// TestNewLeaderProvesWhatItHasNotApplied guards against a new leader whose subscribers count an older configuration as
// the newest: it has the entries that its predecessor acknowledged, but applies them only once one of its own term is
// committed.
func TestNewLeaderProvesWhatItHasNotApplied(t *testing.T) {
	c := newDirectCluster(3)
	for c.leader() == nil {
		c.tick()
		c.deliver(nil, func() {})
	}
	killed := c.leader()
	acknowledged, _, _ := killed.Propose([]byte("x"))
	c.collect(killed)
	c.deliver(nil, func() {})
	if killed.applied < acknowledged {
		t.Fatalf("got entry %d applied by the leader, want %d", killed.applied, acknowledged)
	}
	delete(c.cores, killed.cfg.ID)
	check := func(core *Core) {
		if core.role == RoleLeader && core.UpToDate(c.now, uptodateWithin) && core.applied < acknowledged {
			t.Fatalf("got a new leader that is up to date with entry %d, but %d was acknowledged", core.applied, acknowledged)
		}
	}
	for c.leader() == nil {
		c.tick()
		for len(c.network) > 0 {
			m := c.network[0]
			c.network = c.network[1:]
			if core := c.cores[m.To]; core != nil {
				core.Step(m, c.now)
				// Subscribers are served between the messages that are handled together.
				check(core)
				c.collect(core)
				check(core)
			}
		}
	}
	if leader := c.leader(); !leader.UpToDate(c.now, uptodateWithin) {
		t.Errorf("got a leader that has applied entry %d and is not up to date", leader.applied)
	}
}
