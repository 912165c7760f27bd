// Package admission decides which waiting request starts next, and which are
// refused.
//
// # Order
//
// One queue stands before the backend servers of one model or service. A request
// that may start is chosen by
//
//  1. tier: paying before trial;
//  2. class: by start-time fair queueing with weights, so that long requests do
//     not hold up lookups and are not starved by them;
//  3. workspace: by start-time fair queueing inside the class.
//
// Start-time fair queueing gives each flow a virtual start time, which moves on by
// cost/weight with each request. For example, workspace A sends ten requests of
// cost 100 and B then sends one: A's requests start at 0, 100, ..., 900, B's at the
// present virtual time 0, so that B's is the second to start. First come, first
// served would have put it eleventh.
//
// # Refusals
//
// A request is refused at once when the queue is full, or when by the present rate
// it would not start before its deadline. A trial request never takes a place in
// the queue that a paying one needs: when the queue is full, the newest trial
// request makes room.
//
// The package is a pure state machine; times are on the clock of the caller.
package admission

import (
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// classWeights share a contended pool among the classes.
var classWeights = map[fleet.Class]float64{
	fleet.ClassLookup:      8,
	fleet.ClassInteractive: 4,
	fleet.ClassLong:        1,
}

// rateWindow is the time over which starts are averaged.
const rateWindow = 5 * time.Second

// Reason tells why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonQueueFull means that too many requests wait already.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTooSlow means that the request would start after its deadline.
	ReasonTooSlow Reason = "tooSlow"
	// ReasonDeadline means that the deadline came while the request waited.
	ReasonDeadline Reason = "deadline"
	// ReasonDisplaced means that a paying request took the place.
	ReasonDisplaced Reason = "displaced"
)

// Refusal is the answer to a request that will not start.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a place is likely to be free.
	RetryAfter time.Duration
}

// Request is one waiting request.
type Request struct {
	ID        uint64
	Workspace fleet.WorkspaceID
	Weight    int
	Tier      fleet.Tier
	Class     fleet.Class
	// Cost is the expected work, in tokens.
	Cost fleet.Tokens
	// Deadline is the latest time for a start.
	Deadline time.Duration

	start float64
}

// Policy chooses the order of the queue.
type Policy string

// The policies. Fair is in use; first come, first served is the baseline of
// measurements.
const (
	PolicyFair Policy = "fair"
	PolicyFIFO Policy = "firstServed"
)

// Config sets up a Queue.
type Config struct {
	Policy Policy
	// Length bounds the waiting requests.
	Length int
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	tiers   map[fleet.Tier]*tierQueue
	waiting int
	// rate is the average of starts for each second.
	rate   float64
	rateAt time.Duration
	// busySince is when requests began to wait without a break.
	busySince time.Duration
}

type tierQueue struct {
	virtual float64
	classes map[fleet.Class]*classQueue
	waiting int
}

type classQueue struct {
	start   float64
	virtual float64
	finish  map[fleet.WorkspaceID]float64
	flows   map[fleet.WorkspaceID][]*Request
	waiting int
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg: cfg,
		tiers: map[fleet.Tier]*tierQueue{
			fleet.TierPaying: newTierQueue(),
			fleet.TierTrial:  newTierQueue(),
		},
	}
}

func newTierQueue() *tierQueue {
	t := &tierQueue{classes: map[fleet.Class]*classQueue{}}
	for class := range classWeights {
		t.classes[class] = &classQueue{
			finish: map[fleet.WorkspaceID]float64{},
			flows:  map[fleet.WorkspaceID][]*Request{},
		}
	}
	return t
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	return q.waiting
}

// Offer queues a request, or refuses it. The request that it displaces, if any, is
// returned as well.
func (q *Queue) Offer(r *Request, now time.Duration) (refused *Refusal, displaced *Request) {
	if q.cfg.Policy == PolicyFIFO {
		r = anonymous(r)
	}
	wait := q.estimate(r, now)
	if wait > r.Deadline-now {
		return &Refusal{
			Reason:     ReasonTooSlow,
			RetryAfter: wait - (r.Deadline - now),
		}, nil
	}
	if q.waiting >= q.cfg.Length {
		if r.Tier == fleet.TierPaying {
			displaced = q.tiers[fleet.TierTrial].removeNewest()
		}
		if displaced == nil {
			return &Refusal{
				Reason:     ReasonQueueFull,
				RetryAfter: max(q.drainTime(), time.Second),
			}, nil
		}
		q.waiting--
	}
	if q.waiting == 0 {
		q.busySince = now
	}
	q.tiers[r.Tier].push(r)
	q.waiting++
	return nil, displaced
}

// anonymous returns the request without what sets it apart from others. Requests
// that are all alike are served in the order in which they come.
func anonymous(r *Request) *Request {
	return &Request{
		ID:       r.ID,
		Tier:     fleet.TierPaying,
		Class:    fleet.ClassInteractive,
		Cost:     1,
		Deadline: r.Deadline,
	}
}

// estimate returns the likely wait of a request, from the requests that would
// start before it and the rate of starts. While nothing is known of the rate the
// request is let in: a refusal must rest on an observation.
func (q *Queue) estimate(r *Request, now time.Duration) time.Duration {
	q.decay(now)
	if q.waiting == 0 || now-q.busySince < rateWindow/2 || q.rate <= 0 {
		return 0
	}
	ahead := q.tiers[fleet.TierPaying].waiting
	if r.Tier == fleet.TierPaying {
		ahead = q.tiers[r.Tier].aheadOf(r)
	} else {
		ahead += q.tiers[r.Tier].aheadOf(r)
	}
	return time.Duration(float64(ahead) / q.rate * float64(time.Second))
}

