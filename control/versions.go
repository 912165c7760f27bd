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
