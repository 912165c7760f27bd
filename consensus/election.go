package consensus

import (
	"time"
)

// campaign starts a pre-vote or, if forced, an election. A leader that is stopping
// forces an election by MessageCampaign.
func (c *Core) campaign(forced bool) {
	c.schedulePreVoteRetry()
	if !forced && c.refusesVotes() {
		// The leader's lease relies on this replica's vote as well: the
		// replica must not vote for itself yet.
		return
	}
	c.leader = 0
	c.forced = forced
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	if forced {
		c.startElection()
		return
	}
	c.role = RolePreCandidate
	if c.wonElection() {
		c.startElection()
		return
	}
	// A pre-vote requests the next term, in which the replica would campaign. A
	// response that grants it has the same term, by which it is matched.
	c.requestVotes(MessagePreVote, c.hardState.Term+1)
}

// schedulePreVoteRetry sets the election deadline to a short random time. Another
// replica may deny a pre-vote because its last message from the old leader is newer.
// A denied pre-vote changes no state, and the next one may soon succeed.
func (c *Core) schedulePreVoteRetry() {
	interval := c.cfg.ElectionTimeout / 8
	c.electionDeadline = c.now + interval + time.Duration(c.rng.Int64N(int64(interval)))
}

func (c *Core) startElection() {
	c.resetElectionDeadline()
	c.role = RoleCandidate
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	c.setHardState(HardState{
		Term: c.hardState.Term + 1,
		Vote: c.cfg.ID,
	})
	if c.wonElection() {
		c.becomeLeader()
		return
	}
	c.requestVotes(MessageVote, c.hardState.Term)
}

func (c *Core) requestVotes(kind MessageKind, term Term) {
	for _, r := range c.members.Replicas {
		if !r.Voter || r.ID == c.cfg.ID {
			continue
		}
		c.sendAfterSync(Message{
			Kind:    kind,
			To:      r.ID,
			Term:    term,
			Index:   c.log.lastIndex(),
			LogTerm: c.log.lastTerm(),
			Forced:  c.forced,
		})
	}
}

func (c *Core) wonElection() bool {
	granted := 0
	for _, r := range c.members.Replicas {
		if r.Voter && c.votes[r.ID] {
			granted++
		}
	}
	return granted > c.members.Voters()/2
}

// becomeLeader makes the replica the leader and appends an empty entry, because a
// leader can only determine what is committed from entries of its own term.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.cfg.ID
	c.progress = map[ReplicaID]*progress{}
	c.roundSentAt = map[uint64]time.Duration{}
	c.transferring = false
	c.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	c.commitBroadcastDue = never
	c.leaseCheckedAt = -1
	c.ensureProgress()
	c.termStart = c.log.lastIndex() + 1
	c.log.append(Entry{
		Index: c.termStart,
		Term:  c.hardState.Term,
		Kind:  EntryNoop,
	})
	c.replicateAll()
}

// refusesVotes reports whether a vote at the current time could violate the lease of
// a leader to which the replica has responded.
func (c *Core) refusesVotes() bool {
	return c.now < c.lastLeaderContact+c.cfg.ElectionTimeout
}

func (c *Core) candidateUpToDate(m Message) bool {
	lastTerm := c.log.lastTerm()
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= c.log.lastIndex()
}

func (c *Core) onPreVote(m Message) {
	leading := c.role == RoleLeader
	grant := !leading && !c.refusesVotes() && m.Term > c.hardState.Term && c.candidateUpToDate(m)
	response := Message{
		Kind:   MessagePreVoteResponse,
		To:     m.From,
		Term:   m.Term,
		Reject: !grant,
	}
	if !grant {
		// A candidate with an earlier term must learn the current term.
		// Otherwise the replica with the longest log might never be
		// elected.
		response.Term = c.hardState.Term
	}
	c.sendAfterSync(response)
}

func (c *Core) onPreVoteResponse(m Message) {
	if m.Reject && m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, 0)
		return
	}
	if c.role != RolePreCandidate || m.Term != c.hardState.Term+1 || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.wonElection() {
		c.startElection()
	}
}

func (c *Core) onVote(m Message) {
	if !m.Forced && c.refusesVotes() {
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, 0)
	}
	canVote := c.hardState.Vote == 0 || c.hardState.Vote == m.From
	grant := m.Term == c.hardState.Term && c.role == RoleFollower && canVote && c.candidateUpToDate(m)
	if grant {
		c.setHardState(HardState{
			Term: c.hardState.Term,
			Vote: m.From,
		})
		c.resetElectionDeadline()
	}
	c.sendAfterSync(Message{
		Kind:   MessageVoteResponse,
		To:     m.From,
		Reject: !grant,
	})
}

func (c *Core) onVoteResponse(m Message) {
	if c.role != RoleCandidate || m.Term != c.hardState.Term || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.wonElection() {
		c.becomeLeader()
	}
}

// TransferLeadership asks a voter that responds to start an election once it has the complete log, and
// reports whether there is one. Until then no command is accepted, so that it can catch up. The lease
// ends at once, because the forced election does not wait for it to expire.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader || c.transferring {
		return false
	}
	target := c.transferTarget()
	if target == 0 {
		return false
	}
	c.transferring = true
	c.transferTo = target
	c.transferUntil = c.now + c.cfg.ElectionTimeout
	c.requestCampaign()
	return true
}

// Resign makes a leader that cannot write a follower, which ends its lease. It returns the message that asks the
// voter with most of the log to start an election.
func (c *Core) Resign() []Message {
	if c.role != RoleLeader {
		return nil
	}
	target := c.transferTarget()
	c.becomeFollower(c.hardState.Term, 0)
	if target == 0 {
		return nil
	}
	return []Message{c.fillHeader(Message{
		Kind: MessageCampaign,
		To:   target,
	})}
}

// requestCampaign asks the target of a transfer to start an election if it has the complete log.
func (c *Core) requestCampaign() {
	p := c.progress[c.transferTo]
	if !c.transferring || c.transferTo == 0 || p == nil || p.match < c.log.lastIndex() {
		return
	}
	c.sendAfterSync(Message{
		Kind: MessageCampaign,
		To:   c.transferTo,
	})
	c.transferTo = 0
}

// transferTarget returns the voter that has most of the log among those that respond, or 0. One that has
// the complete log may have stopped since.
func (c *Core) transferTarget() ReplicaID {
	best := ReplicaID(0)
	for _, r := range c.members.Replicas {
		p := c.progress[r.ID]
		if !r.Voter || p == nil || c.now-p.lastContact >= c.cfg.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = r.ID
		}
	}
	return best
}
