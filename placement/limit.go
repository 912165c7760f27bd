package placement

import (
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// notableChange is the relative change of a limit that is worth a message. Some instances name a
// slightly different one in each response.
const notableChange = 0.1

// Limit is the rate at which an instance takes requests from all nodes together.
type Limit struct {
	Rate routing.Rate
	// KnownAt is when the instance last named it, as far as this node knows.
	KnownAt time.Duration
}

// RecordLimit records the limit that the response to a request names, or that it names none. It
// reports whether the limit has begun, ended or changed notably.
func (f *Forecast) RecordLimit(p *Assignment, rate *routing.Rate, now time.Duration) bool {
	if rate == nil {
		e, ok := f.exclusions[p.Instance.ID]
		// The response may have been under way when another one named the limit.
		if !ok || e.limit == nil || p.started <= e.limit.KnownAt {
			return false
		}
		e.limit = nil
		return true
	}
	e := f.exclusion(p.Instance.ID)
	if e == nil {
		return false
	}
	notable := e.limit == nil || differNotably(e.limit.Rate, *rate)
	e.limit = &Limit{
		Rate:    *rate,
		KnownAt: now,
	}
	return notable
}

func differNotably(a, b routing.Rate) bool {
	return math.Abs(float64(a-b)) > notableChange*float64(max(a, b))
}

// RecordUnreadableLimit counts a response that names a limit that cannot be read, and returns the
// number of those of the instance. The limit known before stays in force.
func (f *Forecast) RecordUnreadableLimit(id fleet.BackendServerID) int {
	e := f.exclusion(id)
	if e == nil {
		return 0
	}
	e.unreadableLimits++
	return e.unreadableLimits
}

// Limit returns the limit of an instance, nil if it has none.
func (f *Forecast) Limit(id fleet.BackendServerID) *Limit {
	if e, ok := f.exclusions[id]; ok {
		return e.limit
	}
	return nil
}
