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

// manageGroup forms the group on the first start, and later keeps its membership
// at what operators ask for.
func (r *Replica) manageGroup() {
	switch {
	case !r.formed():
		r.bootstrap()
	case r.core.IsLeader():
		r.adjustMembers()
	}
}

// bootstrap starts a new group of this replica alone, which then takes in the
// others as it would take in a replaced VM.
//
// The bootstrap VM may come back with an empty disk while the group lives on
// elsewhere. A second group beside the first would promise the same budgets twice.
// So every listed VM must first say that it belongs to no group; a VM that cannot
// be heard is waited for.
func (r *Replica) bootstrap() {
	if !r.cfg.Bootstrap {
		return
	}
	if r.selfForming() {
		if r.mayFound() {
			r.found()
		}
		return
	}
	for _, p := range r.cfg.Peers {
		if p.Node == r.cfg.Node {
			continue
		}
		heard, ok := r.peers[p.Node]
		if !ok || heard.Formed {
			return
		}
	}
	r.found()
}

// found begins a group of this replica alone.
func (r *Replica) found() {
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
	if err := r.journal.SaveSnapshot(first, hard, nil); err != nil {
		r.fail(err)
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
		Now:               clock.Boot(),
	})
	r.applied = first.Index
	r.cfg.Log.Info(event.GroupFormed).Msg("a new control group was formed")
}

// adjustMembers makes at most one change of membership at a time, in this order:
// promote a learner that has caught up, remove a replica whose VM has a promoted
// successor or is no longer wanted, add a learner for a VM that has none.
//
// A VM that lost its disk comes back under a new replica id. It is added as a
// learner, promoted once it has caught up, and only then is its old id removed:
// in between, what is acknowledged is on more disks than before, never on fewer.
func (r *Replica) adjustMembers() {
	if r.selfForming() {
		r.adjustSelfForming()
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
		heard, ok := r.peers[node]
		if !ok || heard.Formed && !r.isMember(members, heard.Replica) && r.hasVoter(members, node) {
			continue
		}
		if r.isMember(members, heard.Replica) {
			continue
		}
		r.addLearner(members, node, heard.Replica)
		return
	}
}

// promoteOrRemove promotes a learner that has caught up and is wanted, or else removes a
// member that is not. It reports whether there was one.
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
		Msg("control group changes its membership")
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

// obsolete reports whether a member is to be removed: its VM is not wanted, or
// its VM announces another replica that already votes.
func (r *Replica) obsolete(members consensus.Membership, wanted []fleet.NodeID, m consensus.Replica) bool {
	if !slices.Contains(wanted, m.Node) {
		return members.Voters() > 1 || !m.Voter
	}
	heard, ok := r.peers[m.Node]
	if !ok || heard.Replica == m.ID || m.ID == r.id {
		return false
	}
	successor, member := members.Find(heard.Replica)
	return !m.Voter || member && successor.Voter
}

// wantedNodes lists the VMs that are to carry a replica: those that tickets name
// or, while none is named, those of the settings.
func (r *Replica) wantedNodes() []fleet.NodeID {
	var wanted []fleet.NodeID
	named := false
	r.machine.catalog.Each(catalog.KindNode, func(o catalog.Object) {
		named = named || o.Body.Node.Control
		if o.Body.Node.Control && !o.Body.Node.Gone {
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

// tellPeers announces this replica and the nodes it hears, and turns silent nodes
// dead.
func (r *Replica) tellPeers(now time.Duration) {
	if r.table.MarkDead(now) {
		r.notify(effects{ending: true})
	}
	interval := announceInterval
	if r.selfForming() && r.core.Leader() == 0 {
		interval = lostInterval
	}
	if now-r.announced < interval {
		return
	}
	r.announced = now
	announcement := Announcement{
		Node:    r.cfg.Node,
		Replica: r.id,
		Address: r.cfg.Endpoint.Address(),
		Formed:  r.formed(),
		Reports: r.heardReports(now),
	}
	if r.selfForming() {
		announcement.Contacts = r.knownContacts()
	}
	told := map[fleet.NodeID]bool{r.cfg.Node: true}
	for _, a := range r.peers {
		told[a.Node] = true
		r.cfg.Endpoint.Send(a.Address, MethodAnnounce, announcement)
	}
	for _, p := range r.cfg.Peers {
		if !told[p.Node] {
			r.cfg.Endpoint.Send(p.Address, MethodAnnounce, announcement)
		}
	}
	r.announceToContacts(announcement)
}

// heardReports returns the nodes that this replica itself heard of lately.
func (r *Replica) heardReports(now time.Duration) []roster.Report {
	var reports []roster.Report
	for node, report := range r.direct {
		age := now - r.directAt[node]
		if age > roster.DeadAfter {
			delete(r.direct, node)
			delete(r.directAt, node)
			continue
		}
		report.AgeMillis = age.Milliseconds()
		reports = append(reports, report)
	}
	return reports
}

func (r *Replica) hearAnnouncement(a Announcement) {
	if a.Node == r.cfg.Node {
		return
	}
	r.peers[a.Node] = a
	now := clock.Boot()
	r.heardAt[a.Node] = now
	r.learnContacts(a)
	changed := false
	for _, report := range a.Reports {
		changed = r.table.Merge(report, now) || changed
	}
	if changed {
		r.notify(effects{ending: true})
	}
}
