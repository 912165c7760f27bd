// Package admission decides which waiting request starts next and which requests are
// refused.
//
// # Order
//
// Each model or service has one queue in front of its backend servers. The next request
// to start is chosen by
//
//  1. tier: paying before trial;
//  2. class: by start-time fair queueing with weights, so that long requests do
//     not delay lookups and lookups do not starve long requests;
//  3. workspace: by start-time fair queueing within the class.
//
// Start-time fair queueing gives each flow a virtual start time, which advances by
// cost/weight with each request. For example, workspace A sends ten requests of
// cost 100 and then B sends one. A's requests start at 0, 100, ..., 900 and B's at the
// current virtual time 0, so B's request is the second to start. With first come, first
// served it would be the eleventh.
//
// # Refusals
//
// A request is refused immediately when the queue is full, or when at the current rate
// of starts it would miss its deadline. Trial requests never keep paying ones out of the
// queue: when the queue is full, a paying request displaces the newest trial request.
//
// The package is a pure state machine: the current time is passed in.
package admission

import (
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// classWeights are the shares of the classes in a contended pool.
var classWeights = map[fleet.Class]float64{
	fleet.ClassLookup:      8,
	fleet.ClassInteractive: 4,
	fleet.ClassLong:        1,
}

// rateWindow is the time constant of the exponential moving average of starts.
const rateWindow = 5 * time.Second

// Reason is the reason why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	// ReasonQueueFull means that the queue has reached its maximum length.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTooSlow means that the request would start after its deadline.
	ReasonTooSlow Reason = "tooSlow"
	// ReasonDeadline means that the deadline passed while the request was queued.
	ReasonDeadline Reason = "deadline"
	// ReasonDisplaced means that a paying request displaced a trial request.
	ReasonDisplaced Reason = "displaced"
)

// Refusal is returned for a request that will not start.
type Refusal struct {
	Reason Reason
	// RetryAfter is the estimated time until the queue can accept the request.
	RetryAfter time.Duration
}

// Request is a queued request.
type Request struct {
	ID        uint64
	Workspace fleet.WorkspaceID
	Weight    int
	Tier      fleet.Tier
	Class     fleet.Class
	// Cost is the expected work, in tokens.
	Cost fleet.Tokens
	// Deadline is the latest time at which the request may start.
	Deadline time.Duration

	virtualStart float64
}

// Policy chooses the order of the queue.
type Policy string

// Queueing policies. PolicyFair is used in production; PolicyFIFO (first come, first
// served) is the baseline for measurements.
const (
	PolicyFair Policy = "fair"
	PolicyFIFO Policy = "firstServed"
)

// Config configures a Queue.
type Config struct {
	Policy Policy
	// Length is the maximum number of queued requests.
	Length int
}

// Queue holds the queued requests of one pool. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	tiers   map[fleet.Tier]*tierQueue
	waiting int
	// rate is the moving average of starts per second.
	rate   float64
	rateAt time.Duration
	// busySince is the time since which the queue has not been empty.
	busySince time.Duration
}

type tierQueue struct {
	// virtualTime is the latest virtual start of a class that started a request.
	virtualTime float64
	classes     map[fleet.Class]*classQueue
	waiting     int
}

type classQueue struct {
	// virtualStart is the virtual start of the class's next request among the classes of
	// its tier.
	virtualStart float64
	// virtualTime is the latest virtual start of a request that was started, and
	// virtualFinish the virtual finish of each workspace's last request.
	virtualTime   float64
	virtualFinish map[fleet.WorkspaceID]float64
	flows         map[fleet.WorkspaceID][]*Request
	waiting       int
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
			virtualFinish: map[fleet.WorkspaceID]float64{},
			flows:         map[fleet.WorkspaceID][]*Request{},
		}
	}
	return t
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	return q.waiting
}

