package simulator

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// Placer chooses an engine for each request and hears what becomes of it.
// placement.Forecast is the product's.
type Placer interface {
	SetInstances(instances []routing.Instance)
	Pick(r placement.ForecastRequest, now time.Duration) (placement.Assignment, bool)
	Began(p *placement.Assignment, now time.Duration)
	Report(id fleet.BackendServerID, running, waiting int, now time.Duration)
	Done(p *placement.Assignment, outcome placement.Outcome, now time.Duration)
}

// Policy makes the placer of one entry node.
type Policy struct {
	Name string
	New  func(dataCentre fleet.DataCentre, seed uint64) Placer
	// Boards lets nodes claim engines on boards.
	Boards bool
}

// Policies are the product's placement and the alternatives that it is compared with.
var Policies = []Policy{
	{
		Name:   "forecast",
		New:    newForecast,
		Boards: true,
	},
	{
		Name: "alone",
		New:  newForecast,
	},
	{
		Name: "random",
		New: func(_ fleet.DataCentre, seed uint64) Placer {
			return &baseline{rng: rand.New(rand.NewPCG(seed, 3))}
		},
	},
	{
		Name: "leastRunning",
		New: func(_ fleet.DataCentre, seed uint64) Placer {
			return &baseline{
				rng:     rand.New(rand.NewPCG(seed, 3)),
				running: map[fleet.BackendServerID]int{},
			}
		},
	},
}

func newForecast(dataCentre fleet.DataCentre, seed uint64) Placer {
	return placement.NewForecast(placement.ForecastConfig{
		DataCentre: dataCentre,
		Seed:       seed,
	})
}

// baseline places at random or, where it counts, on the engine with the fewest of its own
// requests.
type baseline struct {
	rng       *rand.Rand
	instances []routing.Instance
	running   map[fleet.BackendServerID]int
}

// SetInstances implements Placer.
func (b *baseline) SetInstances(instances []routing.Instance) { b.instances = instances }

// Pick implements Placer.
func (b *baseline) Pick(placement.ForecastRequest, time.Duration) (placement.Assignment, bool) {
	if len(b.instances) == 0 {
		return placement.Assignment{}, false
	}
	best := b.instances[b.rng.IntN(len(b.instances))]
	for _, i := range b.instances {
		if b.running[i.ID] < b.running[best.ID] {
			best = i
		}
	}
	if b.running != nil {
		b.running[best.ID]++
	}
	return placement.Assignment{Instance: best}, true
}

// Began implements Placer.
func (b *baseline) Began(*placement.Assignment, time.Duration) {}

// Report implements Placer.
func (b *baseline) Report(fleet.BackendServerID, int, int, time.Duration) {}

// Done implements Placer.
func (b *baseline) Done(p *placement.Assignment, _ placement.Outcome, _ time.Duration) {
	if b.running != nil {
		b.running[p.Instance.ID]--
	}
}

// learner is a Placer that can use boards.
type learner interface {
	Learn(id fleet.BackendServerID, others fleet.Tokens, now time.Duration)
	Undo(p *placement.Assignment, now time.Duration)
}
