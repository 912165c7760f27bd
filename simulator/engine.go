// Package simulator plays an arrival pattern against the placement of the product on a
// simulated clock: a model of engines, any number of entry nodes that decide for
// themselves, and a report. A pattern takes seconds, so that a policy is tried here first.
//
// The model leaves out what placement does not see: preemption in the middle of a stream,
// the network's losses, budgets and the control group.
package simulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// EngineConfig is what an engine can do.
type EngineConfig struct {
	// Slots is how many requests run at once, Memory how many tokens running
	// requests and cached parts may take together.
	Slots  int
	Memory fleet.Tokens
	// Step is the time of a step without prompts, StepPerRequest what each running
	// request adds. Each step makes one token for each running request.
	Step           time.Duration
	StepPerRequest time.Duration
	// Prefill is how many prompt tokens are read in a millisecond, Chunk how many at
	// most in one step.
	Prefill float64
	Chunk   fleet.Tokens
}

// work is one request at an engine.
type work struct {
	request *request
	node    *node
	placed  placement.Assignment
	// left are prompt tokens still to be read, output tokens still to be made.
	left   fleet.Tokens
	output fleet.Tokens
	cached fleet.Tokens
	began  bool
	order  uint64
}

func (w *work) memory() fleet.Tokens { return w.request.prompt + w.request.output }

// engine models continuous batching with chunked prompts and a cache of their parts.
//
// A step reads at most a chunk of prompt tokens, of the most urgent request first, and
// makes one token for each request that has read its prompt. So a long prompt delays the
// tokens of everyone beside it, and two long prompts at one engine wait for one another
// while an engine nearby may be idle: that is what placement is to avoid.
type engine struct {
	cfg      EngineConfig
	instance routing.Instance
	waiting  []*work
	running  []*work
	used     fleet.Tokens
	cache    map[routing.PartID]*cachedPart
	held     fleet.Tokens
	// slow multiplies the time of steps; failing is the part of requests that fail.
	slow    float64
	failing float64
	down    bool
	next    time.Duration
	idle    bool

	arrivals  int
	read      fleet.Tokens
	readAgain fleet.Tokens
	known     map[routing.PartID]bool
}

type cachedPart struct {
	tokens fleet.Tokens
	usedAt time.Duration
}

func newEngine(cfg EngineConfig, instance routing.Instance) *engine {
	return &engine{
		cfg:      cfg,
		instance: instance,
		cache:    map[routing.PartID]*cachedPart{},
		known:    map[routing.PartID]bool{},
		slow:     1,
		idle:     true,
	}
}

// add queues a request by its urgency.
func (e *engine) add(w *work, now time.Duration) {
	e.arrivals++
	e.waiting = append(e.waiting, w)
	slices.SortStableFunc(e.waiting, func(a, b *work) int {
		return cmp.Or(cmp.Compare(a.request.class.Priority, b.request.class.Priority), cmp.Compare(a.order, b.order))
	})
	if e.idle {
		e.idle = false
		e.next = now
	}
}

// crash loses all requests and the cache, and returns the requests.
func (e *engine) crash() []*work {
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.cache = map[routing.PartID]*cachedPart{}
	e.used, e.held = 0, 0
	e.down, e.idle = true, true
	return lost
}

// admit moves requests from the queue into free slots, as memory allows.
func (e *engine) admit(now time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		w := e.waiting[0]
		if e.used+w.memory() > e.cfg.Memory {
			return
		}
		e.waiting = e.waiting[1:]
		w.cached = e.lookUp(w.request.parts, now)
		w.left = max(w.request.prompt-w.cached, 1)
		w.output = w.request.output
		e.used += w.memory()
		e.evict()
		e.running = append(e.running, w)
	}
}

// lookUp returns how many tokens of the leading parts are cached.
func (e *engine) lookUp(parts []routing.Part, now time.Duration) fleet.Tokens {
	cached := fleet.Tokens(0)
	for _, part := range parts {
		c, ok := e.cache[part.ID]
		if !ok {
			break
		}
		c.usedAt = now
		cached += c.tokens
	}
	return cached
}

// keep caches the parts of a prompt that was read.
func (e *engine) keep(w *work, now time.Duration) {
	for _, part := range w.request.parts {
		if c, ok := e.cache[part.ID]; ok {
			c.usedAt = now
			continue
		}
		e.cache[part.ID] = &cachedPart{
			tokens: part.Tokens,
			usedAt: now,
		}
		e.held += part.Tokens
	}
	e.evict()
}

// evict drops the least recently used parts until running requests and cache fit.
func (e *engine) evict() {
	if e.used+e.held <= e.cfg.Memory {
		return
	}
	ids := make([]routing.PartID, 0, len(e.cache))
	for id := range e.cache {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b routing.PartID) int {
		return cmp.Or(cmp.Compare(e.cache[a].usedAt, e.cache[b].usedAt), cmp.Compare(a, b))
	})
	for _, id := range ids {
		if e.used+e.held <= e.cfg.Memory {
			return
		}
		e.held -= e.cache[id].tokens
		delete(e.cache, id)
	}
}

// step does one step and returns which requests got their first token and which ended.
func (e *engine) step(now time.Duration) (first, ended []*work) {
	e.admit(now)
	if len(e.running) == 0 {
		e.idle = true
		return nil, nil
	}
	chunk := e.cfg.Chunk
	took := e.cfg.Step + time.Duration(len(e.running))*e.cfg.StepPerRequest
	var running []*work
	for _, w := range e.running {
		if w.left > 0 {
			n := min(w.left, chunk)
			chunk -= n
			w.left -= n
			e.read += n
			took += time.Duration(float64(n) / e.cfg.Prefill * float64(time.Millisecond))
			if w.left > 0 {
				running = append(running, w)
				continue
			}
			e.countAgain(w)
			e.keep(w, now)
		}
		w.output--
		if !w.began {
			w.began = true
			first = append(first, w)
		}
		if w.output > 0 {
			running = append(running, w)
			continue
		}
		e.used -= w.memory()
		ended = append(ended, w)
	}
	e.running = running
	e.next = now + time.Duration(float64(took)*e.slow)
	return first, ended
}

// countAgain counts shared parts that this engine did not hold although it, or another
// one, had read them before.
func (e *engine) countAgain(w *work) {
	skipped := w.cached
	for _, part := range w.request.parts[:max(len(w.request.parts)-1, 0)] {
		if skipped >= part.Tokens {
			skipped -= part.Tokens
			continue
		}
		if e.known[part.ID] {
			e.readAgain += part.Tokens
		}
		e.known[part.ID] = true
	}
}
