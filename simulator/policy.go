package simulator

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// Placer chooses an engine for each request of an entry node and is notified of the outcomes.
// placement.Forecast is the implementation used in production.
type Placer interface {
	SetInstances(instances []routing.Instance, now time.Duration)
	Pick(r placement.ForecastRequest, now time.Duration) (placement.Assignment, bool)
	RecordFirstByte(p *placement.Assignment, now time.Duration)
	Report(id fleet.BackendServerID, running, waiting int, now time.Duration)
	Finish(p *placement.Assignment, outcome placement.Outcome, now time.Duration)
}

// Policy creates the placers of entry nodes.
type Policy struct {
	Name string
	New  func(dataCentre fleet.DataCentre, seed uint64) Placer
	// UseClaims makes nodes claim engines in a claim registry before they send requests. UseSpeeds makes
	// them learn with that how fast engines are that report it.
	UseClaims bool
	// Waitlist makes requests wait for their node's link in the order of a waitlist.Room.
	Waitlist  bool
	UseSpeeds bool
}

// Policies are the production policy, which is the first, and the alternatives that it is
// compared with.
var Policies = []Policy{
	{
		Name:      "forecast",
		New:       newForecast,
		UseClaims: true,
		Waitlist:  true,
	},
	{
		Name:      "unordered",
		New:       newForecast,
		UseClaims: true,
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

// LearntSpeeds is the production policy of sites whose settings have learnSpeeds.
var LearntSpeeds = Policy{
	Name:      "learntSpeeds",
	New:       newForecast,
	UseClaims: true,
	UseSpeeds: true,
}

func newForecast(dataCentre fleet.DataCentre, seed uint64) Placer {
	return placement.NewForecast(placement.ForecastConfig{
		DataCentre: dataCentre,
		Seed:       seed,
	})
}

// baseline chooses a random engine or, if running is set, the engine with the fewest running
// requests of this node.
type baseline struct {
	rng       *rand.Rand
	instances []routing.Instance
	running   map[fleet.BackendServerID]int
}

// SetInstances implements Placer.
func (b *baseline) SetInstances(instances []routing.Instance, _ time.Duration) {
	b.instances = instances
}

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

// RecordFirstByte implements Placer.
func (b *baseline) RecordFirstByte(*placement.Assignment, time.Duration) {}

// Report implements Placer.
func (b *baseline) Report(fleet.BackendServerID, int, int, time.Duration) {}

// Finish implements Placer.
func (b *baseline) Finish(p *placement.Assignment, _ placement.Outcome, _ time.Duration) {
	if b.running != nil {
		b.running[p.Instance.ID]--
	}
}

// claimPlacer is implemented by a Placer that can take the claims of other nodes into account.
type claimPlacer interface {
	SetClaimedByOthers(id fleet.BackendServerID, others fleet.Tokens, now time.Duration)
	Undo(p *placement.Assignment, now time.Duration)
	SetSpeeds(reports []placement.SpeedReport, now time.Duration)
}
