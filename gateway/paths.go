package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/isolation"
	"github.com/waxwingreel/waxwingreel/routing"
)

// paths finds out whether this node is cut off from the instances. It is safe for concurrent use.
type paths struct {
	cfg      Config
	ctx      context.Context
	isolated atomic.Bool
	// stillIsolated is called after each round while the node is isolated. It must not block.
	stillIsolated func()
	// alone reports whether no other node would relay.
	alone func() bool

	mu       sync.Mutex
	detector isolation.Detector
	// roundEnded is closed at the end of the round of probes in progress, nil if there is none.
	roundEnded chan struct{}
	// instances is the list, services what the configuration has; nil before the first one.
	instances []routing.Instance
	services  map[fleet.ServiceID]bool
	// untried are the instances that no probe has tried since all had their turn, unreached those whose probes
	// have failed since the latest connect.
	untried   []routing.Instance
	unreached map[fleet.BackendServerID]bool
	// evacuated are the data centres whose instances are not probed.
	evacuated evacuation.List
}

func newPaths(ctx context.Context, cfg Config, stillIsolated func(), alone func() bool) *paths {
	return &paths{
		cfg:           cfg,
		ctx:           ctx,
		stillIsolated: stillIsolated,
		alone:         alone,
		unreached:     map[fleet.BackendServerID]bool{},
	}
}

// setInstances sets the list of instances.
func (p *paths) setInstances(instances []routing.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(p.instances, instances) {
		p.instances = instances
		p.untried = nil
		p.forgetUnlisted()
	}
}

// forgetUnlisted forgets the failed probes of instances that have left the list. The caller holds mu.
func (p *paths) forgetUnlisted() {
	listed := map[fleet.BackendServerID]bool{}
	for _, i := range p.instances {
		listed[i.ID] = true
	}
	maps.DeleteFunc(p.unreached, func(id fleet.BackendServerID, _ bool) bool { return !listed[id] })
}

// setServices sets the services of the configuration. Instances of others are not probed: they may be another
// writer's, or gone with their service.
func (p *paths) setServices(services []routing.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = map[fleet.ServiceID]bool{}
	for _, s := range services {
		p.services[s.ID] = true
	}
	p.untried = nil
}

// Connecting implements backend.ConnectObserver.
func (p *paths) Connecting() (ended func(error)) {
	slow := time.AfterFunc(isolation.SlowConnect, p.startRound)
	return func(err error) {
		slow.Stop()
		switch {
		case err == nil:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.detector.Connected(clock.SinceBoot())
			clear(p.unreached)
		case !errors.Is(err, context.Canceled):
			p.startRound()
		}
	}
}

// startRound probes some instances, unless that has just been done.
func (p *paths) startRound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	instances := p.mayProbe()
	if len(instances) == 0 {
		p.detector.Reset()
		p.stateChanged(isolation.Round{})
		return
	}
	if !p.detector.StartRound(clock.SinceBoot()) {
		return
	}
	p.roundEnded = make(chan struct{})
	go p.probe(p.nextProbed(instances))
}

// nextProbed returns the instances of the next round, at random and each once before any is tried again. The
// caller holds mu.
func (p *paths) nextProbed(instances []routing.Instance) []routing.Instance {
	if len(p.untried) == 0 {
		p.untried = slices.Clone(instances)
		rand.Shuffle(len(p.untried), func(i, j int) { p.untried[i], p.untried[j] = p.untried[j], p.untried[i] })
	}
	n := min(isolation.ProbedServers, len(p.untried))
	probed := p.untried[:n]
	p.untried = p.untried[n:]
	return probed
}

// recheck starts a round while the node is isolated, and runs again until it no longer is: no request would start
// one.
func (p *paths) recheck() {
	p.startRound()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.detector.Isolated() && p.roundEnded == nil && p.ctx.Err() == nil {
		time.AfterFunc(isolation.RoundInterval, p.recheck)
	}
}

// probe connects to instances and ends the round.
func (p *paths) probe(instances []routing.Instance) {
	found := make([]backend.Reachability, len(instances))
	probes := sync.WaitGroup{}
	for n, i := range instances {
		probes.Go(func() { found[n] = backend.Reach(p.ctx, i.Address, isolation.ProbeTimeout) })
	}
	probes.Wait()
	round := isolation.Round{Alone: p.alone()}
	var failed []fleet.BackendServerID
	for n, i := range instances {
		if found[n] == backend.Reached {
			round.Connected++
			continue
		}
		round.Failed++
		failed = append(failed, i.ID)
		if found[n] == backend.Unanswered {
			round.Unanswered++
		}
	}
	p.endRound(round, failed)
}

func (p *paths) endRound(round isolation.Round, failed []fleet.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.roundEnded)
	p.roundEnded = nil
	if p.ctx.Err() != nil {
		return
	}
	if round.Connected > 0 {
		clear(p.unreached)
	} else {
		for _, id := range failed {
			p.unreached[id] = true
		}
	}
	round.Untried = len(p.unreached) < min(len(p.mayProbe()), isolation.TriedAlone)
	p.detector.EndRound(round, clock.SinceBoot())
	p.stateChanged(round)
	if p.detector.Isolated() {
		time.AfterFunc(isolation.RoundInterval, p.recheck)
		p.stillIsolated()
	}
}

// stateChanged makes a change of the detector known. The caller holds mu.
func (p *paths) stateChanged(round isolation.Round) {
	isolated := p.detector.Isolated()
	if p.isolated.Swap(isolated) == isolated {
		return
	}
	state := "ended"
	if isolated {
		state = "begun"
	}
	p.cfg.Log.Warn(event.NodeIsolated).
		Str("state", state).
		Int("connected", round.Connected).
		Int("failed", round.Failed).
		Int("unanswered", round.Unanswered).
		Int("listed", len(p.instances)).
		Msg("this node is cut off from the instances, or no longer; requests go through other nodes meanwhile")
	p.cfg.Control.SendHeartbeat()
}

// awaitRound waits for the end of the round in progress, if any, and reports whether the node is
// isolated.
func (p *paths) awaitRound(ctx context.Context) bool {
	p.mu.Lock()
	ended := p.roundEnded
	p.mu.Unlock()
	if ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	return p.isolated.Load()
}

// Isolated reports whether this node is cut off from the instances.
func (s *Server) Isolated() bool {
	return s.paths.isolated.Load()
}
