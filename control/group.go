package control

import (
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
)

// formed reports whether this replica belongs to a group.
func (r *Replica) formed() bool {
	return len(r.core.Members().Replicas) > 0
}

// manageGroup forms the group on the first start. Later, on the leader, it keeps the
// membership as operators configured it.
func (r *Replica) manageGroup() {
	switch {
	case !r.formed():
		r.bootstrap()
	case r.core.IsLeader():
		r.adjustMembers()
	}
}

// bootstrap creates a group with this replica as its only member. The group then adds
// the other replicas in the same way as it adds a replaced VM.
//
// The bootstrap VM may restart with an empty disk while the group still exists on other
// VMs. A second group would grant the same budgets a second time. So every listed VM
// must first announce that it belongs to no group; bootstrap waits for a VM that does
// not announce itself.
func (r *Replica) bootstrap() {
	if !r.cfg.Bootstrap {
		return
	}
	if r.selfForming() {
		if r.mayCreateGroup() {
			r.createGroup()
		}
		return
	}
	for _, p := range r.cfg.Peers {
		if p.Node == r.cfg.Node {
			continue
		}
		peer, ok := r.peers[p.Node]
		if !ok || peer.Formed {
			return
		}
	}
	r.createGroup()
}

// createGroup creates a group with this replica as its only member.
func (r *Replica) createGroup() {
	first := consensus.Snapshot{
		Index: 1,
		Term:  1,
		Membership: consensus.Membership{
			Replicas: []consensus.Replica{{
				ID:    r.id,
				Node:  r.cfg.Node,
				Voter: true,
			}},
		},
	}
	hard := consensus.HardState{Term: 1}
	if clock.SinceBoot() < r.compactAgainAt {
		return
	}
	if err := r.journal.SaveSnapshot(first, hard, nil); err != nil {
		r.compactionFailed(err)
		return
	}
	r.core = consensus.New(consensus.Config{
		Group:             mainGroup,
		ID:                r.id,
		ElectionTimeout:   ElectionTimeout,
		HeartbeatInterval: heartbeatInterval,
		Seed:              uint64(r.id),
		HardState:         hard,
		Snapshot:          first,
		Now:               clock.SinceBoot(),
	})
	r.applied = first.Index
	r.cfg.Log.Info(event.GroupFormed).Msg("created a new control group")
}

// adjustMembers makes at most one membership change at a time, in this order: promote a
// learner that has caught up, remove a replica whose VM has a promoted successor or is
// no longer wanted, add a learner for a VM that has none.
//
// A VM that lost its disk returns with a new replica id. The new replica is added as
// a learner and promoted once it has caught up, and only then is the old id removed. In
// between, acknowledged entries are on more disks than before, never on fewer.
func (r *Replica) adjustMembers() {
	if r.selfForming() {
		r.adjustSelfFormingMembers()
		return
	}
	members := r.core.Members()
	wanted := r.wantedNodes()
	if r.promoteOrRemove(members,
		func(m consensus.Replica) bool { return slices.Contains(wanted, m.Node) },
		func(m consensus.Replica) bool { return r.obsolete(members, wanted, m) },
	) {
		return
	}
	for _, node := range wanted {
		peer, ok := r.peers[node]
		if !ok || peer.Formed && !r.isMember(members, peer.Replica) && r.hasVoter(members, node) {
			continue
		}
		if r.isMember(members, peer.Replica) {
			continue
		}
		r.addLearner(members, node, peer.Replica)
		return
	}
}

// promoteOrRemove promotes a wanted learner that has caught up or, if there is none,
// removes an obsolete member. It reports whether it did either.
func (r *Replica) promoteOrRemove(members consensus.Membership, wanted, obsolete func(consensus.Replica) bool) bool {
	for _, m := range members.Replicas {
		if !m.Voter && r.core.CaughtUp(m.ID) && wanted(m) {
			m.Voter = true
			r.changeMembers(members.With(m), event.MemberPromoted, m)
			return true
		}
	}
	for _, m := range members.Replicas {
		if obsolete(m) {
			r.changeMembers(members.Without(m.ID), event.MemberRemoved, m)
			return true
		}
	}
	return false
}

func (r *Replica) addLearner(members consensus.Membership, node fleet.NodeID, id consensus.ReplicaID) {
	learner := consensus.Replica{
		ID:   id,
		Node: node,
	}
	r.changeMembers(members.With(learner), event.MemberAdded, learner)
}

func (r *Replica) changeMembers(next consensus.Membership, id event.ID, changed consensus.Replica) {
	if !r.core.ProposeMembership(next) {
		return
	}
	r.cfg.Log.Info(id).
		Str("member", string(changed.Node)).
		Uint64("replica", uint64(changed.ID)).
		Int("voters", next.Voters()).
		Msg("proposed a membership change of the control group")
}

