package consensus

import (
	"sort"
	"time"
)

// progress is what a leader knows of another replica.
type progress struct {
	match Index
	next  Index
	// base is where sending began, before anything was confirmed.
	base Index
	// heard is when the newest message that was answered had been sent.
	heard time.Duration
	// moved is when the replica last moved on, or was last sent a probe.
	moved time.Duration
	// snapshot is the index of the snapshot under way, 0 for none.
	snapshot Index
	offset   int
}

func (c *Core) ensureProgress() {
	for _, r := range c.members.Replicas {
		if r.ID != c.cfg.ID && c.progress[r.ID] == nil {
			c.progress[r.ID] = &progress{
				next:  c.log.lastIndex() + 1,
				base:  c.log.lastIndex(),
				moved: c.now,
			}
		}
	}
	for id := range c.progress {
		if _, member := c.members.Find(id); !member {
			delete(c.progress, id)
		}
	}
	if len(c.progress) > 0 && c.quorumHeard() == 0 {
		// A fresh leader has the votes of a quorum but no answers yet: it
		// may not step down for want of answers before it could have any.
		for _, p := range c.progress {
			p.heard = c.now - c.cfg.ElectionTimeout
		}
	}
}

// Propose adds a command to the log. It reports false where the replica cannot
// take it.
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
	entry.Term = c.hard.Term
	c.log.append(entry)
	c.replicateAll()
	return entry.Index, entry.Term, true
}

