// Package simulator runs a load pattern on a simulated clock, with the real placement code, a
// model of engines, and any number of entry nodes that each choose engines independently. A
// simulation takes seconds, so that placement policies can be compared without a fleet.
//
// The model omits what placement does not take into account: preemption in the middle of a stream,
// network losses, budgets and the control group.
package simulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// EngineConfig describes the performance of an engine.
type EngineConfig struct {
	// Slots is the maximum number of requests that run at once, Memory the maximum
	// number of tokens of running requests and cached parts together.
	Slots  int
	Memory fleet.Tokens
	// Step is the duration of a step without prefill, StepPerRequest what each running
	// request adds. Each step produces one token per running request.
	Step           time.Duration
	StepPerRequest time.Duration
	// Prefill is the prefill rate in tokens per millisecond, Chunk the maximum number of
	// prompt tokens per step.
	Prefill float64
	Chunk   fleet.Tokens
	// Makes are how many times as fast as that the engines are, by turns. Without any all are equal.
	Makes []float64
	// NoiseShare of the engines takes NoiseFactor times as long at any moment, drawn anew for each engine
	// every NoiseTime. All engines report that if NoiseTime is set.
	NoiseShare  float64
	NoiseFactor float64
	NoiseTime   time.Duration
}

// attempt is a request that was sent to an engine.
type attempt struct {
	request    *request
	node       *node
	assignment placement.Assignment
	// promptLeft is the number of prompt tokens still to be prefilled, outputLeft that of
	// output tokens still to be produced.
	promptLeft     fleet.Tokens
	outputLeft     fleet.Tokens
	cached         fleet.Tokens
	firstTokenDone bool
	sentAt         time.Duration
	seq            uint64
	placedAt       time.Duration
}

func (a *attempt) memory() fleet.Tokens { return a.request.prompt + a.request.output }

// engine models continuous batching with chunked prefill and a cache of prompt parts.
//
// A step prefills at most a chunk of prompt tokens, those of the most urgent request first,
// and produces one token for each request whose prompt is complete. So a long prompt delays
// the tokens of all requests on the same engine, and two long prompts wait for one another
// even if another engine is idle. Placement should avoid this.
type engine struct {
	cfg          EngineConfig
	instance     routing.Instance
	waiting      []*attempt
	running      []*attempt
	usedTokens   fleet.Tokens
	cache        map[routing.PartID]*cachedPart
	cachedTokens fleet.Tokens
	// slowdown multiplies the duration of steps; failureRate is the fraction of requests
	// that fail.
	slowdown    float64
	failureRate float64
	// speed is by the engine's make, noise what it reports of this moment.
	speed      float64
	noise      float64
	down       bool
	nextStepAt time.Duration
	idle       bool

	arrivals         int
	prefilledTokens  fleet.Tokens
	recomputedTokens fleet.Tokens
	computedParts    map[routing.PartID]bool
}

type cachedPart struct {
	tokens fleet.Tokens
	usedAt time.Duration
}

func newEngine(cfg EngineConfig, instance routing.Instance) *engine {
	return &engine{
		cfg:           cfg,
		instance:      instance,
		cache:         map[routing.PartID]*cachedPart{},
		computedParts: map[routing.PartID]bool{},
		slowdown:      1,
		speed:         1,
		noise:         1,
		idle:          true,
	}
}

// enqueue queues a request by priority, then by order of placement.
func (e *engine) enqueue(a *attempt, now time.Duration) {
	e.arrivals++
	e.waiting = append(e.waiting, a)
	slices.SortStableFunc(e.waiting, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.request.class.Priority, y.request.class.Priority), cmp.Compare(x.seq, y.seq))
	})
	if e.idle {
		e.idle = false
		e.nextStepAt = now
	}
}

// crash drops all requests and the cache, and returns the requests.
func (e *engine) crash() []*attempt {
	aborted := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.cache = map[routing.PartID]*cachedPart{}
	e.usedTokens, e.cachedTokens = 0, 0
	e.down, e.idle = true, true
	return aborted
}

// admit moves requests from the queue to free slots while memory allows.
func (e *engine) admit(now time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		a := e.waiting[0]
		if e.usedTokens+a.memory() > e.cfg.Memory {
			return
		}
		e.waiting = e.waiting[1:]
		a.cached = e.lookUp(a.request.parts, now)
		a.promptLeft = max(a.request.prompt-a.cached, 1)
		a.outputLeft = a.request.output
		e.usedTokens += a.memory()
		e.evict()
		e.running = append(e.running, a)
	}
}

// lookUp returns the number of tokens in the longest cached prefix of parts.
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

// cacheParts caches the parts of a prefilled prompt.
func (e *engine) cacheParts(a *attempt, now time.Duration) {
	for _, part := range a.request.parts {
		if c, ok := e.cache[part.ID]; ok {
			c.usedAt = now
			continue
		}
		e.cache[part.ID] = &cachedPart{
			tokens: part.Tokens,
			usedAt: now,
		}
		e.cachedTokens += part.Tokens
	}
	e.evict()
}

// evict drops the least recently used parts until running requests and cache fit in memory.
func (e *engine) evict() {
	if e.usedTokens+e.cachedTokens <= e.cfg.Memory {
		return
	}
	ids := make([]routing.PartID, 0, len(e.cache))
	for id := range e.cache {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y routing.PartID) int {
		return cmp.Or(cmp.Compare(e.cache[x].usedAt, e.cache[y].usedAt), cmp.Compare(x, y))
	})
	for _, id := range ids {
		if e.usedTokens+e.cachedTokens <= e.cfg.Memory {
			return
		}
		e.cachedTokens -= e.cache[id].tokens
		delete(e.cache, id)
	}
}

// step runs one step and returns the requests that got their first token and those that
// completed.
func (e *engine) step(now time.Duration) (first, ended []*attempt) {
	e.admit(now)
	if len(e.running) == 0 {
		e.idle = true
		return nil, nil
	}
	chunkLeft := e.cfg.Chunk
	duration := e.cfg.Step + time.Duration(len(e.running))*e.cfg.StepPerRequest
	var running []*attempt
	for _, a := range e.running {
		if a.promptLeft > 0 {
			n := min(a.promptLeft, chunkLeft)
			chunkLeft -= n
			a.promptLeft -= n
			e.prefilledTokens += n
			duration += time.Duration(float64(n) / e.cfg.Prefill * float64(time.Millisecond))
			if a.promptLeft > 0 {
				running = append(running, a)
				continue
			}
			e.countRecomputed(a)
			e.cacheParts(a, now)
		}
		a.outputLeft--
		if !a.firstTokenDone {
			a.firstTokenDone = true
			first = append(first, a)
		}
		if a.outputLeft > 0 {
			running = append(running, a)
			continue
		}
		e.usedTokens -= a.memory()
		ended = append(ended, a)
	}
	e.running = running
	e.nextStepAt = now + time.Duration(float64(duration)*e.slowdown*e.noise/e.speed)
	return first, ended
}

// countRecomputed counts the shared parts that were not cached although this engine had
// computed them before.
func (e *engine) countRecomputed(a *attempt) {
	skipped := a.cached
	for _, part := range a.request.parts[:max(len(a.request.parts)-1, 0)] {
		if skipped >= part.Tokens {
			skipped -= part.Tokens
			continue
		}
		if e.computedParts[part.ID] {
			e.recomputedTokens += part.Tokens
		}
		e.computedParts[part.ID] = true
	}
}
