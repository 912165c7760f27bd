package placement

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// absenceOfOldRun is how long an instance must be missing from the lists until one of the
	// same id and address counts as another run of the server, if the list does not tell when
	// it started. A shorter absence may be a list that was read while it changed.
	absenceOfOldRun = 2 * time.Second
	// exclusionTTL is how long an exclusion is kept after its instance left the list.
	exclusionTTL = 10 * time.Minute
)

// exclusion is what one run of an instance has said of itself. It is kept apart from the list of
// instances, which lags behind: no list that still has the instance as ready, or that lacks it
// for a moment, may undo it.
type exclusion struct {
	run routing.Instance
	// leaving is set once the instance has said that it leaves. It holds until another run of
	// the server is seen.
	leaving bool
	// fullUntil is when the instance takes requests again, as it said when it refused one.
	fullUntil time.Duration
	limit     instanceLimit
	// absentSince is when the instance left the list, negative while it is listed.
	absentSince time.Duration
}

// rejects reports whether the instance has said that it takes no requests now.
func (e *exclusion) rejects(now time.Duration) bool {
	return e.leaving || now < e.fullUntil
}

// opensAt returns when the instance may be chosen again, unless it leaves.
func (e *exclusion) opensAt() time.Duration {
	return max(e.fullUntil, e.limit.deferredUntil)
}

// supersededBy reports whether an instance in the list is a later run of the server.
func (e *exclusion) supersededBy(listed routing.Instance, now time.Duration) bool {
	switch {
	case listed.Address != e.run.Address:
		return true
	case listed.Born != 0 && e.run.Born != 0:
		return listed.Born != e.run.Born
	}
	return !listed.Draining && e.absentSince >= 0 && now-e.absentSince >= absenceOfOldRun
}

// updateExclusions applies a new list: it drops the exclusions of earlier runs, and those of
// instances that left the list long ago.
func (f *Forecast) updateExclusions(now time.Duration) {
	for id, e := range f.exclusions {
		s, listed := f.instances[id]
		switch {
		case listed && e.supersededBy(s.instance, now):
			delete(f.exclusions, id)
		case listed:
			e.absentSince = -1
		case e.absentSince < 0:
			e.absentSince = now
		case now-e.absentSince > exclusionTTL:
			delete(f.exclusions, id)
		}
	}
}

// exclusion returns the exclusion of a listed instance, a new one if it has none. It returns nil
// if the instance is not listed.
func (f *Forecast) exclusion(id fleet.BackendServerID) *exclusion {
	e, ok := f.exclusions[id]
	if ok {
		return e
	}
	s, listed := f.instances[id]
	if !listed {
		return nil
	}
	e = &exclusion{
		run:         s.instance,
		absentSince: -1,
	}
	f.exclusions[id] = e
	return e
}

// excluded reports whether an instance has said that it takes no requests now, or there is no permit
// for one.
func (f *Forecast) excluded(id fleet.BackendServerID, now time.Duration) bool {
	e, ok := f.exclusions[id]
	return ok && (e.leaving || now < e.opensAt())
}

// MarkLeaving records that an instance has said that it leaves. Pick does not choose it again
// until the list has another run of the server. It reports whether that was new.
func (f *Forecast) MarkLeaving(id fleet.BackendServerID) bool {
	e := f.exclusion(id)
	if e == nil || e.leaving {
		return false
	}
	e.leaving = true
	return true
}

// MarkFull records that an instance takes no requests for the given time, as it said when it
// refused one. It counts as full, not as failing. It reports whether it was not full before.
func (f *Forecast) MarkFull(id fleet.BackendServerID, wait, now time.Duration) bool {
	e := f.exclusion(id)
	if e == nil {
		return false
	}
	wasFull := now < e.fullUntil
	e.fullUntil = max(e.fullUntil, now+wait)
	return !wasFull
}

// FullFor returns the time until the first instance takes requests again, and how many of them are
// full for want of permits. Both are 0 unless all instances that stay are full. With an origin only the
// instances count that may continue its streams.
func (f *Forecast) FullFor(origin *routing.Origin, now time.Duration) (first time.Duration, limited int) {
	for _, s := range f.instances {
		e, ok := f.exclusions[s.instance.ID]
		switch {
		case !s.stays(now) || ok && e.leaving || !admits(origin, s.instance):
			continue
		case !ok || now >= e.opensAt():
			return 0, 0
		case first == 0 || e.opensAt()-now < first:
			first = e.opensAt() - now
		}
		if now < e.limit.deferredUntil {
			limited++
		}
	}
	return first, limited
}

// Serves reports whether an instance that stays in the list may continue the streams of an origin,
// now or after a while.
func (f *Forecast) Serves(origin routing.Origin, now time.Duration) bool {
	for _, s := range f.instances {
		e, ok := f.exclusions[s.instance.ID]
		if s.stays(now) && !(ok && e.leaving) && origin.Admits(s.instance) {
			return true
		}
	}
	return false
}

// MaySend reports whether a request that was assigned to an instance may still be sent there: the
// instance is listed and not draining, has not said that it takes no requests now, and has neither named a
// limit nor turned cold since, unless there is a permit for the request.
func (f *Forecast) MaySend(p *Assignment, permitted bool, now time.Duration) bool {
	s, ok := f.instances[p.Instance.ID]
	if !ok || !s.stays(now) {
		return false
	}
	if !permitted && f.cold(s, now) {
		return false
	}
	e, ok := f.exclusions[p.Instance.ID]
	return !ok || !e.rejects(now) && (permitted || !e.limit.named())
}
