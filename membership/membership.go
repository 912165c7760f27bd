// Package membership decides how the members of a control group change that forms itself.
//
// # The promise
//
// The settings say how many control VMs may fail at the same time, MaxFailures or f. Once the successor
// of a VM that was removed for good has caught up, the group bears f further failures again, whatever its
// size and however often its leader has changed meanwhile.
//
// A group of v voters, of which l respond, bears l - (v/2 + 1) further failures. Promoting a learner never
// lowers that number, and neither does removing a voter that is gone; removing it from an even number of
// voters raises it. So a learner that has caught up is promoted first, and a voter that is gone is removed as
// soon as 2f+1 others remain and the removal helps.
//
// For example, three VMs bear one failure. One is destroyed and another replaces it: the group has four
// voters for a moment, one of them gone, and then three. Without a successor the group keeps its three
// voters: with two it would bear no failure even once the third VM is back.
//
// # Who is gone
//
// Each replica measures how long it has not heard the others, so that a new leader goes on where the old one
// stopped. See Hearing. A voter is also gone if its VM announces another replica, because it has lost its
// disk, or if it has announced that it is stopping.
//
// The package is a pure state machine. All times are on the caller's clock.
package membership

import (
	"strings"
	"time"

	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Timeouts of the decisions.
const (
	// VoterTimeout is the silence after which a voter counts as gone. It is longer than most
	// restarts, and shorter than the time in which a successor has to restore the promise.
	VoterTimeout = 2500 * time.Millisecond
	// LearnerTimeout is the silence after which a learner is removed. A learner weakens nothing, and
	// removing one that installs a large snapshot would start the transfer anew.
	LearnerTimeout = 10 * time.Second
	// JoinTimeout is the age of the latest message of a VM up to which it may be added to the group.
	JoinTimeout = 2 * time.Second
)

// Peer is a VM's latest announcement.
type Peer struct {
	Node    fleet.NodeID
	Replica consensus.ReplicaID
	// Leaving is set if the VM's process is stopping.
	Leaving bool
}

// Group is what a leader knows of its group.
type Group struct {
	Members consensus.Membership
	// Self is the leader, SelfLeaving whether its process is stopping.
	Self        consensus.ReplicaID
	SelfLeaving bool
	// MaxFailures is how many VMs may fail at the same time.
	MaxFailures int
	Peers       []Peer
	Hearing     *Hearing
	Now         time.Duration
	// CaughtUp reports whether a member has the committed entries and responds.
	CaughtUp func(consensus.ReplicaID) bool
}

// Action is the kind of a Change.
type Action string

// The values of Action.
const (
	// Add makes a replica a learner.
	Add     Action = "add"
	Promote Action = "promote"
	Remove  Action = "remove"
)

// Change is a change of one member.
type Change struct {
	Action  Action
	Replica consensus.Replica
}

// Apply returns the membership after the change.
func (c Change) Apply(members consensus.Membership) consensus.Membership {
	if c.Action == Remove {
		return members.Without(c.Replica.ID)
	}
	return members.With(c.Replica)
}

// Next returns the next change of the group, or false if none is due.
func (g Group) Next() (Change, bool) {
	for _, find := range []func() (consensus.Replica, bool){g.replaced, g.goneVoter, g.silentLearner} {
		if m, ok := find(); ok {
			return Change{
				Action:  Remove,
				Replica: m,
			}, true
		}
	}
	if m, ok := g.promotable(); ok {
		m.Voter = true
		return Change{
			Action:  Promote,
			Replica: m,
		}, true
	}
	if m, ok := g.newcomer(); ok {
		return Change{
			Action:  Add,
			Replica: m,
		}, true
	}
	return Change{}, false
}

// Bears returns how many further failures the group bears; it is negative without a majority.
func (g Group) Bears() int {
	return g.Members.Voters() - len(g.goneVoters()) - g.majority()
}

// BearsStop reports whether the group keeps its majority when the leader's process stops.
func (g Group) BearsStop() bool {
	running := g.Members.Voters() - len(g.goneVoters())
	if self, ok := g.Members.Find(g.Self); ok && self.Voter && !g.SelfLeaving {
		running--
	}
	return running >= g.majority()
}

func (g Group) silence(m consensus.Replica) time.Duration {
	return g.Hearing.Silence(m.ID, g.Now)
}

func (g Group) majority() int {
	return g.Members.Voters()/2 + 1
}

// minVoters is the number of voters needed to bear MaxFailures.
func (g Group) minVoters() int {
	return 2*g.MaxFailures + 1
}

// goneVoters returns the voters that do not count on, in the order of their membership.
func (g Group) goneVoters() []consensus.Replica {
	var gone []consensus.Replica
	for _, m := range g.Members.Replicas {
		if m.Voter && g.gone(m) {
			gone = append(gone, m)
		}
	}
	return gone
}

// GoneNodes returns the VMs of the voters that are gone, separated by spaces.
func (g Group) GoneNodes() string {
	var nodes []string
	for _, m := range g.goneVoters() {
		nodes = append(nodes, string(m.Node))
	}
	return strings.Join(nodes, " ")
}

func (g Group) gone(m consensus.Replica) bool {
	if m.ID == g.Self {
		return g.SelfLeaving
	}
	return g.superseded(m) || g.leaving(m) || g.silence(m) > VoterTimeout
}

// superseded reports whether the member's VM announces another replica.
func (g Group) superseded(m consensus.Replica) bool {
	peer, ok := g.peer(m.Node)
	return ok && m.ID != g.Self && peer.Replica != m.ID
}

func (g Group) leaving(m consensus.Replica) bool {
	peer, ok := g.peer(m.Node)
	return ok && peer.Replica == m.ID && peer.Leaving
}

func (g Group) peer(node fleet.NodeID) (Peer, bool) {
	for _, p := range g.Peers {
		if p.Node == node {
			return p, true
		}
	}
	return Peer{}, false
}

// replaced returns a superseded member whose successor is a voter, or that is itself a learner. Until
// then the acknowledged entries are on more disks than before, never on fewer.
func (g Group) replaced() (consensus.Replica, bool) {
	for _, m := range g.Members.Replicas {
		if !g.superseded(m) {
			continue
		}
		peer, _ := g.peer(m.Node)
		if successor, member := g.Members.Find(peer.Replica); !m.Voter || member && successor.Voter {
			return m, true
		}
	}
	return consensus.Replica{}, false
}

// goneVoter returns the voter that has been gone longest if its removal helps: the group bears less than
// it has to, or an even number of voters becomes odd.
func (g Group) goneVoter() (consensus.Replica, bool) {
	voters := g.Members.Voters()
	if voters <= g.minVoters() {
		return consensus.Replica{}, false
	}
	short := g.Bears() < g.MaxFailures
	found := false
	var longest consensus.Replica
	for _, m := range g.goneVoters() {
		// A process that is stopping mostly comes back at once.
		stopping := g.silence(m) <= VoterTimeout
		helps := voters%2 == 0 || short && !stopping
		if m.ID == g.Self || !helps {
			continue
		}
		if !found || g.silence(m) > g.silence(longest) {
			found, longest = true, m
		}
	}
	return longest, found
}

func (g Group) silentLearner() (consensus.Replica, bool) {
	for _, m := range g.Members.Replicas {
		if !m.Voter && g.silence(m) > LearnerTimeout {
			return m, true
		}
	}
	return consensus.Replica{}, false
}

func (g Group) promotable() (consensus.Replica, bool) {
	if g.keepsStandby() {
		return consensus.Replica{}, false
	}
	for _, m := range g.Members.Replicas {
		if !m.Voter && !g.gone(m) && g.CaughtUp(m.ID) {
			return m, true
		}
	}
	return consensus.Replica{}, false
}

// keepsStandby reports whether a learner waits until the only voter stops: of two voters, none may fail.
func (g Group) keepsStandby() bool {
	return g.minVoters() == 1 && g.Members.Voters() == 1 && len(g.goneVoters()) == 0
}

// newcomer returns a VM that is not a member and has just announced itself.
func (g Group) newcomer() (consensus.Replica, bool) {
	for _, p := range g.Peers {
		_, member := g.Members.Find(p.Replica)
		if member || p.Leaving || !g.Hearing.HeardWithin(p.Replica, JoinTimeout, g.Now) {
			continue
		}
		return consensus.Replica{
			ID:   p.Replica,
			Node: p.Node,
		}, true
	}
	return consensus.Replica{}, false
}
