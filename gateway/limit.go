package gateway

import (
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/routing"
)

// HandleLimits implements controlclient.Watcher.
func (s *Server) HandleLimits(list ratelimit.List) {
	s.dispatch.setLimitReports(list.Reports)
}

// TakeLimits implements controlclient.Watcher.
func (s *Server) TakeLimits(first bool) []ratelimit.Report {
	return s.permits.takeReports(first, clock.SinceBoot())
}

// limitRead records the limit that a response names, or that it names none.
func (d *dispatcher) limitRead(service fleet.ServiceID, p *placement.Assignment, r Response) {
	d.Do(func() {
		now := clock.SinceBoot()
		f := d.forecast(service)
		if r.LimitUnreadable {
			d.logUnreadableLimit(p.Instance, f.RecordUnreadableLimit(p.Instance.ID))
			return
		}
		before := f.LimitReport(p.Instance, now)
		if !f.RecordLimit(p, r.Limit, r.Brittle, now) {
			return
		}
		report := f.LimitReport(p.Instance, now)
		if report.Differs(before) {
			d.logLimit(report, "response")
		}
		d.cfg.tellLimit(report, p.Instance.DataCentre)
	})
}

// setLimitReports applies the reports of other nodes that a control replica has passed on.
func (d *dispatcher) setLimitReports(reports []ratelimit.Report) {
	d.Do(func() {
		d.limitReports = reports
		d.limitsReceived = clock.SinceBoot()
		d.applyLimitReports()
	})
}

func (d *dispatcher) applyLimitReports() {
	for _, r := range d.limitReports {
		if d.forecast(r.Service).ApplyLimit(r, d.limitsReceived) {
			d.logLimit(r, "fleet")
		}
	}
}

// applyLimit applies what the owner of an instance knows of its limit.
func (d *dispatcher) applyLimit(r ratelimit.Report) {
	d.Do(func() {
		if d.forecast(r.Service).ApplyLimit(r, clock.SinceBoot()) {
			d.logLimit(r, "owner")
		}
	})
}

// logLimit logs that the limit of an instance has begun, ended or changed notably.
func (d *dispatcher) logLimit(r ratelimit.Report, source string) {
	line := d.cfg.log.Info(event.InstanceLimited).
		Str("instance", string(r.Instance)).
		Str("service", string(r.Service)).
		Str("source", source).
		Int64("ageMillis", r.AgeMillis)
	if r.Brittle != nil {
		line = line.Int("brittle", *r.Brittle)
	}
	if !r.Named() {
		line.Str("state", "ended").Msg("instance no longer limits its requests")
		return
	}
	if r.Limit != nil {
		line = line.Float64("perSecond", float64(*r.Limit))
	}
	line.Str("state", "named").
		Msg("instance limits the requests that it takes from all nodes together")
}

// logUnreadableLimit logs the first unreadable limit of a run of an instance.
func (d *dispatcher) logUnreadableLimit(instance routing.Instance, count int) {
	if count != 1 {
		return
	}
	d.cfg.log.Warn(event.InstanceLimited).
		Str("instance", string(instance.ID)).
		Str("service", string(instance.Service)).
		Str("state", "unreadable").
		Msg("instance names a limit that is no number; the last readable one stays in force")
}
