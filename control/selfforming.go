package control

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/membership"
)

// A self-forming group is configured with the addresses of a few seeds only. Its
// settings contain neither the number of control VMs nor their names.
//
// # The first start
//
// All VMs start at about the same time, with empty disks and the same seeds. The seed
// with the lowest address creates a group with itself as the only member once every
// other seed has announced that it belongs to none. It then adds every VM that announces
// itself. A group is never created in any other way: a VM that lost its disk starts
// without the bootstrap setting, because it is not the first start of the fleet, and each
// half of a partitioned fleet already belongs to a group.
//
// # Repair
//
// A replica is identified by its disk, not by its VM. A VM with an empty disk announces a
// new replica, which is added as a learner and promoted when it has caught up. Package
// membership decides which replicas are added, promoted and removed, and when.

func (r *Replica) selfForming() bool {
	return len(r.cfg.Seeds) > 0
}

// minVoters returns the number of voters needed to tolerate MaxFailures.
func (r *Replica) minVoters() int {
	return 2*r.cfg.MaxFailures + 1
}

// mayCreateGroup reports whether this replica is the seed with the lowest address, every
// other seed has announced itself and no peer belongs to a group.
func (r *Replica) mayCreateGroup() bool {
	own := r.cfg.Endpoint.Address()
	unformed := map[netip.AddrPort]bool{own: true}
	for _, a := range r.peers {
		if a.Formed {
			return false
		}
		unformed[a.Address] = true
	}
	for _, seed := range r.cfg.Seeds {
		if seed.Compare(own) < 0 || !unformed[seed] {
			return false
		}
	}
	return slices.Contains(r.cfg.Seeds, own)
}

// group returns what package membership decides by.
func (r *Replica) group(now time.Duration) membership.Group {
	group := membership.Group{
		Members:     r.core.Members(),
		Self:        r.id,
		SelfLeaving: r.leaving,
		MaxFailures: r.cfg.MaxFailures,
		Hearing:     r.hearing,
		Now:         now,
		CaughtUp:    r.core.CaughtUp,
	}
	for node, a := range r.peers {
		group.Peers = append(group.Peers, membership.Peer{
			Node:    node,
			Replica: a.Replica,
			Leaving: a.Leaving,
		})
	}
	slices.SortFunc(group.Peers, func(a, b membership.Peer) int { return cmp.Compare(a.Node, b.Node) })
	return group
}

// adjustSelfFormingMembers makes at most one membership change, which package membership chooses. The loop runs for
// every message, what decides changes with announcements.
func (r *Replica) adjustSelfFormingMembers() {
	now := clock.SinceBoot()
	if now-r.adjustedAt < tickInterval {
		return
	}
	r.adjustedAt = now
	group := r.group(now)
	r.logTolerance(group)
	change, due := group.Next()
	if !due {
		return
	}
	events := map[membership.Action]event.ID{
		membership.Add:     event.MemberAdded,
		membership.Promote: event.MemberPromoted,
		membership.Remove:  event.MemberRemoved,
	}
	r.changeMembers(change.Apply(group.Members), events[change.Action], change.Replica)
}

// logTolerance logs how many further failures the group bears when that has changed.
func (r *Replica) logTolerance(group membership.Group) {
	bears := group.Bears()
	if r.toleranceKnown && bears == r.tolerance {
		return
	}
	r.tolerance, r.toleranceKnown = bears, true
	entry := r.cfg.Log.Info(event.ToleranceChanged)
	if bears < r.cfg.MaxFailures {
		entry = r.cfg.Log.Warn(event.ToleranceChanged)
	}
	entry.
		Int("bears", bears).
		Int("wanted", r.cfg.MaxFailures).
		Int("voters", group.Members.Voters()).
		Str("gone", group.GoneNodes()).
		Msg("the control group bears another number of further failures")
}
