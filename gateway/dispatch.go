package gateway

import (
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/loop"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/retry"
	"github.com/waxwingreel/waxwingreel/routing"
)

// dispatchTick is only a safety net: all work of the dispatcher comes by Do.
const dispatchTick = time.Second

// retryMargin is the part of the shared retry budget that is used. The rest covers
// nodes that count their number differently for a moment.
const retryMargin = 0.8

// manyNodes stands for the number of nodes that share a limit until it is known: a part
// that is too small for a moment is better than the whole taken by each.
const manyNodes = 100

// dispatcher owns the forecasts and the retry budgets. Their state belongs to one
// goroutine.
type dispatcher struct {
	*loop.Loop
	cfg       dispatchConfig
	forecasts map[fleet.ServiceID]*placement.Forecast
	retries   map[fleet.ServiceID]*retry.Budget
	instances map[fleet.BackendServerID]routing.Instance
	listedAt  time.Duration
	// sharers is how many nodes share the retry budgets.
	sharers int
}

type dispatchConfig struct {
	dataCentre fleet.DataCentre
	seed       uint64
	// ratio and slack are the retry budget that all nodes share.
	ratio float64
	slack float64
	// keep returns how many idle connections to keep to an instance of a service.
	keep  func(fleet.ServiceID) int
	conns *backend.ConnPool
	log   *event.Log
}

func newDispatcher(cfg dispatchConfig) *dispatcher {
	d := &dispatcher{
		Loop:      loop.New(),
		cfg:       cfg,
		forecasts: map[fleet.ServiceID]*placement.Forecast{},
		retries:   map[fleet.ServiceID]*retry.Budget{},
		instances: map[fleet.BackendServerID]routing.Instance{},
		sharers:   manyNodes,
	}
	d.Start(dispatchTick, func() {}, func() {})
	return d
}

// setInstances puts a reading of the instance list in force.
func (d *dispatcher) setInstances(list control.InstanceList) {
	d.Do(func() {
		d.listedAt = clock.Boot() - time.Duration(list.AgeMillis)*time.Millisecond
		byService := map[fleet.ServiceID][]routing.Instance{}
		current := map[backend.Instance]int{}
		next := map[fleet.BackendServerID]routing.Instance{}
		for _, i := range list.Instances {
			byService[i.Service] = append(byService[i.Service], i)
			next[i.ID] = i
			current[target(i)] = d.cfg.keep(i.Service)
		}
		d.logChanges(next, list)
		d.instances = next
		for service := range d.forecasts {
			if _, listed := byService[service]; !listed {
				byService[service] = nil
			}
		}
		for service, instances := range byService {
			d.forecast(service).SetInstances(instances)
		}
		d.cfg.conns.SetIdleLimits(current)
	})
}

func target(i routing.Instance) backend.Instance {
	return backend.Instance{
		ID:      i.ID,
		Address: i.Address,
	}
}

// logChanges writes a line for each instance that came, began to leave or went.
func (d *dispatcher) logChanges(next map[fleet.BackendServerID]routing.Instance, list control.InstanceList) {
	for id, i := range next {
		if before, ok := d.instances[id]; ok && before == i {
			continue
		}
		d.cfg.log.Info(event.InstanceListed).
			Str("instance", string(id)).
			Str("service", string(i.Service)).
			Str("address", i.Address.String()).
			Str("dataCentre", string(i.DataCentre)).
			Bool("leaving", i.Draining).
			Str("reader", string(list.Reader)).
			Int64("ageMillis", list.AgeMillis).
			Msg("instance is listed")
	}
	for id, i := range d.instances {
		if _, ok := next[id]; !ok {
			d.cfg.log.Info(event.InstanceGone).
				Str("instance", string(id)).
				Str("service", string(i.Service)).
				Str("reader", string(list.Reader)).
				Int64("ageMillis", list.AgeMillis).
				Msg("instance is no longer listed")
		}
	}
}

