package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// burstTime is the time for which unused permits accumulate.
	burstTime = 500 * time.Millisecond
	// askerMemory is how long a node counts among those that ask for permits.
	askerMemory = 5 * time.Second
	// minWait and maxWait bound the time after which a node asks again. A limit may end or rise
	// meanwhile.
	minWait = 20 * time.Millisecond
	maxWait = 2 * time.Second
	// maxCold bounds the time for which one report makes an instance cold.
	maxCold = time.Hour
	// issuerMemory is how long an instance for which nobody asks is remembered.
	issuerMemory = 5 * time.Minute
)

// Issuer issues permits for the limited instances that a node owns. It is not safe for concurrent
// use.
type Issuer struct {
	rng      *rand.Rand
	accounts map[fleet.BackendServerID]*account
	sweptAt  time.Duration
}

// NewIssuer returns an issuer without accounts.
func NewIssuer(seed uint64) *Issuer {
	return &Issuer{
		rng:      rand.New(rand.NewPCG(seed, 3)),
		accounts: map[fleet.BackendServerID]*account{},
	}
}

// account is the state of one limited instance.
type account struct {
	report  Report
	knownAt time.Duration
	permits bucket
	// askers has the time at which each node last asked.
	askers  map[fleet.NodeID]time.Duration
	askedAt time.Duration
	room    room
	// coldRate is the limit until coldUntil if the instance names none or a higher one.
	coldRate  routing.Rate
	coldUntil time.Duration
}

// Decision is the answer to a node that asks for a permit.
type Decision struct {
	Granted bool `json:"granted,omitempty"`
	// WaitMillis is the time after which the node may ask again.
	WaitMillis int64 `json:"waitMillis,omitempty"`
	// Latest is what the owner knows of the limit.
	Latest Report `json:"latest"`
}

// Learn records a report of an instance's limit, unless a later one is known.
func (i *Issuer) Learn(r Report, now time.Duration) {
	i.learn(r, now)
}

// learn does what Learn does and returns the instance's account.
func (i *Issuer) learn(r Report, now time.Duration) *account {
	i.sweep(now)
	a, ok := i.accounts[r.Instance]
	at := r.KnownAt(now)
	if !ok || a.report.Born != r.Born && at > a.knownAt {
		// A new account starts empty: a previous owner may have issued permits until now.
		a = &account{
			report:  r,
			knownAt: at,
			permits: bucket{at: now},
			askers:  map[fleet.NodeID]time.Duration{},
			askedAt: now,
			room:    newRoom(now),
		}
		i.accounts[r.Instance] = a
	}
	a.learnCold(r.Cold, now)
	r.Cold = nil
	if at > a.knownAt {
		a.fill(now)
		a.report = r
		a.knownAt = at
	}
	a.report.Cold = nil
	return a
}

// learnCold records that a node takes the instance for cold.
func (a *account) learnCold(cold *Cold, now time.Duration) {
	if cold == nil || cold.ForMillis <= 0 {
		return
	}
	if a.report.Limit == nil && now >= a.coldUntil {
		// Nothing has accumulated while the instance had no limit.
		a.permits = bucket{at: now}
	}
	a.fill(now)
	a.coldRate = cold.Rate
	a.coldUntil = max(a.coldUntil, now+min(time.Duration(cold.ForMillis)*time.Millisecond, maxCold))
}

// limited reports whether the instance has a limit now.
func (a *account) limited(now time.Duration) bool {
	return a.report.Limit != nil || now < a.coldUntil
}

// rate returns the rate of the permits.
func (a *account) rate(now time.Duration) routing.Rate {
	rate := routing.Rate(0)
	if a.report.Limit != nil {
		rate = max(*a.report.Limit, probeRate)
	}
	if now < a.coldUntil && (a.report.Limit == nil || a.coldRate < rate) {
		rate = max(a.coldRate, probeRate)
	}
	return rate
}

func (a *account) fill(now time.Duration) {
	rate := a.rate(now)
	a.permits.fill(rate, 1+float64(rate)*burstTime.Seconds(), now)
}

// Ask decides whether a node may send one request to an instance, of which it reports what it knows.
func (i *Issuer) Ask(node fleet.NodeID, r Report, load Load, now time.Duration) Decision {
	a := i.learn(r, now)
	a.askedAt = now
	a.fill(now)
	a.room.record(node, load, now)
	d := Decision{Latest: a.report.aged(a.knownAt, now)}
	switch {
	case a.report.Brittle != nil && !a.room.free(*a.report.Brittle, load, now):
		a.askers[node] = now
		// A node asks only when it has a request, and a slot must not stay free until then.
		d.WaitMillis = i.spread(a, roomAsksPerEnd*a.room.releaseRate(now), now).Milliseconds()
	case !a.limited(now) || a.permits.take():
		a.room.take(node)
		d.Granted = true
	default:
		a.askers[node] = now
		d.WaitMillis = min(max(a.permits.wait(a.rate(now)), i.spread(a, a.rate(now), now)), maxWait).Milliseconds()
	}
	return d
}

// Ended records the end of a request for which a node had a permit, and whether the instance turned it away
// for want of room.
func (i *Issuer) Ended(node fleet.NodeID, instance fleet.BackendServerID, turnedAway bool, now time.Duration) {
	if a, ok := i.accounts[instance]; ok {
		a.room.ended(node, turnedAway, now)
	}
}

// spread returns when a node is to ask again, given how many permits there are a second. All nodes that ask
// are to come back at different times, about twice as often as there are permits.
func (i *Issuer) spread(a *account, rate routing.Rate, now time.Duration) time.Duration {
	for node, at := range a.askers {
		if now-at > askerMemory {
			delete(a.askers, node)
		}
	}
	perPermit := float64(time.Second) / float64(rate)
	spread := time.Duration((0.5 + i.rng.Float64()) / 2 * perPermit * float64(len(a.askers)))
	return min(max(spread, minWait), maxWait)
}

// sweep forgets the instances for which nobody asks any more.
func (i *Issuer) sweep(now time.Duration) {
	if now-i.sweptAt < issuerMemory {
		return
	}
	i.sweptAt = now
	for id, a := range i.accounts {
		if now-a.askedAt > issuerMemory {
			delete(i.accounts, id)
		}
	}
}