// Offer queues or refuses a request. It also returns the request that the new one
// displaced, if any.
func (q *Queue) Offer(r *Request, now time.Duration) (refused *Refusal, displaced *Request) {
	if q.cfg.Policy == PolicyFIFO {
		r = unclassified(r)
	}
	wait := q.estimateWait(r, now)
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

// unclassified returns a copy of the request with the same tier, class, workspace and cost
// as any other. Requests that are equal in these are served in the order of arrival.
func unclassified(r *Request) *Request {
	return &Request{
		ID:       r.ID,
		Tier:     fleet.TierPaying,
		Class:    fleet.ClassInteractive,
		Cost:     1,
		Deadline: r.Deadline,
	}
}

// estimateWait estimates how long a request would wait, from the number of requests that
// would start before it and the rate of starts. It returns 0 while the rate is not yet
// known, so that a request is refused only on the basis of observed starts.
func (q *Queue) estimateWait(r *Request, now time.Duration) time.Duration {
	q.decayRate(now)
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

// aheadOf estimates how many of the tier's requests start before r. The weights give the
// shares of the classes in the starts; within r's class only the requests that do not
// have a later virtual start come first.
func (t *tierQueue) aheadOf(r *Request) int {
	own := t.classes[r.Class]
	start := max(own.virtualTime, own.virtualFinish[r.Workspace])
	earlier := 0
	for _, flow := range own.flows {
		for _, other := range flow {
			if other.virtualStart > start {
				break
			}
			earlier++
		}
	}
	ahead := float64(earlier)
	weight := classWeights[r.Class]
	for class, other := range t.classes {
		if class != r.Class {
			ahead += min(float64(other.waiting), float64(earlier+1)*classWeights[class]/weight)
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

func (q *Queue) decayRate(now time.Duration) {
	if elapsed := now - q.rateAt; elapsed > 0 {
		q.rate *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		q.rateAt = now
	}
}

// Next removes and returns the request that starts next, or nil if there is none. canStart
// reports whether a backend server has room for a request of the given tier and class.
func (q *Queue) Next(now time.Duration, canStart func(fleet.Tier, fleet.Class) bool) *Request {
	for _, tier := range []fleet.Tier{fleet.TierPaying, fleet.TierTrial} {
		r := q.tiers[tier].pop(func(class fleet.Class) bool { return canStart(tier, class) })
		if r == nil {
			continue
		}
		q.waiting--
		q.decayRate(now)
		q.rate += 1 / rateWindow.Seconds()
		return r
	}
	return nil
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Duration) []*Request {
	return q.removeAll(func(r *Request) bool { return r.Deadline <= now })
}

// Remove removes a request whose caller has disconnected. It reports whether the request
// was queued.
func (q *Queue) Remove(id uint64) bool {
	return len(q.removeAll(func(r *Request) bool { return r.ID == id })) > 0
}

func (q *Queue) removeAll(match func(*Request) bool) []*Request {
	var removed []*Request
	for _, t := range q.tiers {
		for _, c := range t.classes {
			matched := c.removeAll(match)
			t.waiting -= len(matched)
			q.waiting -= len(matched)
			removed = append(removed, matched...)
		}
	}
	return removed
}

func (t *tierQueue) push(r *Request) {
	c := t.classes[r.Class]
	if c.waiting == 0 {
		// A class that was idle resumes at the current virtual time, so that it
		// gets no credit for its idle time.
		c.virtualStart = max(c.virtualStart, t.virtualTime)
	}
	weight := float64(max(r.Weight, 1))
	r.virtualStart = max(c.virtualTime, c.virtualFinish[r.Workspace])
	c.virtualFinish[r.Workspace] = r.virtualStart + float64(max(r.Cost, 1))/weight
	c.flows[r.Workspace] = append(c.flows[r.Workspace], r)
	c.waiting++
	t.waiting++
}

// pop removes and returns the first request of the class with the earliest virtual start
// among the classes that can start.
func (t *tierQueue) pop(canStart func(fleet.Class) bool) *Request {
	best := fleet.Class("")
	for _, class := range []fleet.Class{fleet.ClassLookup, fleet.ClassInteractive, fleet.ClassLong} {
		c := t.classes[class]
		if c.waiting == 0 || !canStart(class) {
			continue
		}
		if best == "" || c.virtualStart < t.classes[best].virtualStart {
			best = class
		}
	}
	if best == "" {
		return nil
	}
	c := t.classes[best]
	t.virtualTime = max(t.virtualTime, c.virtualStart)
	c.virtualStart += 1 / classWeights[best]
	t.waiting--
	return c.pop()
}

func (c *classQueue) pop() *Request {
	first := fleet.WorkspaceID("")
	found := false
	for workspace, flow := range c.flows {
		if !found || startsBefore(flow[0], c.flows[first][0]) {
			first = workspace
			found = true
		}
	}
	r := c.flows[first][0]
	c.virtualTime = max(c.virtualTime, r.virtualStart)
	c.setFlow(first, c.flows[first][1:])
	c.waiting--
	if c.waiting == 0 {
		// When the class has no queued requests, the past use of its workspaces
		// no longer delays them.
		clear(c.virtualFinish)
	}
	return r
}

func startsBefore(a, b *Request) bool {
	return a.virtualStart < b.virtualStart || a.virtualStart == b.virtualStart && a.ID < b.ID
}

// setFlow replaces the queued requests of a workspace.
func (c *classQueue) setFlow(workspace fleet.WorkspaceID, flow []*Request) {
	if len(flow) > 0 {
		c.flows[workspace] = flow
		return
	}
	delete(c.flows, workspace)
}

func (c *classQueue) removeAll(match func(*Request) bool) []*Request {
	var removed []*Request
	for workspace, flow := range c.flows {
		var kept []*Request
		for _, r := range flow {
			if match(r) {
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
