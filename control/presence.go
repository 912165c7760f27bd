package control

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// presence is what a leader has seen of the holders of leases, by its own clock, since
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
type presence map[fleet.Holder]*sighting

type sighting struct {
	// carriedOut holds when the latest commands were carried out.
	carriedOut map[uint64]time.Duration
	// madeAfter is when the command was carried out that the latest one
	// acknowledges, known only if this replica led then.
	madeAfter time.Duration
	known     bool
	latest    uint64
}

// sightingsKept bounds the commands that are remembered for one holder.
const sightingsKept = 16

// applied takes note that a holder's command was carried out.
func (p presence) applied(s Sequence, now time.Duration) {
	seen, ok := p[s.Holder]
	if !ok {
		p.forgetEarlier(s.Holder)
		seen = &sighting{carriedOut: map[uint64]time.Duration{}}
		p[s.Holder] = seen
	}
	if s.Number < seen.latest {
		return
	}
	seen.latest = s.Number
	seen.madeAfter, seen.known = seen.carriedOut[s.Acknowledged]
	if _, before := seen.carriedOut[s.Number]; !before {
		seen.carriedOut[s.Number] = now
	}
	for number := range seen.carriedOut {
		if number+sightingsKept < s.Number {
			delete(seen.carriedOut, number)
		}
	}
}

// forgetEarlier drops the lives of a node before this one.
func (p presence) forgetEarlier(holder fleet.Holder) {
	for other := range p {
		if other.Node == holder.Node && other.Incarnation < holder.Incarnation {
			delete(p, other)
		}
	}
}

// complete adds to a join how long ago the node's last life made its latest change, if
// that is known.
func (p presence) complete(join *ledger.Join, now time.Duration) {
	join.SinceLastChange = 0
	latest := (*sighting)(nil)
	incarnation := fleet.Incarnation(0)
	for holder, seen := range p {
		if holder.Node == join.Holder.Node && holder.Incarnation >= incarnation {
			latest, incarnation = seen, holder.Incarnation
		}
	}
	if latest != nil && latest.known {
		join.SinceLastChange = max(now-latest.madeAfter, 1)
	}
}
