package consensus

import (
	"time"
)

// campaign starts a round of pre-votes or, if forced by a leader that is
// stopping, an election.
func (c *Core) campaign(forced bool) {
	c.retryPreVoteSoon()
	if !forced && c.refusesVotes() {
		// The replica's own vote counts too: it promised the leader not to
		// give it yet.
		return
	}
	c.leader = 0
	c.forced = forced
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	if forced {
		c.elect()
		return
	}
	c.role = RolePreCandidate
	if c.won() {
		c.elect()
		return
	}
	// The answers to pre-votes are matched by the term they ask for, which
	// is one above the replica's own.
	c.askVotes(MessagePreVote, c.hard.Term+1)
}

// retryPreVoteSoon sets a short wait: a pre-vote that is not granted, since another
// replica heard the old leader a moment later, disturbs nobody and may be granted
// shortly.
func (c *Core) retryPreVoteSoon() {
	part := c.cfg.ElectionTimeout / 8
	c.deadline = c.now + part + time.Duration(c.rng.Int64N(int64(part)))
}

func (c *Core) elect() {
	c.resetDeadline()
	c.role = RoleCandidate
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	c.setHard(HardState{
		Term: c.hard.Term + 1,
		Vote: c.cfg.ID,
	})
	if c.won() {
		c.lead()
		return
	}
	c.askVotes(MessageVote, c.hard.Term)
}

func (c *Core) askVotes(kind MessageKind, term Term) {
	for _, r := range c.members.Replicas {
		if !r.Voter || r.ID == c.cfg.ID {
			continue
		}
		c.sendLate(Message{
			Kind:    kind,
			To:      r.ID,
			Term:    term,
			Index:   c.log.lastIndex(),
			LogTerm: c.log.lastTerm(),
			Forced:  c.forced,
		})
	}
}

func (c *Core) won() bool {
	granted := 0
	for _, r := range c.members.Replicas {
		if r.Voter && c.votes[r.ID] {
			granted++
		}
	}
	return granted > c.members.Voters()/2
}

// lead makes the replica leader and opens its term with an entry of its own: only
// entries of its own term tell it what is committed.
func (c *Core) lead() {
	c.role = RoleLeader
	c.leader = c.cfg.ID
	c.progress = map[ReplicaID]*progress{}
	c.roundSent = map[uint64]time.Duration{}
	c.transferring = false
	c.heartbeatAt = c.now + c.cfg.HeartbeatInterval
	c.ensureProgress()
	c.termStart = c.log.lastIndex() + 1
	c.log.append(Entry{
		Index: c.termStart,
		Term:  c.hard.Term,
		Kind:  EntryNoop,
	})
	c.replicateAll()
}

// refusesVotes reports whether a vote now could break the lease of a leader that
// the replica has answered.
func (c *Core) refusesVotes() bool {
	return c.now < c.leaderHeard+c.cfg.ElectionTimeout
}

func (c *Core) upToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= c.log.lastIndex()
}

func (c *Core) onPreVote(m Message) {
	leading := c.role == RoleLeader
	grant := !leading && !c.refusesVotes() && m.Term > c.hard.Term && c.upToDate(m)
	answer := Message{
		Kind:   MessagePreVoteResponse,
		To:     m.From,
		Term:   m.Term,
		Reject: !grant,
	}
	if !grant {
		// A candidate whose term is behind must hear of the later term, or
		// the replica with the longest log might never be elected.
		answer.Term = c.hard.Term
	}
	c.sendLate(answer)
}

func (c *Core) onPreVoteAnswer(m Message) {
	if m.Reject && m.Term > c.hard.Term {
		c.follow(m.Term, 0)
		return
	}
	if c.role != RolePreCandidate || m.Term != c.hard.Term+1 || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.elect()
	}
}

func (c *Core) onVote(m Message) {
	if !m.Forced && c.refusesVotes() {
		return
	}
	if m.Term > c.hard.Term {
		c.follow(m.Term, 0)
	}
	free := c.hard.Vote == 0 || c.hard.Vote == m.From
	grant := m.Term == c.hard.Term && c.role == RoleFollower && free && c.upToDate(m)
	if grant {
		c.setHard(HardState{
			Term: c.hard.Term,
			Vote: m.From,
		})
		c.resetDeadline()
	}
	c.sendLate(Message{
		Kind:   MessageVoteResponse,
		To:     m.From,
		Reject: !grant,
	})
}

func (c *Core) onVoteAnswer(m Message) {
	if c.role != RoleCandidate || m.Term != c.hard.Term || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.lead()
	}
}

// TransferLeadership asks a voter that holds the whole log to take over, and ends the lease at once:
// the vote that follows does not wait for the lease to run out.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader || c.transferring {
		return false
	}
	target := c.mostAdvanced()
	if target == 0 {
		return false
	}
	c.transferring = true
	c.transferUntil = c.now + c.cfg.ElectionTimeout
	c.sendLate(Message{
		Kind: MessageCampaign,
		To:   target,
	})
	return true
}

// mostAdvanced returns a voter that holds the whole log, or 0.
func (c *Core) mostAdvanced() ReplicaID {
	for _, r := range c.members.Replicas {
		p := c.progress[r.ID]
		if r.Voter && p != nil && p.match >= c.log.lastIndex() {
			return r.ID
		}
	}
	return 0
}
