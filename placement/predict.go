package placement

import (
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

type forecastServer struct {
	instance routing.Instance
	// running and backlog are this node's own requests there: those without a
	// last byte, and the prompt tokens of those without a first.
	running int
	waiting int
	backlog float64
	// reportedRunning and reportedWaiting are all callers' requests as of
	// reportedAt.
	reportedRunning int
	reportedWaiting int
	reportedAt      time.Duration
	// others is what other nodes had the server read as of othersAt, by the server's
	// board.
	others   float64
	othersAt time.Duration
	errors   float64
	service  time.Duration
	failures int
	suspect  time.Duration
	// heardAt is when it last answered anything; silentSince when the oldest
	// wait without a word began, 0 for none.
	heardAt     time.Duration
	silentSince time.Duration
	// goneUntil keeps an instance that said that it is leaving out of the choice
	// until the list must have said so too.
	goneUntil time.Duration
	parts     map[routing.PartID]time.Duration
}

func (s *forecastServer) present(now time.Duration) bool {
	return !s.instance.Draining && now >= s.goneUntil
}

func (s *forecastServer) usable(now time.Duration) bool {
	return s.present(now) && now >= s.suspect
}

func (s *forecastServer) loadAge(now time.Duration) time.Duration {
	if s.reportedAt < 0 {
		return -time.Millisecond
	}
	return now - s.reportedAt
}

func readingTime(tokens float64) time.Duration {
	return time.Duration(tokens / prefillRate * float64(time.Millisecond))
}

// crowding is the time that an engine needs for what is queued there, of the quarter that
// has most queued the one that has least. A few engines with a queue are no crowd.
func (f *Forecast) crowding(r ForecastRequest, now time.Duration) time.Duration {
	f.backlogs = f.backlogs[:0]
	for _, s := range f.servers {
		f.backlogs = append(f.backlogs, s.queued(r, now))
	}
	if len(f.backlogs) == 0 {
		return 0
	}
	slices.Sort(f.backlogs)
	return readingTime(f.backlogs[len(f.backlogs)*3/4])
}

// reportedBacklog guesses what other nodes have the server read, from its report.
func (s *forecastServer) reportedBacklog(r ForecastRequest, now time.Duration) float64 {
	return s.reportedQueue(now) * float64(r.Prompt) / 2
}

// reportedQueue guesses how many requests of other nodes wait, from the server's report.
func (s *forecastServer) reportedQueue(now time.Duration) float64 {
	return max(float64(s.reportedWaiting-s.waiting), 0) * s.reportWeight(now)
}

// queued predicts the prompt tokens that the server has to read before a request.
func (s *forecastServer) queued(r ForecastRequest, now time.Duration) float64 {
	return s.backlog + s.othersBacklog(s.reportedBacklog(r, now), now)
}

// reportWeight is what the server's report still counts, 1 for a new one.
func (s *forecastServer) reportWeight(now time.Duration) float64 {
	return 1 / (1 + float64(now-s.reportedAt)/float64(loadHalfLife))
}

// uncached predicts how much of the prompt an engine must read.
func (f *Forecast) uncached(s *forecastServer, r ForecastRequest, ranked []fleet.BackendServerID, now time.Duration) fleet.Tokens {
	if len(r.Parts) == 0 {
		return r.Prompt
	}
	chance := 0.0
	if i := slices.Index(ranked, s.instance.ID); i >= 0 {
		chance = rankCached[i]
	}
	cached := 0.0
	leading := true
	for _, part := range r.Parts[:len(r.Parts)-1] {
		at, known := s.parts[part.ID]
		leading = leading && known && now-at < partLife
		if leading {
			cached += float64(part.Tokens)
		} else {
			cached += chance * float64(part.Tokens)
		}
	}
	return max(r.Prompt-fleet.Tokens(cached), 1)
}

// wait predicts the time until the first byte.
func (s *forecastServer) wait(r ForecastRequest, uncached fleet.Tokens, now time.Duration) time.Duration {
	wait := time.Duration(s.errors * float64(errorCost))
	if since := max(s.heardAt, s.silentSince); s.silentSince > 0 && now-since > overdueAfter {
		wait += overdueCost
	}
	fresh := s.reportWeight(now)
	others := max(float64(s.reportedRunning-s.running), 0) * fresh
	running := float64(s.running) + others
	if r.Prompt == 0 {
		work := s.service
		if work == 0 {
			work = serviceTime
		}
		over := max(running+s.reportedQueue(now)+1-float64(s.instance.Slots), 0)
		return wait + time.Duration((over/float64(max(s.instance.Slots, 1))+running*0.05)*float64(work))
	}
	wait += readingTime(s.queued(r, now) + float64(uncached))
	return wait + time.Duration(running)*runningCost
}

// othersBacklog predicts what other nodes still have the server read: by its board where
// that was asked a moment ago, less what it has read since, or else by its reports.
func (s *forecastServer) othersBacklog(reported float64, now time.Duration) float64 {
	age := now - s.othersAt
	if age > boardLife {
		return reported
	}
	return max(s.others-float64(age.Milliseconds())*prefillRate, 0)
}

func (s *forecastServer) first(p *Assignment, now time.Duration) {
	s.waiting--
	s.backlog = max(s.backlog-float64(p.Uncached), 0)
	if s.waiting == 0 {
		s.silentSince = 0
		s.backlog = 0
	} else {
		s.silentSince = now
	}
}
