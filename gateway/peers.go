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

// peerPause keeps a node that did not answer from being asked: each request would wait for
// it in vain.
const peerPause = 700 * time.Millisecond

// peers are the entry nodes that are up, as far as this one knows, and what they keep for
// one another. It is safe for concurrent use.
type peers struct {
	node fleet.NodeID
	link Link
	log  *event.Log

	mu sync.Mutex
	// keepers and wires were worked out from the roster that begins at roster.
	roster  *roster.Report
	keepers keepers.Set
	wires   map[fleet.NodeID]netip.AddrPort
	// avoided holds the nodes that did not answer, until when.
	avoided map[fleet.NodeID]time.Duration
}

func newPeers(cfg Config) *peers {
	return &peers{
		node:    cfg.Node,
		link:    cfg.Link,
		log:     cfg.Log,
		wires:   map[fleet.NodeID]netip.AddrPort{},
		avoided: map[fleet.NodeID]time.Duration{},
	}
}

// set returns the present keepers.
func (p *peers) set() keepers.Set {
	reports := p.link.Roster()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(reports) > 0 && p.roster != &reports[0] {
		p.learn(reports)
	}
	return p.keepers
}

func (p *peers) learn(reports []roster.Report) {
	p.roster = &reports[0]
	p.wires = map[fleet.NodeID]netip.AddrPort{}
	var up []keepers.Node
	for _, report := range reports {
		if report.TakesCallers() {
			up = append(up, keepers.Node{
				ID:         report.Holder.Node,
				DataCentre: report.DataCentre,
			})
			p.wires[report.Holder.Node] = report.WireAddress
		}
	}
	p.keepers = keepers.New(up)
}

// address returns where a node is to be asked. It reports false for one that is not up, or
// did not answer a moment ago.
func (p *peers) address(node fleet.NodeID) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address, ok := p.wires[node]
	return address, ok && clock.Boot() >= p.avoided[node]
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

// avoid takes note that a node did not answer.
func (p *peers) avoid(node fleet.NodeID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Boot()
	if now < p.avoided[node] {
		return
	}
	p.avoided[node] = now + peerPause
	p.log.Info(event.PeerLost).
		Str("peer", string(node)).
		Int64("pauseMillis", peerPause.Milliseconds()).
		Err(err).
		Msg("another entry node does not answer; what it keeps for others is done without for a moment")
}
