package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/routing"
)

// The costs are times, since they are added to the predicted wait.
const (
	// prefillTokensPerMs is the prefill rate of an engine. It is below the 50 to 62
	// of current engines, since running requests take a part of that.
	prefillTokensPerMs = 45.0
	// recomputeFactor is the extra cost of prefilling a shared part that is not cached,
	// per second of that prefill. congestedRecomputeFactor is added for each second of
	// congestion, since the prefill delays all requests behind it. Without them, overload
	// makes requests move from queues to engines that must prefill their whole prompts,
	// until the engines do little else.
	recomputeFactor          = 0.3
	congestedRecomputeFactor = 20.0
	// demandWindow is the time constant of the count of a shared part's requests, about
	// as long as a queue lasts. The cost of recomputing the part is divided among them.
	demandWindow = time.Second
	// lowDemand is the number of requests in the window up to which that cost is not
	// divided: so few do not justify prefilling the part on another engine.
	lowDemand = 3
	// runningDelay is how much each running request delays a first token.
	runningDelay = 150 * time.Microsecond
	// remoteCost is the cost of sending a request to another data centre: a round trip
	// of some milliseconds, and traffic charges, which outweigh a short wait.
	remoteCost = 100 * time.Millisecond
	// errorCost is the cost of an instance with an error rate of 1.
	errorCost = 2 * time.Second
	// errorRateWeight is the weight of the latest outcome in the moving average of an
	// instance's error rate.
	errorRateWeight = 0.15
	// responseTimeout is how long an instance with requests that wait for a first byte
	// may go without a response before it is assumed to be failing.
	responseTimeout = 900 * time.Millisecond
	// unresponsiveCost is the cost of an instance that is assumed to be failing.
	unresponsiveCost = 3 * time.Second
	// defaultServiceTime is the assumed duration of a plain service's request until one
	// has completed.
	defaultServiceTime = 20 * time.Millisecond
	// moveMargin is the minimum advantage for moving a request from the engine that it
	// has claimed, since a move takes another round trip.
	moveMargin = 10 * time.Millisecond
	// claimedTokensTTL is how long the response of an engine's owner takes precedence over
	// load reports. It becomes stale as new prompts are claimed.
	claimedTokensTTL = 150 * time.Millisecond
	// minSharedTokens is the minimum size of a shared part that affects the choice of
	// an engine. Recomputing a smaller one takes less time than a detour.
	minSharedTokens = 512
	// partTTL is how long a part is assumed to stay in an engine's cache after its last
	// use.
	partTTL = 30 * time.Second
)

// cachedProbability is the probability that an engine has a shared part cached that this
// node has not sent there, by the engine's rank in the part's hash order. Other nodes send
// the part's requests to the same engines.
var cachedProbability = [...]float64{0.9, 0.3}

// maxParts bounds the cached parts that are tracked per engine, and the parts whose demand
// is counted.
const maxParts = 4096

// ForecastConfig configures a Forecast.
type ForecastConfig struct {
	DataCentre fleet.DataCentre
	Seed       uint64
}

// Forecast chooses the instance with the lowest predicted wait for each routed request. The
// prediction depends on the requests queued there, the part of the prompt that is not cached
// there and recent outcomes. It is not safe for concurrent use.
//
// # Why the prompt determines the engine
//
// Prefill of a prompt of 17,000 tokens takes an engine about 300 ms. A quarter of the prompt
// belongs to the request alone; the rest is shared with other requests on the same subject.
// On the engine that has just prefilled the subject, the request costs only that quarter. So
// the engines are ranked for each shared part by rendezvous hash, which gives the same order
// on all nodes without a message, and the first engine is assumed to have the part cached. A
// busy first engine loses to the second as soon as its queue costs more than recomputing the
// part, so that the cost function that places a request also limits the load of an engine.
//
// # Why recomputing costs more than its time
//
// Under overload every engine has a queue, and moving to a shorter one saves a request some
// time. But if the shared part is not cached there, the engine must prefill 13,300 more
// tokens, and all requests behind it wait for those 300 ms. If all requests move, engines
// recompute most parts over and over, all queues grow, and moving looks even better. So the
// time to recompute a shared part counts several times when engines are congested, and about
// once when some are idle. The cost is divided among the requests for a part in demand, since
// an engine that computes the part for one of them has it cached for the next.
type Forecast struct {
	cfg         ForecastConfig
	rng         *rand.Rand
	instances   map[fleet.BackendServerID]*instanceState
	instanceIDs []fleet.BackendServerID
	demands     map[routing.PartID]demand
	// exclusions has what instances have said of themselves, by id.
	exclusions map[fleet.BackendServerID]*exclusion
	// evacuated are the data centres whose instances get no requests.
	evacuated evacuation.List
	// backlogs is scratch space of congestion.
	backlogs []float64
	// coldStart is nil if instances bear their full load at once. listed is set after the first list that has any.
	coldStart *routing.ColdStart
	coldMarks []ColdMark
	listed    bool
}

