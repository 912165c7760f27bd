package consensus

import (
	"github.com/waxwingreel/waxwingreel/fleet"
)

// ReplicaID identifies one replica by its disk: a VM that lost its disk comes
// back under a new id, so that it never votes as its old self. 0 is no replica.
type ReplicaID uint64

// Term and Index place an entry in the log.
type (
	// Term numbers the leaders.
	Term uint64
	// Index numbers the log's entries from 1.
	Index uint64
)

// EntryKind tells what an entry's data is.
type EntryKind uint8

// The kinds of entry.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryMembership carries a new membership.
	EntryMembership
	// EntryNoop opens a leader's term.
	EntryNoop
)

// Entry is one entry of the log.
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
	// Voter is false for a learner, which follows the log without voting.
	Voter bool `json:"voter"`
}

// Membership lists the members of the group.
type Membership struct {
	Replicas []Replica `json:"replicas"`
}

// Find returns the member with this id.
func (m Membership) Find(id ReplicaID) (Replica, bool) {
	for _, r := range m.Replicas {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// Voters returns how many members vote.
func (m Membership) Voters() int {
	n := 0
	for _, r := range m.Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// With returns the membership with one member added or replaced.
func (m Membership) With(replica Replica) Membership {
	next := m.Without(replica.ID)
	next.Replicas = append(next.Replicas, replica)
	return next
}

// Without returns the membership less one member.
func (m Membership) Without(id ReplicaID) Membership {
	next := Membership{}
	for _, r := range m.Replicas {
		if r.ID != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}

// HardState is what a replica must have synced before it answers.
type HardState struct {
	Term Term      `json:"term"`
	Vote ReplicaID `json:"vote"`
}

// Snapshot is the state machine's state at an index, which replaces the log up to
// there.
type Snapshot struct {
	Index      Index      `json:"index"`
	Term       Term       `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// MessageKind tells what a message is for.
type MessageKind uint8

// The kinds of message.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageSnapshot
	MessageSnapshotResponse
	// MessageCampaign tells the receiver to campaign at once, because the
	// leader is stopping.
	MessageCampaign
)

// Message passes between two replicas of one group. Which fields count depends on
// its kind.
type Message struct {
	Group fleet.GroupID `json:"group"`
	Kind  MessageKind   `json:"kind"`
	From  ReplicaID     `json:"from"`
	To    ReplicaID     `json:"to"`
	Term  Term          `json:"term"`
	// Index and LogTerm are the entry before Entries, the candidate's last
	// entry, or the snapshot's place.
	Index   Index   `json:"index,omitempty"`
	LogTerm Term    `json:"logTerm,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  Index   `json:"commit,omitempty"`
	// Round numbers the leader's messages; an answer repeats it, which tells
	// the leader when the message that is answered was sent.
	Round  uint64 `json:"round,omitempty"`
	Reject bool   `json:"reject,omitempty"`
	// Forced marks a vote request made at the leader's wish.
	Forced bool `json:"forced,omitempty"`
	// Chunk is a piece of a snapshot, Offset its place and Total the
	// snapshot's size, all in bytes.
	Chunk      []byte      `json:"chunk,omitempty"`
	Offset     int         `json:"offset,omitempty"`
	Total      int         `json:"total,omitempty"`
	Membership *Membership `json:"membership,omitempty"`
}
