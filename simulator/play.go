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

// request is one request of a caller.
type request struct {
	class     *Class
	workspace int
	parts     []routing.Part
	prompt    fleet.Tokens
	output    fleet.Tokens
	at        time.Duration
	first     time.Duration
	ended     bool
	tries     int
}

type node struct {
	id         fleet.NodeID
	dataCentre fleet.DataCentre
	placer     Placer
}

// moment is something that happens at a time.
type moment struct {
	at    time.Duration
	order uint64
	do    func()
}

type moments []moment

// Len implements sort.Interface.
func (m moments) Len() int { return len(m) }

// Less implements sort.Interface.
func (m moments) Less(i, j int) bool {
	if m[i].at != m[j].at {
		return m[i].at < m[j].at
	}
	return m[i].order < m[j].order
}

// Swap implements sort.Interface.
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push implements heap.Interface.
func (m *moments) Push(x any) { *m = append(*m, x.(moment)) }

// Pop implements heap.Interface.
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// play is one run of a pattern.
type play struct {
	pattern  *Pattern
	rng      *rand.Rand
	now      time.Duration
	agenda   moments
	order    uint64
	nodes    []*node
	engines  []*engine
	requests []*request
	// sent counts what was sent to engines, far what of it to another data centre.
	sent int
	far  int
	// board is that of all engines, nil where nodes decide alone.
	board *placement.ClaimRegistry
	// times are the factors on the classes' rates, hot the parts of their requests that
	// are about one subject.
	times map[string]float64
	hot   map[string]float64
}

// attempts is how many engines a request may be sent to.
const attempts = 2

// listLag is how long a crashed engine stays in the list of instances.
const listLag = time.Second

// Simulate plays a pattern with a policy. The same pattern gives the same report.
func Simulate(pattern *Pattern, policy Policy) (*Report, error) {
	if pattern.Nodes < 1 || pattern.Engines < 1 || pattern.DataCentres < 1 || len(pattern.Classes) == 0 {
		return nil, eris.Errorf("%s: needs a fleet line with nodes, engines and data centres, and a class", pattern.Name)
	}
	p := &play{
		pattern: pattern,
		rng:     rand.New(rand.NewPCG(pattern.Seed, 1)),
		times:   map[string]float64{},
		hot:     map[string]float64{},
	}
	for i := range pattern.Engines {
		p.engines = append(p.engines, newEngine(pattern.Engine, routing.Instance{
			ID:         fleet.BackendServerID(fmt.Sprintf("engine-%d", i)),
			DataCentre: p.dataCentre(i),
			Slots:      pattern.Engine.Slots,
		}))
	}
	for i := range pattern.Nodes {
		p.nodes = append(p.nodes, &node{
			id:         fleet.NodeID(fmt.Sprint(i)),
			dataCentre: p.dataCentre(i),
			placer:     policy.New(p.dataCentre(i), pattern.Seed+uint64(i)),
		})
	}
	if policy.Boards {
		p.board = placement.NewClaimRegistry()
	}
	p.list()
	for i := range pattern.Classes {
		p.arrivals(&pattern.Classes[i])
	}
	for _, e := range pattern.Events {
		if err := p.event(e); err != nil {
			return nil, err
		}
	}
	for len(p.agenda) > 0 {
		m := heap.Pop(&p.agenda).(moment)
		p.now = m.at
		m.do()
	}
	return p.report(policy.Name), nil
}

func (p *play) dataCentre(i int) fleet.DataCentre {
	return fleet.DataCentre(fmt.Sprintf("dc%d", i%p.pattern.DataCentres))
}

func (p *play) after(wait time.Duration, do func()) {
	p.order++
	heap.Push(&p.agenda, moment{
		at:    p.now + wait,
		order: p.order,
		do:    do,
	})
}

// list tells all nodes which engines there are.
func (p *play) list() {
	var instances []routing.Instance
	for _, e := range p.engines {
		if !e.down {
			instances = append(instances, e.instance)
		}
	}
	for _, n := range p.nodes {
		n.placer.SetInstances(instances)
	}
}

// arrivals lets a class's requests arrive one after the other.
func (p *play) arrivals(c *Class) {
	rate := c.Rate * cmp.Or(p.times[c.Name], 1)
	gap := time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
	p.after(gap, func() {
		if p.now > p.pattern.Length {
			return
		}
		p.arrive(c)
		p.arrivals(c)
	})
}

func (p *play) arrive(c *Class) {
	// Workspaces and subjects differ in size, as 1, 1/2, 1/3 and so on.
	own := fleet.Tokens(float64(c.Own)*math.Exp(p.rng.NormFloat64()*0.8-0.32)) + 1
	subject := p.skewed(c.Subjects)
	if p.rng.Float64() < p.hot[c.Name] {
		subject = 0
	}
	r := &request{
		class:     c,
		workspace: p.skewed(max(p.pattern.Workspaces, 1)),
		prompt:    c.Shared + own,
		output:    max(c.Output, 1),
		at:        p.now,
	}
	if c.Shared > 0 {
		r.parts = append(r.parts, routing.Part{
			ID:     routing.PartID(fmt.Sprintf("%s-%d", c.Name, subject)),
			Tokens: c.Shared,
		})
	}
	r.parts = append(r.parts, routing.Part{
		ID:     routing.PartID(fmt.Sprintf("own-%d", len(p.requests))),
		Tokens: own,
	})
	p.requests = append(p.requests, r)
	p.place(r, p.nodes[p.rng.IntN(len(p.nodes))], nil)
}

