// Package consensus replicates a log among the control replicas of one group, by
// the Raft algorithm with pre-vote, check-quorum, a leader lease, learners and
// single-server membership changes.
//
// # A pure state machine
//
// Core reads no clock and touches neither socket nor file. It is driven by Tick,
// Step, Propose and ProposeMembership, and Output says what must happen next, in
// this order:
//
//  1. send Output.Early;
//  2. sync Output.Snapshot, Output.HardState and Output.Entries to disk;
//  3. call Persisted, and send Output.Late;
//  4. apply Output.Committed to the state machine.
//
// Early holds only a leader's appends: they may leave before the leader's own
// disk is done, because the leader counts itself only after Persisted.
//
// # The leader lease
//
// A follower that hears from its leader refuses every vote for ElectionTimeout.
// So a leader whose message of time t was answered by a quorum knows that no other
// leader can arise before t + ElectionTimeout. It takes nine tenths of that as
// its lease, which leaves room for clocks that run at different rates. For
// example, with a timeout of 1000 ms a leader that was cut off at t = 5000 stops
// answering reads and giving orders at 5900, and the earliest vote for another
// falls at 6000. Counting missed heartbeats instead would let the cut-off leader
// go on until it noticed.
//
// A replica that starts refuses votes for ElectionTimeout too, since it may have
// answered a leader just before it stopped.
package consensus

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Limits of one message and of what may be under way to one replica.
const (
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 512 << 10
	maxEntriesInFlight   = 4096
	snapshotChunkBytes   = 128 << 10
)

// Role is a replica's part in its group.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Config sets up a Core.
type Config struct {
	Group fleet.GroupID
	ID    ReplicaID
	// ElectionTimeout is the time without a leader after which an election
	// may begin. The actual wait is up to twice as long, at random.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's messages.
	HeartbeatInterval time.Duration
	// Seed fixes the random waits.
	Seed uint64
	// HardState, Snapshot and Entries are what the disk held.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Now is the present time, on the clock that Tick and Step use.
	Now time.Duration
}

// Output is what must happen after the latest inputs.
type Output struct {
	BeforeSync []Message
	HardState  *HardState
	// Snapshot, when not nil, replaces the state machine and the whole log.
	Snapshot  *Snapshot
	Entries   []Entry
	AfterSync []Message
	Committed []Entry
}

// Core is one replica's consensus state. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	role Role

	hard          HardState
	hardDirty     bool
	log           entryLog
	members       Membership
	membersIndex  Index
	persisted     Index
	commit        Index
	applied       Index
	unsaved       Index // first entry that is not handed out for saving
	installed     *Snapshot
	leader        ReplicaID
	leaderHeard   time.Duration
	leaderCommit  Index
	deadline      time.Duration
	heartbeatAt   time.Duration
	votes         map[ReplicaID]bool
	forced        bool
	progress      map[ReplicaID]*progress
	round         uint64
	roundSent     map[uint64]time.Duration
	termStart     Index
	transferring  bool
	transferUntil time.Duration
	incoming      *incomingSnapshot
	early, late   []Message
}

// New returns a Core that continues from what the disk held.
func New(cfg Config) *Core {
	c := &Core{
		cfg:  cfg,
		rng:  rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		now:  cfg.Now,
		hard: cfg.HardState,
		log: entryLog{
			snapshot: cfg.Snapshot,
			entries:  append([]Entry(nil), cfg.Entries...),
		},
		commit:      cfg.Snapshot.Index,
		applied:     cfg.Snapshot.Index,
		leaderHeard: cfg.Now,
	}
	c.persisted = c.log.lastIndex()
	c.unsaved = c.persisted + 1
	c.refreshMembers()
	c.resetDeadline()
	return c
}

// Status is a replica's view of its group.
type Status struct {
	ID         ReplicaID  `json:"id"`
	Role       string     `json:"role"`
	Term       Term       `json:"term"`
	Leader     ReplicaID  `json:"leader"`
	Commit     Index      `json:"commit"`
	Applied    Index      `json:"applied"`
	LastIndex  Index      `json:"lastIndex"`
	FirstIndex Index      `json:"firstIndex"`
	Members    Membership `json:"members"`
}

// Status returns the present view.
func (c *Core) Status() Status {
	return Status{
		ID:         c.cfg.ID,
		Role:       c.role.String(),
		Term:       c.hard.Term,
		Leader:     c.leader,
		Commit:     c.commit,
		Applied:    c.applied,
		LastIndex:  c.log.lastIndex(),
		FirstIndex: c.log.snapshot.Index + 1,
		Members:    c.members,
	}
}

// Leader returns the leader that the replica follows, or 0.
func (c *Core) Leader() ReplicaID {
	return c.leader
}

// IsLeader reports whether the replica leads, with or without a lease.
func (c *Core) IsLeader() bool {
	return c.role == RoleLeader
}

// Members returns the newest membership in the log.
func (c *Core) Members() Membership {
	return c.members
}

// Term returns the current term.
func (c *Core) Term() Term {
	return c.hard.Term
}

