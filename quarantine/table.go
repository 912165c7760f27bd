package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Table judges the evidence of a fleet. It is a pure state machine; all times are on the caller's
// clock. Its zero value is empty and ready for use. It is not safe for concurrent use.
type Table struct {
	records map[Key]*record
	changes uint64
}

// record is what is known of one part.
type record struct {
	// crashes are the crashes since the last completed response, the oldest first.
	crashes []crash
	// soundAt is when a response on the part was last completed, judgedAt the time of the last
	// crash that a suspension covers. Both are 0 if there is none.
	soundAt  time.Duration
	judgedAt time.Duration
	// watchedSince is 0 if the part is not watched.
	watchedSince time.Duration
	// period is the length of the last suspension and until its end, both 0 if there was none.
	period     time.Duration
	until      time.Duration
	releasedAt time.Duration
	touchedAt  time.Duration
}

// crash is one or more crashes at about the same time.
type crash struct {
	engines []crashedEngine
	at      time.Duration
	// later are the parts that follow in the prompts of the requests.
	later []Key
	// perEngine is set if crashes of different engines count as different ones, however close.
	perEngine bool
}

// crashedEngine is an engine of a crash.
type crashedEngine struct {
	id fleet.BackendServerID
	// begun is set if the engine had begun to respond, gone if it refused connections afterwards.
	begun, gone bool
}

// sameAs reports whether two crashes are at the same moment.
func (c crash) sameAs(other crash) bool {
	if (other.at - c.at).Abs() >= crashSpacing {
		return false
	}
	return !c.perEngine || other.engines[0].id == c.engines[0].id
}

// add adds an engine that crashed at the same moment. Nodes observe the crash of one engine each.
func (c *crash) add(engine crashedEngine) {
	i := slices.IndexFunc(c.engines, func(known crashedEngine) bool { return known.id == engine.id })
	switch {
	case i >= 0:
		c.engines[i].begun = c.engines[i].begun || engine.begun
		c.engines[i].gone = c.engines[i].gone || engine.gone
	case len(c.engines) < togetherToSuspend:
		c.engines = append(c.engines, engine)
	}
}

// maxCrashes bounds the crashes that are kept of one part.
const maxCrashes = 8

// Changes counts the changes of the notices.
func (t *Table) Changes() uint64 {
	return t.changes
}

// Add records evidence that was AgeMillis old at time now.
func (t *Table) Add(e Evidence, now time.Duration) {
	suspects := e.Parts[max(0, len(e.Parts)-maxSuspects):]
	at := now - millis(e.AgeMillis)
	var later []Key
	for i, suspect := range slices.Backward(suspects) {
		key := Key{
			Service: e.Service,
			Part:    suspect.Part,
		}
		r := t.record(key, now)
		if r == nil {
			continue
		}
		if e.Engine == "" {
			t.completed(r, at, now)
			continue
		}
		if suspect.SoundAgeMillis >= 0 {
			t.completed(r, now-millis(suspect.SoundAgeMillis), now)
		}
		if at > r.soundAt {
			r.addCrash(crash{
				engines: []crashedEngine{{
					id:    e.Engine,
					begun: e.Begun,
					gone:  e.Gone,
				}},
				at:    at,
				later: slices.Clone(later),
			})
			t.judge(r, now)
		}
		if i < len(suspects)-1 {
			later = append(later, key)
		}
	}
	t.addIdentity(e, at, now)
}

// addIdentity records a crash against the identity of the request.
func (t *Table) addIdentity(e Evidence, at, now time.Duration) {
	if e.Identity == nil || e.Engine == "" {
		return
	}
	r := t.record(Key{
		Service: e.Service,
		Part:    e.Identity.Part,
	}, now)
	if r == nil {
		return
	}
	if e.Identity.SoundAgeMillis >= 0 {
		t.completed(r, now-millis(e.Identity.SoundAgeMillis), now)
	}
	if at <= r.soundAt {
		return
	}
	r.addCrash(crash{
		engines: []crashedEngine{{
			id:    e.Engine,
			begun: e.Begun || e.Gone,
		}},
		at:        at,
		perEngine: true,
	})
	t.judge(r, now)
}

// addCrash adds a crash, unless one at about the same time is known.
func (r *record) addCrash(c crash) {
	near := slices.IndexFunc(r.crashes, c.sameAs)
	if near >= 0 {
		known := &r.crashes[near]
		known.add(c.engines[0])
		if len(known.later) < maxSuspects {
			known.later = append(known.later, c.later...)
		}
		return
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	if extra := len(r.crashes) - maxCrashes; extra > 0 {
		r.crashes = slices.Delete(r.crashes, 0, extra)
	}
}

// record returns the record of a part, which is new if there was none. It returns nil if the table
// is full of parts that are watched or suspended.
func (t *Table) record(key Key, now time.Duration) *record {
	if t.records == nil {
		t.records = map[Key]*record{}
	}
	r, ok := t.records[key]
	if !ok {
		if len(t.records) >= maxParts && !t.evict() {
			return nil
		}
		r = &record{}
		t.records[key] = r
	}
	r.touchedAt = now
	return r
}

// evict removes the part that was idle for longest and is not watched. It returns false if there
// is none.
func (t *Table) evict() bool {
	oldest, found := Key{}, false
	for key, r := range t.records {
		if r.watchedSince == 0 && (!found || r.touchedAt < t.records[oldest].touchedAt) {
			oldest, found = key, true
		}
	}
	delete(t.records, oldest)
	return found
}

// completed records a completed response, after which earlier crashes no longer count.
func (t *Table) completed(r *record, at, now time.Duration) {
	if at <= r.soundAt {
		return
	}
	r.soundAt = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.at <= at })
	if r.watchedSince == 0 || len(r.crashes) >= crashesToWatch {
		return
	}
	r.watchedSince = 0
	r.period = 0
	r.until = 0
	r.releasedAt = now
	t.changes++
}

