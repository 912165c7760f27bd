package placement

import (
	"time"

	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// SetEvacuated sets the data centres whose instances get no requests. Those that run there go on.
func (f *Forecast) SetEvacuated(list evacuation.List) {
	f.evacuated = list
}

// Evacuated reports whether instances stay in the list that may continue a stream of an origin, and all
// of them are in evacuated data centres. Without an origin all instances count.
func (f *Forecast) Evacuated(origin *routing.Origin, now time.Duration) bool {
	evacuated := false
	for _, s := range f.instances {
		if e, ok := f.exclusions[s.instance.ID]; !s.stays(now) || ok && e.leaving || !admits(origin, s.instance) {
			continue
		}
		if !f.evacuated.Has(s.instance.DataCentre) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// Running adds this node's unfinished requests in each data centre to the given counts.
func (f *Forecast) Running(counts map[fleet.DataCentre]int) {
	for _, s := range f.instances {
		counts[s.instance.DataCentre] += s.running
	}
}
