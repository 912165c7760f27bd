package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// speedGain is the weight of one sample once there are many: about a second of those of a busy engine,
	// so that a spike of some hundred milliseconds moves the estimate little.
	speedGain = 0.06
	// speedStep bounds what one sample moves an estimate, as a logarithm. A prompt of which the engine has
	// less cached than predicted takes several times as long.
	speedStep = 0.35
	// priorSamples is the number of samples that the mean of all engines counts as.
	priorSamples = 1
	// minSampleTime is the least predicted time of a sample. Below it the network and other requests matter
	// more than the speed.
	minSampleTime = 25 * time.Millisecond
	// maxSlowness bounds the slowness either way.
	maxSlowness = 4.0
	// momentGain is the weight of the latest report in the mean of the moments.
	momentGain = 0.02
	// notableSlowness is the difference from the mean, as a logarithm, up to which an engine counts as usual.
	// Nodes whose estimates differ a little would send the same prompts to different engines.
	notableSlowness = 0.25
	// judgedSamples is the number of samples after which an engine's pace is judged.
	judgedSamples = 10
	// speedTTL is how long an estimate is kept that nothing confirms.
	speedTTL = 2 * time.Minute
	// SpeedsPassedOn is the number of estimates of other engines that an owner returns with a claim.
	SpeedsPassedOn = 6
	// maxSpeeds bounds the estimates.
	maxSpeeds = 4096
)

// Slowness is how many times as long work takes as at the usual speed.
type Slowness float64

// SpeedSample is what the first byte of a response tells of an engine's speed.
type SpeedSample struct {
	// Took is the time from the request to the first byte, Expected the predictions for the usual speed, one
	// for each number of leading parts of the prompt that the engine may have had cached.
	Took     time.Duration   `json:"tookNanos"`
	Expected []time.Duration `json:"expectedNanos"`
	// Moment is the slowness of the moment that the engine has reported with it.
	Moment Slowness `json:"moment"`
}

// SpeedReport is an estimate for passing on.
type SpeedReport struct {
	Engine fleet.BackendServerID `json:"engine"`
	// Slowness is that of the engine in the long run, with two decimals.
	Slowness Slowness `json:"slowness"`
	// AgeMillis is the time since the latest sample.
	AgeMillis int64 `json:"ageMillis"`
	Samples   int   `json:"samples,omitempty"`
}

// Speeds estimates the speeds of engines from what first bytes tell. Its zero value is ready for use. It is
// not safe for concurrent use.
//
// # Why the owner of an engine estimates its speed
//
// With 78 nodes and 140 engines a node gets a first byte of an engine every 17 s. The owner of an engine's
// claims hears of all: some a second. It returns the estimate with each claim, and with it some that it knows
// of other engines, so that all nodes know all within seconds.
type Speeds struct {
	engines map[fleet.BackendServerID]*speed
	// order has the engines in the order in which they are passed on, next the position in it.
	order []fleet.BackendServerID
	next  int
	// mean is the mean logarithm of all samples, the estimate for an engine without any.
	mean    float64
	samples int
}

// speed is the estimate of one engine. Logarithms, so that twice and half as slow weigh the same.
type speed struct {
	// log is the slowness without that of the moments, meanLog the mean of the moments.
	log     float64
	samples int
	meanLog float64
	moments int
	pace    Pace
	at      time.Duration
}

// Observe applies a sample.
func (s *Speeds) Observe(id fleet.BackendServerID, sample SpeedSample, now time.Duration) {
	if sample.Moment <= 0 || sample.Took <= 0 {
		return
	}
	e := s.engine(id, now)
	if e == nil {
		return
	}
	e.at = now
	momentLog := math.Log(float64(clampSlowness(sample.Moment)))
	e.meanLog += max(momentGain, 1/float64(e.moments+2)) * (momentLog - e.meanLog)
	e.moments++
	observed, ok := sample.observed(e.log + momentLog)
	if !ok {
		return
	}
	observed -= momentLog
	e.log += max(speedGain, 1/float64(e.samples+priorSamples+1)) * min(max(observed-e.log, -speedStep), speedStep)
	e.samples++
	s.samples++
	s.mean += max(speedGain/10, 1/float64(s.samples+1)) * min(max(observed-s.mean, -speedStep), speedStep)
}