func (p *play) skewed(n int) int {
	total := 0.0
	for i := range n {
		total += 1 / float64(i+1)
	}
	x := p.rng.Float64() * total
	for i := range n {
		x -= 1 / float64(i+1)
		if x < 0 {
			return i
		}
	}
	return n - 1
}

// place has a request's node choose an engine, and claim it on the engine's board.
func (p *play) place(r *request, n *node, avoid []fleet.BackendServerID) {
	if r.tries++; r.tries > attempts || p.now-r.at > r.class.Deadline {
		return
	}
	ask := placement.ForecastRequest{
		Parts:  r.parts,
		Prompt: r.prompt,
		Avoid:  avoid,
	}
	placed, ok := n.placer.Pick(ask, p.now)
	if !ok {
		return
	}
	w := &work{
		request: r,
		node:    n,
		placed:  placed,
		order:   uint64(len(p.requests)),
	}
	placer, learns := n.placer.(learner)
	if p.board == nil || !learns {
		p.send(w)
		return
	}
	p.claim(w, ask, placer, placement.ClaimRounds)
}

// claim claims the chosen engine, and turns to another if what others have claimed makes
// that the better one.
func (p *play) claim(w *work, ask placement.ForecastRequest, placer learner, rounds int) {
	p.after(p.pattern.Lag, func() {
		others := p.board.Claim(w.claim(), p.now)
		p.after(p.pattern.Lag, func() {
			placer.Learn(w.placed.Instance.ID, others, p.now)
			before := w.claim()
			placer.Undo(&w.placed, p.now)
			ask.Current = w.placed.Instance.ID
			placed, ok := w.node.placer.Pick(ask, p.now)
			if !ok {
				p.board.Release(before)
				return
			}
			w.placed = placed
			if placed.Instance.ID == before.Engine {
				p.send(w)
				return
			}
			p.after(p.pattern.Lag, func() { p.board.Release(before) })
			if rounds == 1 {
				p.after(p.pattern.Lag, func() { p.board.Claim(w.claim(), p.now) })
				p.send(w)
				return
			}
			p.claim(w, ask, placer, rounds-1)
		})
	})
}

func (w *work) claim() placement.Claim {
	return placement.Claim{
		Engine:  w.placed.Instance.ID,
		Node:    w.node.id,
		Request: routing.RequestID(fmt.Sprint(w.order, "-", w.request.tries)),
		Tokens:  w.placed.Uncached,
	}
}

// send sends a request to the engine that its node chose.
func (p *play) send(w *work) {
	e := p.engine(w.placed.Instance.ID)
	p.sent++
	if e.instance.DataCentre != w.node.dataCentre {
		p.far++
	}
	p.after(p.pattern.Lag, func() {
		if e.down || p.rng.Float64() < e.failing {
			p.failed(w)
			return
		}
		wasIdle := e.idle
		e.add(w, p.now)
		if wasIdle {
			p.run(e)
		}
	})
}

func (p *play) engine(id fleet.BackendServerID) *engine {
	return p.engines[slices.IndexFunc(p.engines, func(e *engine) bool { return e.instance.ID == id })]
}

// failed tells the node that an attempt failed, which tries another engine.
func (p *play) failed(w *work) {
	p.after(p.pattern.Lag, func() {
		w.node.placer.Done(&w.placed, placement.OutcomeFailed, p.now)
		if !w.began {
			p.place(w.request, w.node, []fleet.BackendServerID{w.placed.Instance.ID})
		}
	})
}

// run does an engine's next step.
func (p *play) run(e *engine) {
	p.after(e.next-p.now, func() {
		if e.down || e.idle {
			return
		}
		first, ended := e.step(p.now)
		if e.idle {
			return
		}
		done := e.next - p.now + p.pattern.Lag
		running, waiting := len(e.running), len(e.waiting)
		for _, w := range first {
			p.after(done, func() {
				if w.request.first == 0 {
					w.request.first = p.now - w.request.at
				}
				w.node.placer.Began(&w.placed, p.now)
				if p.board != nil {
					p.after(p.pattern.Lag, func() { p.board.Release(w.claim()) })
				}
				w.node.placer.Report(w.placed.Instance.ID, running, waiting, p.now)
			})
		}
		for _, w := range ended {
			p.after(done, func() {
				w.request.ended = true
				w.node.placer.Done(&w.placed, placement.OutcomeOK, p.now)
			})
		}
		p.run(e)
	})
}

// event arranges for an event of the pattern.
func (p *play) event(e Event) error {
	switch e.Kind {
	case "burst":
		p.after(e.At, func() { p.times[e.Class] = e.Times })
		p.after(e.At+e.For, func() { p.times[e.Class] = 1 })
	case "hot":
		p.after(e.At, func() { p.hot[e.Class] = e.Times })
		p.after(e.At+e.For, func() { p.hot[e.Class] = 0 })
	case "crash":
		p.onEngines(e, func(e *engine) {
			for _, w := range e.crash() {
				p.failed(w)
			}
			p.after(listLag, p.list)
		}, func(e *engine) {
			e.down = false
			p.after(listLag, p.list)
		})
	case "slow":
		p.onEngines(e, func(n *engine) { n.slow = e.Times }, func(n *engine) { n.slow = 1 })
	case "grey":
		p.onEngines(e, func(n *engine) { n.failing = e.Times }, func(n *engine) { n.failing = 0 })
	default:
		return eris.Errorf("%s: unknown event %q; hint: burst, hot, crash, slow or grey", p.pattern.Name, e.Kind)
	}
	return nil
}

func (p *play) onEngines(e Event, begin, end func(*engine)) {
	for _, n := range p.engines[:min(e.Count, len(p.engines))] {
		p.after(e.At, func() { begin(n) })
		p.after(e.At+e.For, func() { end(n) })
	}
}
