package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// Figures of the forecast. Times are added up into one predicted wait, so all are
// expressed as time.
const (
	// prefillRate is the prompt tokens that an engine reads in a millisecond. It
	// lies below what the engines of today do (50 to 62), since a batch of
	// running requests takes a part of it.
	prefillRate = 45.0
	// rereadCost is what the time to read a shared part again counts beyond its own
	// length, and crowdedRereadCost how much more for each second that prompts wait
	// where it is crowded: it takes that time from everyone behind. Without it a storm
	// makes requests flee from queues to engines that must read everything again, until
	// all engines do nothing else.
	rereadCost        = 0.3
	crowdedRereadCost = 20.0
	// demandTime is the time over which a shared part's requests are counted, about
	// as long as a queue lasts: the cost of reading it again is divided among them.
	demandTime = time.Second
	// fewRequests of a part in that time are no reason to read it on another engine.
	fewRequests = 3
	// runningCost is how much one more running request delays a first token.
	runningCost = 150 * time.Microsecond
	// farCost is what a request to another data centre loses: a round trip of some
	// milliseconds, and its bytes, which users pay for more than for a short wait.
	farCost = 100 * time.Millisecond
	// errorCost is the wait that a server with nothing but errors is worth.
	errorCost = 2 * time.Second
	// errorMemory is the weight of the latest outcome in a server's error rate.
	errorMemory = 0.15
	// overdueAfter is the silence of a server, with requests under way, from
	// which on it is taken to be in trouble.
	overdueAfter = 900 * time.Millisecond
	// overdueCost is what such a silence is worth.
	overdueCost = 3 * time.Second
	// serviceTime is the work of a plain service's request until one was seen.
	serviceTime = 20 * time.Millisecond
	// moveMargin is by how much another engine must be better than the one that was
	// claimed: a move costs another round trip.
	moveMargin = 10 * time.Millisecond
	// boardLife is how long a board's word goes before a server's reports: new
	// prompts come after it.
	boardLife = 150 * time.Millisecond
	// minSharedTokens is the size from which on a shared part decides where a
	// request goes; a smaller one is read again in less time than a detour
	// costs.
	minSharedTokens = 512
	// partLife is how long a part is expected to stay in an engine's cache after
	// its last use.
	partLife = 30 * time.Second
)

// rankCached is the chance that an engine holds a shared part of which this node does
// not know, by the engine's rank in the part's hash order: other nodes send the
// part's requests there.
var rankCached = [...]float64{0.9, 0.3}

// maxParts bounds the remembered parts of one engine.
const maxParts = 4096

// ForecastConfig sets up a Forecast.
type ForecastConfig struct {
	DataCentre fleet.DataCentre
	Seed       uint64
}

// Forecast chooses an instance for each routed request by the wait that it predicts:
// what is queued before the request, what of its prompt is not cached there, and what
// recent outcomes say of the instance. It is not safe for concurrent use.
//
// # Why prompts decide
//
// An engine reads a prompt of 17,000 tokens in about 300 ms, and a quarter of that is
// the request's own; the rest is shared with other requests about the same subject.
// Sent to the engine that has just read the subject it costs a quarter. So each
// shared part has an order of engines, by rendezvous hash, that all nodes agree on
// without a message, and the first engine of that order is predicted to hold the part.
// A busy first engine loses to the second as soon as its queue costs more than reading
// the part again: the load is bounded by the same sum that places the request.
//
// # Why reading again costs more than its time
//
// In a storm each engine has a queue, and moving to a shorter one saves the request some
// time. But where its shared part is not held, the engine must read 13,300 tokens more,
// 300 ms in which everyone behind waits. If all requests do that, engines read most parts
// again and again, all queues grow, and moving looks better still. So the time to read a
// shared part again counts several times where engines are crowded, and about once where
// some are idle. For a part in demand it is divided among its requests: an engine that
// reads it for one of them has it for the next.
type Forecast struct {
	cfg     ForecastConfig
	rng     *rand.Rand
	servers map[fleet.BackendServerID]*forecastServer
	order   []fleet.BackendServerID
	demands map[routing.PartID]demand
	// backlogs is scratch space.
	backlogs []float64
}

// demand counts a shared part's requests.
type demand struct {
	count float64
	at    time.Duration
}

// ForecastRequest is what the choice depends on.
type ForecastRequest struct {
	Parts []routing.Part
	// Prompt is the whole prompt, 0 for a plain service.
	Prompt fleet.Tokens
	Avoid  []fleet.BackendServerID
	// Current is the instance that was chosen before, which another must beat clearly.
	Current fleet.BackendServerID
}