// observed returns the logarithm of the slowness that a sample shows. What was cached is not known, so that is
// taken which agrees best with the estimate: the parts are so long that the predictions differ by more than
// the speeds do. It returns false if the sample shows nothing.
func (sample SpeedSample) observed(estimate float64) (observed float64, ok bool) {
	for _, expected := range sample.Expected {
		if expected < minSampleTime {
			continue
		}
		ratio := math.Log(float64(clampSlowness(Slowness(float64(sample.Took) / float64(expected)))))
		if !ok || math.Abs(ratio-estimate) < math.Abs(observed-estimate) {
			observed, ok = ratio, true
		}
	}
	return observed, ok
}

// expectations returns the predictions of the time to the first byte at the usual speed, one for each number of
// leading parts of the prompt that may be cached.
func (s *instanceState) expectations(r ForecastRequest, now time.Duration) []time.Duration {
	if r.Prompt == 0 {
		return nil
	}
	others := max(float64(s.reportedRunning-s.running), 0) * s.reportWeight(now)
	before := time.Duration((float64(s.running) + others) * float64(runningDelay))
	left := s.queuedTokens(r, now) + float64(r.Prompt)
	expected := []time.Duration{before + prefillTime(left)}
	for _, part := range r.Parts[:max(len(r.Parts)-1, 0)] {
		left -= float64(part.Tokens)
		expected = append(expected, before+prefillTime(left))
	}
	return expected
}

func clampSlowness(s Slowness) Slowness {
	return min(max(s, 1/maxSlowness), maxSlowness)
}

// engine returns the estimate of an engine, a new one if it has none. It returns nil if there are too many.
func (s *Speeds) engine(id fleet.BackendServerID, now time.Duration) *speed {
	if e, ok := s.engines[id]; ok {
		return e
	}
	if len(s.engines) >= maxSpeeds {
		s.expire(now)
	}
	if len(s.engines) >= maxSpeeds {
		return nil
	}
	if s.engines == nil {
		s.engines = map[fleet.BackendServerID]*speed{}
	}
	e := &speed{
		log: s.mean,
		at:  now,
	}
	s.engines[id] = e
	s.order = append(s.order, id)
	return e
}

// expire forgets the estimates that nothing has confirmed for long.
func (s *Speeds) expire(now time.Duration) {
	s.order = slices.DeleteFunc(s.order, func(id fleet.BackendServerID) bool {
		old := now-s.engines[id].at > speedTTL
		if old {
			delete(s.engines, id)
		}
		return old
	})
	s.next = 0
}

// Apply applies reports of another node, unless something later is known.
func (s *Speeds) Apply(reports []SpeedReport, now time.Duration) {
	for _, r := range reports {
		at := now - time.Duration(max(r.AgeMillis, 0))*time.Millisecond
		if known, ok := s.engines[r.Engine]; ok && at <= known.at || !(r.Slowness > 0) || now-at > speedTTL {
			continue
		}
		e := s.engine(r.Engine, now)
		if e == nil {
			return
		}
		e.log = math.Log(float64(clampSlowness(r.Slowness)))
		e.meanLog, e.moments = 0, 0
		e.samples = min(max(r.Samples, 0), math.MaxInt32)
		e.at = at
	}
}

// Report returns the estimate of an engine. It returns false if there is none.
func (s *Speeds) Report(id fleet.BackendServerID, now time.Duration) (r SpeedReport, ok bool) {
	e, ok := s.engines[id]
	if !ok {
		return SpeedReport{}, false
	}
	return SpeedReport{
		Engine:    id,
		Slowness:  Slowness(math.Round(100*math.Exp(e.log+e.meanLog)) / 100),
		AgeMillis: (now - e.at).Milliseconds(),
		Samples:   e.samples,
	}, true
}

// Pace is how an engine's speed compares with that of others.
type Pace string