// judgePart applies what is due for one part.
func (t *Table) judgePart(key Key, now time.Duration) {
	if r, ok := t.records[key]; ok {
		t.judge(r, now)
	}
}

// judge starts to watch or suspends a part, if the crashes call for it.
func (t *Table) judge(r *record, now time.Duration) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now-c.at > max(crashTTL, 3*r.period) })
	if r.watchedSince == 0 && len(r.crashes) >= crashesToWatch {
		r.watchedSince = now
		r.releasedAt = 0
		t.changes++
	}
	if r.watchedSince == 0 || now-r.watchedSince < objectionTime || !suffices(r.crashes) || !suffices(t.unexplained(r)) {
		return
	}
	last := r.crashes[len(r.crashes)-1].at
	if last <= r.judgedAt {
		return
	}
	r.judgedAt = last
	if now < r.until {
		// The request had been sent before the part was suspended.
		return
	}
	r.period = min(max(2*r.period, firstPeriod), maxPeriod)
	r.until = now + r.period
	t.changes++
}

// unexplained returns the crashes of a part without those of requests that hold a later part whose
// own crashes suffice.
func (t *Table) unexplained(r *record) []crash {
	var rest []crash
	for _, c := range r.crashes {
		explained := slices.ContainsFunc(c.later, func(key Key) bool {
			later, ok := t.records[key]
			return ok && suffices(later.crashes)
		})
		if !explained {
			rest = append(rest, c)
		}
	}
	return rest
}

// suffices reports whether crashes are enough to suspend a part: at enough moments, or of enough engines, since requests with the
// part may come together. A single moment never suffices. A rack or a network may break many engines at once, and responses that
// are completed before the next moment clear the part.
func suffices(crashes []crash) bool {
	begun, certain, engines := 0, 0, map[fleet.BackendServerID]bool{}
	for _, c := range crashes {
		begins := false
		for _, engine := range c.engines {
			engines[engine.id] = true
			begins = begins || engine.begun
			if engine.begun || engine.gone {
				certain++
			}
		}
		if begins {
			begun++
		}
	}
	if len(engines) < enginesToSuspend {
		return false
	}
	return begun >= crashesToSuspend || len(crashes) >= unbegunToSuspend || len(crashes) >= crashesToWatch && certain >= togetherToSuspend
}

// Advance applies what is due at time now. It reports whether the notices have changed since the
// last call of Advance, Add or Adopt.
func (t *Table) Advance(now time.Duration) bool {
	before := t.changes
	for key, r := range t.records {
		t.judge(r, now)
		if now-r.touchedAt < crashTTL || now < r.until+2*r.period {
			continue
		}
		if r.watchedSince > 0 || r.releasedAt > 0 {
			t.changes++
		}
		delete(t.records, key)
	}
	return t.changes != before
}

// Adopt takes over a suspension that an entry node was told by another replica, unless this one
// knows more of the part.
func (t *Table) Adopt(n Notice, now time.Duration) {
	r := t.record(n.Key, now)
	if r == nil || n.State != StateSuspended || r.period > 0 || r.releasedAt > 0 {
		return
	}
	r.period = min(millis(n.PeriodMillis), maxPeriod)
	r.until = now + min(millis(n.RemainingMillis), r.period)
	if r.watchedSince == 0 {
		r.watchedSince = now
	}
	t.changes++
}

// Notices returns the notices of all parts that are watched, suspended or newly released, the
// suspended ones first.
func (t *Table) Notices(now time.Duration) []Notice {
	var notices []Notice
	for key, r := range t.records {
		n := Notice{Key: key}
		switch {
		case r.watchedSince > 0 && r.period > 0 && now < r.until+r.period:
			n.State = StateSuspended
			n.RemainingMillis = (r.until - now).Milliseconds()
			n.PeriodMillis = r.period.Milliseconds()
		case r.watchedSince > 0:
			n.State = StateWatched
		case r.releasedAt > 0 && now-r.releasedAt < releaseNoticeTime:
			n.State = StateReleased
		default:
			continue
		}
		if len(r.crashes) > 0 {
			n.CrashAgeMillis = (now - r.crashes[0].at).Milliseconds()
		}
		notices = append(notices, n)
	}
	slices.SortFunc(notices, func(a, b Notice) int {
		return cmp.Or(
			cmp.Compare(b.RemainingMillis, a.RemainingMillis),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Part, b.Part),
		)
	})
	return notices[:min(len(notices), maxNotices)]
}

// Crashes returns how many crashes count against a part.
func (t *Table) Crashes(key Key) int {
	if r, ok := t.records[key]; ok {
		return len(r.crashes)
	}
	return 0
}

// SuspendedFor returns the rest of the suspension of a part, 0 if it is not suspended.
func (t *Table) SuspendedFor(key Key, now time.Duration) time.Duration {
	if r, ok := t.records[key]; ok {
		return max(r.until-now, 0)
	}
	return 0
}
