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
	// RoutingDigest is that of the content of the version Routing, 0 from replicas that do not send it.
	RoutingDigest routing.Digest `json:"routingDigest,omitempty"`
}

// Reach reports whether v has all that other has, in this version or a later one.
func (v Versions) Reach(other Versions) bool {
	return !v.Differ(other) && v.Catalog >= other.Catalog && v.Routing >= other.Routing && v.Evacuations >= other.Evacuations
}

// Differ reports whether v and other have the same version of the routing configuration with different contents.
func (v Versions) Differ(other Versions) bool {
	return v.Routing == other.Routing && v.RoutingDigest != 0 && other.RoutingDigest != 0 && v.RoutingDigest != other.RoutingDigest
}

// versions returns the versions of the state that the replica has applied.
func (m *stateMachine) versions() Versions {
	return Versions{
		Catalog:     m.catalog.Version(),
		Routing:     m.routing.Config.Version,
		Evacuations: m.evacuations.List.Number,

		RoutingDigest: m.routingHistory.Digest(),
	}
}

// RoutingForm is the form of a routing configuration that this version reads.
const RoutingForm = 1

// newerRouting returns the routing configuration if the subscriber has an earlier one, or only what changed
// since that one.
func (r *Replica) newerRouting(s *subscriber) (*routing.Config, *routing.Delta) {
	c := r.machine.routing.Config
	whole := s.wholeRouting
	s.wholeRouting = false
	if !whole && c.Version <= s.routingVersion {
		return nil, nil
	}
	if s.routingForm < RoutingForm {
		// A change would have parts in the later form.
		var changed bool
		c, changed = c.ForEarlierVersions()
		whole = whole || changed
	}
	if whole {
		return &c, nil
	}
	if s.routingDeltas {
		if delta, ok := r.machine.routingHistory.Since(s.routingVersion); ok && delta.To == c.Version {
			return nil, &delta
		}
	}
	return &c, nil
}
