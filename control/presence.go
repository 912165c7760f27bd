package control

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// holderActivity is what a leader has seen of the holders of leases, by its own clock, since
// it began to lead. It is lost with the leadership: another replica's clock says
// nothing of the same moments.
//
// When a VM loses power its next life cannot tell how long the one before went on after
// its latest change; the leader can. A holder that makes a command has the answer to the
// one that the command acknowledges, so the command was made after the leader carried
// that one out. For example, the leader carries out command 7 at 50.0 s and command 8,
// which acknowledges 7, at 50.3 s. A new life of the node joins at 52.1 s. The old one
// made command 8 after 50.0 s, so it lived at most 2.1 s longer. Counting from 50.3 s
// instead would be wrong: command 8 may have been on its way for a while.
type holderActivity map[fleet.Holder]*holderRecord

type holderRecord struct {
	// appliedAt holds when the latest commands were carried out.
	appliedAt map[uint64]time.Duration
	// issuedAfter is when the command was carried out that the latest one
	// acknowledges, known only if this replica led then.
	issuedAfter time.Duration
	known     bool
	latest    uint64
}

// maxTrackedCommands bounds the commands that are remembered for one holder.
const maxTrackedCommands = 16

// recordApplied takes note that a holder's command was carried out.
func (p holderActivity) recordApplied(s Sequence, now time.Duration) {
	seen, ok := p[s.Holder]
	if !ok {
		p.dropEarlierIncarnations(s.Holder)
		seen = &holderRecord{appliedAt: map[uint64]time.Duration{}}
		p[s.Holder] = seen
	}
	if s.Number < seen.latest {
		return
	}
	seen.latest = s.Number
	seen.issuedAfter, seen.known = seen.appliedAt[s.Acknowledged]
	if _, before := seen.appliedAt[s.Number]; !before {
		seen.appliedAt[s.Number] = now
	}
	for number := range seen.appliedAt {
		if number+maxTrackedCommands < s.Number {
			delete(seen.appliedAt, number)
		}
	}
}

// dropEarlierIncarnations drops the lives of a node before this one.
func (p holderActivity) dropEarlierIncarnations(holder fleet.Holder) {
	for other := range p {
		if other.Node == holder.Node && other.Incarnation < holder.Incarnation {
			delete(p, other)
		}
	}
}

// setSince adds to a join how long ago the node's last life made its latest change, if
// that is known.
func (p holderActivity) setSince(join *ledger.Join, now time.Duration) {
	join.Since = 0
	latest := (*holderRecord)(nil)
	incarnation := fleet.Incarnation(0)
	for holder, seen := range p {
		if holder.Node == join.Holder.Node && holder.Incarnation >= incarnation {
			latest, incarnation = seen, holder.Incarnation
		}
	}
	if latest != nil && latest.known {
		join.Since = max(now-latest.issuedAfter, 1)
	}
}