// ProposeMembership adds a change of membership that differs by one member. One
// change at a time is taken, and none before the leader has committed an entry of
// its own term.
func (c *Core) ProposeMembership(next Membership) bool {
	if c.role != RoleLeader || c.transferring || c.membersIndex > c.commit || c.commit < c.termStart {
		return false
	}
	if !differByOne(c.members, next) || next.Voters() == 0 {
		return false
	}
	c.log.append(Entry{
		Index:      c.log.lastIndex() + 1,
		Term:       c.hard.Term,
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

// CaughtUp reports whether a member has all that is committed and was heard of
// within an election timeout.
func (c *Core) CaughtUp(id ReplicaID) bool {
	p := c.progress[id]
	return p != nil && p.match >= c.commit && c.now-p.heard < c.cfg.ElectionTimeout
}

func (c *Core) replicateAll() {
	for _, r := range c.members.Replicas {
		if r.ID != c.cfg.ID {
			c.replicate(r.ID)
		}
	}
}

// replicate sends a member what it lacks, without waiting for earlier answers.
func (c *Core) replicate(id ReplicaID) {
	p := c.progress[id]
	for p.snapshot == 0 && p.next <= c.log.lastIndex() && p.next < max(p.match, p.base)+maxEntriesInFlight {
		if p.next <= c.log.snapshot.Index {
			c.startSnapshot(id, p)
			return
		}
		c.sendEntries(id, p, c.batch(p.next))
	}
}

func (c *Core) batch(from Index) []Entry {
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
	c.sendEarly(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   previous,
		LogTerm: c.log.term(previous),
		Entries: entries,
		Commit:  c.commit,
		Round:   c.nextRound(),
	})
	p.next += Index(len(entries))
}

func (c *Core) nextRound() uint64 {
	c.round++
	c.roundSent[c.round] = c.now
	oldest := c.now - 4*c.cfg.ElectionTimeout
	if c.round%1024 == 0 {
		for round, sent := range c.roundSent {
			if sent < oldest {
				delete(c.roundSent, round)
			}
		}
	}
	return c.round
}

// heartbeat keeps a member from electing another leader, and goes back to what it
// last confirmed if it has not moved on for some time.
func (c *Core) heartbeat(id ReplicaID) {
	p := c.progress[id]
	stalled := c.now-p.moved > 4*c.cfg.HeartbeatInterval
	if p.snapshot != 0 {
		if stalled {
			p.moved = c.now
			c.sendChunk(id, p)
			return
		}
		c.sendEarly(Message{
			Kind:  MessageAppend,
			To:    id,
			Index: 0,
			Round: c.nextRound(),
		})
		return
	}
	if p.match < c.log.lastIndex() && stalled {
		p.moved = c.now
		p.next = p.match + 1
		c.replicate(id)
		return
	}
	previous := min(p.next-1, c.log.lastIndex())
	if previous < c.log.snapshot.Index {
		c.startSnapshot(id, p)
		return
	}
	c.sendEntries(id, p, nil)
}

// heardFrom takes note of when the answered message had been sent.
func (c *Core) heardFrom(m Message) *progress {
	p := c.progress[m.From]
	if p == nil {
		return nil
	}
	if sent, ok := c.roundSent[m.Round]; ok {
		p.heard = max(p.heard, sent)
	}
	return p
}

func (c *Core) onAppendAnswer(m Message) {
	if c.role != RoleLeader || m.Term != c.hard.Term {
		return
	}
	p := c.heardFrom(m)
	if p == nil {
		return
	}
	if m.Reject {
		if p.snapshot == 0 {
			p.next = max(min(p.next-1, m.Index+1), p.match+1)
			c.replicateFrom(m.From, p)
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.moved = c.now
		p.next = max(p.next, p.match+1)
		if p.snapshot != 0 && p.match >= p.snapshot {
			p.snapshot = 0
		}
		c.advanceCommit()
	}
	c.replicate(m.From)
}

// replicateFrom sends at least an empty append, so that the place where the logs
// agree is found.
func (c *Core) replicateFrom(id ReplicaID, p *progress) {
	if p.next-1 < c.log.snapshot.Index {
		c.startSnapshot(id, p)
		return
	}
	c.sendEntries(id, p, c.batch(p.next))
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
	quorum := matches[len(matches)/2]
	if quorum <= c.commit || c.log.term(quorum) != c.hard.Term {
		return
	}
	c.commit = quorum
	if _, member := c.members.Find(c.cfg.ID); !member && c.membersIndex <= c.commit {
		c.announceCommit()
		c.follow(c.hard.Term, 0)
		return
	}
	c.announceCommit()
}

// announceCommit tells the others at once, so that every replica's state machine
// is at most a message behind.
func (c *Core) announceCommit() {
	for _, r := range c.members.Replicas {
		p := c.progress[r.ID]
		if r.ID == c.cfg.ID || p == nil || p.snapshot != 0 || p.next <= c.log.snapshot.Index {
			continue
		}
		c.sendEntries(r.ID, p, nil)
	}
}

func (c *Core) onAppend(m Message) {
	c.heardLeader(m)
	c.leaderCommit = max(c.leaderCommit, m.Commit)
	if m.Index < c.commit {
		m = c.skipCommitted(m)
	}
	if !c.log.holds(m.Index, m.LogTerm) {
		c.answerAppend(m, c.rejectHint(m.Index), true)
		return
	}
	c.putEntries(m.Entries)
	last := m.Index + Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	c.answerAppend(m, last, false)
}

// skipCommitted drops the part of an append that is already committed here, which
// cannot differ.
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

// rejectHint returns the newest index at which the logs may agree.
func (c *Core) rejectHint(index Index) Index {
	hint := min(index-1, c.log.lastIndex())
	conflict := c.log.term(min(index, c.log.lastIndex()))
	for hint > c.commit && c.log.term(hint) == conflict && conflict != 0 {
		hint--
	}
	return max(hint, c.commit)
}

func (c *Core) putEntries(entries []Entry) {
	for len(entries) > 0 && c.log.holds(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	c.log.put(entries)
	c.unsaved = min(c.unsaved, entries[0].Index)
	c.persisted = min(c.persisted, entries[0].Index-1)
	c.refreshMembers()
}

func (c *Core) answerAppend(m Message, index Index, reject bool) {
	c.sendLate(Message{
		Kind:   MessageAppendResponse,
		To:     m.From,
		Index:  index,
		Reject: reject,
		Round:  m.Round,
	})
}

// heardLeader takes note of a message from the leader of the current term.
func (c *Core) heardLeader(m Message) {
	if c.role != RoleFollower || c.leader != m.From {
		c.follow(m.Term, m.From)
	}
	c.leaderHeard = c.now
	c.resetDeadline()
}

// Step takes in a message from another replica.
func (c *Core) Step(m Message, now time.Duration) {
	c.now = max(c.now, now)
	if m.To != c.cfg.ID || m.Group != c.cfg.Group {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		c.onPreVote(m)
		return
	case MessagePreVoteResponse:
		c.onPreVoteAnswer(m)
		return
	case MessageVote:
		c.onVote(m)
		return
	}
	if m.Term > c.hard.Term {
		c.follow(m.Term, 0)
	}
	if m.Term < c.hard.Term {
		c.tellOldLeader(m)
		return
	}
	switch m.Kind {
	case MessageVoteResponse:
		c.onVoteAnswer(m)
	case MessageAppend:
		c.onAppend(m)
	case MessageAppendResponse:
		c.onAppendAnswer(m)
	case MessageSnapshot:
		c.onSnapshot(m)
	case MessageSnapshotResponse:
		c.onSnapshotAnswer(m)
	case MessageCampaign:
		c.onCampaign()
	}
}

// tellOldLeader answers a leader of an earlier term, so that it learns of the
// later one.
func (c *Core) tellOldLeader(m Message) {
	if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
		c.answerAppend(m, 0, true)
	}
}

func (c *Core) onCampaign() {
	me, member := c.members.Find(c.cfg.ID)
	if member && me.Voter {
		c.campaign(true)
	}
}
