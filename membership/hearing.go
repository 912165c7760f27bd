package membership

import (
	"time"

	"github.com/waxwingreel/waxwingreel/consensus"
)

const (
	// contactTimeout is the silence up to which a voter counts toward the majority that a replica hears.
	contactTimeout = 1500 * time.Millisecond
	// pauseTimeout is the time between two calls of Observe after which the process counts as having been
	// paused, by a frozen VM or a blocked disk.
	pauseTimeout = time.Second
	// forgetAfter is the silence after which a replica that is no member is forgotten.
	forgetAfter = time.Minute
)

// Hearing measures the silence of the other replicas. Each replica has one, whether it leads or not.
//
// Silence counts only while the replica itself hears a majority of the voters. One that was isolated or frozen
// has heard nobody, which says nothing of the others.
type Hearing struct {
	self    consensus.ReplicaID
	heardAt map[consensus.ReplicaID]time.Duration
	// inTouchSince is the time since when the replica has heard a majority without a break.
	inTouchSince time.Duration
	observedAt   time.Duration
}

// NewHearing returns the Hearing of a replica that starts now.
func NewHearing(self consensus.ReplicaID, now time.Duration) *Hearing {
	return &Hearing{
		self:         self,
		heardAt:      map[consensus.ReplicaID]time.Duration{},
		inTouchSince: now,
		observedAt:   now,
	}
}

// Heard records that a message of a replica has arrived.
func (h *Hearing) Heard(id consensus.ReplicaID, now time.Duration) {
	h.heardAt[id] = now
}

// Observe checks whether the replica hears a majority. It is called several times a second.
func (h *Hearing) Observe(members consensus.Membership, now time.Duration) {
	if now-h.observedAt > pauseTimeout || !h.hearsMajority(members, now) {
		h.inTouchSince = now
	}
	h.observedAt = now
	for id, at := range h.heardAt {
		if _, member := members.Find(id); !member && now-at > forgetAfter {
			delete(h.heardAt, id)
		}
	}
}

func (h *Hearing) hearsMajority(members consensus.Membership, now time.Duration) bool {
	heard := 0
	for _, m := range members.Replicas {
		if m.Voter && (m.ID == h.self || h.HeardWithin(m.ID, contactTimeout, now)) {
			heard++
		}
	}
	return heard > members.Voters()/2
}

// Silence returns how long a replica has not been heard while this one was in touch. A replica that was never
// heard counts from when this one came in touch.
func (h *Hearing) Silence(id consensus.ReplicaID, now time.Duration) time.Duration {
	return now - max(h.heardAt[id], h.inTouchSince)
}

// HeardWithin reports whether a message of a replica has arrived within the given time.
func (h *Hearing) HeardWithin(id consensus.ReplicaID, within, now time.Duration) bool {
	at, ok := h.heardAt[id]
	return ok && now-at <= within
}
