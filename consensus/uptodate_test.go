package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// uptodateWithin is the age of the leader's messages up to which a replica may be up to date.
const uptodateWithin = 1500 * time.Millisecond

// directCluster delivers messages one by one between replicas whose disks are perfect.
type directCluster struct {
	cores   map[ReplicaID]*Core
	now     time.Duration
	network []Message
	// appends counts the messages with entries or a commit index.
	appends int
}

func newDirectCluster(replicas int) *directCluster {
	members := Membership{}
	for i := range replicas {
		members.Replicas = append(members.Replicas, Replica{
			ID:    ReplicaID(i + 1),
			Voter: true,
		})
	}
	c := &directCluster{
		cores: map[ReplicaID]*Core{},
	}
	for _, m := range members.Replicas {
		c.cores[m.ID] = New(Config{
			ID:                m.ID,
			ElectionTimeout:   testElectionTimeout,
			HeartbeatInterval: testHeartbeatInterval,
			Seed:              uint64(m.ID),
			HardState:         HardState{Term: 1},
			Snapshot: Snapshot{
				Index:      1,
				Term:       1,
				Membership: members,
			},
		})
	}
	return c
}

func (c *directCluster) collect(core *Core) {
	for {
		out := core.Output()
		committed := core.Persisted()
		c.network = append(c.network, out.BeforeSync...)
		c.network = append(c.network, out.AfterSync...)
		for _, m := range out.BeforeSync {
			if m.Kind == MessageAppend {
				c.appends++
			}
		}
		if len(out.BeforeSync)+len(out.AfterSync)+len(committed) == 0 {
			return
		}
	}
}

// deliver delivers the messages in flight and those that follow from them, but not between the
// replicas cut and the others. It calls check after each message.
func (c *directCluster) deliver(cut []ReplicaID, check func()) {
	for len(c.network) > 0 {
		m := c.network[0]
		c.network = c.network[1:]
		if slices.Contains(cut, m.To) != slices.Contains(cut, m.From) {
			continue
		}
		c.cores[m.To].Step(m, c.now)
		c.collect(c.cores[m.To])
		check()
	}
}

// tick advances the time by one heartbeat interval.
func (c *directCluster) tick() {
	c.now += testHeartbeatInterval
	for _, core := range c.cores {
		core.Tick(c.now)
		c.collect(core)
	}
}

func (c *directCluster) leader() *Core {
	for _, core := range c.cores {
		if core.HoldsLease(c.now) {
			return core
		}
	}
	return nil
}

// restart replaces a replica's core by one that knows only what is on its disk.
func (c *directCluster) restart(id ReplicaID) {
	old := c.cores[id]
	cfg := old.cfg
	cfg.HardState = old.HardState()
	cfg.Snapshot = old.log.snapshot
	cfg.Entries = old.Entries()
	cfg.Now = c.now
	c.cores[id] = New(cfg)
}

// TestReplicaBehindSnapshotIsNotUpToDate brings a replica back that has missed more than the
// leader's log still holds, and restarts it while it receives the snapshot. It hears the leader
// all the time, but it must not count as up to date: its subscribers would use an old
// configuration.
func TestReplicaBehindSnapshotIsNotUpToDate(t *testing.T) {
	c := newDirectCluster(3)
	for c.leader() == nil {
		c.tick()
		c.deliver(nil, func() {})
	}
	leader := c.leader()
	lagging := ReplicaID(1)
	if leader.cfg.ID == lagging {
		lagging = 2
	}
	for i := range 40 {
		leader.Propose([]byte(fmt.Sprintf("command %d", i)))
		c.collect(leader)
		c.deliver([]ReplicaID{lagging}, func() {})
	}
	leader.Compact(leader.commit, make([]byte, 5*snapshotChunkBytes))
	committed := leader.commit
	restarted := false
	for range 100 {
		c.tick()
		c.deliver(nil, func() {
			r := c.cores[lagging]
			if r.incoming != nil && !restarted {
				restarted = true
				c.restart(lagging)
				return
			}
			if r.UpToDate(c.now, uptodateWithin) && r.applied < committed {
				t.Fatalf("got a replica that is up to date at entry %d, the leader has committed %d", r.applied, committed)
			}
		})
	}
	if r := c.cores[lagging]; r.applied < committed || !r.UpToDate(c.now, uptodateWithin) {
		t.Errorf("got a replica at entry %d after the snapshot, want it up to date at %d", r.applied, committed)
	}
}