func (d *dispatcher) forecast(service fleet.ServiceID) *placement.Forecast {
	f, ok := d.forecasts[service]
	if !ok {
		f = placement.NewForecast(placement.ForecastConfig{
			DataCentre: d.cfg.dataCentre,
			Seed:       d.cfg.seed,
		})
		d.forecasts[service] = f
	}
	return f
}

// budget returns this node's part of a service's retry budget.
func (d *dispatcher) budget(service fleet.ServiceID) *retry.Budget {
	b, ok := d.retries[service]
	if !ok {
		b = retry.New(retry.Config{
			Ratio: d.cfg.ratio * retryMargin,
			Burst: d.burst(),
		})
		d.retries[service] = b
	}
	return b
}

// burst is the part of the shared slack that this node may use at once.
func (d *dispatcher) burst() float64 {
	return d.cfg.slack * retryMargin / float64(d.sharers)
}

// share takes in how many nodes share the retry budgets.
func (d *dispatcher) share(nodes int) {
	d.Do(func() {
		d.sharers = nodes
		for _, b := range d.retries {
			b.SetBurst(d.burst())
		}
	})
}

// pick chooses an instance. The first choice for a request counts it towards the
// retry budget. It also returns the age of the list of instances. What was placed is
// changed by the dispatcher's goroutine; others read only its exported fields.
func (d *dispatcher) pick(service fleet.ServiceID, r placement.ForecastRequest, first bool) (placed *placement.Assignment, listAge time.Duration, ok bool) {
	d.DoAndWait(func() {
		now := clock.Boot()
		if first {
			d.budget(service).Request()
		}
		var p placement.Assignment
		p, ok = d.forecast(service).Pick(r, now)
		placed = &p
		listAge = now - d.listedAt
	})
	return placed, listAge, ok
}

// reconsider chooses again, knowing what other nodes have the chosen instance read.
func (d *dispatcher) reconsider(service fleet.ServiceID, p *placement.Assignment, r placement.ForecastRequest, others fleet.Tokens) (placed *placement.Assignment, ok bool) {
	d.DoAndWait(func() {
		now := clock.Boot()
		f := d.forecast(service)
		f.Learn(p.Instance.ID, others, now)
		f.Undo(p, now)
		r.Current = p.Instance.ID
		var next placement.Assignment
		next, ok = f.Pick(r, now)
		placed = &next
	})
	return placed, ok
}

// mayRetry takes one retry from the budget.
func (d *dispatcher) mayRetry(service fleet.ServiceID) bool {
	may := false
	d.DoAndWait(func() { may = d.budget(service).Retry() })
	return may
}

// mayReplace reports whether an attempt that has no answer yet is to be given up for
// another: its instance has said nothing at all since the attempt began, another one
// is usable, and the retry budget allows it.
func (d *dispatcher) mayReplace(service fleet.ServiceID, p *placement.Assignment) bool {
	may := false
	d.DoAndWait(func() {
		f := d.forecast(service)
		now := clock.Boot()
		may = f.Silent(p) && f.Usable(now) > 1 && d.budget(service).Retry()
	})
	return may
}

// began takes in the first byte of an answer and the load that came with it.
func (d *dispatcher) began(service fleet.ServiceID, p *placement.Assignment, load *Load) {
	d.Do(func() {
		now := clock.Boot()
		f := d.forecast(service)
		f.Began(p, now)
		if load != nil {
			f.Report(p.Instance.ID, load.Running, load.Waiting, now)
		}
	})
}

// done ends an attempt.
func (d *dispatcher) done(service fleet.ServiceID, p *placement.Assignment, outcome placement.Outcome) {
	if outcome == placement.OutcomeFailed || outcome == placement.OutcomeDraining {
		d.cfg.conns.Retire(target(p.Instance))
	}
	d.Do(func() { d.forecast(service).Done(p, outcome, clock.Boot()) })
}
