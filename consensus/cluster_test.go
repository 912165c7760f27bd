package consensus

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/rapidseed"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 400))
}

const (
	testElectionTimeout   = time.Second
	testHeartbeatInterval = 100 * time.Millisecond
)

// testReplica is a replica and its disk. Only the disk survives a crash.
type testReplica struct {
	id      ReplicaID
	node    fleet.NodeID
	core    *Core
	disk    testDisk
	running bool
	starts  uint64
	// clockRate is the factor by which the replica's clock runs faster than the
	// true time.
	clockRate float64
	// applied is the state machine's state: all commands up to index, in order.
	applied []string
	index   Index
}

type testDisk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// fataler is the part of testing.T and rapid.T that ends a test.
type fataler interface {
	Fatalf(format string, args ...any)
}

// cluster simulates replicas and a network that can drop, duplicate and reorder
// messages.
type cluster struct {
	t fataler
	// drawClockRate returns the clock rate of a new replica.
	drawClockRate func() float64
	// leaders is the leader of each term, as observed so far.
	leaders  map[Term]ReplicaID
	now      time.Duration
	replicas map[ReplicaID]*testReplica
	network  []Message
	// partitioned holds the nodes on one side of a network partition. Messages
	// from one side to the other are dropped.
	partitioned map[fleet.NodeID]bool
	nextID      ReplicaID
	proposed    int
	// acknowledged holds, by index, the commands that a leader has acknowledged
	// as committed.
	acknowledged    map[Index]string
	maxAcknowledged Index
	committed       map[Index]string
}

func newCluster(t fataler, voters int, drawRate func() float64) *cluster {
	c := &cluster{
		t:             t,
		drawClockRate: drawRate,
		leaders:       map[Term]ReplicaID{},
		replicas:      map[ReplicaID]*testReplica{},
		partitioned:   map[fleet.NodeID]bool{},
		acknowledged:  map[Index]string{},
		committed:     map[Index]string{},
	}
	members := Membership{}
	for i := range voters {
		members.Replicas = append(members.Replicas, Replica{
			ID:    ReplicaID(i + 1),
			Node:  fleet.NodeID(fmt.Sprintf("n%d", i+1)),
			Voter: true,
		})
	}
	c.nextID = ReplicaID(voters)
	for _, m := range members.Replicas {
		c.start(&testReplica{
			id:   m.ID,
			node: m.Node,
			disk: testDisk{snapshot: Snapshot{
				Index:      1,
				Term:       1,
				Membership: members,
			}},
		})
	}
	return c
}

func (c *cluster) start(r *testReplica) {
	if r.clockRate == 0 {
		r.clockRate = c.drawClockRate()
	}
	r.starts++
	r.running = true
	r.core = New(Config{
		ID:                r.id,
		ElectionTimeout:   testElectionTimeout,
		HeartbeatInterval: testHeartbeatInterval,
		Seed:              r.starts,
		HardState:         r.disk.hard,
		Snapshot:          r.disk.snapshot,
		Entries:           r.disk.entries,
		Now:               r.clock(c.now),
	})
	r.restore(r.disk.snapshot)
	c.replicas[r.id] = r
}

func (r *testReplica) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * r.clockRate)
}

// restore sets the state machine to a snapshot. The snapshot's data is the list of
// commands, each followed by a newline.
func (r *testReplica) restore(s Snapshot) {
	r.applied = nil
	r.index = s.Index
	start := 0
	for i, b := range s.Data {
		if b == '\n' {
			r.applied = append(r.applied, string(s.Data[start:i]))
			start = i + 1
		}
	}
}

func (r *testReplica) snapshotData() []byte {
	var data []byte
	for _, command := range r.applied {
		data = append(append(data, command...), '\n')
	}
	return data
}

// processOutput processes a replica's output. If crash is set, the replica crashes
// after it has sent the BeforeSync messages and before anything is synced.
func (c *cluster) processOutput(r *testReplica, crash bool) {
	for {
		out := r.core.Output()
		c.network = append(c.network, out.BeforeSync...)
		if crash {
			r.running = false
			return
		}
		c.sync(r, out)
		committed := r.core.Persisted()
		c.network = append(c.network, out.AfterSync...)
		for _, e := range committed {
			c.apply(r, e)
		}
		if len(committed) == 0 && len(out.Entries) == 0 && len(out.BeforeSync) == 0 && out.Snapshot == nil {
			return
		}
	}
}

func (c *cluster) sync(r *testReplica, out Output) {
	if out.Snapshot != nil {
		r.disk.snapshot = *out.Snapshot
		r.disk.entries = nil
		r.restore(*out.Snapshot)
	}
	if out.HardState != nil {
		r.disk.hard = *out.HardState
	}
	for _, e := range out.Entries {
		position := int(e.Index - r.disk.snapshot.Index - 1)
		r.disk.entries = append(slices.Clone(r.disk.entries[:position]), e)
	}
}