// aheadOf estimates how many of the tier's requests start before r: its class's
// share of the starts is known from the weights, and inside its class only the
// requests with an earlier virtual start come first.
func (t *tierQueue) aheadOf(r *Request) int {
	own := t.classes[r.Class]
	start := max(own.virtual, own.finish[r.Workspace])
	before := 0
	for _, flow := range own.flows {
		for _, other := range flow {
			if other.start > start {
				break
			}
			before++
		}
	}
	ahead := float64(before)
	weight := classWeights[r.Class]
	for class, other := range t.classes {
		if class != r.Class {
			ahead += min(float64(other.waiting), float64(before+1)*classWeights[class]/weight)
		}
	}
	return int(ahead)
}

func (q *Queue) drainTime() time.Duration {
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(float64(q.waiting) / q.rate * float64(time.Second))
}

func (q *Queue) decay(now time.Duration) {
	if passed := now - q.rateAt; passed > 0 {
		q.rate *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
		q.rateAt = now
	}
}

// Next removes and returns the request that starts next, or nil. The may function
// tells whether a request of a tier and class could start now.
func (q *Queue) Next(now time.Duration, may func(fleet.Tier, fleet.Class) bool) *Request {
	for _, tier := range []fleet.Tier{fleet.TierPaying, fleet.TierTrial} {
		r := q.tiers[tier].pop(func(class fleet.Class) bool { return may(tier, class) })
		if r == nil {
			continue
		}
		q.waiting--
		q.decay(now)
		q.rate += 1 / rateWindow.Seconds()
		return r
	}
	return nil
}

// Expire removes and returns the requests whose deadline has come.
func (q *Queue) Expire(now time.Duration) []*Request {
	return q.removeAll(func(r *Request) bool { return r.Deadline <= now })
}

// Remove takes out a request whose caller has gone.
func (q *Queue) Remove(id uint64) bool {
	return len(q.removeAll(func(r *Request) bool { return r.ID == id })) > 0
}

func (q *Queue) removeAll(gone func(*Request) bool) []*Request {
	var removed []*Request
	for _, t := range q.tiers {
		for _, c := range t.classes {
			out := c.removeAll(gone)
			t.waiting -= len(out)
			q.waiting -= len(out)
			removed = append(removed, out...)
		}
	}
	return removed
}

func (t *tierQueue) push(r *Request) {
	c := t.classes[r.Class]
	if c.waiting == 0 {
		// A class that was idle starts at the present, not with credit for
		// the time it had nothing to do.
		c.start = max(c.start, t.virtual)
	}
	weight := float64(max(r.Weight, 1))
	r.start = max(c.virtual, c.finish[r.Workspace])
	c.finish[r.Workspace] = r.start + float64(max(r.Cost, 1))/weight
	c.flows[r.Workspace] = append(c.flows[r.Workspace], r)
	c.waiting++
	t.waiting++
}

// pop takes the first request of the class with the earliest virtual start, among
// the classes that may start.
func (t *tierQueue) pop(may func(fleet.Class) bool) *Request {
	best := fleet.Class("")
	for _, class := range []fleet.Class{fleet.ClassLookup, fleet.ClassInteractive, fleet.ClassLong} {
		c := t.classes[class]
		if c.waiting == 0 || !may(class) {
			continue
		}
		if best == "" || c.start < t.classes[best].start {
			best = class
		}
	}
	if best == "" {
		return nil
	}
	c := t.classes[best]
	t.virtual = max(t.virtual, c.start)
	c.start += 1 / classWeights[best]
	t.waiting--
	return c.pop()
}

func (c *classQueue) pop() *Request {
	first := fleet.WorkspaceID("")
	found := false
	for workspace, flow := range c.flows {
		if !found || before(flow[0], c.flows[first][0]) {
			first = workspace
			found = true
		}
	}
	r := c.flows[first][0]
	c.virtual = max(c.virtual, r.start)
	c.setFlow(first, c.flows[first][1:])
	c.waiting--
	if c.waiting == 0 {
		// With nobody waiting, past use is no longer held against anyone.
		clear(c.finish)
	}
	return r
}

func before(a, b *Request) bool {
	return a.start < b.start || a.start == b.start && a.ID < b.ID
}

// setFlow replaces a workspace's requests.
func (c *classQueue) setFlow(workspace fleet.WorkspaceID, flow []*Request) {
	if len(flow) > 0 {
		c.flows[workspace] = flow
		return
	}
	delete(c.flows, workspace)
}

func (c *classQueue) removeAll(gone func(*Request) bool) []*Request {
	var removed []*Request
	for workspace, flow := range c.flows {
		var kept []*Request
		for _, r := range flow {
			if gone(r) {
				removed = append(removed, r)
			} else {
				kept = append(kept, r)
			}
		}
		if len(kept) < len(flow) {
			c.setFlow(workspace, kept)
		}
	}
	c.waiting -= len(removed)
	return removed
}

func (t *tierQueue) removeNewest() *Request {
	newest := (*Request)(nil)
	for _, c := range t.classes {
		for _, flow := range c.flows {
			if last := flow[len(flow)-1]; newest == nil || last.ID > newest.ID {
				newest = last
			}
		}
	}
	if newest == nil {
		return nil
	}
	t.classes[newest.Class].removeAll(func(r *Request) bool { return r == newest })
	t.waiting--
	return newest
}
