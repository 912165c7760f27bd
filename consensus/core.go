// Package consensus replicates a log among the control replicas of one group with
// the Raft algorithm, including pre-vote, check-quorum, a leader lease, learners
// and single-server membership changes.
//
// # Deterministic state machine
//
// Core reads no clock and does no I/O. The caller feeds it through Tick, Step,
// Propose and ProposeMembership. It then processes the result of Output in this
// order:
//
//  1. send Output.BeforeSync;
//  2. sync Output.Snapshot, Output.HardState and Output.Entries to disk;
//  3. call Persisted, and send Output.AfterSync;
//  4. apply the committed entries that Persisted returned to the state machine.
//
// BeforeSync contains only a leader's appends and snapshot chunks. They may be sent
// before the leader's own disk is synced, because the leader counts its own copy
// of an entry only after Persisted.
//
// # Leader lease
//
// A follower that receives a message from its leader refuses to vote for
// ElectionTimeout. So once a quorum has responded to a message that the leader sent
// at time t, no other leader can be elected before t + ElectionTimeout. The lease
// is nine tenths of that time, which tolerates clocks that run at different rates.
// For example, with a timeout of 1000 ms, a leader that is partitioned from the
// others at t = 5000 stops serving reads and issuing orders at 5900, and the
// earliest vote for another leader is at 6000. If the leader counted missed
// heartbeats instead, it would continue until it detected the partition.
//
// A replica also refuses to vote for ElectionTimeout after it starts, since it may
// have responded to a leader just before it stopped.
package consensus

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Limits of one message and of the entries in flight to one replica.
const (
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 512 << 10
	maxEntriesInFlight   = 4096
	snapshotChunkBytes   = 128 << 10
)

// Role is a replica's Raft role.
type Role uint8

// Roles of a replica. A pre-candidate asks the others whether it could win an
// election, before it increments its term.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role as it appears in Status.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Config holds the parameters and the recovered state of a Core.
type Config struct {
	Group fleet.GroupID
	ID    ReplicaID
	// ElectionTimeout is the minimum time without contact to a leader before
	// an election starts. The actual time is random, up to twice as long.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// Seed seeds the random election timeouts.
	Seed uint64
	// HardState, Snapshot and Entries are the state recovered from disk.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Now is the current time, on the clock that Tick and Step use.
	Now time.Duration
}

// Output holds the actions that the caller must take after the latest inputs. The
// package documentation gives their order.
type Output struct {
	BeforeSync []Message
	HardState  *HardState
	// Snapshot, if not nil, replaces the state machine and the entire log.
	Snapshot  *Snapshot
	Entries   []Entry
	AfterSync []Message
	Committed []Entry
}

// Core is the Raft state of one replica. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	role Role

	hardState         HardState
	hardStateDirty    bool
	log               entryLog
	members           Membership
	membersIndex      Index
	persisted         Index
	commit            Index
	applied           Index
	firstUnsaved      Index // first entry that Output has not returned yet
	installedSnapshot *Snapshot
	leader            ReplicaID
	lastLeaderContact time.Duration
	// lastFresh is the latest time after which a leader has sent a message while it held its
	// lease, leaderCommit the highest commit index that a leader has sent.
	lastFresh time.Duration
	// stampBase is added to the time in the stamps of this process, so that an echo of an earlier
	// process's stamp is recognized. stamps are the latest ones from the other members.
	stampBase        int64
	stamps           map[ReplicaID]int64
	leaderCommit     Index
	electionDeadline time.Duration
	nextHeartbeat    time.Duration
	votes            map[ReplicaID]bool
	forced           bool
	progress         map[ReplicaID]*progress
	round            uint64
	roundSentAt      map[uint64]time.Duration
	termStart        Index
	// commitBroadcastDue is when the leader sends its commit index to the followers that no
	// other message has told it.
	commitBroadcastDue time.Duration
	// leaseHeld is whether the leader held its lease at leaseCheckedAt.
	leaseHeld      bool
	leaseCheckedAt time.Duration
	transferring   bool
	// transferTo is the replica that has yet to be asked to campaign.
	transferTo            ReplicaID
	transferUntil         time.Duration
	incoming              *incomingSnapshot
	beforeSync, afterSync []Message
}

