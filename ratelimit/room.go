package ratelimit

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// roomSettling is the time in which the owner of a brittle instance has heard of the requests that
	// nodes have there. A previous owner may have issued permits until now.
	roomSettling = 2 * time.Second
	// nodeMemory is how long the requests of a node count that does not ask any more.
	nodeMemory = 10 * time.Second
	// loadMemory is the age up to which the load that an instance reports counts.
	loadMemory = 300 * time.Millisecond
	// turnAwayWindow is the time over which an instance counts the requests that it turns away.
	turnAwayWindow = time.Second
	// roomAsksPerEnd is by how much more often than for permits of a limit nodes may ask for a slot.
	roomAsksPerEnd = 4
	// minReleaseRate is the number of ended requests a second that is assumed at least.
	minReleaseRate routing.Rate = 2
)

// Load is what a node that asks for a permit knows of the requests at an instance.
type Load struct {
	// Slots is the number of requests that the instance processes concurrently.
	Slots int `json:"slots,omitempty"`
	// Running is the number of requests that the node itself has there.
	Running int `json:"running,omitempty"`
	// Reported is the number of requests of all nodes that the instance has reported, and
	// ReportedMillis the age of that report, negative if there is none.
	Reported       int   `json:"reported,omitempty"`
	ReportedMillis int64 `json:"reportedMillis"`
	// KnownMillis is how long the node has known that the instance is brittle.
	KnownMillis int64 `json:"knownMillis,omitempty"`
}

// room is what the owner of an instance knows of the requests there. While the instance is brittle, no
// more permits are issued than it has slots: those that wait for a slot are turned away once it lets
// fewer wait, and turning away makes it fall over.
type room struct {
	since time.Duration
	// knownFor is the longest time for which a node has known that the instance is brittle.
	knownFor time.Duration
	// running has the requests of each node as it said when it last asked, and the permits and ends
	// since.
	running map[fleet.NodeID]nodeRequests
	// settling bounds the permits until the owner knows of all requests.
	settling bucket
	// ends and turnedAway have the times of the latest ended requests and of those turned away.
	ends       []time.Duration
	turnedAway []time.Duration
}

type nodeRequests struct {
	n       int
	heardAt time.Duration
}

func newRoom(now time.Duration) room {
	return room{
		since:    now,
		running:  map[fleet.NodeID]nodeRequests{},
		settling: bucket{at: now},
	}
}

// record stores what a node says of its own requests.
func (r *room) record(node fleet.NodeID, load Load, now time.Duration) {
	r.running[node] = nodeRequests{
		n:       load.Running,
		heardAt: now,
	}
	r.knownFor = max(r.knownFor, time.Duration(load.KnownMillis)*time.Millisecond)
}

// take counts a request for which a permit is issued.
func (r *room) take(node fleet.NodeID) {
	requests := r.running[node]
	requests.n++
	r.running[node] = requests
}

func (r *room) ended(node fleet.NodeID, turnedAway bool, now time.Duration) {
	requests := r.running[node]
	requests.n = max(requests.n-1, 0)
	requests.heardAt = now
	r.running[node] = requests
	r.ends = append(recent(r.ends, now), now)
	if turnedAway {
		r.turnedAway = append(recent(r.turnedAway, now), now)
	}
}

// recent returns the times within the last turnAwayWindow.
func recent(times []time.Duration, now time.Duration) []time.Duration {
	for len(times) > 0 && now-times[0] > turnAwayWindow {
		times = times[1:]
	}
	return times
}

// free reports whether another request may be sent to an instance that can turn away some requests a
// second.
func (r *room) free(brittle int, load Load, now time.Duration) bool {
	r.turnedAway = recent(r.turnedAway, now)
	if len(r.turnedAway) > brittle/2 {
		return false
	}
	known := 0
	for node, requests := range r.running {
		if now-requests.heardAt > nodeMemory {
			delete(r.running, node)
			continue
		}
		known += requests.n
	}
	reported := load.ReportedMillis >= 0 && load.ReportedMillis <= loadMemory.Milliseconds()
	if reported {
		known = max(known, load.Reported)
	}
	if known >= max(load.Slots, 1) {
		return false
	}
	if reported || now-r.since >= roomSettling || r.knownFor < roomSettling {
		return true
	}
	r.settling.fill(routing.Rate(brittle)/2, 1, now)
	return r.settling.take()
}

// releaseRate returns the number of requests that end a second.
func (r *room) releaseRate(now time.Duration) routing.Rate {
	r.ends = recent(r.ends, now)
	return max(routing.Rate(len(r.ends))/routing.Rate(turnAwayWindow.Seconds()), minReleaseRate)
}
