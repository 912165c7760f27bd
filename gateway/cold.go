package gateway

import (
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// setColdStarts applies how the instances of a new configuration's services start.
func (d *dispatcher) setColdStarts(services []routing.Service) {
	starts := map[fleet.ServiceID]routing.ColdStart{}
	for _, s := range services {
		if s.ColdStart != nil {
			starts[s.ID] = *s.ColdStart
		}
	}
	d.Do(func() {
		d.coldStarts = starts
		now := clock.SinceBoot()
		for service, f := range d.forecasts {
			f.SetColdStart(d.coldStart(service), now)
		}
		d.logColdMarks()
	})
}

// coldStart returns how the instances of a service start, nil if they bear their full load at once.
func (d *dispatcher) coldStart(service fleet.ServiceID) *routing.ColdStart {
	if c, ok := d.coldStarts[service]; ok {
		return &c
	}
	return nil
}

// coldRead applies what a response says of how much longer its instance is cold.
func (d *dispatcher) coldRead(service fleet.ServiceID, p *placement.Assignment, r Response) {
	if r.ColdFor == 0 {
		return
	}
	d.Do(func() {
		d.forecast(service).MarkCold(p.Instance.ID, r.ColdFor, placement.ColdSaid, clock.SinceBoot())
		d.logColdMarks()
	})
}

// MarkDataCentreCold records that the instances of a data centre may have turned cold, as at the end of an
// evacuation.
func (s *Server) MarkDataCentreCold(dataCentre fleet.DataCentre) {
	s.dispatch.Do(func() {
		now := clock.SinceBoot()
		for _, f := range s.dispatch.forecasts {
			f.MarkDataCentreCold(dataCentre, 0, now)
		}
		s.dispatch.logColdMarks()
	})
}

// logColdMarks logs the instances that have turned cold since the last call.
func (d *dispatcher) logColdMarks() {
	for _, f := range d.forecasts {
		for _, mark := range f.TakeColdMarks() {
			d.cfg.log.Info(event.InstanceCold).
				Str("instance", string(mark.Instance.ID)).
				Str("service", string(mark.Instance.Service)).
				Str("dataCentre", string(mark.Instance.DataCentre)).
				Str("source", string(mark.Source)).
				Int64("forMillis", mark.For.Milliseconds()).
				Float64("perSecond", float64(d.coldStarts[mark.Instance.Service].Rate)).
				Msg("instance is cold; until then each request to it needs a permit of its owner")
		}
	}
}

// coldCount returns the number of cold instances.
func (d *dispatcher) coldCount() int {
	n := 0
	d.DoAndWait(func() {
		now := clock.SinceBoot()
		for _, f := range d.forecasts {
			n += f.ColdCount(now)
		}
	})
	return n
}
