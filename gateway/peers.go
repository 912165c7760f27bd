package gateway

import (
	"iter"
	"net/netip"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/isolation"
	"github.com/waxwingreel/waxwingreel/ownership"
	"github.com/waxwingreel/waxwingreel/roster"
)

// unresponsivePeriod is how long a node that did not respond is not called, so that further
// requests do not wait for it.
const unresponsivePeriod = 700 * time.Millisecond

// isolatedPeriod is how long a node that has said that it is isolated is not asked to relay. Meanwhile
// it is asked in the background, so that no request waits for its answer.
const isolatedPeriod = 6 * isolation.RoundInterval

// peers tracks the entry nodes that are up according to the roster, which of them are
// owners (package ownership), and which did not respond. It is safe for concurrent use.
type peers struct {
	node          fleet.NodeID
	controlClient ControlClient
	log           *event.Log

	mu sync.Mutex
	// owners and wireAddresses were computed from the roster whose first element is
	// rosterStart.
	rosterStart   *roster.Report
	owners        ownership.Set
	wireAddresses map[fleet.NodeID]netip.AddrPort
	// avoidedUntil has, for each node that did not respond, the time from which it may be
	// called again.
	avoidedUntil map[fleet.NodeID]time.Duration
	// isolatedUntil has, for each node that has said that it is isolated, the time until which it is
	// not asked to relay, unless it says before that it is no longer. The roster says so later.
	isolatedUntil map[fleet.NodeID]time.Duration
}

func newPeers(cfg Config) *peers {
	return &peers{
		node:          cfg.Node,
		controlClient: cfg.Control,
		log:           cfg.Log,
		wireAddresses: map[fleet.NodeID]netip.AddrPort{},
		avoidedUntil:  map[fleet.NodeID]time.Duration{},
		isolatedUntil: map[fleet.NodeID]time.Duration{},
	}
}

// ownerSet returns the current owners. It applies the roster if that has changed.
func (p *peers) ownerSet() ownership.Set {
	reports := p.controlClient.Roster()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(reports) > 0 && p.rosterStart != &reports[0] {
		p.applyRoster(reports)
	}
	return p.owners
}

// applyRoster computes the owners and addresses from a roster. The caller holds mu.
func (p *peers) applyRoster(reports []roster.Report) {
	p.rosterStart = &reports[0]
	p.wireAddresses = map[fleet.NodeID]netip.AddrPort{}
	var up []ownership.Node
	for _, report := range reports {
		if report.TakesCallers() {
			up = append(up, ownership.Node{
				ID:         report.Holder.Node,
				DataCentre: report.DataCentre,
			})
			p.wireAddresses[report.Holder.Node] = report.WireAddress
		}
	}
	p.owners = ownership.New(up)
}

// address returns the wire address of a node. It returns false if the node is not up or
// did not respond within the last unresponsivePeriod.
func (p *peers) address(node fleet.NodeID) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address, ok := p.wireAddresses[node]
	return address, ok && clock.SinceBoot() >= p.avoidedUntil[node]
}

// markIsolated records that a node has said that it is isolated.
func (p *peers) markIsolated(node fleet.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolatedUntil[node] = clock.SinceBoot() + isolatedPeriod
}

// markReached records that a node has said that it is not isolated.
func (p *peers) markReached(node fleet.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.isolatedUntil, node)
}

// isolatedNodes returns up to n nodes that have said that they are isolated, in random order.
func (p *peers) isolatedNodes(n int) []relayNode {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []relayNode
	now := clock.SinceBoot()
	for node, until := range p.isolatedUntil {
		address, up := p.wireAddresses[node]
		switch {
		case !up || now >= until:
			delete(p.isolatedUntil, node)
		case len(found) < n && now >= p.avoidedUntil[node]:
			found = append(found, relayNode{
				node:    node,
				address: address,
			})
		}
	}
	return found
}

func (p *peers) isIsolated(node fleet.NodeID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.SinceBoot() < p.isolatedUntil[node]
}

// reachable yields the nodes that may be called, in the given order.
func (p *peers) reachable(nodes []fleet.NodeID) iter.Seq2[fleet.NodeID, netip.AddrPort] {
	return func(yield func(fleet.NodeID, netip.AddrPort) bool) {
		for _, node := range nodes {
			if address, ok := p.address(node); ok && !yield(node, address) {
				return
			}
		}
	}
}

// markUnresponsive records that a node did not respond: it is not called for
// unresponsivePeriod.
func (p *peers) markUnresponsive(node fleet.NodeID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.SinceBoot()
	if now < p.avoidedUntil[node] {
		return
	}
	p.avoidedUntil[node] = now + unresponsivePeriod
	p.log.Info(event.PeerLost).
		Str("peer", string(node)).
		Int64("pauseMillis", unresponsivePeriod.Milliseconds()).
		Err(err).
		Msg("call to entry node failed; no further calls to it for pauseMillis")
}
