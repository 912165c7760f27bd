package gateway

import (
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/placement"
)

// learnSpeeds applies estimates that the owner of an engine has returned.
func (r *claimRegistry) learnSpeeds(reports []placement.SpeedReport) {
	if len(reports) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speeds.Apply(reports, clock.SinceBoot())
}

// observeSpeed applies what a first byte has told of an engine that this node owns. The caller holds mu.
func (r *claimRegistry) observeSpeed(m ClaimUpdate) {
	if m.Sample == nil {
		return
	}
	now := clock.SinceBoot()
	r.speeds.Observe(m.Claim.Engine, *m.Sample, now)
	pace, changed := r.speeds.Judge(m.Claim.Engine)
	report, ok := r.speeds.Report(m.Claim.Engine, now)
	if !changed || !ok {
		return
	}
	r.log.Info(event.EngineSpeed).
		Str("instance", string(report.Engine)).
		Str("pace", string(pace)).
		Float64("slowness", float64(report.Slowness)).
		Float64("meanSlowness", float64(r.speeds.Mean())).
		Int("samples", report.Samples).
		Msg("engine has turned out to be faster or slower than others, or no longer; prompts are placed by that")
}

// speedRange returns the number of engines with an estimate, and the least and the greatest slowness.
func (r *claimRegistry) speedRange() (known int, fastest, slowest placement.Slowness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := r.speeds.Slowest(clock.SinceBoot())
	if len(reports) == 0 {
		return 0, 0, 0
	}
	return len(reports), reports[len(reports)-1].Slowness, reports[0].Slowness
}

// sampleSpeed sets what the first byte of an attempt tells of the engine's speed, if the engine reports how
// slow it is at the moment. Those that do not are taken for equal.
func (x *exchange) sampleSpeed(placed *placement.Assignment, load *Load) {
	if !x.s.cfg.LearnSpeeds || load == nil || load.Slowness == 0 || len(placed.Expected) == 0 {
		return
	}
	x.speedSample = &placement.SpeedSample{
		Took:     clock.SinceBoot() - x.sentAt,
		Expected: placed.Expected,
		Moment:   load.Slowness,
	}
}
