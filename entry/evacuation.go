package entry

import (
	"slices"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/evacuation"
)

// outsideOf returns the servers that are in no evacuated data centre.
func outsideOf(evacuated evacuation.List, servers []catalog.BackendServer) []catalog.BackendServer {
	return slices.DeleteFunc(slices.Clone(servers), func(s catalog.BackendServer) bool {
		return evacuated.Has(s.DataCentre)
	})
}

// outsideOfEvacuated returns the servers that are in no data centre which is evacuated now.
func (s *Server) outsideOfEvacuated(servers []catalog.BackendServer) []catalog.BackendServer {
	return outsideOf(s.cfg.Control.Evacuations(), servers)
}