// demand is an exponentially decaying count of the requests with a shared part, as of at.
type demand struct {
	count float64
	at    time.Duration
}

// ForecastRequest describes a request for which Pick chooses an instance.
type ForecastRequest struct {
	Parts []routing.Part
	// Prompt is the size of the whole prompt, 0 for a plain service.
	Prompt fleet.Tokens
	// Avoid lists instances that must not be chosen.
	Avoid []fleet.BackendServerID
	// Origin is where the stream began that the request continues, nil for any other request. Only
	// instances that it admits are chosen.
	Origin *routing.Origin
	// Current is the instance chosen before, if any. Another instance is chosen only if
	// it is better by moveMargin.
	Current fleet.BackendServerID
}

// Assignment is a request that was assigned to an instance, until Finish.
type Assignment struct {
	Instance routing.Instance
	// Predicted is the predicted wait until the first byte, Expected those of a SpeedSample.
	Predicted time.Duration
	Expected  []time.Duration
	// Uncached is the predicted number of prompt tokens that are not cached there.
	Uncached fleet.Tokens
	// Candidates is the number of instances that could be chosen.
	Candidates int
	// LoadAge is the age of the instance's load report, negative if there is none.
	LoadAge time.Duration
	// Limit is what is known of the instance's limit, nil if it has none. A request to a limited
	// instance needs a permit.
	Limit *ratelimit.Report

	started       time.Duration
	firstByteSeen bool
	// cost is the cost by which the instance was chosen: the predicted wait and the
	// delay for other requests.
	cost time.Duration
	// parts are the shared parts that were marked as cached, and lastUsed the times of
	// their use before that, negative for never.
	parts    []routing.Part
	lastUsed []time.Duration
	// demandPart is the part in whose demand the request was counted.
	demandPart routing.PartID
}

// NewForecast returns a forecast without instances.
func NewForecast(cfg ForecastConfig) *Forecast {
	return &Forecast{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 2)),
		instances:  map[fleet.BackendServerID]*instanceState{},
		demands:    map[routing.PartID]demand{},
		exclusions: map[fleet.BackendServerID]*exclusion{},
	}
}

// SetInstances replaces the list of instances. The state of instances that remain is kept.
func (f *Forecast) SetInstances(instances []routing.Instance, now time.Duration) {
	f.instanceIDs = f.instanceIDs[:0]
	next := map[fleet.BackendServerID]*instanceState{}
	for _, instance := range instances {
		s, ok := f.instances[instance.ID]
		var previous *routing.Instance
		if !ok {
			s = &instanceState{
				cachedParts: map[routing.PartID]time.Duration{},
				reportedAt:  -time.Hour,
				claimedAt:   -time.Hour,
			}
		} else {
			entry := s.instance
			previous = &entry
		}
		s.instance = instance
		f.observeStart(s, previous, now)
		next[instance.ID] = s
		f.instanceIDs = append(f.instanceIDs, instance.ID)
	}
	f.instances = next
	f.listed = f.listed || len(instances) > 0
	slices.Sort(f.instanceIDs)
	f.updateExclusions(now)
}

// admits reports whether an instance may continue a stream that began at an origin. Without one it may.
func admits(origin *routing.Origin, instance routing.Instance) bool {
	return origin == nil || origin.Admits(instance)
}

// Usable returns how many instances may get new requests, or continue a stream of an origin.
func (f *Forecast) Usable(origin *routing.Origin, now time.Duration) int {
	n := 0
	for _, s := range f.instances {
		if f.available(s, now) && now >= s.suspectUntil && admits(origin, s.instance) {
			n++
		}
	}
	return n
}

// Pick chooses an instance and counts the request as running there. It reports false if
// every instance is draining, to be avoided, or of another software version than the stream.
func (f *Forecast) Pick(r ForecastRequest, now time.Duration) (Assignment, bool) {
	best, found := f.pick(r, now, false)
	if !found {
		// All instances are suspected of failure. Failure detection must not leave a
		// service without instances, so choose one of them.
		best, found = f.pick(r, now, true)
	}
	if !found {
		return Assignment{}, false
	}
	s := f.instances[best.Instance.ID]
	best.Expected = s.expectations(r, now)
	s.running++
	s.waiting++
	s.backlogTokens += float64(best.Uncached)
	if s.waitingSince == 0 {
		s.waitingSince = now
	}
	best.Limit = f.limitOf(best.Instance, now)
	best.demandPart = longestShared(r.Parts).ID
	f.addDemand(best.demandPart, 1, now)
	best.parts, best.lastUsed = f.markCached(s, r.Parts, now)
	return best, true
}