// Assignment is a request on an instance, until Done.
type Assignment struct {
	Instance routing.Instance
	// Predicted is the predicted wait until the first byte.
	Predicted time.Duration
	// Uncached is the part of the prompt that was taken to be read anew.
	Uncached fleet.Tokens
	// Candidates is how many instances were usable, LoadAge how old the chosen
	// one's load report was, negative if it had made none.
	Candidates int
	LoadAge    time.Duration

	started time.Duration
	began   bool
	// cost is what the choice was made by: the wait, and what others lose by it.
	cost time.Duration
	// parts are the shared ones that the engine is now taken to hold, seen when it
	// was known to before, negative for never.
	parts []routing.Part
	seen  []time.Duration
	// counted is the part whose demand it raised.
	counted routing.PartID
}

// NewForecast returns a forecast without instances.
func NewForecast(cfg ForecastConfig) *Forecast {
	return &Forecast{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		servers: map[fleet.BackendServerID]*forecastServer{},
		demands: map[routing.PartID]demand{},
	}
}

// SetInstances puts a set of instances in place and keeps what is known of those that
// stay.
func (f *Forecast) SetInstances(instances []routing.Instance) {
	f.order = f.order[:0]
	next := map[fleet.BackendServerID]*forecastServer{}
	for _, instance := range instances {
		s, ok := f.servers[instance.ID]
		if !ok {
			s = &forecastServer{
				parts:      map[routing.PartID]time.Duration{},
				reportedAt: -time.Hour,
				othersAt:   -time.Hour,
			}
		}
		s.instance = instance
		next[instance.ID] = s
		f.order = append(f.order, instance.ID)
	}
	f.servers = next
	slices.Sort(f.order)
}

// Usable returns how many instances may get new work.
func (f *Forecast) Usable(now time.Duration) int {
	n := 0
	for _, s := range f.servers {
		if s.usable(now) {
			n++
		}
	}
	return n
}

// Pick chooses an instance and counts the request as started there. It reports false
// where there is none that may get work and is not to be avoided.
func (f *Forecast) Pick(r ForecastRequest, now time.Duration) (Assignment, bool) {
	best, found := f.pick(r, now, false)
	if !found {
		// All are suspected. One of them is a better answer than none: a verdict
		// must not empty a service.
		best, found = f.pick(r, now, true)
	}
	if !found {
		return Assignment{}, false
	}
	s := f.servers[best.Instance.ID]
	s.running++
	s.waiting++
	s.backlog += float64(best.Uncached)
	if s.silentSince == 0 {
		s.silentSince = now
	}
	best.counted = longestShared(r.Parts).ID
	f.countDemand(best.counted, 1, now)
	best.parts, best.seen = f.remember(s, r.Parts, now)
	return best, true
}

