// Package isolation decides whether a node is cut off from the backend servers, by what becomes of its
// connects.
//
// A connect that fails says that one server has crashed or that no path leads to it. So the node tries some
// other servers at once: if none of them can be reached either, it is the node that is cut off, and it sends
// its requests through other nodes. It goes on to try until most servers can be reached again, or any if no
// other node sends its requests: then a connect that may fail serves callers better than a refusal.
//
// A node without a server to try is not cut off: there is nothing that it could be cut off from.
//
// Servers that accept connections and do not respond are not considered: a sound one may fall silent for a
// second or more.
//
// The package is a pure state machine. All times are on the caller's clock.
package isolation

import "time"

const (
	// SlowConnect is how long a connect may take before other servers are tried, several round trips.
	SlowConnect = 250 * time.Millisecond
	// ProbeTimeout limits the time for which a probe waits.
	ProbeTimeout = 400 * time.Millisecond
	// ProbedServers is the number of servers in a round of probes.
	ProbedServers = 3
	// RoundInterval is the time between two rounds while the node is isolated, and the least time
	// between two rounds otherwise.
	RoundInterval = 500 * time.Millisecond
	// TriedAlone is the number of servers that have to fail, unless there are fewer, before a node is isolated
	// that no other node relays for: it would refuse what the others could serve.
	TriedAlone = 9
)

// Detector holds what a node knows of its paths to the servers. Its zero value is ready for use. It is not
// safe for concurrent use.
type Detector struct {
	isolated bool
	// connectedAt is the time of the latest successful connect.
	connectedAt time.Duration
	// probing is set during a round. roundStart is the start of the latest round, nextRound when the
	// next one may start.
	probing    bool
	roundStart time.Duration
	nextRound  time.Duration
}

// Round is what a round of probes has found.
type Round struct {
	Connected int
	// Failed counts the probes that opened no connection, Unanswered those among them that got no answer in time.
	Failed     int
	Unanswered int
	// Alone is set if no other node sends this node's requests, Untried if too few servers have failed since the
	// latest connect, see TriedAlone.
	Alone   bool
	Untried bool
}

// Isolated reports whether the node is cut off from the servers.
func (d *Detector) Isolated() bool {
	return d.isolated
}

// Connected records a connect that was not part of a round.
func (d *Detector) Connected(now time.Duration) {
	d.connectedAt = now
}

// StartRound reports whether a round of probes is to start: a connect has failed or takes long, or the
// node is isolated.
func (d *Detector) StartRound(now time.Duration) bool {
	if d.probing || now < d.nextRound {
		return false
	}
	d.probing = true
	d.roundStart = now
	return true
}

// Reset ends the isolation, as there is no server to try. It reports whether the node was isolated.
func (d *Detector) Reset() (changed bool) {
	changed = d.isolated
	d.isolated = false
	return changed
}

// EndRound records the probes of a round. It reports whether the node has become isolated, or is no longer.
func (d *Detector) EndRound(r Round, now time.Duration) (changed bool) {
	d.probing = false
	d.nextRound = now + RoundInterval
	before := d.isolated
	switch {
	case r.Connected+r.Failed == 0:
	case d.isolated:
		d.isolated = r.Connected <= r.Failed && !(r.Alone && r.Connected > 0)
	default:
		d.isolated = r.Connected == 0 && d.connectedAt <= d.roundStart && !(r.Alone && r.Untried)
	}
	return d.isolated != before
}
