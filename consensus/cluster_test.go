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
	testElection  = time.Second
	testHeartbeat = 100 * time.Millisecond
)

// testReplica is a replica with its disk. Only disk survives a crash.
type testReplica struct {
	id     ReplicaID
	node   fleet.NodeID
	core   *Core
	disk   testDisk
	up     bool
	booted uint64
	// rate is the replica's clock rate: its clock shows the true time times
	// rate.
	rate float64
	// applied is the state machine: the commands in order, up to index.
	applied []string
	index   Index
}

type testDisk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// failer ends a test.
type failer interface {
	Fatalf(format string, args ...any)
}

// cluster drives replicas over a network that loses, repeats and reorders.
type cluster struct {
	t failer
	// drawRate chooses a replica's clock rate.
	drawRate func() float64
	// leaders holds the leader of each term.
	leaders  map[Term]ReplicaID
	now      time.Duration
	replicas map[ReplicaID]*testReplica
	network  []Message
	cut      map[fleet.NodeID]bool
	nextID   ReplicaID
	proposed int
	// acked holds the commands whose proposer was told that they are
	// committed, by index.
	acked     map[Index]string
	maxAcked  Index
	committed map[Index]string
}

func newCluster(t failer, voters int, drawRate func() float64) *cluster {
	c := &cluster{
		t:         t,
		drawRate:  drawRate,
		leaders:   map[Term]ReplicaID{},
		replicas:  map[ReplicaID]*testReplica{},
		cut:       map[fleet.NodeID]bool{},
		acked:     map[Index]string{},
		committed: map[Index]string{},
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
	if r.rate == 0 {
		r.rate = c.drawRate()
	}
	r.booted++
	r.up = true
	r.core = New(Config{
		ID:                r.id,
		ElectionTimeout:   testElection,
		HeartbeatInterval: testHeartbeat,
		Seed:              r.booted,
		HardState:         r.disk.hard,
		Snapshot:          r.disk.snapshot,
		Entries:           r.disk.entries,
		Now:               r.clock(c.now),
	})
	r.restore(r.disk.snapshot)
	c.replicas[r.id] = r
}

func (r *testReplica) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * r.rate)
}

// restore sets the state machine to a snapshot's data, which is the commands with
// a newline behind each.
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

// settle carries out a replica's outputs. With crash set, the replica dies after
// its early messages have left and before anything is synced.
func (c *cluster) settle(r *testReplica, crash bool) {
	for {
		out := r.core.Output()
		c.network = append(c.network, out.BeforeSync...)
		if crash {
			r.up = false
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
		at := int(e.Index - r.disk.snapshot.Index - 1)
		r.disk.entries = append(slices.Clone(r.disk.entries[:at]), e)
	}
}

// apply checks state machine safety: no two replicas apply different entries at
// one index, and none skips an index.
func (c *cluster) apply(r *testReplica, e Entry) {
	if e.Index != r.index+1 {
		c.t.Fatalf("replica %d applied entry %d after entry %d", r.id, e.Index, r.index)
	}
	r.index = e.Index
	text := fmt.Sprintf("%d:%d:%s", e.Kind, e.Term, e.Data)
	if first, ok := c.committed[e.Index]; ok && first != text {
		c.t.Fatalf("replica %d applied %q at %d, another applied %q", r.id, text, e.Index, first)
	}
	c.committed[e.Index] = text
	if e.Kind != EntryCommand {
		return
	}
	r.applied = append(r.applied, string(e.Data))
	if r.core.IsLeader() {
		c.acked[e.Index] = string(e.Data)
		c.maxAcked = max(c.maxAcked, e.Index)
	}
}

func (c *cluster) live() []*testReplica {
	var live []*testReplica
	for id := ReplicaID(1); id <= c.nextID; id++ {
		if r := c.replicas[id]; r != nil && r.up {
			live = append(live, r)
		}
	}
	return live
}

func (c *cluster) leader() *testReplica {
	best := (*testReplica)(nil)
	for _, r := range c.live() {
		if r.core.IsLeader() && (best == nil || r.core.Term() > best.core.Term()) {
			best = r
		}
	}
	return best
}

// advance moves the time and ticks every live replica.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, r := range c.live() {
		r.core.Tick(r.clock(c.now))
		c.settle(r, false)
	}
	c.checkLeases()
}