// TestIsolatedLeaderKeepsNobodyUpToDate cuts a leader and one follower off from the others. The
// follower hears its leader all the time, but others may have elected another one meanwhile.
func TestIsolatedLeaderKeepsNobodyUpToDate(t *testing.T) {
	c := newDirectCluster(5)
	for c.leader() == nil {
		c.tick()
		c.deliver(nil, func() {})
	}
	leader := c.leader()
	follower := ReplicaID(1)
	if leader.cfg.ID == follower {
		follower = 2
	}
	isolated := c.now
	for c.now < isolated+3*uptodateWithin {
		c.tick()
		c.deliver([]ReplicaID{leader.cfg.ID, follower}, func() {})
		since := c.now - isolated - testElectionTimeout
		if c.cores[follower].UpToDate(c.now, uptodateWithin) && since > uptodateWithin {
			t.Fatalf("got a follower of an isolated leader that is up to date %s after the leader's lease ended", since)
		}
	}
}

// TestMalformedMessages steps messages with arbitrary fields. A peer of another version or with a
// damaged memory may send them; none may end the process.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newDirectCluster(3)
		for c.leader() == nil {
			c.tick()
			c.deliver(nil, func() {})
		}
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			core := c.cores[ReplicaID(rapid.IntRange(1, 3).Draw(t, "to"))]
			core.Step(drawMessage(t, core), c.now)
			c.collect(core)
			c.network = nil
		}
	})
}

func drawMessage(t *rapid.T, to *Core) Message {
	index := rapid.SampledFrom([]Index{0, 1, 2, 3, 7, 1 << 40})
	m := Message{
		Kind:    MessageKind(rapid.IntRange(0, 10).Draw(t, "kind")),
		From:    ReplicaID(rapid.IntRange(0, 4).Draw(t, "from")),
		To:      to.cfg.ID,
		Term:    to.Term() + Term(rapid.IntRange(0, 1).Draw(t, "term")),
		Index:   index.Draw(t, "index"),
		LogTerm: Term(rapid.IntRange(0, 3).Draw(t, "logTerm")),
		Commit:  index.Draw(t, "commit"),
		Reject:  rapid.Bool().Draw(t, "reject"),
		Offset:  rapid.IntRange(-1, 9).Draw(t, "offset"),
		Total:   rapid.IntRange(-1, 9).Draw(t, "total"),
		Chunk:   make([]byte, rapid.IntRange(0, 9).Draw(t, "chunk")),
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		m.Entries = append(m.Entries, Entry{
			Index: index.Draw(t, "entry"),
			Term:  Term(rapid.IntRange(0, 3).Draw(t, "entryTerm")),
			Kind:  EntryKind(rapid.IntRange(0, 4).Draw(t, "entryKind")),
		})
	}
	if rapid.Bool().Draw(t, "membership") {
		m.Membership = &Membership{}
	}
	return m
}

// TestCommitIndexTravelsWithEntries proposes commands faster than the round trip, as a leader under
// load gets them. The followers must learn that they are committed from the messages of later
// commands, and soon after the last one, without a message of its own for each.
func TestCommitIndexTravelsWithEntries(t *testing.T) {
	c := newDirectCluster(5)
	for c.leader() == nil {
		c.tick()
		c.deliver(nil, func() {})
	}
	const commands = 100
	leader := c.leader()
	c.appends = 0
	for i := range commands {
		leader.Propose([]byte(fmt.Sprintf("command %d", i)))
		c.collect(leader)
		c.now += time.Millisecond
		for _, core := range c.cores {
			core.Tick(c.now)
			c.collect(core)
		}
		c.deliver(nil, func() {})
	}
	followers := len(c.cores) - 1
	if limit := commands * followers * 13 / 10; c.appends > limit {
		t.Errorf("got %d messages for %d commands and %d followers, want at most %d", c.appends, commands, followers, limit)
	}
	c.now += 2 * commitBroadcastDelay
	leader.Tick(c.now)
	c.collect(leader)
	c.deliver(nil, func() {})
	for id, core := range c.cores {
		if core.applied != leader.commit {
			t.Errorf("got replica %d at entry %d soon after the last command, want %d", id, core.applied, leader.commit)
		}
	}
}
