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

// A self-forming group is told a few seeds and nothing else: neither how many control
// VMs there are nor what they are called.
//
// # The first start
//
// All VMs start within moments of each other with empty disks and the same seeds. The
// seed with the lowest address founds a group of itself once each other seed has said
// that it belongs to none; it takes in every VM that announces itself. Nothing else
// ever founds a group: a VM that lost its disk is not told that this is the first
// start, and a half of a split fleet has a group already.
//
// # Repair
//
// A replica is a disk, not a VM. A VM whose disk is empty announces a new replica,
// which is added as a learner, promoted when it has caught up, and only then counted
// against the old one. So what is acknowledged is on more disks in between, never on
// fewer. A member that has been silent for silentVoter is dropped only while more
// voters remain than the fleet needs to bear its losses; a short absence changes
// nothing.
//
// For example, five VMs bear one loss. One is destroyed and another comes in its
// place: the group has six voters for a while, of which one is silent, then five. If
// no other comes, it keeps five, of which one is silent, and bears one more loss.

// Times of a self-forming group.
const (
	// silentVoter is the silence after which a voter may be dropped. A restart
	// and a network partition of some seconds are shorter.
	silentVoter = 10 * time.Second
	// liveWithin is how lately a VM must have been heard to be taken in.
	liveWithin = 2 * time.Second
)

const contactsFile = "contacts"

func (r *Replica) selfForming() bool {
	return len(r.cfg.Seeds) > 0
}

// smallestGroup is how many voters bear the losses that the fleet is to bear.
func (r *Replica) smallestGroup() int {
	return 2*r.cfg.MaxFailures + 1
}

// mayFound reports whether this replica is the seed that founds the group, and no
// other seed belongs to one.
func (r *Replica) mayFound() bool {
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

// adjustSelfForming makes at most one change of membership: promote a learner that
// has caught up, remove a member that is replaced or long silent, add a live replica.
func (r *Replica) adjustSelfForming() {
	members := r.core.Members()
	now := clock.Boot()
	if r.promoteOrRemove(members,
		func(consensus.Replica) bool { return true },
		func(m consensus.Replica) bool { return r.expendable(members, m, now) },
	) {
		return
	}
	for node, heard := range r.peers {
		if now-r.heardAt[node] > liveWithin || r.isMember(members, heard.Replica) {
			continue
		}
		r.addLearner(members, node, heard.Replica)
		return
	}
}

// expendable reports whether a member may be dropped.
func (r *Replica) expendable(members consensus.Membership, m consensus.Replica, now time.Duration) bool {
	if m.ID == r.id {
		return false
	}
	heard, known := r.peers[m.Node]
	if known && heard.Replica != m.ID {
		successor, member := members.Find(heard.Replica)
		return !m.Voter || member && successor.Voter
	}
	at, ok := r.heardAt[m.Node]
	if !ok {
		at = r.ledSince
	}
	silent := now-max(at, r.ledSince) > silentVoter
	return silent && (!m.Voter || members.Voters() > 2*r.cfg.MaxFailures+3)
}

// learnContacts takes note of the addresses that a peer knows.
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

// maxContacts bounds the remembered addresses of control VMs, most of which may be
// gone.
const maxContacts = 64

// knownContacts returns the addresses of the VMs that were heard lately.
func (r *Replica) knownContacts() []netip.AddrPort {
	now := clock.Boot()
	var contacts []netip.AddrPort
	for node, a := range r.peers {
		if now-r.heardAt[node] <= silentVoter {
			contacts = append(contacts, a.Address)
		}
	}
	slices.SortFunc(contacts, netip.AddrPort.Compare)
	return contacts
}

// announceToContacts sends an announcement to every address at which a VM may be that
// was not told as a peer: seeds, and addresses that others named.
func (r *Replica) announceToContacts(announcement Announcement) {
	told := map[netip.AddrPort]bool{r.cfg.Endpoint.Address(): true}
	for _, a := range r.peers {
		told[a.Address] = true
	}
	for _, seed := range r.cfg.Seeds {
		if !told[seed] {
			told[seed] = true
			r.cfg.Endpoint.Send(seed, MethodAnnounce, announcement)
		}
	}
	for address := range r.contacts {
		if !told[address] {
			r.cfg.Endpoint.Send(address, MethodAnnounce, announcement)
		}
	}
}

// saveContacts keeps the addresses across a restart, after which the settings may name
// other seeds. They are hints: losing them loses nothing that was acknowledged.
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
		r.cfg.Log.Warn(event.ContactsNotStored).Err(err).Msg("cannot store the control VMs' addresses; the seeds still name some")
	}
}

func loadContacts(cfg Config) map[netip.AddrPort]bool {
	contacts := map[netip.AddrPort]bool{}
	if len(cfg.Seeds) == 0 {
		return contacts
	}
	queue, items, err := commitlog.OpenQueue(cfg.Disk, contactsFile)
	if err != nil {
		cfg.Log.Warn(event.ContactsNotStored).Err(err).Msg("cannot read the control VMs' addresses; the seeds still name some")
		return contacts
	}
	_ = queue.Close()
	if len(items) == 0 {
		return contacts
	}
	var addresses []netip.AddrPort
	if err := wire.Decode(items[len(items)-1], &addresses); err != nil {
		cfg.Log.Warn(event.ContactsNotStored).Err(err).Msg("cannot read the control VMs' addresses; the seeds still name some")
	}
	for _, address := range addresses {
		contacts[address] = true
	}
	return contacts
}