// deliver takes one message out of the network, perhaps leaving a copy.
func (c *cluster) deliver(i int, drop, repeat bool) {
	m := c.network[i]
	if !repeat {
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
	to, from := c.replicas[m.To], c.replicas[m.From]
	if drop || to == nil || !to.up || c.cut[to.node] != c.cut[from.node] {
		return
	}
	to.core.Step(m, to.clock(c.now))
	c.settle(to, false)
}

// run lets time pass with a network that delivers everything in order.
func (c *cluster) run(total time.Duration) {
	for passed := time.Duration(0); passed < total; passed += 20 * time.Millisecond {
		c.advance(20 * time.Millisecond)
		for i := 0; len(c.network) > 0 && i < 2000; i++ {
			c.deliver(0, false, false)
		}
	}
}

// checkLeaders checks election safety: a term has one leader at most.
func (c *cluster) checkLeaders() {
	for _, r := range c.live() {
		if !r.core.IsLeader() {
			continue
		}
		if first, ok := c.leaders[r.core.Term()]; ok && first != r.id {
			c.t.Fatalf("replicas %d and %d both lead term %d", first, r.id, r.core.Term())
		}
		c.leaders[r.core.Term()] = r.id
	}
}

// checkLeases checks that at most one replica holds a lease, and that its state
// holds all that was acknowledged: reads from it are linearizable.
func (c *cluster) checkLeases() {
	c.checkLeaders()
	holder := (*testReplica)(nil)
	for _, r := range c.live() {
		if !r.core.HoldsLease(r.clock(c.now)) {
			continue
		}
		if holder != nil {
			c.t.Fatalf("replicas %d and %d hold a lease at once", holder.id, r.id)
		}
		holder = r
		if r.index < c.maxAcked {
			c.t.Fatalf("replica %d holds a lease with entries to %d, acknowledged were entries to %d", r.id, r.index, c.maxAcked)
		}
	}
}

// checkLogs checks log matching: entries of the same index and term are the same.
func (c *cluster) checkLogs() {
	type place struct {
		index Index
		term  Term
	}
	seen := map[place]string{}
	for _, r := range c.live() {
		for _, e := range r.core.Entries() {
			at := place{
				index: e.Index,
				term:  e.Term,
			}
			text := fmt.Sprintf("%d:%s", e.Kind, e.Data)
			if first, ok := seen[at]; ok && first != text {
				c.t.Fatalf("entry %d of term %d is %q on replica %d and %q elsewhere", e.Index, e.Term, text, r.id, first)
			}
			seen[at] = text
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
	c.settle(leader, false)
}

// heal mends everything and checks that the group comes back whole: one leader, all
// replicas equal, every acknowledged command there.
func (c *cluster) heal() {
	c.cut = map[fleet.NodeID]bool{}
	for id := ReplicaID(1); id <= c.nextID; id++ {
		if r := c.replicas[id]; r != nil && !r.up {
			c.start(r)
		}
	}
	c.run(8 * time.Second)
	c.propose()
	c.run(2 * time.Second)
	leader := c.leader()
	if leader == nil || !leader.core.HoldsLease(leader.clock(c.now)) {
		c.t.Fatalf("no leader holds a lease after healing")
	}
	for index, command := range c.acked {
		if got, want := c.committed[index], command; len(got) < len(want) || got[len(got)-len(want):] != want {
			c.t.Fatalf("entry %d is %q, acknowledged was %q", index, got, want)
		}
	}
	for _, m := range leader.core.Members().Replicas {
		r := c.replicas[m.ID]
		if r == nil || !r.up {
			continue
		}
		if got, want := r.applied, leader.applied; !slices.Equal(got, want) {
			c.t.Fatalf("replica %d applied %d commands, the leader %d", r.id, len(got), len(want))
		}
	}
	c.checkLogs()
}

// wipe takes a replica's disk away. Its VM comes back as a new replica, which the
// leader takes in as control.Replica does. It is done only while no earlier loss is
// being repaired.
func (c *cluster) wipe(r *testReplica) {
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

// repair makes the leader's next change of membership, if one is due.
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
			c.settle(leader, false)
			return
		}
	}
	for _, m := range members.Replicas {
		if c.replicas[m.ID] == nil && c.hasOtherVoter(members, m) {
			leader.core.ProposeMembership(members.Without(m.ID))
			c.settle(leader, false)
			return
		}
	}
	for _, r := range c.live() {
		if _, member := members.Find(r.id); !member {
			leader.core.ProposeMembership(members.With(Replica{
				ID:   r.id,
				Node: r.node,
			}))
			c.settle(leader, false)
			return
		}
	}
}

func (c *cluster) hasOtherVoter(members Membership, gone Replica) bool {
	return slices.ContainsFunc(members.Replicas, func(m Replica) bool {
		return m.Node == gone.Node && m.ID != gone.ID && m.Voter
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

// randomRate chooses clock rates within the margin that the lease leaves.
func randomRate(t *rapid.T) func() float64 {
	return func() float64 { return rapid.Float64Range(0.97, 1.03).Draw(t, "rate") }
}

// TestSafety drives three or five replicas through crashes that lose unsynced
// writes, lost, repeated and reordered messages, network partitions, lost disks and
// snapshots.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters"), randomRate(t))
		c.run(3 * time.Second)
		pick := func() *testReplica {
			if len(c.live()) == 0 {
				for id := ReplicaID(1); id <= c.nextID; id++ {
					if r := c.replicas[id]; r != nil {
						c.start(r)
					}
				}
			}
			live := c.live()
			return live[rapid.IntRange(0, len(live)-1).Draw(t, "replica")]
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
			"crash": func(*rapid.T) { pick().up = false },
			"crashBeforeSync": func(t *rapid.T) {
				r := pick()
				if r.core.IsLeader() {
					r.core.Propose([]byte("unsynced"))
				}
				r.core.Tick(r.clock(c.now + time.Duration(rapid.SampledFrom([]int{0, 500, 1100, 2500}).Draw(t, "ms"))*time.Millisecond))
				c.settle(r, true)
			},
			"restart": func(t *rapid.T) {
				for id := ReplicaID(1); id <= c.nextID; id++ {
					if r := c.replicas[id]; r != nil && !r.up && rapid.Bool().Draw(t, "start") {
						c.start(r)
						return
					}
				}
			},
			"partition": func(t *rapid.T) {
				c.cut = map[fleet.NodeID]bool{}
				for i := range 5 {
					c.cut[fleet.NodeID(fmt.Sprintf("n%d", i+1))] = rapid.Bool().Draw(t, "side")
				}
			},
			"isolate": func(*rapid.T) {
				c.cut = map[fleet.NodeID]bool{pick().node: true}
			},
			"campaign": func(t *rapid.T) {
				// Nothing may depend on how patient a candidate is.
				r := pick()
				c.now += time.Duration(rapid.SampledFrom([]int{0, 100, 600, 1050}).Draw(t, "ms")) * time.Millisecond
				r.core.Tick(r.clock(c.now))
				if me, ok := r.core.Members().Find(r.id); ok && me.Voter && !r.core.IsLeader() {
					r.core.campaign(false)
				}
				c.settle(r, rapid.IntRange(0, 3).Draw(t, "crash") == 0)
				for range 6 {
					if len(c.network) > 0 {
						c.deliver(len(c.network)-1, false, false)
					}
				}
			},
			"restartAll": func(*rapid.T) {
				for _, r := range c.live() {
					c.start(r)
				}
				c.network = nil
			},
			"join":     func(*rapid.T) { c.cut = map[fleet.NodeID]bool{} },
			"wipe":     func(*rapid.T) { c.wipe(pick()) },
			"repair":   func(*rapid.T) { c.repair() },
			"compact":  func(*rapid.T) { c.compact(pick()) },
			"transfer": func(*rapid.T) { r := pick(); r.core.TransferLeadership(); c.settle(r, false) },
			"":         func(*rapid.T) { c.checkLeases(); c.checkLogs() },
		})
		c.heal()
	})
}

// TestSecondLossAfterRepair loses one VM's disk, repairs, and at once loses
// another's: nothing acknowledged is lost.
func TestSecondLossAfterRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3, randomRate(t))
		c.run(3 * time.Second)
		for round := range 4 {
			for range rapid.IntRange(1, 60).Draw(t, "commands") {
				c.propose()
			}
			c.run(300 * time.Millisecond)
			if rapid.Bool().Draw(t, "compact") {
				for _, r := range c.live() {
					c.compact(r)
				}
			}
			lost := c.live()[rapid.IntRange(0, 2).Draw(t, "lost")]
			before := c.nextID
			c.wipe(lost)
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
				t.Fatalf("round %d: %d voters after the repair, want 3", round, got)
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
