package control

import (
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// Versions says how far a control replica, or an entry node, is with each part of the configuration.
type Versions struct {
	Catalog     fleet.Version   `json:"catalog"`
	Routing     routing.Version `json:"routing"`
	Evacuations uint64          `json:"evacuations"`
}

// Reach reports whether v has all that other has, in this version or a later one.
func (v Versions) Reach(other Versions) bool {
	return v.Catalog >= other.Catalog && v.Routing >= other.Routing && v.Evacuations >= other.Evacuations
}

// versions returns the versions of the state that the replica has applied.
func (m *stateMachine) versions() Versions {
	return Versions{
		Catalog:     m.catalog.Version(),
		Routing:     m.routing.Config.Version,
		Evacuations: m.evacuations.List.Number,
	}
}

// newerRouting returns the routing configuration if the subscriber has an earlier one, or only what changed
// since that one.
func (r *Replica) newerRouting(s *subscriber) (*routing.Config, *routing.Delta) {
	c := r.machine.routing.Config
	if c.Version <= s.routingVersion {
		return nil, nil
	}
	if s.routingDeltas {
		if delta, ok := r.machine.routingHistory.Since(s.routingVersion); ok && delta.To == c.Version {
			return nil, &delta
		}
	}
	return &c, nil
}
