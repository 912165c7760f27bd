package gateway

import (
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// HandleEvacuations implements controlclient.Watcher. Requests that are placed after it has returned are not
// placed in an evacuated data centre.
func (s *Server) HandleEvacuations(list evacuation.List) {
	s.paths.setEvacuated(list)
	s.dispatch.setEvacuated(list)
}

// setEvacuated sets the data centres whose instances get no requests.
func (d *dispatcher) setEvacuated(list evacuation.List) {
	d.Do(func() {
		if list.Number < d.evacuated.Number {
			return
		}
		d.markReturned(list)
		d.evacuated = list
		for _, f := range d.forecasts {
			f.SetEvacuated(list)
		}
		d.clearing = map[fleet.DataCentre]bool{}
		for _, dataCentre := range list.DataCentres {
			d.clearing[dataCentre] = true
			d.logCleared(dataCentre)
		}
	})
}

// markReturned records that the instances of data centres whose evacuation ends with the next list may have
// turned cold.
func (d *dispatcher) markReturned(next evacuation.List) {
	now := clock.SinceBoot()
	for _, dataCentre := range d.evacuated.DataCentres {
		if next.Has(dataCentre) {
			continue
		}
		for _, f := range d.forecasts {
			f.MarkDataCentreCold(dataCentre, 0, now)
		}
	}
	d.logColdMarks()
}

// running returns this node's unfinished requests in each data centre.
func (d *dispatcher) running() map[fleet.DataCentre]int {
	counts := map[fleet.DataCentre]int{}
	for _, f := range d.forecasts {
		f.Running(counts)
	}
	return counts
}

// logCleared logs that no request of this node runs in an evacuated data centre any more.
func (d *dispatcher) logCleared(dataCentre fleet.DataCentre) {
	if !d.clearing[dataCentre] || d.running()[dataCentre] > 0 {
		return
	}
	delete(d.clearing, dataCentre)
	d.cfg.log.Info(event.EvacuationCleared).
		Str("dataCentre", string(dataCentre)).
		Uint64("number", d.evacuated.Number).
		Msg("no request of this node runs in the evacuated data centre any more")
}

// isEvacuated reports whether all instances that could take a request are in evacuated data centres.
func (d *dispatcher) isEvacuated(service fleet.ServiceID, origin *routing.Origin) bool {
	evacuated := false
	d.DoAndWait(func() { evacuated = d.forecast(service).Evacuated(origin, clock.SinceBoot()) })
	return evacuated
}

// reportEvacuation reports the gauges of evacuations.
func (d *dispatcher) reportEvacuation(gauge func(name string, value float64)) {
	evacuated, running := 0, 0
	d.DoAndWait(func() {
		counts := d.running()
		evacuated = len(d.evacuated.DataCentres)
		for _, dataCentre := range d.evacuated.DataCentres {
			running += counts[dataCentre]
		}
	})
	gauge("data_centres_evacuated", float64(evacuated))
	gauge("evacuated_requests_running", float64(running))
}

// setEvacuated sets the data centres whose instances are not probed while there are others: they may be
// switched off.
func (p *paths) setEvacuated(list evacuation.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Number >= p.evacuated.Number {
		p.evacuated = list
	}
}

// mayProbe returns the instances to probe. The caller holds mu.
func (p *paths) mayProbe() []routing.Instance {
	var known, rest []routing.Instance
	for _, i := range p.instances {
		if p.services != nil && !p.services[i.Service] {
			continue
		}
		known = append(known, i)
		if !p.evacuated.Has(i.DataCentre) {
			rest = append(rest, i)
		}
	}
	if len(rest) == 0 {
		return known
	}
	return rest
}

// endRevokedAttempt ends an attempt whose instance stopped taking requests while the request waited
// for a connection. It tells nothing of the instance.
func (x *exchange) endRevokedAttempt(placed *placement.Assignment, err error) (attemptResult, error) {
	if x.outdated() {
		return x.endOutdatedAttempt(placed, err)
	}
	x.attemptEnded(placed, placement.OutcomeNeutral)
	return resultNotSent, err
}
