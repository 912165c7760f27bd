package placement

import (
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// instanceState is the state that a Forecast keeps of one instance.
type instanceState struct {
	instance routing.Instance
	// running counts this node's unfinished requests there. waiting counts those
	// without a first byte, and backlogTokens sums up their uncached prompt tokens.
	running       int
	waiting       int
	backlogTokens float64
	// reportedRunning and reportedWaiting count the requests of all nodes as of
	// reportedAt.
	reportedRunning int
	reportedWaiting int
	reportedAt      time.Duration
	// claimedByOthers is the number of prompt tokens that other nodes had claimed as of
	// claimedAt, as reported by the instance's owner.
	claimedByOthers float64
	claimedAt       time.Duration
	// errorRate and serviceTime are moving averages.
	errorRate   float64
	serviceTime time.Duration
	// failures counts consecutive failures.
	failures     int
	suspectUntil time.Duration
	// respondedAt is the time of the latest response or load report.
	respondedAt time.Duration
	// waitingSince is the time since which requests have been waiting for a first byte
	// without one arriving, 0 if none waits.
	waitingSince time.Duration
	// drainingUntil excludes an instance that is known to be draining until the list of
	// instances marks it too.
	drainingUntil time.Duration
	cold          coldState
	// slowness is 0 without an estimate, which is as of slownessAt.
	slowness   Slowness
	slownessAt time.Duration
	// relative is the slowness as a multiple of the mean, 0 without an estimate.
	relative float64
	// cachedParts holds the last use of each shared part that is probably cached.
	cachedParts map[routing.PartID]time.Duration
}

// stays reports whether the instance is not draining.
func (s *instanceState) stays(now time.Duration) bool {
	return !s.instance.Draining && now >= s.drainingUntil
}

// available reports whether an instance may be chosen: it is not draining, its data centre is not evacuated,
// it has not said itself that it takes no requests, and a permit was not refused for it.
func (f *Forecast) available(s *instanceState, now time.Duration) bool {
	return s.stays(now) && !f.evacuated.Has(s.instance.DataCentre) && !f.excluded(s.instance.ID, now)
}

// loadAge returns the age of the latest load report, or a negative time if there is none.
func (s *instanceState) loadAge(now time.Duration) time.Duration {
	if s.reportedAt < 0 {
		return -time.Millisecond
	}
	return now - s.reportedAt
}

// prefillTime returns the time that an engine needs to prefill prompt tokens.
func prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / prefillTokensPerMs * float64(time.Millisecond))
}

// congestion returns the third quartile of the engines' prefill backlogs, as a time. A
// quartile is used since a few engines with long queues are not congestion.
func (f *Forecast) congestion(r ForecastRequest, now time.Duration) time.Duration {
	f.backlogs = f.backlogs[:0]
	for _, s := range f.instances {
		if !f.evacuated.Has(s.instance.DataCentre) {
			f.backlogs = append(f.backlogs, s.queuedTokens(r, now)*s.slow())
		}
	}
	if len(f.backlogs) == 0 {
		return 0
	}
	slices.Sort(f.backlogs)
	return prefillTime(f.backlogs[len(f.backlogs)*3/4])
}

// reportedBacklog estimates the prompt tokens of other nodes' waiting requests from the load
// report, which counts only requests. It assumes half of the present prompt for each.
func (s *instanceState) reportedBacklog(r ForecastRequest, now time.Duration) float64 {
	return s.reportedQueue(now) * float64(r.Prompt) / 2
}

// reportedQueue estimates the number of other nodes' waiting requests from the load report.
func (s *instanceState) reportedQueue(now time.Duration) float64 {
	return max(float64(s.reportedWaiting-s.waiting), 0) * s.reportWeight(now)
}

// queuedTokens predicts the prompt tokens to be prefilled before a new request.
func (s *instanceState) queuedTokens(r ForecastRequest, now time.Duration) float64 {
	return s.backlogTokens + s.othersBacklog(s.reportedBacklog(r, now), now)
}

// reportWeight returns the weight of the load report, which falls with its age from 1.
func (s *instanceState) reportWeight(now time.Duration) float64 {
	return 1 / (1 + float64(now-s.reportedAt)/float64(loadHalfLife))
}

// uncachedTokens predicts how many tokens of the prompt an engine must prefill.
func (f *Forecast) uncachedTokens(s *instanceState, r ForecastRequest, ranked []fleet.BackendServerID, now time.Duration) fleet.Tokens {
	if len(r.Parts) == 0 {
		return r.Prompt
	}
	probability := 0.0
	if i := slices.Index(ranked, s.instance.ID); i >= 0 {
		probability = cachedProbability[i]
	}
	cached := 0.0
	leading := true
	for _, part := range r.Parts[:len(r.Parts)-1] {
		at, known := s.cachedParts[part.ID]
		leading = leading && known && now-at < partTTL
		if leading {
			cached += float64(part.Tokens)
		} else {
			cached += probability * float64(part.Tokens)
		}
	}
	return max(r.Prompt-fleet.Tokens(cached), 1)
}

// predictWait predicts the time until the first byte.
func (s *instanceState) predictWait(r ForecastRequest, uncached fleet.Tokens, now time.Duration) time.Duration {
	wait := time.Duration(s.errorRate * float64(errorCost))
	if unresponsiveSince := max(s.respondedAt, s.waitingSince); s.waitingSince > 0 && now-unresponsiveSince > responseTimeout {
		wait += unresponsiveCost
	}
	weight := s.reportWeight(now)
	others := max(float64(s.reportedRunning-s.running), 0) * weight
	running := float64(s.running) + others
	if r.Prompt == 0 {
		work := s.serviceTime
		if work == 0 {
			work = defaultServiceTime
		}
		excess := max(running+s.reportedQueue(now)+1-float64(s.instance.Slots), 0)
		return wait + time.Duration((excess/float64(max(s.instance.Slots, 1))+running*0.05)*float64(work))
	}
	if s.slow() == 1 {
		return wait + prefillTime(s.queuedTokens(r, now)+float64(uncached)) + time.Duration(running)*runningDelay
	}
	own := min(uncached, r.ownTokens())
	usual := prefillTime(s.queuedTokens(r, now)+float64(own)) + time.Duration(running)*runningDelay
	// A fast engine is no reason to read a shared part there once more.
	shared := float64(prefillTime(float64(uncached-own))) * max(s.slow(), 1)
	return wait + time.Duration(float64(usual)*s.slow()+shared)
}

// othersBacklog predicts the prompt tokens of other nodes that are still to be prefilled: the
// claimed tokens minus those prefilled since, or the given estimate from load reports if the
// claimed tokens are out of date.
func (s *instanceState) othersBacklog(reported float64, now time.Duration) float64 {
	age := now - s.claimedAt
	if age > claimedTokensTTL {
		return reported
	}
	return max(s.claimedByOthers-float64(age.Milliseconds())*prefillTokensPerMs/s.slow(), 0)
}

// recordFirstByte removes a request from the prefill backlog.
func (s *instanceState) recordFirstByte(p *Assignment, now time.Duration) {
	s.waiting--
	s.backlogTokens = max(s.backlogTokens-float64(p.Uncached), 0)
	if s.waiting == 0 {
		s.waitingSince = 0
		s.backlogTokens = 0
	} else {
		s.waitingSince = now
	}
}
