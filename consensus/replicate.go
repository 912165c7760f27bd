package consensus

import (
	"math"
	"sort"
	"time"
)

// progress is a leader's view of the replication to another replica.
type progress struct {
	// match is the last entry that the replica has acknowledged, and next the
	// first entry to send.
	match Index
	next  Index
	// commitSent is the commit index up to which a message has let the replica commit.
	commitSent Index
	// base is the last log index when replication to this replica began. It
	// limits the entries in flight until the first acknowledgement.
	base Index
	// lastContact is the send time of the latest message to which the replica
	// has responded.
	lastContact time.Duration
	// lastProgress is the time of the replica's last acknowledgement of new
	// data, or of the last retransmission.
	lastProgress time.Duration
	// pendingSnapshot is the index of the snapshot that is being sent, or 0.
	pendingSnapshot Index
	// offset is the position of the last chunk sent, in bytes.
	offset int
}

func (c *Core) ensureProgress() {
	for _, r := range c.members.Replicas {
		if r.ID != c.cfg.ID && c.progress[r.ID] == nil {
			c.progress[r.ID] = &progress{
				next:         c.log.lastIndex() + 1,
				base:         c.log.lastIndex(),
				lastProgress: c.now,
			}
		}
	}
	for id := range c.progress {
		if _, member := c.members.Find(id); !member {
			delete(c.progress, id)
		}
	}
	if len(c.progress) > 0 && c.quorumContact() == 0 {
		// A new leader has the votes of a quorum but no responses yet. It
		// must not step down before it could have received any.
		for _, p := range c.progress {
			p.lastContact = c.now - c.cfg.ElectionTimeout
		}
	}
}

// Propose appends a command to the log and returns the index and term of its entry.
// It returns false if the replica is not the leader or is transferring leadership.
func (c *Core) Propose(data []byte) (Index, Term, bool) {
	if c.role != RoleLeader || c.transferring {
		return 0, 0, false
	}
	return c.propose(Entry{
		Kind: EntryCommand,
		Data: data,
	})
}

func (c *Core) propose(entry Entry) (Index, Term, bool) {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.hardState.Term
	c.log.append(entry)
	c.replicateAll()
	return entry.Index, entry.Term, true
}

// ProposeMembership appends a membership that differs from the current one by one
// member, and reports whether it did. It rejects the change while an earlier change
// is not committed, and until the leader has committed an entry of its own term.
func (c *Core) ProposeMembership(next Membership) bool {
	if c.role != RoleLeader || c.transferring || c.membersIndex > c.commit || c.commit < c.termStart {
		return false
	}
	if !differByOne(c.members, next) || next.Voters() == 0 {
		return false
	}
	c.log.append(Entry{
		Index:      c.log.lastIndex() + 1,
		Term:       c.hardState.Term,
		Kind:       EntryMembership,
		Membership: &next,
	})
	c.refreshMembers()
	c.ensureProgress()
	c.replicateAll()
	return true
}

func differByOne(a, b Membership) bool {
	changes := 0
	for _, r := range a.Replicas {
		other, ok := b.Find(r.ID)
		if !ok || other != r {
			changes++
		}
	}
	for _, r := range b.Replicas {
		if _, ok := a.Find(r.ID); !ok {
			changes++
		}
	}
	return changes == 1
}

// CaughtUp reports whether a member lacks at most one message of the committed entries and has responded to
// a message of the last election timeout. Under load each response is behind what was committed since.
func (c *Core) CaughtUp(id ReplicaID) bool {
	p := c.progress[id]
	if p == nil || p.match == 0 || p.pendingSnapshot != 0 {
		return false
	}
	return p.match+maxEntriesPerMessage >= c.commit && c.now-p.lastContact < c.cfg.ElectionTimeout
}

func (c *Core) replicateAll() {
	for _, r := range c.members.Replicas {
		if r.ID != c.cfg.ID {
			c.replicate(r.ID)
		}
	}
}

// replicate sends a member the entries that it lacks. It pipelines them: it does not
// wait for responses to earlier messages.
func (c *Core) replicate(id ReplicaID) {
	p := c.progress[id]
	for p.pendingSnapshot == 0 && p.next <= c.log.lastIndex() && p.next < max(p.match, p.base)+maxEntriesInFlight {
		if p.next <= c.log.snapshot.Index {
			c.startSnapshotTransfer(id, p)
			return
		}
		c.sendEntries(id, p, c.nextBatch(p.next))
	}
}

