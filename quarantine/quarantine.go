// Package quarantine finds the parts of prompts and the requests on which backend servers crash, and
// keeps them away from those that still run.
//
// An engine that crashes ends the responses of all its requests, and nothing in a broken response
// says which request was to blame. What tells a part to blame from the others is that no response
// on it is ever completed: with five requests in flight, each of their parts is a suspect after the
// first crash, and after the third only the one that they have in common and that has worked
// nowhere in between. A part that many requests share is in flight at every crash, but it also
// works elsewhere all the time. Counting crashes alone would suspend such a part, and with it
// nearly all requests of a route.
//
// Parts can also come together at every crash, such as a rare subject and the document that is to
// blame. Of those the one that comes last in the prompt is suspended, since a later part is in fewer
// requests. A crash of a request with such a part does not count against the parts before it. The
// very last part of a prompt is the request's own. It is suspended if one request is repeated again
// and again, but clears no other part: the next request would have another own part.
//
// A request is judged like a part, by its identity: caller, path and body. That finds the request
// that its caller repeats, which a plain service has no parts to tell from others. An identity
// explains no part and is explained by none. It is seldom in flight twice, so crashes of several
// instances at about the same time count one by one.
//
// Entry nodes observe crashes and completed responses (Monitor). They send them with their
// heartbeats to the control replicas, which pass them on to each other. Each replica judges them
// (Table) and tells its entry nodes the verdicts. A part is watched before it is suspended, so that
// a node that has completed a response on it meanwhile can object.
package quarantine

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// crashesToWatch and crashesToSuspend are the numbers of crashes without a completed
	// response in between after which a part is watched and suspended.
	crashesToWatch   = 2
	crashesToSuspend = 3
	// unbegunToSuspend is the number of crashes that suspends a part even if the engines had not
	// begun to respond. Such a connection may also have been refused by a busy engine.
	unbegunToSuspend = 5
	// togetherToSuspend is the number of engines whose crashes, at two or more moments, suspend a part whose requests
	// come together.
	togetherToSuspend = 4
	// enginesToSuspend is how many engines must have crashed: a single one that crashes again and
	// again is broken itself.
	enginesToSuspend = 2
	// crashSpacing is the time within which responses break at one moment: nodes observe the same crash at slightly
	// different times.
	crashSpacing = 150 * time.Millisecond
	// objectionTime is how long a part is watched before it is suspended. It allows a round trip
	// from a replica to all entry nodes and back.
	objectionTime = 250 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = 2 * time.Minute
	// firstPeriod and maxPeriod are the first and the longest time for which a part is suspended.
	// The time doubles if an engine crashes on the part after it.
	firstPeriod = 30 * time.Second
	maxPeriod   = 16 * time.Minute
	// releaseNoticeTime is how long a replica repeats that a part was released.
	releaseNoticeTime = time.Minute
	// maxParts bounds the parts in a table, and maxNotices those in one message.
	maxParts   = 1024
	maxNotices = 128
	// maxSuspects bounds the parts of one request that are judged, the last ones.
	maxSuspects = 16
)

// Key identifies a part of the prompts of a service, or a request by its Identity.
type Key struct {
	Service fleet.ServiceID `json:"service"`
	Part    routing.PartID  `json:"part"`
}

// Evidence is what an entry node has observed of a request: a crash or a completed response.
type Evidence struct {
	Service fleet.ServiceID `json:"service"`
	// Parts are the parts of the prompt in order. Of a completed response they are those that are
	// suspected.
	Parts []Suspect `json:"parts"`
	// Engine is the engine that broke off the response before its first event. It is empty if the
	// response was completed.
	Engine fleet.BackendServerID `json:"engine,omitempty"`
	// Begun is set if the engine had sent the header of that response.
	Begun bool `json:"begun,omitempty"`
	// Gone is set if the instance refused connections right after that: it has crashed, rather than
	// reset a connection because it is busy.
	Gone bool `json:"gone,omitempty"`
	// Identity is the identity of the request whose response broke off.
	Identity *Suspect `json:"identity,omitempty"`
	// AgeMillis is the time since then.
	AgeMillis int64 `json:"ageMillis"`
}

// Suspect is a part of the prompt of a request that met a crash.
type Suspect struct {
	Part routing.PartID `json:"part"`
	// SoundAgeMillis is the time since the node last completed a response on the part. It is
	// negative if it has not.
	SoundAgeMillis int64 `json:"soundAgeMillis"`
}

// State is what a replica has concluded of a part.
type State string

// The states of a part.
const (
	// StateWatched asks the entry nodes to report completed responses on the part.
	StateWatched State = "watched"
	// StateSuspended means that requests with the part are refused.
	StateSuspended State = "suspended"
	// StateReleased means that a response on the part was completed after all.
	StateReleased State = "released"
)

// Notice tells entry nodes the state of a part.
type Notice struct {
	Key
	State State `json:"state"`
	// CrashAgeMillis is the age of the first crash that counts.
	CrashAgeMillis int64 `json:"crashAgeMillis"`
	// RemainingMillis is the rest of a suspension. It is negative once that is over, while one entry
	// node tries requests again.
	RemainingMillis int64 `json:"remainingMillis,omitempty"`
	// PeriodMillis is the length of the suspension.
	PeriodMillis int64 `json:"periodMillis,omitempty"`
}

// List has the notices of all parts that are watched, suspended or newly released.
type List struct {
	Notices []Notice `json:"notices,omitempty"`
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