// apply applies an entry and checks state machine safety: no two replicas apply
// different entries at the same index, and none skips an index.
func (c *cluster) apply(r *testReplica, e Entry) {
	if e.Index != r.index+1 {
		c.t.Fatalf("replica %d applied entry %d after entry %d", r.id, e.Index, r.index)
	}
	r.index = e.Index
	text := fmt.Sprintf("%d:%d:%s", e.Kind, e.Term, e.Data)
	if other, ok := c.committed[e.Index]; ok && other != text {
		c.t.Fatalf("replica %d applied %q at index %d, another replica applied %q", r.id, text, e.Index, other)
	}
	c.committed[e.Index] = text
	if e.Kind != EntryCommand {
		return
	}
	r.applied = append(r.applied, string(e.Data))
	if r.core.IsLeader() {
		c.acknowledged[e.Index] = string(e.Data)
		c.maxAcknowledged = max(c.maxAcknowledged, e.Index)
	}
}

func (c *cluster) runningReplicas() []*testReplica {
	var running []*testReplica
	for id := ReplicaID(1); id <= c.nextID; id++ {
		if r := c.replicas[id]; r != nil && r.running {
			running = append(running, r)
		}
	}
	return running
}

func (c *cluster) leader() *testReplica {
	best := (*testReplica)(nil)
	for _, r := range c.runningReplicas() {
		if r.core.IsLeader() && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// advance advances the time and ticks every running replica.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, r := range c.runningReplicas() {
		r.core.Tick(r.clock(c.now))
		c.processOutput(r, false)
	}
	c.checkLeases()
}

