package simulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// request is a caller's request.
type request struct {
	class          *Class
	workspace      int
	parts          []routing.Part
	prompt         fleet.Tokens
	output         fleet.Tokens
	arrivedAt      time.Duration
	firstTokenTime time.Duration
	completed      bool
	attempts       int
	// refusals counts how often the request was refused, gone is set once its caller has left.
	refusals int
	gone     bool
}

type node struct {
	id         fleet.NodeID
	dataCentre fleet.DataCentre
	placer     Placer
	// link is nil if the links have no limit.
	link *link
}

// timedAction is an action at a simulated time. Actions at the same time run in the order of
// seq.
type timedAction struct {
	at     time.Duration
	seq    uint64
	action func()
}

type actionQueue []timedAction

// Len implements sort.Interface.
func (q actionQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q actionQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Swap implements sort.Interface.
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *actionQueue) Push(x any) { *q = append(*q, x.(timedAction)) }

// Pop implements heap.Interface.
func (q *actionQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is a run of a pattern with a policy.
type simulation struct {
	pattern *Pattern
	// rng decides on arrivals, which are the same for all policies, luck on the rest.
	rng      *rand.Rand
	luck     *rand.Rand
	noiseRNG *rand.Rand
	now      time.Duration
	queue    actionQueue
	seq      uint64
	nodes    []*node
	engines  []*engine
	requests []*request
	// sent counts the requests sent to engines, remote those sent to another data centre.
	sent   int
	remote int
	// claims is the claim registry of all engines, nil if nodes do not claim engines.
	claims *placement.ClaimRegistry
	// speeds are the estimates of all owners, nil if nodes do not learn them.
	speeds *placement.Speeds
	// rateFactors multiply the rates of classes, hotShares are the fractions of their
	// requests that share one subject.
	rateFactors map[string]float64
	hotShares   map[string]float64
	// hotWorkspaces multiplies the weights of the busiest workspaces, leaveShare and repeatShare
	// are the shares of callers that leave early and that repeat refused requests at once.
	hotWorkspaces hotWorkspaces
	leaveShare    float64
	repeatShare   float64
}

// maxAttempts is the maximum number of engines that a request is sent to.
const maxAttempts = 2

// instanceListDelay is the time from the crash or restart of an engine to the update of the
// list of instances.
const instanceListDelay = time.Second

// Simulate runs a pattern with a policy. It is deterministic: the same pattern and policy give
// the same report.
func Simulate(pattern *Pattern, policy Policy) (*Report, error) {
	if pattern.Nodes < 1 || pattern.Engines < 1 || pattern.DataCentres < 1 || len(pattern.Classes) == 0 {
		return nil, eris.Errorf("%s: pattern needs a fleet line with nodes, engines and data centres, and a class", pattern.Name)
	}
	s := &simulation{
		pattern:     pattern,
		rng:         rand.New(rand.NewPCG(pattern.Seed, 1)),
		luck:        rand.New(rand.NewPCG(pattern.Seed, 4)),
		rateFactors: map[string]float64{},
		hotShares:   map[string]float64{},
	}
	for i := range pattern.Engines {
		s.engines = append(s.engines, newEngine(pattern.Engine, routing.Instance{
			ID:         fleet.BackendServerID(fmt.Sprintf("engine-%d", i)),
			DataCentre: s.dataCentre(i),
			Slots:      pattern.Engine.Slots,
		}))
		if makes := pattern.Engine.Makes; len(makes) > 0 {
			s.engines[i].speed = makes[i%len(makes)]
		}
	}
	if pattern.Engine.NoiseTime > 0 {
		s.noiseRNG = rand.New(rand.NewPCG(pattern.Seed, 2))
		for _, e := range s.engines {
			s.schedule(time.Duration(s.noiseRNG.Int64N(int64(pattern.Engine.NoiseTime))), func() { s.drawNoise(e) })
		}
	}
	for i := range pattern.Nodes {
		s.nodes = append(s.nodes, &node{
			id:         fleet.NodeID(fmt.Sprint(i)),
			dataCentre: s.dataCentre(i),
			placer:     policy.New(s.dataCentre(i), pattern.Seed+uint64(i)),
			link:       newLink(pattern.LinkBytesPerSecond, policy.Waitlist),
		})
	}
	if policy.UseClaims {
		s.claims = placement.NewClaimRegistry()
	}
	if policy.UseSpeeds && pattern.Engine.NoiseTime > 0 {
		s.speeds = &placement.Speeds{}
	}
	s.publishInstances()
	for i := range pattern.Classes {
		s.scheduleArrival(&pattern.Classes[i])
	}
	for _, e := range pattern.Events {
		if err := s.scheduleEvent(e); err != nil {
			return nil, err
		}
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(timedAction)
		s.now = next.at
		next.action()
	}
	return s.report(policy.Name), nil
}

// drawNoise draws whether an engine is slow for the next while.
func (s *simulation) drawNoise(e *engine) {
	if s.now > s.pattern.Length {
		return
	}
	e.noise = 1
	if s.noiseRNG.Float64() < s.pattern.Engine.NoiseShare {
		e.noise = s.pattern.Engine.NoiseFactor
	}
	s.schedule(s.pattern.Engine.NoiseTime, func() { s.drawNoise(e) })
}

func (s *simulation) dataCentre(i int) fleet.DataCentre {
	return fleet.DataCentre(fmt.Sprintf("dc%d", i%s.pattern.DataCentres))
}

func (s *simulation) schedule(delay time.Duration, action func()) {
	s.seq++
	heap.Push(&s.queue, timedAction{
		at:     s.now + delay,
		seq:    s.seq,
		action: action,
	})
}

// publishInstances sends the list of running engines to all nodes.
func (s *simulation) publishInstances() {
	var instances []routing.Instance
	for _, e := range s.engines {
		if !e.down {
			instances = append(instances, e.instance)
		}
	}
	for _, n := range s.nodes {
		n.placer.SetInstances(instances, s.now)
	}
}

// scheduleArrival schedules the next request of a class. Each arrival schedules the one after
// it.
func (s *simulation) scheduleArrival(c *Class) {
	rate := c.Rate * cmp.Or(s.rateFactors[c.Name], 1) * s.rateFactor()
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.schedule(gap, func() {
		if s.now > s.pattern.Length {
			return
		}
		s.arrive(c)
		s.scheduleArrival(c)
	})
}

func (s *simulation) arrive(c *Class) {
	own := fleet.Tokens(float64(c.Own)*math.Exp(s.rng.NormFloat64()*0.8-0.32)) + 1
	subject := s.zipf(c.Subjects)
	if s.rng.Float64() < s.hotShares[c.Name] {
		subject = 0
	}
	r := &request{
		class:     c,
		workspace: s.workspace(),
		prompt:    c.Shared + own,
		output:    max(c.Output, 1),
		arrivedAt: s.now,
	}
	if c.Shared > 0 {
		r.parts = append(r.parts, routing.Part{
			ID:     routing.PartID(fmt.Sprintf("%s-%d", c.Name, subject)),
			Tokens: c.Shared,
		})
	}
	r.parts = append(r.parts, routing.Part{
		ID:     routing.PartID(fmt.Sprintf("own-%d", len(s.requests))),
		Tokens: own,
	})
	s.requests = append(s.requests, r)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if r.workspace < s.pattern.Sticky {
		n = s.nodes[r.workspace%len(s.nodes)]
	}
	s.scheduleLeave(r)
	s.receive(r, n)
}

// zipf returns a random number below n. Workspaces and subjects are chosen with weights 1, 1/2,
// 1/3 and so on.
func (s *simulation) zipf(n int) int {
	total := 0.0
	for i := range n {
		total += 1 / float64(i+1)
	}
	x := s.rng.Float64() * total
	for i := range n {
		x -= 1 / float64(i+1)
		if x < 0 {
			return i
		}
	}
	return n - 1
}

// place makes a request's node choose an engine. If the policy uses claims, the node claims
// the engine before it sends the request.
func (s *simulation) place(r *request, n *node, avoid []fleet.BackendServerID) {
	if r.attempts++; r.attempts > maxAttempts || r.gone || s.now-r.arrivedAt > r.class.Deadline {
		return
	}
	forecastRequest := placement.ForecastRequest{
		Parts:  r.parts,
		Prompt: r.prompt,
		Avoid:  avoid,
	}
	assignment, ok := n.placer.Pick(forecastRequest, s.now)
	if !ok {
		return
	}
	a := &attempt{
		request:    r,
		node:       n,
		assignment: assignment,
		seq:        uint64(len(s.requests)),
		placedAt:   s.now,
	}
	placer, canClaim := n.placer.(claimPlacer)
	if s.claims == nil || !canClaim {
		s.send(a)
		return
	}
	s.claim(a, forecastRequest, placer, placement.ClaimRounds)
}

// claim claims the chosen engine. If the claims of other nodes make another engine better, it
// moves the claim there, for at most the given number of rounds.
func (s *simulation) claim(a *attempt, forecastRequest placement.ForecastRequest, placer claimPlacer, rounds int) {
	s.schedule(s.pattern.Delay, func() {
		claimedByOthers := s.claims.Claim(a.claim(), s.now)
		s.schedule(s.pattern.Delay, func() {
			placer.SetClaimedByOthers(a.assignment.Instance.ID, claimedByOthers, s.now)
			if s.speeds != nil {
				placer.SetSpeeds(s.speeds.Some(a.assignment.Instance.ID, placement.SpeedsPassedOn, s.now), s.now)
			}
			previous := a.claim()
			placer.Undo(&a.assignment, s.now)
			forecastRequest.Current = a.assignment.Instance.ID
			assignment, ok := a.node.placer.Pick(forecastRequest, s.now)
			if !ok {
				s.claims.Release(previous)
				return
			}
			a.assignment = assignment
			if assignment.Instance.ID == previous.Engine {
				s.send(a)
				return
			}
			s.schedule(s.pattern.Delay, func() { s.claims.Release(previous) })
			if rounds == 1 {
				s.schedule(s.pattern.Delay, func() { s.claims.Claim(a.claim(), s.now) })
				s.send(a)
				return
			}
			s.claim(a, forecastRequest, placer, rounds-1)
		})
	})
}

func (a *attempt) claim() placement.Claim {
	return placement.Claim{
		Engine:  a.assignment.Instance.ID,
		Node:    a.node.id,
		Request: routing.RequestID(fmt.Sprint(a.seq, "-", a.request.attempts)),
		Tokens:  a.assignment.Uncached,
	}
}

// send sends a request to the chosen engine.
func (s *simulation) send(a *attempt) {
	e := s.engineByID(a.assignment.Instance.ID)
	a.sentAt = s.now
	s.sent++
	if e.instance.DataCentre != a.node.dataCentre {
		s.remote++
	}
	s.schedule(s.pattern.Delay+a.node.link.transmit(a.request.bytes(), s.now), func() {
		if e.down || s.luck.Float64() < e.failureRate {
			s.handleFailure(a)
			return
		}
		wasIdle := e.idle
		e.enqueue(a, s.now)
		if wasIdle {
			s.scheduleStep(e)
		}
	})
}

func (s *simulation) engineByID(id fleet.BackendServerID) *engine {
	return s.engines[slices.IndexFunc(s.engines, func(e *engine) bool { return e.instance.ID == id })]
}

// handleFailure reports a failed attempt to its node, which tries another engine if no token
// was sent yet.
func (s *simulation) handleFailure(a *attempt) {
	s.schedule(s.pattern.Delay, func() {
		a.node.placer.Finish(&a.assignment, placement.OutcomeFailed, s.now)
		if !a.firstTokenDone {
			s.place(a.request, a.node, []fleet.BackendServerID{a.assignment.Instance.ID})
		}
	})
}

// scheduleStep schedules an engine's next step. Each step schedules the one after it.
func (s *simulation) scheduleStep(e *engine) {
	s.schedule(e.nextStepAt-s.now, func() {
		if e.down || e.idle {
			return
		}
		first, ended := e.step(s.now)
		if e.idle {
			return
		}
		delay := e.nextStepAt - s.now + s.pattern.Delay
		running, waiting, moment := len(e.running), len(e.waiting), e.noise
		for _, a := range first {
			s.schedule(delay, func() {
				s.deliverFirst(a)
				a.node.placer.RecordFirstByte(&a.assignment, s.now)
				if s.claims != nil {
					sample := placement.SpeedSample{
						Took:     s.now - a.sentAt,
						Expected: a.assignment.Expected,
						Moment:   placement.Slowness(moment),
					}
					s.schedule(s.pattern.Delay, func() {
						s.claims.Release(a.claim())
						if s.speeds != nil {
							s.speeds.Observe(a.assignment.Instance.ID, sample, s.now)
						}
					})
				}
				report := func() { a.node.placer.Report(a.assignment.Instance.ID, running, waiting, s.now) }
				if s.pattern.ReportLag > 0 {
					s.schedule(s.pattern.ReportLag, report)
					return
				}
				report()
			})
		}
		for _, a := range ended {
			s.schedule(delay, func() {
				a.request.completed = true
				a.node.link.respond(a.request, s.now)
				a.node.placer.Finish(&a.assignment, placement.OutcomeOK, s.now)
			})
		}
		s.scheduleStep(e)
	})
}

// scheduleEvent schedules the start and end of an event of the pattern.
func (s *simulation) scheduleEvent(e Event) error {
	switch e.Kind {
	case "burst":
		s.schedule(e.At, func() { s.rateFactors[e.Class] = e.Factor })
		s.schedule(e.At+e.For, func() { s.rateFactors[e.Class] = 1 })
	case "workspaces":
		s.schedule(e.At, func() {
			s.hotWorkspaces = hotWorkspaces{
				count:  e.Count,
				factor: e.Factor,
			}
		})
		s.schedule(e.At+e.For, func() { s.hotWorkspaces = hotWorkspaces{} })
	case "leave":
		s.schedule(e.At, func() { s.leaveShare = e.Factor })
		s.schedule(e.At+e.For, func() { s.leaveShare = 0 })
	case "repeat":
		s.schedule(e.At, func() { s.repeatShare = e.Factor })
		s.schedule(e.At+e.For, func() { s.repeatShare = 0 })
	case "hot":
		s.schedule(e.At, func() { s.hotShares[e.Class] = e.Factor })
		s.schedule(e.At+e.For, func() { s.hotShares[e.Class] = 0 })
	case "crash":
		s.scheduleOnEngines(e, func(e *engine) {
			for _, a := range e.crash() {
				s.handleFailure(a)
			}
			s.schedule(instanceListDelay, s.publishInstances)
		}, func(e *engine) {
			e.down = false
			s.schedule(instanceListDelay, s.publishInstances)
		})
	case "slow":
		s.scheduleOnEngines(e, func(target *engine) { target.slowdown = e.Factor }, func(target *engine) { target.slowdown = 1 })
	case "grey":
		s.scheduleOnEngines(e, func(target *engine) { target.failureRate = e.Factor }, func(target *engine) { target.failureRate = 0 })
	default:
		return eris.Errorf("%s: unknown event %q; hint: burst, hot, workspaces, leave, repeat, crash, slow or grey", s.pattern.Name, e.Kind)
	}
	return nil
}

func (s *simulation) scheduleOnEngines(e Event, begin, end func(*engine)) {
	for _, target := range s.engines[:min(e.Count, len(s.engines))] {
		s.schedule(e.At, func() { begin(target) })
		s.schedule(e.At+e.For, func() { end(target) })
	}
}