// pick returns the instance with the lowest cost. Suspected instances are considered only if
// includeSuspects is set.
func (f *Forecast) pick(r ForecastRequest, now time.Duration, includeSuspects bool) (Assignment, bool) {
	best := Assignment{}
	candidates := 0
	longest := longestShared(r.Parts)
	ranked := f.rank(longest, now)
	recomputeWeight := (recomputeFactor + congestedRecomputeFactor*f.congestion(r, now).Seconds()) / (1 + max(f.demand(longest.ID, now)-lowDemand, 0))
	for _, id := range f.instanceIDs {
		s := f.instances[id]
		if !f.available(s, now) || !includeSuspects && now < s.suspectUntil || slices.Contains(r.Avoid, id) || !admits(r.Origin, s.instance) {
			continue
		}
		candidates++
		uncached := f.uncachedTokens(s, r, ranked, now)
		wait := s.predictWait(r, uncached, now)
		cost := wait + time.Duration(recomputeWeight*float64(prefillTime(float64(uncached-r.ownTokens()))))
		if s.instance.DataCentre != f.cfg.DataCentre {
			cost += remoteCost
		}
		if f.cold(s, now) {
			cost += coldCost
		}
		// Jitter keeps nodes with the same information from choosing the same engine.
		cost += time.Duration(f.rng.Int64N(int64(time.Millisecond)))
		if id == r.Current {
			cost -= moveMargin
		}
		if candidates == 1 || cost < best.cost {
			best = Assignment{
				Instance:  s.instance,
				Predicted: wait,
				cost:      cost,
				Uncached:  uncached,
				LoadAge:   s.loadAge(now),
				started:   now,
			}
		}
	}
	best.Candidates = candidates
	return best, candidates > 0
}

// longestShared returns the longest shared part, or an empty one if there is none. The last
// part of a prompt is not shared.
func longestShared(parts []routing.Part) routing.Part {
	if len(parts) < 2 {
		return routing.Part{}
	}
	return slices.MaxFunc(parts[:len(parts)-1], func(a, b routing.Part) int { return int(a.Tokens - b.Tokens) })
}

// demand estimates how many requests with a shared part this node has assigned within
// demandWindow.
func (f *Forecast) demand(part routing.PartID, now time.Duration) float64 {
	d, ok := f.demands[part]
	if !ok {
		return 0
	}
	return d.count * math.Exp(-float64(now-d.at)/float64(demandWindow))
}

// addDemand adds n requests to the demand for a shared part.
func (f *Forecast) addDemand(part routing.PartID, n float64, now time.Duration) {
	if part == "" {
		return
	}
	if len(f.demands) > maxParts {
		f.demands = map[routing.PartID]demand{}
	}
	f.demands[part] = demand{
		count: max(f.demand(part, now)+n, 0),
		at:    now,
	}
}

// rank returns the engines that come first in the hash order of a shared part. It returns
// none if the part is smaller than minSharedTokens.
func (f *Forecast) rank(longest routing.Part, now time.Duration) []fleet.BackendServerID {
	if longest.Tokens < minSharedTokens {
		return nil
	}
	var ranked [len(cachedProbability)]fleet.BackendServerID
	var weights [len(cachedProbability)]uint64
	for _, id := range f.instanceIDs {
		s := f.instances[id]
		if !f.available(s, now) {
			continue
		}
		weight := xxhash.Sum64String(string(longest.ID) + "\x00" + string(id))
		if !f.ranks(s, weight, now) {
			continue
		}
		for i := range ranked {
			if ranked[i] == "" || weight > weights[i] {
				copy(ranked[i+1:], ranked[i:])
				copy(weights[i+1:], weights[i:])
				ranked[i], weights[i] = id, weight
				break
			}
		}
	}
	return ranked[:]
}