func (f *Forecast) pick(r ForecastRequest, now time.Duration, suspects bool) (Assignment, bool) {
	best := Assignment{}
	candidates := 0
	longest := longestShared(r.Parts)
	ranked := f.rank(longest, now)
	dear := (rereadCost + crowdedRereadCost*f.crowding(r, now).Seconds()) / (1 + max(f.demand(longest.ID, now)-fewRequests, 0))
	for _, id := range f.order {
		s := f.servers[id]
		if !s.present(now) || !suspects && now < s.suspect || slices.Contains(r.Avoid, id) {
			continue
		}
		candidates++
		uncached := f.uncached(s, r, ranked, now)
		wait := s.wait(r, uncached, now)
		cost := wait + time.Duration(dear*float64(readingTime(float64(uncached-r.own()))))
		if s.instance.DataCentre != f.cfg.DataCentre {
			cost += farCost
		}
		// A little chance keeps nodes with equal knowledge from choosing alike.
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

// longestShared returns the longest part that requests share, or an empty one. The last
// part is a request's own.
func longestShared(parts []routing.Part) routing.Part {
	if len(parts) < 2 {
		return routing.Part{}
	}
	return slices.MaxFunc(parts[:len(parts)-1], func(a, b routing.Part) int { return int(a.Tokens - b.Tokens) })
}

// demand is about how many requests with a shared part this node placed in the last
// demandTime. An engine that reads the part for one of them has it for the next.
func (f *Forecast) demand(part routing.PartID, now time.Duration) float64 {
	d, ok := f.demands[part]
	if !ok {
		return 0
	}
	return d.count * math.Exp(-float64(now-d.at)/float64(demandTime))
}

func (f *Forecast) countDemand(part routing.PartID, n float64, now time.Duration) {
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

// rank returns the engines that are first in the hash order of a shared part, or none
// where that is small.
func (f *Forecast) rank(longest routing.Part, now time.Duration) []fleet.BackendServerID {
	if longest.Tokens < minSharedTokens {
		return nil
	}
	var ranked [len(rankCached)]fleet.BackendServerID
	var weights [len(rankCached)]uint64
	for _, id := range f.order {
		s := f.servers[id]
		if !s.present(now) {
			continue
		}
		weight := xxhash.Sum64String(string(longest.ID) + "\x00" + string(id))
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

// own is the part of the prompt that no other request shares.
func (r ForecastRequest) own() fleet.Tokens {
	if len(r.Parts) == 0 {
		return r.Prompt
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

// Learn takes in what the board of a server says of other nodes' prompts.
func (f *Forecast) Learn(id fleet.BackendServerID, others fleet.Tokens, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		s.others = float64(others)
		s.othersAt = now
	}
}

// Undo takes back a choice of Pick before anything was sent.
func (f *Forecast) Undo(p *Assignment, now time.Duration) {
	f.countDemand(p.counted, -1, now)
	if s, ok := f.servers[p.Instance.ID]; ok {
		for i, part := range p.parts {
			switch at := s.parts[part.ID]; {
			case at != p.started:
			case p.seen[i] < 0:
				delete(s.parts, part.ID)
			default:
				s.parts[part.ID] = p.seen[i]
			}
		}
	}
	f.Done(p, OutcomeNeutral, now)
}

// remember takes an engine to hold a request's shared parts, and returns them with when
// that was known before.
func (f *Forecast) remember(s *forecastServer, parts []routing.Part, now time.Duration) (shared []routing.Part, seen []time.Duration) {
	if len(parts) == 0 {
		return nil, nil
	}
	shared = parts[:len(parts)-1]
	for _, part := range shared {
		at, known := s.parts[part.ID]
		if !known {
			at = -1
		}
		seen = append(seen, at)
		s.parts[part.ID] = now
	}
	if len(s.parts) <= maxParts {
		return shared, seen
	}
	for id, at := range s.parts {
		if now-at > partLife || len(s.parts) > maxParts {
			delete(s.parts, id)
		}
	}
	return shared, seen
}

// Began takes in the first byte of an answer.
func (f *Forecast) Began(p *Assignment, now time.Duration) {
	s, ok := f.servers[p.Instance.ID]
	if !ok || p.began {
		return
	}
	p.began = true
	s.first(p, now)
	s.heardAt = now
}

// Done ends a request that Pick placed, and learns from its outcome.
func (f *Forecast) Done(p *Assignment, outcome Outcome, now time.Duration) {
	s, ok := f.servers[p.Instance.ID]
	if !ok {
		return
	}
	if !p.began {
		p.began = true
		s.first(p, now)
	}
	s.running--
	switch outcome {
	case OutcomeOK:
		s.heardAt = now
		s.failures = 0
		s.errors *= 1 - errorMemory
		took := now - p.started
		s.service += (took - s.service) / 8
	case OutcomeSlow:
		s.errors += (1 - s.errors) * errorMemory / 2
	case OutcomeBusy:
		s.heardAt = now
		s.suspect = max(s.suspect, now+busyPause)
	case OutcomeDraining:
		s.goneUntil = now + goneHold
	case OutcomeFailed:
		s.errors += (1 - s.errors) * errorMemory
		s.failures++
		if s.failures >= failuresToSuspect {
			s.suspect = now + min(suspectTime<<min(s.failures-failuresToSuspect, 3), maxSuspectTime)
		}
	case OutcomeNeutral:
	}
}

const (
	// busyPause keeps a server that refused for lack of room out of the choice,
	// about as long as a request of its queue takes.
	busyPause = 250 * time.Millisecond
	// failuresToSuspect is the number of failures in a row that take a server out
	// of the choice.
	failuresToSuspect = 2
	// goneHold is longer than the list of instances lags.
	goneHold = 4 * time.Second
)

// Report takes in what an instance says of its load.
func (f *Forecast) Report(id fleet.BackendServerID, running, waiting int, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		s.reportedRunning = running
		s.reportedWaiting = waiting
		s.reportedAt = now
		s.heardAt = now
	}
}

// Silent reports whether an instance has answered nothing since a request was placed
// there.
func (f *Forecast) Silent(p *Assignment) bool {
	s, ok := f.servers[p.Instance.ID]
	return !ok || s.heardAt <= p.started
}

// MarkDraining takes note that an instance is leaving or has left.
func (f *Forecast) MarkDraining(id fleet.BackendServerID, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		s.goneUntil = now + goneHold
	}
}
