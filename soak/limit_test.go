package soak

import (
	"slices"
	"time"
)

const (
	// limitRate is what an instance takes, in requests a second, while it names a limit.
	limitRate = 1
	limitTime = 18 * time.Second
	// limitWindow, limitSlack and toldBefore belong to the users' rule: from settleTime after an
	// instance first named its limit, in no window more than one and a half times what the limit
	// allows and limitSlack more, from VMs that were told at least toldBefore earlier.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	toldBefore  = 500 * time.Millisecond
)

// limitLog has what is known of the limit of one instance.
type limitLog struct {
	namedAt  time.Time
	told     map[string]time.Time
	arrivals []time.Time
}

// limitInstance lets an instance name a limit for some time.
func (h *harness) limitInstance() {
	rng := h.random(4)
	index := randomInstance(rng)
	if h.endedWithin(time.Second + time.Duration(rng.Int64N(int64(4*time.Second)))) {
		return
	}
	h.withInstance(index, func(in *instance) {
		h.t.Logf("seed %d: %s names a limit at %s", h.seed, in.id, h.elapsed())
		in.limited.Store(true)
		h.endedWithin(limitTime)
		in.limited.Store(false)
	})
}

// recordLimited records an arrival at an instance that names a limit. The caller holds mu.
func (a *audit) recordLimited(in *instance, r *request, now time.Time) {
	log, ok := a.limits[in.id]
	if !ok {
		log = &limitLog{
			namedAt: now,
			told:    map[string]time.Time{},
		}
		a.limits[in.id] = log
	}
	toldAt, told := log.told[r.entry.name]
	if !told {
		log.told[r.entry.name] = now
		return
	}
	calm := a.h.faultLog.faultFree(r.entry.name, now.Add(-settleTime), now)
	if calm && now.Sub(toldAt) >= toldBefore && now.Sub(log.namedAt) >= settleTime {
		log.arrivals = append(log.arrivals, now)
	}
}

// checkLimits checks the arrivals at all instances that have named a limit. The audit is locked.
func (a *audit) checkLimits() {
	most := int(1.5*limitRate*limitWindow.Seconds()) + limitSlack
	for id, log := range a.limits {
		slices.SortFunc(log.arrivals, time.Time.Compare)
		if n := len(log.arrivals); n > 1 {
			a.h.t.Logf("seed %d: %s takes %d requests a second and got %.1f from VMs without faults", a.h.seed, id, limitRate, float64(n-1)/log.arrivals[n-1].Sub(log.arrivals[0]).Seconds())
		}
		first := 0
		for i, at := range log.arrivals {
			for at.Sub(log.arrivals[first]) > limitWindow {
				first++
			}
			if n := i - first + 1; n > most {
				a.h.reportViolation("limits", "%s takes %d requests a second and got %d in %s, at most %d are allowed", id, limitRate, n, limitWindow, most)
				break
			}
		}
	}
}