// ownTokens returns the size of the part of the prompt that no other request shares.
func (r ForecastRequest) ownTokens() fleet.Tokens {
	if len(r.Parts) == 0 {
		return r.Prompt
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

// SetClaimedByOthers records the prompt tokens that other nodes have claimed on an instance, as
// reported by its owner.
func (f *Forecast) SetClaimedByOthers(id fleet.BackendServerID, others fleet.Tokens, now time.Duration) {
	if s, ok := f.instances[id]; ok {
		s.claimedByOthers = float64(others)
		s.claimedAt = now
	}
}

// Undo reverts a choice of Pick for a request that was not sent.
func (f *Forecast) Undo(p *Assignment, now time.Duration) {
	f.addDemand(p.demandPart, -1, now)
	if s, ok := f.instances[p.Instance.ID]; ok {
		for i, part := range p.parts {
			switch at := s.cachedParts[part.ID]; {
			case at != p.started:
			case p.lastUsed[i] < 0:
				delete(s.cachedParts, part.ID)
			default:
				s.cachedParts[part.ID] = p.lastUsed[i]
			}
		}
	}
	f.Finish(p, OutcomeNeutral, now)
}

// markCached marks a request's shared parts as cached on an instance. It returns the parts and
// the times of their last use there, negative for never.
func (f *Forecast) markCached(s *instanceState, parts []routing.Part, now time.Duration) (shared []routing.Part, lastUsed []time.Duration) {
	if len(parts) == 0 {
		return nil, nil
	}
	shared = parts[:len(parts)-1]
	for _, part := range shared {
		at, known := s.cachedParts[part.ID]
		if !known {
			at = -1
		}
		lastUsed = append(lastUsed, at)
		s.cachedParts[part.ID] = now
	}
	if len(s.cachedParts) <= maxParts {
		return shared, lastUsed
	}
	for id, at := range s.cachedParts {
		if now-at > partTTL || len(s.cachedParts) > maxParts {
			delete(s.cachedParts, id)
		}
	}
	return shared, lastUsed
}

// RecordFirstByte records that the first byte of a response has arrived.
func (f *Forecast) RecordFirstByte(p *Assignment, now time.Duration) {
	s, ok := f.instances[p.Instance.ID]
	if !ok || p.firstByteSeen {
		return
	}
	p.firstByteSeen = true
	s.recordFirstByte(p, now)
	s.respondedAt = now
}

// Finish ends a request that Pick assigned and updates the instance's state with its outcome.
func (f *Forecast) Finish(p *Assignment, outcome Outcome, now time.Duration) {
	s, ok := f.instances[p.Instance.ID]
	if !ok {
		return
	}
	if !p.firstByteSeen {
		p.firstByteSeen = true
		s.recordFirstByte(p, now)
	}
	s.running--
	switch outcome {
	case OutcomeOK:
		s.respondedAt = now
		s.failures = 0
		s.errorRate *= 1 - errorRateWeight
		took := now - p.started
		s.serviceTime += (took - s.serviceTime) / 8
	case OutcomeSlow:
		s.errorRate += (1 - s.errorRate) * errorRateWeight / 2
	case OutcomeBusy:
		s.respondedAt = now
		s.suspectUntil = max(s.suspectUntil, now+busyBackoff)
	case OutcomeDraining:
		s.drainingUntil = now + drainingExclusion
	case OutcomeFailed:
		s.errorRate += (1 - s.errorRate) * errorRateWeight
		s.failures++
		if s.failures >= failuresToSuspect {
			s.suspectUntil = now + min(suspectTime<<min(s.failures-failuresToSuspect, 3), maxSuspectTime)
			f.observeSuspicion(s, now)
		}
	case OutcomeNeutral:
	}
}

const (
	// busyBackoff is how long an instance that rejected a request for lack of capacity
	// is excluded, about as long as a queued request takes.
	busyBackoff = 250 * time.Millisecond
	// failuresToSuspect is the number of consecutive failures after which an instance is
	// excluded.
	failuresToSuspect = 2
	// drainingExclusion is how long an instance known to be draining is excluded. It is
	// longer than the delay until the list of instances marks it too.
	drainingExclusion = 4 * time.Second
)

// Report records an instance's load report.
func (f *Forecast) Report(id fleet.BackendServerID, running, waiting int, now time.Duration) {
	if s, ok := f.instances[id]; ok {
		s.reportedRunning = running
		s.reportedWaiting = waiting
		s.reportedAt = now
		s.respondedAt = now
	}
}

// Unresponsive reports whether an instance has not responded at all since a request was
// assigned to it.
func (f *Forecast) Unresponsive(p *Assignment) bool {
	s, ok := f.instances[p.Instance.ID]
	return !ok || s.respondedAt <= p.started
}

// MarkDraining records that an instance is draining or has terminated.
func (f *Forecast) MarkDraining(id fleet.BackendServerID, now time.Duration) {
	if s, ok := f.instances[id]; ok {
		s.drainingUntil = now + drainingExclusion
	}
}