// HoldsLease reports whether the replica leads, has committed an entry of its own
// term, and no other leader can exist at the given time.
func (c *Core) HoldsLease(now time.Duration) bool {
	return c.role == RoleLeader && !c.transferring && c.commit >= c.termStart && now < c.leaseEnd()
}

// AppliedAll reports whether the replica has handed out all that it knows to be committed.
// Between Step and Persisted it may not have.
func (c *Core) AppliedAll() bool {
	return c.applied >= c.commit
}

func (c *Core) leaseEnd() time.Duration {
	return c.quorumHeard() + c.cfg.ElectionTimeout*9/10
}

// quorumHeard returns the newest time such that a quorum has answered a message
// sent at that time or later.
func (c *Core) quorumHeard() time.Duration {
	var heard []time.Duration
	for _, r := range c.members.Replicas {
		switch {
		case !r.Voter:
		case r.ID == c.cfg.ID:
			heard = append(heard, c.now)
		case c.progress[r.ID] != nil:
			heard = append(heard, c.progress[r.ID].heard)
		}
	}
	if len(heard) == 0 {
		return 0
	}
	sort.Slice(heard, func(i, j int) bool { return heard[i] > heard[j] })
	return heard[len(heard)/2]
}

// Fresh reports whether the replica has, within the given time, applied all that
// its leader had committed. A replica that is not fresh may be cut off.
func (c *Core) Fresh(now, within time.Duration) bool {
	if c.role == RoleLeader {
		return c.HoldsLease(now)
	}
	return c.leader != 0 && now-c.leaderHeard <= within && c.applied >= c.leaderCommit
}

// Output returns what must happen next and empties it.
func (c *Core) Output() Output {
	out := Output{
		BeforeSync: c.early,
		Snapshot:   c.installed,
		AfterSync:  c.late,
	}
	c.early, c.late, c.installed = nil, nil, nil
	if c.hardDirty {
		hard := c.hard
		out.HardState = &hard
		c.hardDirty = false
	}
	if last := c.log.lastIndex(); c.unsaved <= last {
		out.Entries = c.log.slice(c.unsaved, last)
		c.unsaved = last + 1
	}
	return out
}

// Persisted tells that what the latest Output named is synced, and returns the
// committed entries that have yet to be applied. The caller applies them at once.
func (c *Core) Persisted() []Entry {
	c.persisted = c.unsaved - 1
	if c.role == RoleLeader {
		c.advanceCommit()
	}
	from := c.applied + 1
	to := min(c.commit, c.persisted)
	if from > to {
		return nil
	}
	c.applied = to
	return c.log.slice(from, to)
}

// Compact drops the log up to a snapshot that the caller has taken of its state
// machine and synced.
func (c *Core) Compact(index Index, data []byte) Snapshot {
	snapshot := Snapshot{
		Index:      index,
		Term:       c.log.term(index),
		Membership: c.log.membershipAt(index),
		Data:       data,
	}
	c.log.compact(snapshot)
	return snapshot
}

// Entries returns the log after the snapshot.
func (c *Core) Entries() []Entry {
	return c.log.entries
}

// HardState returns the term and vote.
func (c *Core) HardState() HardState {
	return c.hard
}

// SnapshotIndex returns the index up to which the log is compacted.
func (c *Core) SnapshotIndex() Index {
	return c.log.snapshot.Index
}

// Tick moves the time on.
func (c *Core) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	me, member := c.members.Find(c.cfg.ID)
	if member && me.Voter && c.now >= c.deadline {
		c.campaign(false)
	}
}

func (c *Core) tickLeader() {
	if c.transferring && c.now >= c.transferUntil {
		// The lease cannot be taken up again: the other replica's forced
		// campaign may still be under way.
		c.follow(c.hard.Term, 0)
		return
	}
	if c.now-c.quorumHeard() > 2*c.cfg.ElectionTimeout {
		c.follow(c.hard.Term, 0)
		return
	}
	if c.now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = c.now + c.cfg.HeartbeatInterval
	for _, r := range c.members.Replicas {
		if r.ID != c.cfg.ID {
			c.heartbeat(r.ID)
		}
	}
}

func (c *Core) resetDeadline() {
	wait := c.cfg.ElectionTimeout + time.Duration(c.rng.Int64N(int64(c.cfg.ElectionTimeout)))
	c.deadline = c.now + wait
}

func (c *Core) refreshMembers() {
	c.members, c.membersIndex = c.log.membership()
}

func (c *Core) setHard(hard HardState) {
	if hard != c.hard {
		c.hard = hard
		c.hardDirty = true
	}
}

// follow makes the replica a follower.
func (c *Core) follow(term Term, leader ReplicaID) {
	if term > c.hard.Term {
		c.setHard(HardState{Term: term})
	}
	c.role = RoleFollower
	c.leader = leader
	c.progress = nil
	c.votes = nil
	c.forced = false
	c.transferring = false
	c.resetDeadline()
}

func (c *Core) sendLate(m Message) {
	c.late = append(c.late, c.stamp(m))
}

func (c *Core) sendEarly(m Message) {
	c.early = append(c.early, c.stamp(m))
}

func (c *Core) stamp(m Message) Message {
	m.Group = c.cfg.Group
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	return m
}