// New returns a Core that continues from the recovered state in cfg.
func New(cfg Config) *Core {
	c := &Core{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		now:       cfg.Now,
		hardState: cfg.HardState,
		log: entryLog{
			snapshot: cfg.Snapshot,
			entries:  append([]Entry(nil), cfg.Entries...),
		},
		commit:            cfg.Snapshot.Index,
		applied:           cfg.Snapshot.Index,
		lastLeaderContact: cfg.Now,
		stampBase:         1 + rand.New(rand.NewPCG(uint64(cfg.ID), uint64(cfg.Now))).Int64N(1<<61),
		stamps:            map[ReplicaID]int64{},
	}
	c.persisted = c.log.lastIndex()
	c.firstUnsaved = c.persisted + 1
	c.refreshMembers()
	c.resetElectionDeadline()
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

// Status returns the replica's current view of its group.
func (c *Core) Status() Status {
	return Status{
		ID:         c.cfg.ID,
		Role:       c.role.String(),
		Term:       c.hardState.Term,
		Leader:     c.leader,
		Commit:     c.commit,
		Applied:    c.applied,
		LastIndex:  c.log.lastIndex(),
		FirstIndex: c.log.snapshot.Index + 1,
		Members:    c.members,
	}
}

// Leader returns the leader that the replica follows, or 0 if there is none.
func (c *Core) Leader() ReplicaID {
	return c.leader
}

// IsLeader reports whether the replica is the leader, with or without a lease.
func (c *Core) IsLeader() bool {
	return c.role == RoleLeader
}

// Members returns the latest membership in the log, committed or not.
func (c *Core) Members() Membership {
	return c.members
}

// Term returns the current term.
func (c *Core) Term() Term {
	return c.hardState.Term
}

// TermStart returns the index of the first entry of the leader's term.
func (c *Core) TermStart() Index {
	return c.termStart
}

// HoldsLease reports whether the replica is the leader, has committed an entry of
// its own term, and no other leader can exist at the given time.
func (c *Core) HoldsLease(now time.Duration) bool {
	return c.role == RoleLeader && !c.transferring && c.commit >= c.termStart && now < c.leaseEnd()
}

// isolated reports whether the leader does not hold its lease. It is called for every message, so it
// looks for the contact to a quorum only once for each time; contact that is made meanwhile counts
// from the next time on.
func (c *Core) isolated() bool {
	if c.leaseCheckedAt != c.now {
		c.leaseCheckedAt = c.now
		c.leaseHeld = c.HoldsLease(c.now)
	}
	return !c.leaseHeld
}

// AppliedAll reports whether Persisted has returned every entry up to the commit
// index. Between Step and Persisted that may not be the case.
func (c *Core) AppliedAll() bool {
	return c.applied >= c.commit
}

func (c *Core) leaseEnd() time.Duration {
	return c.quorumContact() + c.cfg.ElectionTimeout*9/10
}

// quorumContact returns the latest time for which a quorum has responded to a
// message sent at that time or later.
func (c *Core) quorumContact() time.Duration {
	var contacts []time.Duration
	for _, r := range c.members.Replicas {
		switch {
		case !r.Voter:
		case r.ID == c.cfg.ID:
			contacts = append(contacts, c.now)
		case c.progress[r.ID] != nil:
			contacts = append(contacts, c.progress[r.ID].lastContact)
		}
	}
	if len(contacts) == 0 {
		return 0
	}
	sort.Slice(contacts, func(i, j int) bool { return contacts[i] > contacts[j] })
	return contacts[len(contacts)/2]
}

// UpToDate reports whether the replica has a message that a leader sent within the given time while
// it held its lease, and has applied all that the leader had committed. A replica that is
// not up to date may be partitioned from its leader. A leader is up to date while it
// holds its lease, once it has applied all that leaders before it may have acknowledged.
func (c *Core) UpToDate(now, within time.Duration) bool {
	if c.role == RoleLeader {
		return c.HoldsLease(now) && c.applied >= c.termStart
	}
	return c.leader != 0 && now-c.lastFresh <= within && c.applied >= c.leaderCommit
}

// FreshAt returns the latest time before which nothing was acknowledged that this replica has not
// applied. It is meaningful only while the replica is up to date.
func (c *Core) FreshAt(now time.Duration) time.Duration {
	if c.role == RoleLeader {
		return now
	}
	return c.lastFresh
}

// Output returns the pending work and clears it.
func (c *Core) Output() Output {
	out := Output{
		BeforeSync: c.beforeSync,
		Snapshot:   c.installedSnapshot,
		AfterSync:  c.afterSync,
	}
	c.beforeSync, c.afterSync, c.installedSnapshot = nil, nil, nil
	if c.hardStateDirty {
		hard := c.hardState
		out.HardState = &hard
		c.hardStateDirty = false
	}
	if last := c.log.lastIndex(); c.firstUnsaved <= last {
		out.Entries = c.log.slice(c.firstUnsaved, last)
		c.firstUnsaved = last + 1
	}
	return out
}

// Persisted records that the state in the latest Output is synced to disk. It
// returns the committed entries that are not yet applied, which the caller must
// apply at once.
func (c *Core) Persisted() []Entry {
	c.persisted = c.firstUnsaved - 1
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

// Compact replaces the log entries up to index by a snapshot, where data is the
// state machine's state at that index. The caller syncs the returned snapshot
// together with HardState and Entries.
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

// Entries returns the log entries that follow the snapshot.
func (c *Core) Entries() []Entry {
	return c.log.entries
}

// HardState returns the current term and vote.
func (c *Core) HardState() HardState {
	return c.hardState
}

// SnapshotIndex returns the index of the last compacted entry.
func (c *Core) SnapshotIndex() Index {
	return c.log.snapshot.Index
}

// Tick advances the clock, which may trigger heartbeats or an election.
func (c *Core) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	self, member := c.members.Find(c.cfg.ID)
	if member && self.Voter && c.now >= c.electionDeadline {
		c.campaign(false)
	}
}

func (c *Core) tickLeader() {
	if c.transferring && c.now >= c.transferUntil {
		// The lease cannot be resumed: vote requests of the target's forced
		// campaign may still be in flight.
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	// Check-quorum: a leader without contact to a quorum steps down.
	if c.now-c.quorumContact() > 2*c.cfg.ElectionTimeout {
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	if c.now >= c.commitBroadcastDue {
		c.broadcastCommit()
	}
	if c.now < c.nextHeartbeat {
		return
	}
	c.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	for _, r := range c.members.Replicas {
		if r.ID != c.cfg.ID {
			c.heartbeat(r.ID)
		}
	}
}

func (c *Core) resetElectionDeadline() {
	timeout := c.cfg.ElectionTimeout + time.Duration(c.rng.Int64N(int64(c.cfg.ElectionTimeout)))
	c.electionDeadline = c.now + timeout
}

func (c *Core) refreshMembers() {
	c.members, c.membersIndex = c.log.membership()
	for id := range c.stamps {
		if _, member := c.members.Find(id); !member {
			delete(c.stamps, id)
		}
	}
}

func (c *Core) setHardState(hard HardState) {
	if hard != c.hardState {
		c.hardState = hard
		c.hardStateDirty = true
	}
}

// becomeFollower makes the replica a follower in the given term. A leader of 0 means
// that the leader is not known.
func (c *Core) becomeFollower(term Term, leader ReplicaID) {
	if term > c.hardState.Term {
		c.setHardState(HardState{Term: term})
	}
	c.role = RoleFollower
	c.leader = leader
	c.progress = nil
	c.votes = nil
	c.forced = false
	c.transferring = false
	c.resetElectionDeadline()
}

func (c *Core) sendAfterSync(m Message) {
	c.afterSync = append(c.afterSync, c.fillHeader(m))
}

func (c *Core) sendBeforeSync(m Message) {
	c.beforeSync = append(c.beforeSync, c.fillHeader(m))
}

func (c *Core) fillHeader(m Message) Message {
	m.Group = c.cfg.Group
	m.From = c.cfg.ID
	m.Stamp = c.stampBase + int64(c.now)
	m.Echo = c.stamps[m.To]
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	return m
}