func (r *Replica) isMember(members consensus.Membership, id consensus.ReplicaID) bool {
	_, ok := members.Find(id)
	return ok
}

func (r *Replica) hasVoter(members consensus.Membership, node fleet.NodeID) bool {
	return slices.ContainsFunc(members.Replicas, func(m consensus.Replica) bool {
		return m.Node == node && m.Voter
	})
}

// obsolete reports whether a member is to be removed: its VM is not wanted, or its VM
// announces another replica and either that one is a voter or the member is a learner.
// The last voter is never removed.
func (r *Replica) obsolete(members consensus.Membership, wanted []fleet.NodeID, m consensus.Replica) bool {
	if !slices.Contains(wanted, m.Node) {
		return members.Voters() > 1 || !m.Voter
	}
	peer, ok := r.peers[m.Node]
	if !ok || peer.Replica == m.ID || m.ID == r.id {
		return false
	}
	successor, member := members.Find(peer.Replica)
	return !m.Voter || member && successor.Voter
}

// wantedNodes returns the VMs that should run a replica: those that tickets name or,
// while tickets name none, those of the settings.
func (r *Replica) wantedNodes() []fleet.NodeID {
	var wanted []fleet.NodeID
	named := false
	r.machine.catalog.Each(catalog.KindNode, func(o catalog.Object) {
		named = named || o.Body.Node.Control
		if o.Body.Node.Control && !o.Body.Node.Destroyed {
			wanted = append(wanted, o.Body.Node.ID)
		}
	})
	if !named {
		for _, p := range r.cfg.Peers {
			wanted = append(wanted, p.Node)
		}
	}
	slices.Sort(wanted)
	return wanted
}

// sendAnnouncements sets StateDead for unresponsive nodes and, once per interval,
// announces this replica and its node reports to the other control nodes.
func (r *Replica) sendAnnouncements(now time.Duration) {
	if now-r.lastMarkedDead >= tickInterval {
		r.lastMarkedDead = now
		r.limits.Advance(now)
		if changed := r.quarantine.Advance(now); r.table.MarkDead(now) || changed {
			r.notify(effects{nodes: true})
		}
	}
	r.passOnOrigins(now)
	interval := announceInterval
	if r.announceSoon || r.selfForming() && r.core.Leader() == 0 {
		interval = urgentAnnounceInterval
	}
	if now-r.lastAnnounced < interval || r.unsaved != nil {
		return
	}
	r.lastAnnounced = now
	r.announceSoon = false
	r.forgetPeers(now)
	announcement := Announcement{
		Node:      r.cfg.Node,
		Replica:   r.id,
		Address:   r.cfg.Endpoint.Address(),
		Formed:    r.formed(),
		Reports:   r.recentReports(now),
		Evacuates: true,
		Leaving:   r.leaving,
	}
	if r.selfForming() {
		announcement.Contacts = r.recentContacts()
	}
	sent := map[fleet.NodeID]bool{r.cfg.Node: true}
	for _, a := range r.peers {
		sent[a.Node] = true
		r.cfg.Endpoint.Send(a.Address, MethodAnnounce, announcement)
	}
	for _, p := range r.cfg.Peers {
		if !sent[p.Node] {
			r.cfg.Endpoint.Send(p.Address, MethodAnnounce, announcement)
		}
	}
	r.announceToContacts(announcement)
}

// forgetPeers drops VMs that have not announced themselves for peerTimeout and do not belong to the group. What is
// sent to them would only grow with each VM that was ever replaced.
func (r *Replica) forgetPeers(now time.Duration) {
	if !r.selfForming() {
		return
	}
	members := r.core.Members()
	for node, a := range r.peers {
		if now-r.peerAnnouncedAt[node] > peerTimeout && !r.isMember(members, a.Replica) {
			delete(r.peers, node)
			delete(r.peerAnnouncedAt, node)
		}
	}
}

// recentReports returns the reports that nodes sent to this replica itself within
// roster.DeadAfter. It drops older ones.
func (r *Replica) recentReports(now time.Duration) []roster.Report {
	var reports []roster.Report
	for node, report := range r.directReports {
		age := now - r.directReportAt[node]
		if age > roster.DeadAfter {
			delete(r.directReports, node)
			delete(r.directReportAt, node)
			continue
		}
		report.AgeMillis = age.Milliseconds()
		reports = append(reports, report)
	}
	return reports
}

// handleAnnouncement records another replica's announcement and merges its reports.
func (r *Replica) handleAnnouncement(a Announcement) {
	if a.Node == r.cfg.Node {
		return
	}
	r.peers[a.Node] = a
	now := clock.SinceBoot()
	r.peerAnnouncedAt[a.Node] = now
	r.hearing.Heard(a.Replica, now)
	r.learnContacts(a)
	changed := false
	for _, report := range a.Reports {
		changed = r.table.Merge(report, now) || changed
	}
	if changed {
		r.notify(effects{nodes: true})
	}
}
