package soak

import (
	"fmt"
	"time"
)

const (
	// deadlyBody is the body of a request that crashes each plain instance that runs it.
	deadlyBody     = "deadly"
	deadlyInterval = 150 * time.Millisecond
	deadlyTime     = 10 * time.Second
	deadlyDown     = 1500 * time.Millisecond
	// Later than settleTime after the third crash, at most maxDeadlyRepeats may reach instances.
	maxDeadlyRepeats = 3
)

// repeatDeadly has a caller send the same deadly request again and again, in half of the runs.
func (h *harness) repeatDeadly() {
	rng := h.random(5)
	starts := time.Second + time.Duration(rng.Int64N(int64(faultPhase)))
	if rng.IntN(2) == 0 || h.endedWithin(starts) {
		return
	}
	h.t.Logf("seed %d: a deadly request comes from %s on", h.seed, h.elapsed())
	c := &caller{
		h:   h,
		rng: rng,
	}
	defer c.disconnect()
	ws := workspaces[0].name
	for n := 0; n < int(deadlyTime/deadlyInterval) && !h.endedWithin(deadlyInterval); n++ {
		if !c.connect() {
			continue
		}
		c.exchange(&request{
			id:        fmt.Sprintf("%d-deadly-%d", h.seed, n),
			kind:      kindLookup,
			target:    "/lookup/x/deadly",
			body:      deadlyBody,
			workspace: ws,
			key:       keyOf(ws),
			entry:     c.entry,
			timeout:   onceTimeout,
			attempts:  2,
		}, false)
	}
}

// crashOn crashes an instance that runs the deadly request, and starts another in its place.
func (in *instance) crashOn(r *request) {
	h := in.h
	go func() {
		defer h.faultLog.record(instanceName(in.index))()
		in.stop()
		time.Sleep(deadlyDown)
		h.startInstance(in.service, in.index)
	}()
	h.audit.mu.Lock()
	defer h.audit.mu.Unlock()
	now := time.Now()
	h.audit.deadlyCrashes = append(h.audit.deadlyCrashes, now)
	if n := len(h.audit.deadlyCrashes); n <= 3 || now.Sub(h.audit.deadlyCrashes[2]) <= settleTime {
		return
	}
	if !h.faultLog.faultFree(r.entry.name, now.Add(-settleTime), now) {
		return
	}
	h.audit.deadlyRepeats++
	if h.audit.deadlyRepeats > maxDeadlyRepeats {
		h.reportViolation("deadly requests", "request %s of %s reached %s, the %d. after three crashes", r.id, r.entry.name, in.id, h.audit.deadlyRepeats)
	}
}
