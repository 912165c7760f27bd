package gateway

import (
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/loop"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/retry"
	"github.com/waxwingreel/waxwingreel/routing"
)

// dispatchInterval is the loop's tick, which does nothing: all work is queued by Do and
// DoAndWait.
const dispatchInterval = time.Second

// retryBudgetFraction is the fraction of the shared retry budget that is used. The rest
// covers short periods in which nodes disagree on the number of entry nodes.
const retryBudgetFraction = 0.8

// assumedNodes is the number of entry nodes assumed until it is known. With too high a
// number each node's share is too small for a moment; with too low a number the nodes
// together would exceed the shared limit.
const assumedNodes = 100

// dispatcher owns the placement forecasts and the retry budgets. Their state is accessed
// only by the loop's goroutine.
type dispatcher struct {
	*loop.Loop
	cfg          dispatchConfig
	forecasts    map[fleet.ServiceID]*placement.Forecast
	retryBudgets map[fleet.ServiceID]*retry.Budget
	instances    map[fleet.BackendServerID]routing.Instance
	listedAt     time.Duration
	// entryNodes is the number of nodes that share the retry budgets.
	entryNodes int
	// limitReports are the latest reports of other nodes on limits. They are applied again to each
	// new list, since an instance may be listed after the report on it has come.
	limitReports   []ratelimit.Report
	limitsReceived time.Duration
	coldStarts     map[fleet.ServiceID]routing.ColdStart
	// evacuated are the data centres whose instances get no requests, clearing those among them in which
	// requests of this node still run.
	evacuated evacuation.List
	clearing  map[fleet.DataCentre]bool
}

type dispatchConfig struct {
	dataCentre fleet.DataCentre
	seed       uint64
	// retryRatio and retrySlack define the retry budget that all nodes share.
	retryRatio float64
	retrySlack float64
	// idleConnLimit returns how many idle connections to keep to an instance of a
	// service.
	idleConnLimit func(fleet.ServiceID) int
	conns         *backend.ConnPool
	// tellLimit passes what a response says of a limit on to other nodes. It must not block.
	tellLimit func(ratelimit.Report, fleet.DataCentre)
	log       *event.Log
}

func newDispatcher(cfg dispatchConfig) *dispatcher {
	d := &dispatcher{
		Loop:         loop.New(),
		cfg:          cfg,
		forecasts:    map[fleet.ServiceID]*placement.Forecast{},
		retryBudgets: map[fleet.ServiceID]*retry.Budget{},
		instances:    map[fleet.BackendServerID]routing.Instance{},
		entryNodes:   assumedNodes,
	}
	d.Panicked = cfg.log.Panicked("placement")
	d.Start(dispatchInterval, func() {}, func() {})
	return d
}

// setInstances applies a newly read instance list.
func (d *dispatcher) setInstances(list control.InstanceList) {
	d.Do(func() {
		now := clock.SinceBoot()
		d.listedAt = now - time.Duration(list.AgeMillis)*time.Millisecond
		byService := map[fleet.ServiceID][]routing.Instance{}
		current := map[backend.Instance]int{}
		next := map[fleet.BackendServerID]routing.Instance{}
		for _, i := range list.Instances {
			byService[i.Service] = append(byService[i.Service], i)
			next[i.ID] = i
			current[backendInstance(i)] = d.cfg.idleConnLimit(i.Service)
		}
		d.logListChanges(next, list)
		d.instances = next
		for service := range d.forecasts {
			if _, listed := byService[service]; !listed {
				byService[service] = nil
			}
		}
		for service, instances := range byService {
			d.forecast(service).SetInstances(instances, now)
		}
		d.logColdMarks()
		d.applyLimitReports()
		d.cfg.conns.SetIdleLimits(current)
	})
}

func backendInstance(i routing.Instance) backend.Instance {
	return backend.Instance{
		ID:      i.ID,
		Address: i.Address,
	}
}