// deliver delivers or drops message i of the network. If duplicate is set, the message
// stays in the network as well.
func (c *cluster) deliver(i int, drop, duplicate bool) {
	m := c.network[i]
	if !duplicate {
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
	to, from := c.replicas[m.To], c.replicas[m.From]
	if drop || to == nil || !to.running || c.partitioned[to.node] != c.partitioned[from.node] {
		return
	}
	to.core.Step(m, to.clock(c.now))
	c.processOutput(to, false)
}

// run lets time pass in steps of 20 ms and delivers messages in order, at most 2000 in
// each step.
func (c *cluster) run(total time.Duration) {
	for passed := time.Duration(0); passed < total; passed += 20 * time.Millisecond {
		c.advance(20 * time.Millisecond)
		for i := 0; len(c.network) > 0 && i < 2000; i++ {
			c.deliver(0, false, false)
		}
	}
}

// checkLeaders checks election safety: a term has at most one leader.
func (c *cluster) checkLeaders() {
	for _, r := range c.runningReplicas() {
		if !r.core.IsLeader() {
			continue
		}
		if first, ok := c.leaders[r.core.Term()]; ok && first != r.id {
			c.t.Fatalf("replicas %d and %d are both leader of term %d", first, r.id, r.core.Term())
		}
		c.leaders[r.core.Term()] = r.id
	}
}

// checkLeases checks that at most one replica holds a lease and that its state
// contains every acknowledged command, so that reads from it are linearizable.
func (c *cluster) checkLeases() {
	c.checkLeaders()
	holder := (*testReplica)(nil)
	for _, r := range c.runningReplicas() {
		if !r.core.HoldsLease(r.clock(c.now)) {
			continue
		}
		if holder != nil {
			c.t.Fatalf("replicas %d and %d both hold a lease", holder.id, r.id)
		}
		holder = r
		if r.index < c.maxAcknowledged {
			c.t.Fatalf("replica %d holds a lease but has applied entries only up to %d, want up to the acknowledged entry %d", r.id, r.index, c.maxAcknowledged)
		}
	}
}

// checkLogs checks log matching: entries with the same index and term are equal.
func (c *cluster) checkLogs() {
	type entryID struct {
		index Index
		term  Term
	}
	seen := map[entryID]string{}
	for _, r := range c.runningReplicas() {
		for _, e := range r.core.Entries() {
			id := entryID{
				index: e.Index,
				term:  e.Term,
			}
			text := fmt.Sprintf("%d:%s", e.Kind, e.Data)
			if other, ok := seen[id]; ok && other != text {
				c.t.Fatalf("entry %d of term %d is %q on replica %d and %q on another replica", e.Index, e.Term, text, r.id, other)
			}
			seen[id] = text
		}
	}
}

func (c *cluster) propose() {
	leader := c.leader()
	if leader == nil {
		return
	}
	c.proposed++
	leader.core.Propose([]byte(fmt.Sprintf("c%d", c.proposed)))
	c.processOutput(leader, false)
}

// heal ends partitions, restarts crashed replicas and checks that the group recovers:
// it has a leader with a lease, all replicas have the same state, and every
// acknowledged command is present.
func (c *cluster) heal() {
	c.partitioned = map[fleet.NodeID]bool{}
	for id := ReplicaID(1); id <= c.nextID; id++ {
		if r := c.replicas[id]; r != nil && !r.running {
			c.start(r)
		}
	}
	c.run(8 * time.Second)
	c.propose()
	c.run(2 * time.Second)
	leader := c.leader()
	if leader == nil || !leader.core.HoldsLease(leader.clock(c.now)) {
		c.t.Fatalf("no leader holds a lease after all faults ended")
	}
	for index, command := range c.acknowledged {
		if got, want := c.committed[index], command; len(got) < len(want) || got[len(got)-len(want):] != want {
			c.t.Fatalf("entry %d is %q, want the acknowledged command %q", index, got, want)
		}
	}
	for _, m := range leader.core.Members().Replicas {
		r := c.replicas[m.ID]
		if r == nil || !r.running {
			continue
		}
		if got, want := r.applied, leader.applied; !slices.Equal(got, want) {
			c.t.Fatalf("replica %d applied other commands than the leader: got %d commands, want %d", r.id, len(got), len(want))
		}
	}
	c.checkLogs()
}

// loseDisk removes a replica and its disk. Its VM returns as a new replica, which repair
// adds to the group in the same way as control.Replica. loseDisk does nothing if
// r is the leader or an earlier loss is being repaired.
func (c *cluster) loseDisk(r *testReplica) {
	leader := c.leader()
	if leader == nil || leader == r || !leader.core.HoldsLease(leader.clock(c.now)) {
		return
	}
	members := leader.core.Members()
	if len(members.Replicas) != members.Voters() || members.Voters() < 3 {
		return
	}
	for _, m := range members.Replicas {
		peer := c.replicas[m.ID]
		if peer == nil || m.ID != leader.id && !leader.core.CaughtUp(m.ID) {
			return
		}
	}
	if _, member := members.Find(r.id); !member {
		return
	}
	delete(c.replicas, r.id)
	c.network = slices.DeleteFunc(c.network, func(m Message) bool { return m.To == r.id || m.From == r.id })
	c.nextID++
	c.start(&testReplica{
		id:   c.nextID,
		node: r.node,
	})
}

// repair makes the leader propose the next membership change, if any: it promotes a
// learner that has caught up, removes a replica that has been replaced, or adds a new
// replica as a learner.
func (c *cluster) repair() {
	leader := c.leader()
	if leader == nil {
		return
	}
	members := leader.core.Members()
	for _, m := range members.Replicas {
		if !m.Voter && leader.core.CaughtUp(m.ID) {
			m.Voter = true
			leader.core.ProposeMembership(members.With(m))
			c.processOutput(leader, false)
			return
		}
	}
	for _, m := range members.Replicas {
		if c.replicas[m.ID] == nil && c.hasOtherVoter(members, m) {
			leader.core.ProposeMembership(members.Without(m.ID))
			c.processOutput(leader, false)
			return
		}
	}
	for _, r := range c.runningReplicas() {
		if _, member := members.Find(r.id); !member {
			leader.core.ProposeMembership(members.With(Replica{
				ID:   r.id,
				Node: r.node,
			}))
			c.processOutput(leader, false)
			return
		}
	}
}

func (c *cluster) hasOtherVoter(members Membership, replaced Replica) bool {
	return slices.ContainsFunc(members.Replicas, func(m Replica) bool {
		return m.Node == replaced.Node && m.ID != replaced.ID && m.Voter
	})
}

func (c *cluster) compact(r *testReplica) {
	if r.index <= r.core.SnapshotIndex() {
		return
	}
	r.disk.snapshot = r.core.Compact(r.index, r.snapshotData())
	r.disk.hard = r.core.HardState()
	r.disk.entries = slices.Clone(r.core.Entries())
}

// randomClockRate draws clock rates that differ by less than the lease tolerates.
func randomClockRate(t *rapid.T) func() float64 {
	return func() float64 { return rapid.Float64Range(0.97, 1.03).Draw(t, "rate") }
}

// TestSafety checks the safety properties of three or five replicas under random
// faults: crashes that lose unsynced writes, dropped, duplicated and reordered
// messages, network partitions and lost disks. It also takes snapshots at random.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters"), randomClockRate(t))
		c.run(3 * time.Second)
		pick := func() *testReplica {
			if len(c.runningReplicas()) == 0 {
				for id := ReplicaID(1); id <= c.nextID; id++ {
					if r := c.replicas[id]; r != nil {
						c.start(r)
					}
				}
			}
			running := c.runningReplicas()
			return running[rapid.IntRange(0, len(running)-1).Draw(t, "replica")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				c.advance(time.Duration(rapid.SampledFrom([]int{5, 50, 110, 400, 950}).Draw(t, "ms")) * time.Millisecond)
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 12).Draw(t, "messages") {
					if len(c.network) == 0 {
						break
					}
					i := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
					kind := rapid.IntRange(0, 9).Draw(t, "fate")
					c.deliver(i, kind == 0, kind == 1)
				}
			},
			"run": func(t *rapid.T) {
				c.run(time.Duration(rapid.SampledFrom([]int{20, 200, 1500}).Draw(t, "ms")) * time.Millisecond)
			},
			"propose": func(*rapid.T) { c.propose() },
			"proposeMany": func(*rapid.T) {
				for range 20 {
					c.propose()
				}
			},
			"crash": func(*rapid.T) { pick().running = false },
			"crashBeforeSync": func(t *rapid.T) {
				r := pick()
				if r.core.IsLeader() {
					r.core.Propose([]byte("unsynced"))
				}
				r.core.Tick(r.clock(c.now + time.Duration(rapid.SampledFrom([]int{0, 500, 1100, 2500}).Draw(t, "ms"))*time.Millisecond))
				c.processOutput(r, true)
			},
			"restart": func(t *rapid.T) {
				for id := ReplicaID(1); id <= c.nextID; id++ {
					if r := c.replicas[id]; r != nil && !r.running && rapid.Bool().Draw(t, "start") {
						c.start(r)
						return
					}
				}
			},
			"partition": func(t *rapid.T) {
				c.partitioned = map[fleet.NodeID]bool{}
				for i := range 5 {
					c.partitioned[fleet.NodeID(fmt.Sprintf("n%d", i+1))] = rapid.Bool().Draw(t, "side")
				}
			},
			"isolate": func(*rapid.T) {
				c.partitioned = map[fleet.NodeID]bool{pick().node: true}
			},
			"campaign": func(t *rapid.T) {
				// Safety must not depend on when a replica campaigns.
				r := pick()
				c.now += time.Duration(rapid.SampledFrom([]int{0, 100, 600, 1050}).Draw(t, "ms")) * time.Millisecond
				r.core.Tick(r.clock(c.now))
				if self, ok := r.core.Members().Find(r.id); ok && self.Voter && !r.core.IsLeader() {
					r.core.campaign(false)
				}
				c.processOutput(r, rapid.IntRange(0, 3).Draw(t, "crash") == 0)
				for range 6 {
					if len(c.network) > 0 {
						c.deliver(len(c.network)-1, false, false)
					}
				}
			},
			"restartAll": func(*rapid.T) {
				for _, r := range c.runningReplicas() {
					c.start(r)
				}
				c.network = nil
			},
			"join":     func(*rapid.T) { c.partitioned = map[fleet.NodeID]bool{} },
			"wipe":     func(*rapid.T) { c.loseDisk(pick()) },
			"repair":   func(*rapid.T) { c.repair() },
			"compact":  func(*rapid.T) { c.compact(pick()) },
			"transfer": func(*rapid.T) { r := pick(); r.core.TransferLeadership(); c.processOutput(r, false) },
			"":         func(*rapid.T) { c.checkLeases(); c.checkLogs() },
		})
		c.heal()
	})
}