func (c *Core) nextBatch(from Index) []Entry {
	to := min(c.log.lastIndex(), from+maxEntriesPerMessage-1)
	entries := c.log.slice(from, to)
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxBytesPerMessage && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (c *Core) sendEntries(id ReplicaID, p *progress, entries []Entry) {
	previous := p.next - 1
	c.sendBeforeSync(Message{
		Kind:     MessageAppend,
		To:       id,
		Index:    previous,
		LogTerm:  c.log.term(previous),
		Entries:  entries,
		Commit:   c.commit,
		Isolated: c.isolated(),
		Round:    c.nextRound(),
	})
	p.next += Index(len(entries))
	p.commitSent = max(p.commitSent, min(c.commit, p.next-1))
}

func (c *Core) nextRound() uint64 {
	c.round++
	c.roundSentAt[c.round] = c.now
	oldest := c.now - 4*c.cfg.ElectionTimeout
	// Drop send times that are too old to extend a lease. Doing so only in every
	// 1024th round keeps the cost low.
	if c.round%1024 == 0 {
		for round, sent := range c.roundSentAt {
			if sent < oldest {
				delete(c.roundSentAt, round)
			}
		}
	}
	return c.round
}

// heartbeat sends a message that keeps a member from starting an election. If the
// member has made no progress for some time, it resends from the last acknowledged
// entry or snapshot chunk.
func (c *Core) heartbeat(id ReplicaID) {
	p := c.progress[id]
	stalled := c.now-p.lastProgress > 4*c.cfg.HeartbeatInterval
	if p.pendingSnapshot != 0 {
		if stalled {
			p.lastProgress = c.now
			c.sendSnapshotChunk(id, p)
			return
		}
		c.sendBeforeSync(Message{
			Kind:     MessageAppend,
			To:       id,
			Index:    0,
			Commit:   c.commit,
			Isolated: c.isolated(),
			Round:    c.nextRound(),
		})
		return
	}
	if p.match < c.log.lastIndex() && stalled {
		p.lastProgress = c.now
		p.next = p.match + 1
		c.replicate(id)
		return
	}
	previous := min(p.next-1, c.log.lastIndex())
	if previous < c.log.snapshot.Index {
		c.startSnapshotTransfer(id, p)
		return
	}
	c.sendEntries(id, p, nil)
}

// recordContact updates a member's lastContact with the send time of the message to
// which m responds. It returns nil if the sender is not a member.
func (c *Core) recordContact(m Message) *progress {
	p := c.progress[m.From]
	if p == nil {
		return nil
	}
	if sent, ok := c.roundSentAt[m.Round]; ok {
		p.lastContact = max(p.lastContact, sent)
	}
	return p
}

func (c *Core) onAppendResponse(m Message) {
	if c.role != RoleLeader || m.Term != c.hardState.Term {
		return
	}
	p := c.recordContact(m)
	if p == nil {
		return
	}
	if m.Reject {
		if p.pendingSnapshot == 0 {
			p.next = max(min(p.next-1, m.Index+1), p.match+1)
			c.sendProbe(m.From, p)
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.lastProgress = c.now
		p.next = max(p.next, p.match+1)
		if p.pendingSnapshot != 0 && p.match >= p.pendingSnapshot {
			p.pendingSnapshot = 0
		}
		c.advanceCommit()
		c.requestCampaign()
	}
	c.replicate(m.From)
}

// sendProbe sends an append even if there are no entries to send, to find the last
// entry at which the logs match.
func (c *Core) sendProbe(id ReplicaID, p *progress) {
	if p.next-1 < c.log.snapshot.Index {
		c.startSnapshotTransfer(id, p)
		return
	}
	c.sendEntries(id, p, c.nextBatch(p.next))
}

func (c *Core) advanceCommit() {
	var matches []Index
	for _, r := range c.members.Replicas {
		switch {
		case !r.Voter:
		case r.ID == c.cfg.ID:
			matches = append(matches, c.persisted)
		case c.progress[r.ID] != nil:
			matches = append(matches, c.progress[r.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	quorumMatch := matches[len(matches)/2]
	if quorumMatch <= c.commit || c.log.term(quorumMatch) != c.hardState.Term {
		return
	}
	c.commit = quorumMatch
	c.commitBroadcastDue = min(c.commitBroadcastDue, c.now+commitBroadcastDelay)
	if _, member := c.members.Find(c.cfg.ID); !member && c.membersIndex <= c.commit {
		c.broadcastCommit()
		c.becomeFollower(c.hardState.Term, 0)
	}
}

// commitBroadcastDelay is how long the leader waits for another message to a follower that can
// contain the new commit index. Under load there is one for every entry; without the delay there
// would be two.
const commitBroadcastDelay = 10 * time.Millisecond

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// broadcastCommit sends the commit index to the followers that no message has told it yet, so that
// their state machines do not wait for the next heartbeat.
func (c *Core) broadcastCommit() {
	c.commitBroadcastDue = never
	for _, r := range c.members.Replicas {
		p := c.progress[r.ID]
		if r.ID == c.cfg.ID || p == nil || p.pendingSnapshot != 0 || p.next <= c.log.snapshot.Index || p.commitSent >= c.commit {
			continue
		}
		c.sendEntries(r.ID, p, nil)
	}
}

func (c *Core) onAppend(m Message) {
	c.recordLeaderContact(m)
	if m.Index < c.commit {
		m = c.skipCommitted(m)
	}
	if !c.log.contains(m.Index, m.LogTerm) {
		c.respondAppend(m, c.rejectHint(m.Index), true)
		return
	}
	c.storeEntries(m.Entries)
	last := m.Index + Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	c.respondAppend(m, last, false)
}

// skipCommitted drops the entries of an append that this replica has already
// committed. They are the same as its own.
func (c *Core) skipCommitted(m Message) Message {
	skip := min(c.commit-m.Index, Index(len(m.Entries)))
	if m.Index+skip < c.commit {
		m.Index = c.commit
		m.LogTerm = c.log.term(c.commit)
		m.Entries = nil
		return m
	}
	m.Index += skip
	m.LogTerm = c.log.term(m.Index)
	m.Entries = m.Entries[skip:]
	return m
}

// rejectHint returns the highest index at which the logs may match. It skips all
// entries of the conflicting term.
func (c *Core) rejectHint(index Index) Index {
	hint := min(index-1, c.log.lastIndex())
	conflictTerm := c.log.term(min(index, c.log.lastIndex()))
	for hint > c.commit && c.log.term(hint) == conflictTerm && conflictTerm != 0 {
		hint--
	}
	return max(hint, c.commit)
}

func (c *Core) storeEntries(entries []Entry) {
	for len(entries) > 0 && c.log.contains(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	c.log.truncateAndAppend(entries)
	c.firstUnsaved = min(c.firstUnsaved, entries[0].Index)
	c.persisted = min(c.persisted, entries[0].Index-1)
	c.refreshMembers()
}

func (c *Core) respondAppend(m Message, index Index, reject bool) {
	c.sendAfterSync(Message{
		Kind:   MessageAppendResponse,
		To:     m.From,
		Index:  index,
		Reject: reject,
		Round:  m.Round,
	})
}

// recordLeaderContact handles a message from the leader of the current term.
func (c *Core) recordLeaderContact(m Message) {
	if c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastLeaderContact = c.now
	c.leaderCommit = max(c.leaderCommit, m.Commit)
	if !m.Isolated {
		c.lastFresh = max(c.lastFresh, c.sentAfter(m))
	}
	c.resetElectionDeadline()
}

// sentAfter returns a time before which a message was certainly not sent, or 0 if there is none. A
// message without a stamp comes from a version that sends none, and counts as sent when it arrives.
func (c *Core) sentAfter(m Message) time.Duration {
	if m.Stamp == 0 {
		return c.now
	}
	at, ok := c.EchoedAt(m.Echo)
	if !ok {
		return 0
	}
	return at
}

// StampFrom returns the latest stamp of another replica, or 0 if there is none.
func (c *Core) StampFrom(id ReplicaID) int64 {
	return c.stamps[id]
}

// EchoedAt returns the time at which this process made a stamp that another replica has sent back. It
// returns false for a stamp of an earlier process.
func (c *Core) EchoedAt(echo int64) (time.Duration, bool) {
	at := time.Duration(echo - c.stampBase)
	return at, echo != 0 && at >= c.cfg.Now && at <= c.now
}

// Step processes a message from another replica.
func (c *Core) Step(m Message, now time.Duration) {
	c.now = max(c.now, now)
	if m.To != c.cfg.ID || m.Group != c.cfg.Group || !m.valid() {
		return
	}
	if _, member := c.members.Find(m.From); member && m.Stamp != 0 {
		c.stamps[m.From] = m.Stamp
	}
	switch m.Kind {
	case MessagePreVote:
		c.onPreVote(m)
		return
	case MessagePreVoteResponse:
		c.onPreVoteResponse(m)
		return
	case MessageVote:
		c.onVote(m)
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, 0)
	}
	if m.Term < c.hardState.Term {
		c.rejectStaleLeader(m)
		return
	}
	switch m.Kind {
	case MessageVoteResponse:
		c.onVoteResponse(m)
	case MessageAppend:
		c.onAppend(m)
	case MessageAppendResponse:
		c.onAppendResponse(m)
	case MessageSnapshot:
		c.onSnapshot(m)
	case MessageSnapshotResponse:
		c.onSnapshotResponse(m)
	case MessageCampaign:
		c.onCampaign()
	}
}

// rejectStaleLeader responds to a leader of an earlier term, so that it learns the
// current term.
func (c *Core) rejectStaleLeader(m Message) {
	if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
		c.respondAppend(m, 0, true)
	}
}

func (c *Core) onCampaign() {
	self, member := c.members.Find(c.cfg.ID)
	if member && self.Voter {
		c.campaign(true)
	}
}
