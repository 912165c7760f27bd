package consensus

import (
	"github.com/waxwingreel/waxwingreel/fleet"
)

// ReplicaID identifies a replica and its disk. A VM that lost its disk returns with
// a new ID, so that it cannot vote again in a term in which it has voted. 0 means
// no replica.
type ReplicaID uint64

// Term and Index identify an entry of the log.
type (
	// Term is a Raft term, which has at most one leader.
	Term uint64
	// Index is the position of an entry in the log, counted from 1.
	Index uint64
)

// EntryKind is the type of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	// EntryCommand contains a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryMembership contains a new membership.
	EntryMembership
	// EntryNoop is the first entry of a leader's term and contains no data.
	EntryNoop
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index      Index       `json:"index"`
	Term       Term        `json:"term"`
	Kind       EntryKind   `json:"kind"`
	Data       []byte      `json:"data,omitempty"`
	Membership *Membership `json:"membership,omitempty"`
}

// Replica is one member of the group.
type Replica struct {
	ID   ReplicaID    `json:"id"`
	Node fleet.NodeID `json:"node"`
	// Voter is false for a learner, which receives the log but does not vote.
	Voter bool `json:"voter"`
}

// Membership lists the members of the group.
type Membership struct {
	Replicas []Replica `json:"replicas"`
}

// Find returns the member with the given ID.
func (m Membership) Find(id ReplicaID) (Replica, bool) {
	for _, r := range m.Replicas {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, r := range m.Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// With returns a copy of the membership with one member added or replaced.
func (m Membership) With(replica Replica) Membership {
	next := m.Without(replica.ID)
	next.Replicas = append(next.Replicas, replica)
	return next
}

// Without returns a copy of the membership with one member removed.
func (m Membership) Without(id ReplicaID) Membership {
	next := Membership{}
	for _, r := range m.Replicas {
		if r.ID != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}

// HardState is the Raft state that a replica must sync before it responds.
type HardState struct {
	Term Term      `json:"term"`
	Vote ReplicaID `json:"vote"`
}

// Snapshot is the state machine's state at an index. It replaces the log up to and
// including that index.
type Snapshot struct {
	Index      Index      `json:"index"`
	Term       Term       `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// MessageKind is the type of a message.
type MessageKind uint8

// Message kinds. The kind of a response follows the kind of its request.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageSnapshot
	MessageSnapshotResponse
	// MessageCampaign requests that the receiver start an election at once,
	// because the leader is stopping. Raft calls it TimeoutNow.
	MessageCampaign
)

// Message is sent between two replicas of one group. Which fields are used depends
// on its kind.
type Message struct {
	Group fleet.GroupID `json:"group"`
	Kind  MessageKind   `json:"kind"`
	From  ReplicaID     `json:"from"`
	To    ReplicaID     `json:"to"`
	Term  Term          `json:"term"`
	// Index and LogTerm identify the entry before Entries, the candidate's
	// last entry, or the snapshot's last entry. In a response to an append,
	// Index is the last matching entry, or a hint at it if Reject is set.
	Index   Index   `json:"index,omitempty"`
	LogTerm Term    `json:"logTerm,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	// Commit is the leader's commit index. All messages of a leader to its followers
	// contain it.
	Commit Index `json:"commit,omitempty"`
	// Isolated is set if the leader did not hold its lease when it sent the message, so
	// that a later leader may have committed more than it knows.
	Isolated bool `json:"isolated,omitempty"`
	// Stamp is the time at which the sender sent the message, on a clock of its own. Echo is the
	// latest stamp that it had from the receiver, or 0. A message may arrive long after it was
	// sent; the echo shows the receiver how old it can be at most. Replicas of versions without
	// these fields send 0 in both.
	Stamp int64 `json:"stamp,omitempty"`
	Echo  int64 `json:"echo,omitempty"`
	// Round numbers the leader's messages. A response repeats it, so that the
	// leader can look up when it sent the original message.
	Round  uint64 `json:"round,omitempty"`
	Reject bool   `json:"reject,omitempty"`
	// Forced marks a vote request of an election that the leader requested.
	// Replicas vote on it even while the leader's lease lasts.
	Forced bool `json:"forced,omitempty"`
	// Chunk is a part of a snapshot's data, Offset its position and Total the
	// size of the data, both in bytes. In a response, Offset is the number of
	// bytes received.
	Chunk      []byte      `json:"chunk,omitempty"`
	Offset     int         `json:"offset,omitempty"`
	Total      int         `json:"total,omitempty"`
	Membership *Membership `json:"membership,omitempty"`
}

// valid reports whether the fields of a message agree with each other. A peer of another
// version or with damaged memory may send others, which must not end the process.
func (m Message) valid() bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+Index(i) || e.Kind == EntryMembership && e.Membership == nil {
			return false
		}
	}
	if m.Kind != MessageSnapshot {
		return true
	}
	return m.Membership != nil && m.Offset >= 0 && m.Offset <= m.Total && len(m.Chunk) <= m.Total-m.Offset
}