// TestSecondLossAfterRepair checks that no acknowledged command is lost if a second
// VM loses its disk directly after the first loss is repaired.
func TestSecondLossAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3, randomClockRate(t))
		c.run(3 * time.Second)
		for round := range 4 {
			for range rapid.IntRange(1, 60).Draw(t, "commands") {
				c.propose()
			}
			c.run(300 * time.Millisecond)
			if rapid.Bool().Draw(t, "compact") {
				for _, r := range c.runningReplicas() {
					c.compact(r)
				}
			}
			lost := c.runningReplicas()[rapid.IntRange(0, 2).Draw(t, "lost")]
			before := c.nextID
			c.loseDisk(lost)
			wiped := c.nextID > before
			for i := 0; wiped && i < 200; i++ {
				c.run(50 * time.Millisecond)
				c.repair()
				members := c.leaderMembers()
				if members.Voters() == 3 && len(members.Replicas) == 3 && i > 2 {
					break
				}
			}
			if got := c.leaderMembers().Voters(); got != 3 {
				t.Fatalf("round %d: got %d voters after the repair, want 3", round, got)
			}
		}
		c.heal()
	})
}

func (c *cluster) leaderMembers() Membership {
	if leader := c.leader(); leader != nil {
		return leader.core.Members()
	}
	return Membership{}
}
