package placement

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/routing"
)

// instanceLimit is what a node knows of the limit of one run of an instance.
type instanceLimit struct {
	// rate is nil if the instance names no limit.
	rate *routing.Rate
	// knownAt is the time of the response that said so, reportedAt when the node last told others.
	knownAt    time.Duration
	reportedAt time.Duration
	// unreadable counts the responses whose limit could not be read.
	unreadable int
	// deferredUntil is when a permit may be asked for again.
	deferredUntil time.Duration
}

// RecordLimit records the limit that the response to a request names, or that it names none. It
// reports whether other nodes are to be told: the limit has begun, ended or changed notably, or it
// is time to repeat it.
func (f *Forecast) RecordLimit(p *Assignment, rate *routing.Rate, now time.Duration) bool {
	if rate == nil {
		e, ok := f.exclusions[p.Instance.ID]
		// A response to an earlier request may have been under way when the limit was named.
		if !ok || e.limit.rate == nil || p.started <= e.limit.knownAt {
			return false
		}
	}
	e := f.exclusion(p.Instance.ID)
	if e == nil {
		return false
	}
	tell := ratelimit.DifferNotably(e.limit.rate, rate) || now-e.limit.reportedAt >= ratelimit.RefreshInterval
	e.limit.set(rate, now)
	if tell {
		e.limit.reportedAt = now
	}
	return tell
}

func (l *instanceLimit) set(rate *routing.Rate, knownAt time.Duration) {
	l.rate = rate
	l.knownAt = knownAt
	if rate == nil {
		l.deferredUntil = 0
	}
}

// RecordUnreadableLimit counts a response that names a limit that cannot be read, and returns the
// number of those of the instance. The limit known before stays in force.
func (f *Forecast) RecordUnreadableLimit(id fleet.BackendServerID) int {
	e := f.exclusion(id)
	if e == nil {
		return 0
	}
	e.limit.unreadable++
	return e.limit.unreadable
}

// ApplyLimit applies a report of another node, which came at a time, unless a later one is known or
// the report is of another run of the instance. It reports whether the limit has begun, ended or
// changed notably.
func (f *Forecast) ApplyLimit(r ratelimit.Report, received time.Duration) bool {
	s, listed := f.instances[r.Instance]
	if !listed || s.instance.Born != r.Born {
		return false
	}
	if _, ok := f.exclusions[r.Instance]; !ok && r.Limit == nil {
		return false
	}
	e, at := f.exclusion(r.Instance), r.KnownAt(received)
	if at <= e.limit.knownAt {
		return false
	}
	changed := ratelimit.DifferNotably(e.limit.rate, r.Limit)
	e.limit.set(r.Limit, at)
	return changed
}

// LimitReport returns what is known of the limit of an instance.
func (f *Forecast) LimitReport(instance routing.Instance, now time.Duration) ratelimit.Report {
	r := ratelimit.Report{
		Service:  instance.Service,
		Instance: instance.ID,
		Born:     instance.Born,
	}
	if e, ok := f.exclusions[instance.ID]; ok {
		r.Limit = e.limit.rate
		r.AgeMillis = (now - e.limit.knownAt).Milliseconds()
	}
	return r
}

// limitOf returns the report on an instance that has a limit, nil for one without.
func (f *Forecast) limitOf(instance routing.Instance, now time.Duration) *ratelimit.Report {
	r := f.LimitReport(instance, now)
	if r.Limit == nil {
		return nil
	}
	return &r
}

// Defer records that there is no permit for a request to a limited instance until some time has
// passed.
func (f *Forecast) Defer(id fleet.BackendServerID, wait, now time.Duration) {
	if e, ok := f.exclusions[id]; ok && e.limit.rate != nil {
		e.limit.deferredUntil = max(e.limit.deferredUntil, now+wait)
	}
}
