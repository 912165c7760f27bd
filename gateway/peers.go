package gateway

import (
	"iter"
	"net/netip"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/keepers"
	"github.com/waxwingreel/waxwingreel/roster"
)

// unresponsivePause keeps a node that did not answer from being asked: each request would wait for
// it in vain.
const unresponsivePause = 700 * time.Millisecond

// peers are the entry nodes that are up, as far as this one knows, and what they keep for
// one another. It is safe for concurrent use.
type peers struct {
	node fleet.NodeID
	link Link
	log  *event.Log

	mu sync.Mutex
	// keepers and wires were worked out from the rosterStart that begins at rosterStart.
	rosterStart  *roster.Report
	coordinators keepers.Set
	wireAddresses   map[fleet.NodeID]netip.AddrPort
	// avoidedUntil holds the nodes that did not answer, until when.
	avoidedUntil map[fleet.NodeID]time.Duration
}

func newPeers(cfg Config) *peers {
	return &peers{
		node:    cfg.Node,
		link:    cfg.Link,
		log:     cfg.Log,
		wireAddresses:   map[fleet.NodeID]netip.AddrPort{},
		avoidedUntil: map[fleet.NodeID]time.Duration{},
	}
}

// coordinatorSet returns the present keepers.
func (p *peers) coordinatorSet() keepers.Set {
	reports := p.link.Roster()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(reports) > 0 && p.rosterStart != &reports[0] {
		p.applyRoster(reports)
	}
	return p.coordinators
}

func (p *peers) applyRoster(reports []roster.Report) {
	p.rosterStart = &reports[0]
	p.wireAddresses = map[fleet.NodeID]netip.AddrPort{}
	var up []keepers.Node
	for _, report := range reports {
		if report.TakesCallers() {
			up = append(up, keepers.Node{
				ID:         report.Holder.Node,
				DataCentre: report.DataCentre,
			})
			p.wireAddresses[report.Holder.Node] = report.Wire
		}
	}
	p.coordinators = keepers.New(up)
}

// address returns where a node is to be asked. It reports false for one that is not up, or
// did not answer a moment ago.
func (p *peers) address(node fleet.NodeID) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address, ok := p.wireAddresses[node]
	return address, ok && clock.Boot() >= p.avoidedUntil[node]
}

// reachable yields those of the nodes that may be asked, in their order.
func (p *peers) reachable(nodes []fleet.NodeID) iter.Seq2[fleet.NodeID, netip.AddrPort] {
	return func(yield func(fleet.NodeID, netip.AddrPort) bool) {
		for _, node := range nodes {
			if address, ok := p.address(node); ok && !yield(node, address) {
				return
			}
		}
	}
}

// markUnresponsive takes note that a node did not answer.
func (p *peers) markUnresponsive(node fleet.NodeID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Boot()
	if now < p.avoidedUntil[node] {
		return
	}
	p.avoidedUntil[node] = now + unresponsivePause
	p.log.Info(event.PeerLost).
		Str("peer", string(node)).
		Int64("pauseMillis", unresponsivePause.Milliseconds()).
		Err(err).
		Msg("another entry node does not answer; what it keeps for others is done without for a moment")
}
