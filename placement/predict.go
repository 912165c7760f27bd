package placement

import (
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

type instanceState struct {
	instance routing.Instance
	// running and backlog are this node's own requests there: those without a
	// last byte, and the prompt tokens of those without a first.
	running       int
	waiting       int
	backlogTokens float64
	// reportedRunning and reportedWaiting are all callers' requests as of
	// reportedAt.
	reportedRunning int
	reportedWaiting int
	reportedAt      time.Duration
	// othersTokens is what other nodes had the server read as of othersAt, by the server's
	// board.
	othersTokens float64
	othersAt     time.Duration
	errorRate    float64
	serviceTime  time.Duration
	failures     int
	suspectUntil time.Duration
	// respondedAt is when it last answered anything; silentSince when the oldest
	// wait without a word began, 0 for none.
	respondedAt  time.Duration
	waitingSince time.Duration
	// drainingUntil keeps an instance that said that it is leaving out of the choice
	// until the list must have said so too.
	drainingUntil time.Duration
	cachedParts   map[routing.PartID]time.Duration
}

func (s *instanceState) available(now time.Duration) bool {
	return !s.instance.Leaving && now >= s.drainingUntil
}

func (s *instanceState) usable(now time.Duration) bool {
	return s.available(now) && now >= s.suspectUntil
}

func (s *instanceState) loadAge(now time.Duration) time.Duration {
	if s.reportedAt < 0 {
		return -time.Millisecond
	}
	return now - s.reportedAt
}

func prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / prefillRate * float64(time.Millisecond))
}

// congestion is the time that an engine needs for what is queued there, of the quarter that
// has most queued the one that has least. A few engines with a queue are no crowd.
func (f *Forecast) congestion(r ForecastRequest, now time.Duration) time.Duration {
	f.backlogs = f.backlogs[:0]
	for _, s := range f.instances {
		f.backlogs = append(f.backlogs, s.queuedTokens(r, now))
	}
	if len(f.backlogs) == 0 {
		return 0
	}
	slices.Sort(f.backlogs)
	return prefillTime(f.backlogs[len(f.backlogs)*3/4])
}

// reportedBacklog guesses what other nodes have the server read, from its report.
func (s *instanceState) reportedBacklog(r ForecastRequest, now time.Duration) float64 {
	return s.reportedQueue(now) * float64(r.Prompt) / 2
}

// reportedQueue guesses how many requests of other nodes wait, from the server's report.
func (s *instanceState) reportedQueue(now time.Duration) float64 {
	return max(float64(s.reportedWaiting-s.waiting), 0) * s.reportWeight(now)
}

// queuedTokens predicts the prompt tokens that the server has to read before a request.
func (s *instanceState) queuedTokens(r ForecastRequest, now time.Duration) float64 {
	return s.backlogTokens + s.othersBacklog(s.reportedBacklog(r, now), now)
}

// reportWeight is what the server's report still counts, 1 for a new one.
func (s *instanceState) reportWeight(now time.Duration) float64 {
	return 1 / (1 + float64(now-s.reportedAt)/float64(loadHalfLife))
}

// uncachedTokens predicts how much of the prompt an engine must read.
func (f *Forecast) uncachedTokens(s *instanceState, r ForecastRequest, ranked []fleet.BackendServerID, now time.Duration) fleet.Tokens {
	if len(r.Parts) == 0 {
		return r.Prompt
	}
	chance := 0.0
	if i := slices.Index(ranked, s.instance.ID); i >= 0 {
		chance = cachedProbability[i]
	}
	cached := 0.0
	leading := true
	for _, part := range r.Parts[:len(r.Parts)-1] {
		at, known := s.cachedParts[part.ID]
		leading = leading && known && now-at < partTTL
		if leading {
			cached += float64(part.Tokens)
		} else {
			cached += chance * float64(part.Tokens)
		}
	}
	return max(r.Prompt-fleet.Tokens(cached), 1)
}

// predictWait predicts the time until the first byte.
func (s *instanceState) predictWait(r ForecastRequest, uncached fleet.Tokens, now time.Duration) time.Duration {
	wait := time.Duration(s.errorRate * float64(errorCost))
	if since := max(s.respondedAt, s.waitingSince); s.waitingSince > 0 && now-since > silenceTimeout {
		wait += silenceCost
	}
	fresh := s.reportWeight(now)
	others := max(float64(s.reportedRunning-s.running), 0) * fresh
	running := float64(s.running) + others
	if r.Prompt == 0 {
		work := s.serviceTime
		if work == 0 {
			work = defaultServiceTime
		}
		over := max(running+s.reportedQueue(now)+1-float64(s.instance.Slots), 0)
		return wait + time.Duration((over/float64(max(s.instance.Slots, 1))+running*0.05)*float64(work))
	}
	wait += prefillTime(s.queuedTokens(r, now) + float64(uncached))
	return wait + time.Duration(running)*runningDelay
}

// othersBacklog predicts what other nodes still have the server read: by its board where
// that was asked a moment ago, less what it has read since, or else by its reports.
func (s *instanceState) othersBacklog(reported float64, now time.Duration) float64 {
	age := now - s.othersAt
	if age > claimedTokensTTL {
		return reported
	}
	return max(s.othersTokens-float64(age.Milliseconds())*prefillRate, 0)
}

func (s *instanceState) recordFirstByte(p *Placed, now time.Duration) {
	s.waiting--
	s.backlogTokens = max(s.backlogTokens-float64(p.Uncached), 0)
	if s.waiting == 0 {
		s.waitingSince = 0
		s.backlogTokens = 0
	} else {
		s.waitingSince = now
	}
}
