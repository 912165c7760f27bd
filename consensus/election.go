package consensus

import (
	"time"
)

// campaign starts a round of pre-votes or, if forced by a leader that is
// stopping, an election.
func (c *Core) campaign(forced bool) {
	c.schedulePreVoteRetry()
	if !forced && c.refusesVotes() {
		// The replica's own vote counts too: it promised the leader not to
		// give it yet.
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
	// The answers to pre-votes are matched by the term they ask for, which
	// is one above the replica's own.
	c.requestVotes(MessagePreVote, c.hardState.Term+1)
}

// schedulePreVoteRetry sets a short wait: a pre-vote that is not granted, since another
// replica heard the old leader a moment later, disturbs nobody and may be granted
// shortly.
func (c *Core) schedulePreVoteRetry() {
	part := c.cfg.ElectionTimeout / 8
	c.electionDeadline = c.now + part + time.Duration(c.rng.Int64N(int64(part)))
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

// becomeLeader makes the replica leader and opens its term with an entry of its own: only
// entries of its own term tell it what is committed.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.cfg.ID
	c.progress = map[ReplicaID]*progress{}
	c.roundSentAt = map[uint64]time.Duration{}
	c.transferring = false
	c.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	c.ensureProgress()
	c.termStart = c.log.lastIndex() + 1
	c.log.append(Entry{
		Index: c.termStart,
		Term:  c.hardState.Term,
		Kind:  EntryNoop,
	})
	c.replicateAll()
}

// refusesVotes reports whether a vote now could break the lease of a leader that
// the replica has answered.
func (c *Core) refusesVotes() bool {
	return c.now < c.lastLeaderContact+c.cfg.ElectionTimeout
}

func (c *Core) candidateUpToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= c.log.lastIndex()
}

func (c *Core) onPreVote(m Message) {
	leading := c.role == RoleLeader
	grant := !leading && !c.refusesVotes() && m.Term > c.hardState.Term && c.candidateUpToDate(m)
	answer := Message{
		Kind:   MessagePreVoteAnswer,
		To:     m.From,
		Term:   m.Term,
		Reject: !grant,
	}
	if !grant {
		// A candidate whose term is behind must hear of the later term, or
		// the replica with the longest log might never be elected.
		answer.Term = c.hardState.Term
	}
	c.sendAfterSync(answer)
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
	free := c.hardState.Vote == 0 || c.hardState.Vote == m.From
	grant := m.Term == c.hardState.Term && c.role == RoleFollower && free && c.candidateUpToDate(m)
	if grant {
		c.setHardState(HardState{
			Term: c.hardState.Term,
			Vote: m.From,
		})
		c.resetElectionDeadline()
	}
	c.sendAfterSync(Message{
		Kind:   MessageVoteAnswer,
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

// Transfer asks a voter that holds the whole log to take over, and ends the lease at once:
// the vote that follows does not wait for the lease to run out.
func (c *Core) Transfer() bool {
	if c.role != RoleLeader || c.transferring {
		return false
	}
	target := c.transferTarget()
	if target == 0 {
		return false
	}
	c.transferring = true
	c.transferUntil = c.now + c.cfg.ElectionTimeout
	c.sendAfterSync(Message{
		Kind: MessageCampaign,
		To:   target,
	})
	return true
}

// transferTarget returns a voter that holds the whole log, or 0.
func (c *Core) transferTarget() ReplicaID {
	for _, r := range c.members.Replicas {
		p := c.progress[r.ID]
		if r.Voter && p != nil && p.match >= c.log.lastIndex() {
			return r.ID
		}
	}
	return 0
}