// logListChanges logs each instance that was added, changed or removed.
func (d *dispatcher) logListChanges(next map[fleet.BackendServerID]routing.Instance, list control.InstanceList) {
	for id, i := range next {
		if previous, ok := d.instances[id]; ok && previous == i {
			continue
		}
		d.cfg.log.Info(event.InstanceListed).
			Str("instance", string(id)).
			Str("service", string(i.Service)).
			Str("address", i.Address.String()).
			Str("dataCentre", string(i.DataCentre)).
			Str("software", string(i.Software)).
			Bool("leaving", i.Draining).
			Str("reader", string(list.Reader)).
			Int64("ageMillis", list.AgeMillis).
			Msg("instance added to the list or changed")
	}
	for id, i := range d.instances {
		if _, ok := next[id]; !ok {
			d.cfg.log.Info(event.InstanceGone).
				Str("instance", string(id)).
				Str("service", string(i.Service)).
				Str("reader", string(list.Reader)).
				Int64("ageMillis", list.AgeMillis).
				Msg("instance removed from the list")
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
		f.SetColdStart(d.coldStart(service), clock.SinceBoot())
		f.SetEvacuated(d.evacuated)
		d.forecasts[service] = f
	}
	return f
}

// retryBudget returns this node's share of a service's retry budget.
func (d *dispatcher) retryBudget(service fleet.ServiceID) *retry.Budget {
	b, ok := d.retryBudgets[service]
	if !ok {
		b = retry.New(retry.Config{
			Ratio: d.cfg.retryRatio * retryBudgetFraction,
			Burst: d.retryBurst(),
		})
		d.retryBudgets[service] = b
	}
	return b
}

// retryBurst returns this node's share of the slack.
func (d *dispatcher) retryBurst() float64 {
	return d.cfg.retrySlack * retryBudgetFraction / float64(d.entryNodes)
}

// setEntryNodes sets the number of nodes that share the retry budgets.
func (d *dispatcher) setEntryNodes(nodes int) {
	d.Do(func() {
		d.entryNodes = nodes
		for _, b := range d.retryBudgets {
			b.SetBurst(d.retryBurst())
		}
	})
}

// pick chooses an instance and returns it with the age of the instance list. If first is
// set, the request is added to the count on which the retry budget depends. The
// dispatcher's goroutine modifies placed; other goroutines may read only its exported
// fields.
func (d *dispatcher) pick(service fleet.ServiceID, r placement.ForecastRequest, first bool) (placed *placement.Assignment, listAge time.Duration, ok bool) {
	d.DoAndWait(func() {
		now := clock.SinceBoot()
		if first {
			d.retryBudget(service).Request()
		}
		var p placement.Assignment
		p, ok = d.forecast(service).Pick(r, now)
		placed = &p
		listAge = now - d.listedAt
	})
	return placed, listAge, ok
}

// reconsider undoes the choice p and chooses again, given what the owner of p's instance has answered to a
// claim.
func (d *dispatcher) reconsider(service fleet.ServiceID, p *placement.Assignment, r placement.ForecastRequest, response ClaimResponse) (placed *placement.Assignment, ok bool) {
	d.DoAndWait(func() {
		now := clock.SinceBoot()
		f := d.forecast(service)
		f.SetClaimedByOthers(p.Instance.ID, response.Others, now)
		f.SetSpeeds(response.Speeds, now)
		f.Undo(p, now)
		r.Current = p.Instance.ID
		var next placement.Assignment
		next, ok = f.Pick(r, now)
		placed = &next
	})
	return placed, ok
}

// takeRetry takes one retry from the service's budget and reports whether one was left.
func (d *dispatcher) takeRetry(service fleet.ServiceID) bool {
	allowed := false
	d.DoAndWait(func() { allowed = d.retryBudget(service).Retry() })
	return allowed
}

// takeReplacement reports whether to replace an attempt that has no response yet: its
// instance has responded to no request since the attempt started, another instance is usable,
// and the retry budget has a retry left, which is taken.
func (d *dispatcher) takeReplacement(service fleet.ServiceID, p *placement.Assignment, origin *routing.Origin) bool {
	allowed := false
	d.DoAndWait(func() {
		f := d.forecast(service)
		now := clock.SinceBoot()
		allowed = f.Unresponsive(p) && f.Usable(origin, now) > 1 && d.retryBudget(service).Retry()
	})
	return allowed
}

// responseStarted records the first byte of a response and the load reported with it.
func (d *dispatcher) responseStarted(service fleet.ServiceID, p *placement.Assignment, load *Load) {
	d.Do(func() {
		now := clock.SinceBoot()
		f := d.forecast(service)
		f.RecordFirstByte(p, now)
		if load != nil {
			f.Report(p.Instance.ID, load.Running, load.Waiting, now)
		}
	})
}

// attemptEnded records an attempt's outcome. After a failure, or if the instance is
// draining, its connections are retired.
func (d *dispatcher) attemptEnded(service fleet.ServiceID, p *placement.Assignment, outcome placement.Outcome) {
	if outcome == placement.OutcomeFailed || outcome == placement.OutcomeDraining {
		d.cfg.conns.Retire(backendInstance(p.Instance))
	}
	d.Do(func() {
		d.forecast(service).Finish(p, outcome, clock.SinceBoot())
		if outcome == placement.OutcomeFailed {
			d.logColdMarks()
		}
		d.logCleared(p.Instance.DataCentre)
	})
}

// responseRead applies what the header of a response says of its instance: that it leaves, that
// it takes no requests for some time, or how many it takes.
func (d *dispatcher) responseRead(service fleet.ServiceID, p *placement.Assignment, r Response) {
	if !r.OtherInstance {
		d.limitRead(service, p, r)
		d.coldRead(service, p, r)
	}
	if !r.Leaving && r.RetryAfter == 0 {
		return
	}
	if r.Leaving {
		d.cfg.conns.Retire(backendInstance(p.Instance))
	}
	d.Do(func() {
		f := d.forecast(service)
		if r.Leaving && f.MarkLeaving(p.Instance.ID) {
			d.cfg.log.Info(event.InstanceLeaving).
				Str("instance", string(p.Instance.ID)).
				Str("service", string(service)).
				Msg("instance says that it leaves; it gets no new requests")
		}
		if r.RetryAfter > 0 && f.MarkFull(p.Instance.ID, r.RetryAfter, clock.SinceBoot()) {
			d.cfg.log.Info(event.InstanceFull).
				Str("instance", string(p.Instance.ID)).
				Str("service", string(service)).
				Int64("retryAfterMillis", r.RetryAfter.Milliseconds()).
				Msg("instance says that it is full; it gets no new requests for that time")
		}
	})
}

// fullFor returns the time until the first instance of a service takes requests again, and how many
// are full for want of permits. Both are 0 unless all that may continue a stream of the origin are full.
func (d *dispatcher) fullFor(service fleet.ServiceID, origin *routing.Origin) (wait time.Duration, limited int) {
	d.DoAndWait(func() { wait, limited = d.forecast(service).FullFor(origin, clock.SinceBoot()) })
	return wait, limited
}

// serves reports whether an instance in the list may continue the streams of an origin.
func (d *dispatcher) serves(origin routing.Origin) bool {
	serves := false
	d.DoAndWait(func() { serves = d.forecast(origin.Service).Serves(origin, clock.SinceBoot()) })
	return serves
}

// maySend reports whether an instance that was chosen before may still be sent the request, for which
// there may be a permit.
func (d *dispatcher) maySend(service fleet.ServiceID, p *placement.Assignment, permitted bool) bool {
	may := false
	d.DoAndWait(func() { may = d.forecast(service).MaySend(p, permitted, clock.SinceBoot()) })
	return may
}
