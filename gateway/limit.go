package gateway

import (
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
)

// limitRead records the limit that a response names, or that it names none.
func (d *dispatcher) limitRead(service fleet.ServiceID, p *placement.Assignment, r Response) {
	d.Do(func() {
		f := d.forecast(service)
		if r.LimitUnreadable {
			if count := f.RecordUnreadableLimit(p.Instance.ID); count == 1 {
				d.cfg.log.Warn(event.InstanceLimited).
					Str("instance", string(p.Instance.ID)).
					Str("service", string(service)).
					Int("unreadable", count).
					Msg("instance names a limit that is no number")
			}
			return
		}
		if f.RecordLimit(p, r.Limit, clock.SinceBoot()) {
			d.logLimit(service, p.Instance.ID, f.Limit(p.Instance.ID))
		}
	})
}

// logLimit logs that an instance has named a limit or no longer names one.
func (d *dispatcher) logLimit(service fleet.ServiceID, id fleet.BackendServerID, limit *placement.Limit) {
	if limit == nil {
		d.cfg.log.Info(event.InstanceLimited).
			Str("instance", string(id)).
			Str("service", string(service)).
			Str("state", "ended").
			Msg("instance no longer limits its requests")
		return
	}
	d.cfg.log.Info(event.InstanceLimited).
		Str("instance", string(id)).
		Str("service", string(service)).
		Str("state", "named").
		Float64("perSecond", float64(limit.Rate)).
		Msg("instance limits the requests that it takes from all nodes together")
}