// The paces.
const (
	PaceUsual Pace = ""
	PaceSlow  Pace = "slow"
	PaceFast  Pace = "fast"
)

// Judge returns the pace of an engine, and whether it has changed since the last call. It takes some samples,
// and more of a difference to leave the usual pace than to come back to it.
func (s *Speeds) Judge(id fleet.BackendServerID) (pace Pace, changed bool) {
	e, ok := s.engines[id]
	if !ok || e.samples < judgedSamples {
		return PaceUsual, false
	}
	difference := e.log + e.meanLog - math.Log(float64(s.Mean()))
	switch {
	case math.Abs(difference) < notableSlowness/2:
		pace = PaceUsual
	case math.Abs(difference) < notableSlowness:
		pace = e.pace
	case difference > 0:
		pace = PaceSlow
	default:
		pace = PaceFast
	}
	changed = pace != e.pace
	e.pace = pace
	return pace, changed
}

// Mean returns the mean slowness of all engines that have an estimate, 1 if there is none.
func (s *Speeds) Mean() Slowness {
	if len(s.engines) == 0 {
		return 1
	}
	sum := 0.0
	for _, e := range s.engines {
		sum += e.log + e.meanLog
	}
	return Slowness(math.Exp(sum / float64(len(s.engines))))
}

// Some returns estimates for passing on, of an engine if there is one, and of up to n others, by turns.
func (s *Speeds) Some(id fleet.BackendServerID, n int, now time.Duration) []SpeedReport {
	var reports []SpeedReport
	if r, ok := s.Report(id, now); ok {
		reports = append(reports, r)
	}
	for range min(n, len(s.order)) {
		s.next = (s.next + 1) % len(s.order)
		if r, ok := s.Report(s.order[s.next], now); ok && r.Engine != id && now-s.engines[r.Engine].at <= speedTTL {
			reports = append(reports, r)
		}
	}
	return reports
}

// Slowest returns all estimates, the slowest first.
func (s *Speeds) Slowest(now time.Duration) []SpeedReport {
	var reports []SpeedReport
	for _, id := range s.order {
		if r, ok := s.Report(id, now); ok {
			reports = append(reports, r)
		}
	}
	slices.SortStableFunc(reports, func(a, b SpeedReport) int {
		return cmp.Or(cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(a.Engine, b.Engine))
	})
	return reports
}

// SetSpeeds applies estimates of the speeds of engines. An engine without one works at the usual speed.
func (f *Forecast) SetSpeeds(reports []SpeedReport, now time.Duration) {
	for _, r := range reports {
		s, ok := f.instances[r.Engine]
		at := now - time.Duration(max(r.AgeMillis, 0))*time.Millisecond
		if !ok || s.slowness != 0 && at <= s.slownessAt || !(r.Slowness > 0) {
			continue
		}
		s.slowness, s.slownessAt = clampSlowness(r.Slowness), at
	}
	f.compareSpeeds()
}

// compareSpeeds relates the slowness of each instance to the mean of all that have an estimate: what slows all
// alike does not make one of them better than another.
func (f *Forecast) compareSpeeds() {
	sum, n := 0.0, 0
	for _, s := range f.instances {
		if s.slowness != 0 {
			sum += math.Log(float64(s.slowness))
			n++
		}
	}
	if n == 0 {
		return
	}
	mean := math.Exp(sum / float64(n))
	for _, s := range f.instances {
		if s.slowness != 0 {
			s.relative = float64(s.slowness) / mean
			if math.Abs(math.Log(s.relative)) < notableSlowness {
				s.relative = 1
			}
		}
	}
}

// Slowness returns the estimated slowness of an instance in the long run, 1 if there is no estimate.
func (f *Forecast) Slowness(id fleet.BackendServerID) Slowness {
	if s, ok := f.instances[id]; ok && s.slowness != 0 {
		return s.slowness
	}
	return 1
}

// slow returns how many times as long work takes at the instance as at the mean speed.
func (s *instanceState) slow() float64 {
	if s.relative == 0 {
		return 1
	}
	return s.relative
}
