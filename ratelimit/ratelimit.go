// Package ratelimit holds the fleet to the limits that instances name: the requests a second that
// an instance takes from all nodes together.
//
// # Why one node issues permits
//
// A limit can be far below one request a second for each node: 1.3 a second among 300 nodes. Equal
// shares would let each node send one request in four minutes, although the requests that fit the
// instance best come to a few nodes. With shares of at least one request each, 300 nodes would send
// 300 at once. So each limited instance has an owner among the entry nodes (package ownership),
// which issues a permit for each request (Issuer). A node that is refused a permit uses other
// instances until the time that the owner names.
//
// # Why the limit holds while nodes lose touch
//
// An owner stops issuing once it loses the control group, which is before the group replaces it. A
// node without an owner takes its part of half the limit (Share). So owner and nodes together never
// send more than one and a half times the limit, whatever the partition, and a limited instance is
// never idle.
//
// # How limits get around
//
// A node learns of a limit from a response. Hundreds of nodes that all have to be told would be
// hundreds of requests too many, so nodes report limits to the control replicas, which pass them on
// to each other and to all nodes (Table).
//
// All types are pure state machines; times are on the caller's clock.
package ratelimit

import (
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// probeRate is the least rate at which requests are sent. Only a response can tell that an instance
// which takes nothing has come to take requests again.
const probeRate routing.Rate = 0.1

// notableChange is the relative change of a limit that is worth a message. Some instances name a
// slightly different one in each response.
const notableChange = 0.1

// Report is what a node knows of the limit of one run of an instance.
type Report struct {
	Service  fleet.ServiceID       `json:"service"`
	Instance fleet.BackendServerID `json:"instance"`
	// Born tells the runs of an instance apart, as in routing.Instance.
	Born int64 `json:"born,omitempty"`
	// Limit is nil if the instance names none, or no longer.
	Limit *routing.Rate `json:"limit,omitempty"`
	// Brittle is the number of requests a second that the instance can turn away for want of room
	// without falling over, nil if it does not say that it is brittle, or no longer.
	Brittle *int `json:"brittle,omitempty"`
	// AgeMillis is the time since the response that said so.
	AgeMillis int64 `json:"ageMillis"`
	// Cold is set while the node takes the instance for cold. Only owners use it.
	Cold *Cold `json:"cold,omitempty"`
}

// Cold says what an instance bears while it is cold, whatever it names itself.
type Cold struct {
	// Rate is the requests a second from all nodes together.
	Rate routing.Rate `json:"rate"`
	// ForMillis is how much longer the instance is cold.
	ForMillis int64 `json:"forMillis"`
}

// Named reports whether the instance names a limit or says that it is brittle, so that each request to it
// needs a permit.
func (r Report) Named() bool {
	return r.Limit != nil || r.Brittle != nil
}

// Rate returns the requests a second that the nodes may send together if no owner knows what else is there:
// the limit, as many as a brittle instance can turn away, or what a cold one bears.
func (r Report) Rate() routing.Rate {
	rate := routing.Rate(math.Inf(1))
	if r.Brittle != nil {
		rate = routing.Rate(*r.Brittle)
	}
	if r.Limit != nil {
		rate = min(rate, *r.Limit)
	}
	if r.Cold != nil {
		rate = min(rate, r.Cold.Rate)
	}
	if math.IsInf(float64(rate), 1) {
		return 0
	}
	return rate
}

// Differs reports whether two reports differ so much that others are told.
func (r Report) Differs(other Report) bool {
	brittleDiffers := (r.Brittle == nil) != (other.Brittle == nil) || r.Brittle != nil && *r.Brittle != *other.Brittle
	return brittleDiffers || DifferNotably(r.Limit, other.Limit)
}

// KnownAt returns when the response came that a report is of, given the time of its receipt.
func (r Report) KnownAt(now time.Duration) time.Duration {
	return now - time.Duration(r.AgeMillis)*time.Millisecond
}

// aged returns the report of what was known at a time, for sending now.
func (r Report) aged(knownAt, now time.Duration) Report {
	r.AgeMillis = (now - knownAt).Milliseconds()
	return r
}

// DifferNotably reports whether a limit has begun, ended or changed so much that others are told.
func DifferNotably(a, b *routing.Rate) bool {
	if a == nil || b == nil {
		return a != b
	}
	return math.Abs(float64(*a-*b)) > notableChange*float64(max(*a, *b))
}

// bucket is a token bucket. Its zero value is empty.
type bucket struct {
	tokens float64
	at     time.Duration
}

// fill adds what has come since the last call, up to a number of tokens.
func (b *bucket) fill(rate routing.Rate, capacity float64, now time.Duration) {
	if b.at > 0 && now > b.at {
		b.tokens = min(b.tokens+float64(rate)*(now-b.at).Seconds(), capacity)
	}
	b.at = max(b.at, now)
}

// take takes one token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until there is a token.
func (b *bucket) wait(rate routing.Rate) time.Duration {
	return time.Duration((1 - b.tokens) / float64(rate) * float64(time.Second))
}
