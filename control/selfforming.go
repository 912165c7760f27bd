package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/wire"

	"github.com/fxamacker/cbor/v2"
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
// new replica, which is added as a learner and promoted when it has caught up. Only then
// is the VM's old replica removed. So in between, acknowledged entries are on more disks
// than before, never on fewer. A voter that has been unresponsive for voterTimeout is
// removed only while the group has more than 2*MaxFailures+3 voters. With that many, the
// loss of one unresponsive voter and of MaxFailures others still leaves a majority. A
// short absence changes nothing.
//
// For example, five VMs tolerate one failure. One VM is destroyed and another replaces
// it: the group has six voters for a while, one of them unresponsive, and then five. If no
// VM replaces it, the group keeps five voters, one of them unresponsive, and tolerates one
// more failure.

// Timeouts of a self-forming group.
const (
	// voterTimeout is the time without an announcement after which a voter
	// may be removed. It is longer than a restart or a network partition of some
	// seconds.
	voterTimeout = 10 * time.Second
	// peerLiveTimeout is the age of a VM's latest announcement up to which the VM
	// may be added to the group.
	peerLiveTimeout = 2 * time.Second
)

const contactsFile = "contacts"

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

// adjustSelfFormingMembers makes at most one membership change: promote a learner that
// has caught up, remove a member that was replaced or has exceeded voterTimeout, or add a
// live replica.
func (r *Replica) adjustSelfFormingMembers() {
	members := r.core.Members()
	now := clock.SinceBoot()
	if r.promoteOrRemove(members,
		func(consensus.Replica) bool { return true },
		func(m consensus.Replica) bool { return r.removable(members, m, now) },
	) {
		return
	}
	for node, peer := range r.peers {
		if now-r.peerAnnouncedAt[node] > peerLiveTimeout || r.isMember(members, peer.Replica) {
			continue
		}
		r.addLearner(members, node, peer.Replica)
		return
	}
}

// removable reports whether a member may be removed from the group. Either its VM announces
// another replica, which is a voter unless the member is a learner, or its VM has exceeded
// voterTimeout and enough voters remain without it.
func (r *Replica) removable(members consensus.Membership, m consensus.Replica, now time.Duration) bool {
	if m.ID == r.id {
		return false
	}
	peer, known := r.peers[m.Node]
	if known && peer.Replica != m.ID {
		successor, member := members.Find(peer.Replica)
		return !m.Voter || member && successor.Voter
	}
	at, ok := r.peerAnnouncedAt[m.Node]
	if !ok {
		at = r.leadershipChangedAt
	}
	unresponsive := now-max(at, r.leadershipChangedAt) > voterTimeout
	return unresponsive && (!m.Voter || members.Voters() > 2*r.cfg.MaxFailures+3)
}

// learnContacts records the addresses that a peer announced and stores them if any is new.
func (r *Replica) learnContacts(a Announcement) {
	if !r.selfForming() {
		return
	}
	changed := false
	for _, address := range append(slices.Clone(a.Contacts), a.Address) {
		if address.IsValid() && !r.contacts[address] && len(r.contacts) < maxContacts {
			r.contacts[address] = true
			changed = true
		}
	}
	if changed {
		r.saveContacts()
	}
}

// maxContacts bounds the stored addresses of control VMs. Many of them may no longer be
// in use.
const maxContacts = 64

// recentContacts returns the addresses of the VMs that announced themselves within
// voterTimeout.
func (r *Replica) recentContacts() []netip.AddrPort {
	now := clock.SinceBoot()
	var contacts []netip.AddrPort
	for node, a := range r.peers {
		if now-r.peerAnnouncedAt[node] <= voterTimeout {
			contacts = append(contacts, a.Address)
		}
	}
	slices.SortFunc(contacts, netip.AddrPort.Compare)
	return contacts
}

// announceToContacts sends an announcement to the seeds and to the learned addresses
// that do not belong to a known peer.
func (r *Replica) announceToContacts(announcement Announcement) {
	sent := map[netip.AddrPort]bool{r.cfg.Endpoint.Address(): true}
	for _, a := range r.peers {
		sent[a.Address] = true
	}
	for _, seed := range r.cfg.Seeds {
		if !sent[seed] {
			sent[seed] = true
			r.cfg.Endpoint.Send(seed, MethodAnnounce, announcement)
		}
	}
	for address := range r.contacts {
		if !sent[address] {
			r.cfg.Endpoint.Send(address, MethodAnnounce, announcement)
		}
	}
}

// saveContacts stores the addresses for the next start, whose settings may name other
// seeds. The addresses are only hints, so losing them loses no acknowledged data.
func (r *Replica) saveContacts() {
	addresses := make([]netip.AddrPort, 0, len(r.contacts))
	for address := range r.contacts {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	item, err := cbor.Marshal(addresses)
	if err == nil {
		err = commitlog.ReplaceQueue(r.cfg.Disk, contactsFile, item)
	}
	if err != nil {
		r.cfg.Log.Warn(event.ContactsNotStored).Err(err).Msg("cannot store the addresses of control VMs; a restart may find only the seeds")
	}
}

// loadContacts reads the stored addresses. Without them the replica starts with the seeds.
func loadContacts(cfg Config) map[netip.AddrPort]bool {
	contacts := map[netip.AddrPort]bool{}
	if len(cfg.Seeds) == 0 {
		return contacts
	}
	queue, items, err := commitlog.OpenQueue(cfg.Disk, contactsFile)
	if err != nil {
		cfg.Log.Warn(event.ContactsNotStored).Err(err).Msg("cannot read the stored addresses of control VMs; using only the seeds")
		return contacts
	}
	_ = queue.Close()
	if len(items) == 0 {
		return contacts
	}
	var addresses []netip.AddrPort
	if err := wire.Decode(items[len(items)-1], &addresses); err != nil {
		cfg.Log.Warn(event.ContactsNotStored).Err(err).Msg("cannot decode the stored addresses of control VMs; using only the seeds")
	}
	for _, address := range addresses {
		contacts[address] = true
	}
	return contacts
}
