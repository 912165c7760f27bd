package gateway

import (
	"context"

	"github.com/waxwingreel/waxwingreel/isolation"
)

// askIsolatedPeers asks some of the nodes that have said that they are isolated whether they still are. A
// request that asked them would be refused only after their answers, which may take long where all nodes are
// isolated and busy with refusals.
func (s *Server) askIsolatedPeers() {
	if s.cfg.Peers == nil {
		return
	}
	for _, relay := range s.peers.isolatedNodes(maxRelays) {
		go s.askIsolated(relay)
	}
}

// askIsolated asks a node whether it is isolated, by a request for no instance: no node relays that. A node
// that does not say within the interval would be as slow to relay, so it counts as isolated.
func (s *Server) askIsolated(relay relayNode) {
	ctx, cancel := context.WithTimeout(s.ctx, isolation.RoundInterval)
	defer cancel()
	ch, err := s.cfg.Peers.Open(ctx, relay.address, MethodRelay)
	if err != nil {
		if s.ctx.Err() == nil {
			s.peers.markUnresponsive(relay.node, err)
		}
		return
	}
	defer ch.Close()
	defer context.AfterFunc(ctx, ch.Close)()
	response := RelayResponse{}
	if ch.Send(RelayRequest{TimeoutMillis: isolation.RoundInterval.Milliseconds()}) != nil || ch.Receive(&response) != nil {
		response.Refusal = RelayIsolated
	}
	switch response.Refusal {
	case RelayIsolated:
		s.peers.markIsolated(relay.node)
	case RelayExcluded:
		s.peers.markReached(relay.node)
	}
}

// alone reports whether no other node would relay for this one.
func (s *Server) alone() bool {
	return s.cfg.Peers == nil || len(s.peers.relays(s.cfg.DataCentre, 1)) == 0
}
