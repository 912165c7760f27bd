package placement

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/routing"
)

// instanceLimit is what a node knows of the limits of one run of an instance.
type instanceLimit struct {
	// rate is nil if the instance names no limit, brittle if it does not say that it is brittle.
	rate    *routing.Rate
	brittle *int
	// brittleSince is the time since which the node knows that the instance is brittle.
	brittleSince time.Duration
	// knownAt is the time of the response that said so, reportedAt when the node last told others.
	knownAt    time.Duration
	reportedAt time.Duration
	// unreadable counts the responses whose limit could not be read.
	unreadable int
	// deferredUntil is when a permit may be asked for again.
	deferredUntil time.Duration
}

// named reports whether a request to the instance needs a permit.
func (l *instanceLimit) named() bool {
	return l.rate != nil || l.brittle != nil
}

// RecordLimit records the limit that the response to a request names and whether the instance is brittle, or
// that it names neither. It reports whether other nodes are to be told: that has begun, ended or changed
// notably, or it is time to repeat it.
func (f *Forecast) RecordLimit(p *Assignment, rate *routing.Rate, brittle *int, now time.Duration) bool {
	if rate == nil || brittle == nil {
		e, ok := f.exclusions[p.Instance.ID]
		ends := ok && (rate == nil && e.limit.rate != nil || brittle == nil && e.limit.brittle != nil)
		// A response to an earlier request may have been under way when the limit was named.
		if ends && p.started <= e.limit.knownAt || !ends && rate == nil && brittle == nil {
			return false
		}
	}
	e := f.exclusion(p.Instance.ID)
	if e == nil {
		return false
	}
	named := ratelimit.Report{
		Limit:   rate,
		Brittle: brittle,
	}
	tell := named.Differs(e.limit.report()) || now-e.limit.reportedAt >= ratelimit.RefreshInterval
	e.limit.set(named, now)
	if tell {
		e.limit.reportedAt = now
	}
	return tell
}

func (l *instanceLimit) report() ratelimit.Report {
	return ratelimit.Report{
		Limit:   l.rate,
		Brittle: l.brittle,
	}
}

func (l *instanceLimit) set(named ratelimit.Report, knownAt time.Duration) {
	if l.brittle == nil && named.Brittle != nil {
		l.brittleSince = knownAt
	}
	l.rate, l.brittle = named.Limit, named.Brittle
	l.knownAt = knownAt
	if !l.named() {
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
	if _, ok := f.exclusions[r.Instance]; !ok && !r.Named() {
		return false
	}
	e, at := f.exclusion(r.Instance), r.KnownAt(received)
	if at <= e.limit.knownAt {
		return false
	}
	changed := r.Differs(e.limit.report())
	e.limit.set(r, at)
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
		r.Limit, r.Brittle = e.limit.rate, e.limit.brittle
		r.AgeMillis = (now - e.limit.knownAt).Milliseconds()
	}
	r.Cold = f.coldOf(instance.ID, now)
	return r
}

// limitOf returns the report on an instance that has a limit or is cold, nil for any other.
func (f *Forecast) limitOf(instance routing.Instance, now time.Duration) *ratelimit.Report {
	r := f.LimitReport(instance, now)
	if !r.Named() && r.Cold == nil {
		return nil
	}
	return &r
}

// Defer records that there is no permit for a request to a limited instance until some time has
// passed.
func (f *Forecast) Defer(id fleet.BackendServerID, wait, now time.Duration) {
	s, listed := f.instances[id]
	if e := f.exclusion(id); e != nil && (e.limit.named() || listed && f.cold(s, now)) {
		e.limit.deferredUntil = max(e.limit.deferredUntil, now+wait)
	}
}

// Load returns what the node knows of the requests at the instance of p, besides that of p.
func (f *Forecast) Load(p *Assignment, now time.Duration) ratelimit.Load {
	load := ratelimit.Load{
		Slots:          p.Instance.Slots,
		ReportedMillis: -1,
	}
	s, ok := f.instances[p.Instance.ID]
	if !ok {
		return load
	}
	load.Running = max(s.running-1, 0)
	if s.reportedAt >= 0 {
		load.Reported = s.reportedRunning + s.reportedWaiting
		load.ReportedMillis = (now - s.reportedAt).Milliseconds()
	}
	if e, ok := f.exclusions[p.Instance.ID]; ok && e.limit.brittle != nil {
		load.KnownMillis = (now - e.limit.brittleSince).Milliseconds()
	}
	return load
}
