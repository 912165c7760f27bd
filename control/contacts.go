package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/commitlog"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/wire"
)

const (
	contactsFile = "contacts"
	// contactTimeout is the age of a VM's latest announcement up to which its address is passed on.
	contactTimeout = 10 * time.Second
	// maxContacts bounds the stored addresses of control VMs. Many of them may no longer be
	// in use.
	maxContacts = 64
)

// contactList has the learned addresses of control VMs, and when each was last announced.
type contactList map[netip.AddrPort]time.Duration

// learn records an address that was announced now, and reports whether it is new. The address that was announced
// longest ago gives way if there are too many.
func (l contactList) learn(address netip.AddrPort, now time.Duration) bool {
	if !address.IsValid() {
		return false
	}
	_, known := l[address]
	if !known && len(l) >= maxContacts {
		delete(l, l.oldest())
	}
	l[address] = now
	return !known
}

func (l contactList) oldest() netip.AddrPort {
	var oldest netip.AddrPort
	for address, at := range l {
		if !oldest.IsValid() || at < l[oldest] {
			oldest = address
		}
	}
	return oldest
}

// learnContacts records the addresses that a peer announced and stores them if any is new.
func (r *Replica) learnContacts(a Announcement) {
	if !r.selfForming() {
		return
	}
	now := clock.SinceBoot()
	changed := false
	for _, address := range append(slices.Clone(a.Contacts), a.Address) {
		changed = r.contacts.learn(address, now) || changed
	}
	if changed || r.contactsUnsaved && now >= r.contactsAgainAt {
		r.contactsAgainAt = now + compactInterval
		r.saveContacts()
	}
}

// recentContacts returns the addresses of the VMs that announced themselves within
// contactTimeout.
func (r *Replica) recentContacts() []netip.AddrPort {
	now := clock.SinceBoot()
	var contacts []netip.AddrPort
	for node, a := range r.peers {
		if now-r.peerAnnouncedAt[node] <= contactTimeout {
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
	repeated := r.contactsUnsaved && err != nil
	r.contactsUnsaved = err != nil
	if err != nil && !repeated {
		r.cfg.Log.Warn(event.ContactsNotStored).Err(err).Msg("cannot store the addresses of control VMs; a restart may find only the seeds")
	}
}

// loadContacts reads the stored addresses. Without them the replica starts with the seeds.
func loadContacts(cfg Config) contactList {
	contacts := contactList{}
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
		contacts[address] = 0
	}
	return contacts
}
