package control

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// holderActivity tracks when the leader applied the commands of each lease holder, on
// the leader's own clock. It is discarded when leadership is lost, because the clocks of
// two replicas cannot be compared.
//
// When a VM loses power, its next incarnation cannot determine how long the previous one ran
// after its latest lease change, but the leader has an upper bound. A command names the
// latest command whose response the holder had received, so the holder issued it after the
// leader applied that acknowledged command.
// For example, the leader applies command 7 at 50.0 s and command 8, which acknowledges
// 7, at 50.3 s. A new incarnation of the node joins at 52.1 s. The old one issued
// command 8 after 50.0 s, so it ran for at most 2.1 s after that. Counting from 50.3 s
// instead would be wrong, because command 8 may have been in flight for some time.
type holderActivity map[fleet.Holder]*holderRecord

// holderRecord tracks the commands of one holder.
type holderRecord struct {
	// appliedAt is when each of the latest commands was applied, by number.
	appliedAt map[uint64]time.Duration
	// issuedAfter is when the command that the latest one acknowledges was applied.
	// It is known only if this replica was the leader then.
	issuedAfter time.Duration
	known       bool
	latest      uint64
}

// maxTrackedCommands bounds the commands that are tracked for one holder.
const maxTrackedCommands = 16

// recordApplied records that a holder's command was applied.
func (a holderActivity) recordApplied(s Sequence, now time.Duration) {
	record, ok := a[s.Holder]
	if !ok {
		a.dropEarlierIncarnations(s.Holder)
		record = &holderRecord{appliedAt: map[uint64]time.Duration{}}
		a[s.Holder] = record
	}
	if s.Number < record.latest {
		return
	}
	record.latest = s.Number
	record.issuedAfter, record.known = record.appliedAt[s.Acknowledged]
	if _, before := record.appliedAt[s.Number]; !before {
		record.appliedAt[s.Number] = now
	}
	for number := range record.appliedAt {
		if number+maxTrackedCommands < s.Number {
			delete(record.appliedAt, number)
		}
	}
}

// dropEarlierIncarnations removes the records of the node's earlier incarnations.
func (a holderActivity) dropEarlierIncarnations(holder fleet.Holder) {
	for other := range a {
		if other.Node == holder.Node && other.Incarnation < holder.Incarnation {
			delete(a, other)
		}
	}
}

// clockDrift is the part of a span by which the clocks of two VMs may differ at its end: each may run
// faster or slower by 500 parts in a million.
const clockDrift = 500

// setSinceLastChange sets SinceLastChange of a join: an upper bound of the time since the
// node's previous incarnation issued its latest change, or 0 if none is known. The previous
// incarnation had ended when the new one started, so the new one's age is no part of it.
func (a holderActivity) setSinceLastChange(join *ledger.Join, now time.Duration) {
	join.SinceLastChange = 0
	latest := (*holderRecord)(nil)
	incarnation := fleet.Incarnation(0)
	for holder, record := range a {
		if holder.Node == join.Holder.Node && holder.Incarnation >= incarnation {
			latest, incarnation = record, holder.Incarnation
		}
	}
	if latest != nil && latest.known {
		age := max(join.Age, 0)
		join.SinceLastChange = max(now-latest.issuedAfter-age+age/clockDrift, 1)
	}
}
