package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// maxObserved bounds the parts whose last completed response a node remembers, maxOutbox the
	// evidence that waits for a heartbeat, and maxPerHeartbeat that in one.
	maxObserved     = 4096
	maxOutbox       = 256
	maxPerHeartbeat = 64
	// soundReportInterval is the shortest time between two reports of completed responses on a
	// watched part.
	soundReportInterval = time.Second
	// repeatTime is how long crashes are reported again to each new replica: it may have been out of
	// reach when they happened.
	repeatTime = time.Minute
	// trialTimeout is how long the outcome of a request that is let through after a suspension is
	// awaited before the next one.
	trialTimeout = 3 * time.Second
	// If responses of more than maxEnginesAtOnce engines break within atOnce, the network is at
	// fault rather than what they were asked.
	maxEnginesAtOnce = 2
	atOnce           = 100 * time.Millisecond
)

// MonitorConfig configures a Monitor.
type MonitorConfig struct {
	// Trial reports whether this node is the one that tries requests with a part after its
	// suspension.
	Trial func(part routing.PartID) bool
	// Notify is called when there is evidence to send. It must not block.
	Notify func()
}

// Monitor is an entry node's side of the quarantine: it collects evidence and knows which parts
// are suspended. It is safe for concurrent use. All times are on the caller's clock.
type Monitor struct {
	cfg MonitorConfig

	mu sync.Mutex
	// own judges the evidence of this node alone. It matters while no control replica is in reach.
	own Table
	// broken has the time at which a response of each engine last broke.
	broken map[fleet.BackendServerID]time.Duration
	// sound has the time of the last completed response on each part.
	sound map[Key]time.Duration
	// soundRequests is the same for identities, apart from the parts, which are fewer and stay.
	soundRequests map[Key]time.Duration
	// reported has the time of the last report of a completed response.
	reported map[Key]time.Duration
	notices  map[Key]heldNotice
	// trials has the time at which a request was last let through after a suspension.
	trials   map[Key]time.Duration
	outbox   []observation
	repeated []observation
}

// heldNotice is the last notice of a part.
type heldNotice struct {
	state   State
	crashAt time.Duration
	until   time.Duration
	period  time.Duration
}

// observation is evidence with the time to which its ages refer.
type observation struct {
	evidence Evidence
	at       time.Duration
}

// NewMonitor returns a monitor without evidence.
func NewMonitor(cfg MonitorConfig) *Monitor {
	return &Monitor{
		cfg:           cfg,
		broken:        map[fleet.BackendServerID]time.Duration{},
		sound:         map[Key]time.Duration{},
		soundRequests: map[Key]time.Duration{},
		reported:      map[Key]time.Duration{},
		notices:       map[Key]heldNotice{},
		trials:        map[Key]time.Duration{},
	}
}

// Crash is a response that an engine broke off: it closed or reset the connection. A connection
// that has only become silent says nothing of the engine.
type Crash struct {
	Service fleet.ServiceID
	Engine  fleet.BackendServerID
	// Parts are the parts of the prompt. They are empty if the response had come to its first
	// event, since then the request is not why the engine crashed.
	Parts []routing.Part
	// Identity is the identity of the request, empty under the same condition.
	Identity routing.PartID
	// Begun is set if the engine had sent the header.
	Begun bool
	// Gone is set if the engine refused connections right after it.
	Gone bool
}

// Crashed records a crash.
func (m *Monitor) Crashed(c Crash, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.broken[c.Engine] = now
	if m.brokenAtOnce(now) > maxEnginesAtOnce {
		c.Parts = nil
		// A failure of the network breaks many requests, but each of them once.
		if m.own.Crashes(Key{
			Service: c.Service,
			Part:    c.Identity,
		}) == 0 {
			return
		}
	}
	if len(c.Parts) == 0 && c.Identity == "" {
		return
	}
	e := Evidence{
		Service: c.Service,
		Engine:  c.Engine,
		Begun:   c.Begun,
		Gone:    c.Gone,
	}
	for _, part := range c.Parts[max(0, len(c.Parts)-maxSuspects):] {
		e.Parts = append(e.Parts, m.suspect(c.Service, part.ID, now))
	}
	if c.Identity != "" {
		identity := m.suspect(c.Service, c.Identity, now)
		e.Identity = &identity
	}
	m.own.Add(e, now)
	m.send(e, now)
}

// suspect returns a part or an identity with the age of its last completed response.
func (m *Monitor) suspect(service fleet.ServiceID, part routing.PartID, now time.Duration) Suspect {
	s := Suspect{
		Part:           part,
		SoundAgeMillis: -1,
	}
	if at, ok := m.soundAt(Key{
		Service: service,
		Part:    part,
	}); ok {
		s.SoundAgeMillis = (now - at).Milliseconds()
	}
	return s
}

// soundAt returns when a response on a part, or to a request, was last completed.
func (m *Monitor) soundAt(key Key) (time.Duration, bool) {
	if at, ok := m.sound[key]; ok {
		return at, true
	}
	at, ok := m.soundRequests[key]
	return at, ok
}

// brokenAtOnce returns the number of engines of which a response has just broken.
func (m *Monitor) brokenAtOnce(now time.Duration) int {
	for engine, at := range m.broken {
		if now-at > atOnce {
			delete(m.broken, engine)
		}
	}
	return len(m.broken)
}

// Completed records a completed response.
func (m *Monitor) Completed(service fleet.ServiceID, parts []routing.Part, identity routing.PartID, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, part := range parts {
		key := Key{
			Service: service,
			Part:    part.ID,
		}
		// The last part is the request's own and seldom comes again.
		if i < len(parts)-1 {
			remember(m.sound, key, now)
		}
		m.clear(key, now)
	}
	if identity == "" {
		return
	}
	key := Key{
		Service: service,
		Part:    identity,
	}
	remember(m.soundRequests, key, now)
	m.clear(key, now)
}

// clear reports a completed response on a part, or to a request, that is suspected.
func (m *Monitor) clear(key Key, now time.Duration) {
	if _, watched := m.notices[key]; watched || m.own.Crashes(key) > 0 {
		m.reportSound(key, now, now)
	}
}

// completedOn returns the evidence of a response on a part that is complete now.
func completedOn(key Key) Evidence {
	return Evidence{
		Service: key.Service,
		Parts:   []Suspect{{Part: key.Part}},
	}
}

// reportSound reports that a response was completed at a time.
func (m *Monitor) reportSound(key Key, at, now time.Duration) {
	e := completedOn(key)
	e.AgeMillis = (now - at).Milliseconds()
	m.own.Add(e, now)
	if last, ok := m.reported[key]; ok && now-last < soundReportInterval {
		return
	}
	remember(m.reported, key, now)
	m.send(e, now)
}

// remember stores a time in a map of bounded size.
func remember(times map[Key]time.Duration, key Key, now time.Duration) {
	if _, ok := times[key]; !ok && len(times) >= maxObserved {
		for other := range times {
			delete(times, other)
			break
		}
	}
	times[key] = now
}

func (m *Monitor) send(e Evidence, now time.Duration) {
	o := observation{
		evidence: e,
		at:       now,
	}
	m.outbox = appendBounded(m.outbox, o, maxOutbox)
	if e.Engine != "" {
		m.repeated = appendBounded(m.repeated, o, maxPerHeartbeat)
	}
	m.cfg.Notify()
}

// appendBounded appends to a list and drops the oldest element if it becomes too long.
func appendBounded(list []observation, o observation, limit int) []observation {
	if len(list) >= limit {
		list = list[:copy(list, list[1:])]
	}
	return append(list, o)
}

// TakeEvidence returns the evidence for the next heartbeat. The first heartbeat to a replica
// repeats recent crashes, and has the suspensions that this node knows.
func (m *Monitor) TakeEvidence(first bool, now time.Duration) (evidence []Evidence, suspended []Notice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.Advance(now)
	if first {
		for _, o := range m.repeated {
			if now-o.at < repeatTime {
				evidence = append(evidence, o.aged(now))
			}
		}
		suspended = m.suspensions(now)
	}
	n := min(len(m.outbox), maxPerHeartbeat)
	for _, o := range m.outbox[:n] {
		evidence = append(evidence, o.aged(now))
	}
	m.outbox = m.outbox[:copy(m.outbox, m.outbox[n:])]
	if len(m.outbox) > 0 {
		m.cfg.Notify()
	}
	return evidence, suspended
}

// aged returns the evidence with its ages at time now.
func (o observation) aged(now time.Duration) Evidence {
	e, passed := o.evidence, (now - o.at).Milliseconds()
	e.AgeMillis += passed
	e.Parts = slices.Clone(e.Parts)
	for i := range e.Parts {
		e.Parts[i] = e.Parts[i].aged(passed)
	}
	if e.Identity != nil {
		identity := e.Identity.aged(passed)
		e.Identity = &identity
	}
	return e
}

func (s Suspect) aged(millis int64) Suspect {
	if s.SoundAgeMillis >= 0 {
		s.SoundAgeMillis += millis
	}
	return s
}

func (m *Monitor) suspensions(now time.Duration) []Notice {
	var notices []Notice
	for key, held := range m.notices {
		if held.state == StateSuspended && now < held.until {
			notices = append(notices, Notice{
				Key:             key,
				State:           StateSuspended,
				RemainingMillis: (held.until - now).Milliseconds(),
				PeriodMillis:    held.period.Milliseconds(),
			})
		}
	}
	return notices
}

// Apply applies a replica's notices. It returns those that change what this node does.
func (m *Monitor) Apply(list List, now time.Duration) (changed []Notice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := map[Key]bool{}
	for _, n := range list.Notices {
		listed[n.Key] = true
		if m.apply(n, now) {
			changed = append(changed, n)
		}
	}
	// A replica that has just started knows no suspensions, so those stay until they end.
	for key, held := range m.notices {
		if !listed[key] && (held.state != StateSuspended || now >= m.opensAt(key, held)) {
			delete(m.notices, key)
		}
	}
	for key := range m.trials {
		if m.notices[key].state != StateSuspended {
			delete(m.trials, key)
		}
	}
	return changed
}

// apply applies one notice and reports whether it starts or ends a suspension.
func (m *Monitor) apply(n Notice, now time.Duration) bool {
	held, known := m.notices[n.Key]
	wasSuspended := known && held.state == StateSuspended && now < m.opensAt(n.Key, held)
	if n.State == StateReleased {
		delete(m.notices, n.Key)
		m.own.Add(completedOn(n.Key), now)
		return wasSuspended
	}
	held = heldNotice{
		state:   n.State,
		crashAt: now - millis(n.CrashAgeMillis),
		until:   now + millis(n.RemainingMillis),
		period:  millis(n.PeriodMillis),
	}
	m.notices[n.Key] = held
	if at, ok := m.soundAt(n.Key); ok && at > held.crashAt {
		m.reportSound(n.Key, at, now)
	}
	return wasSuspended != (n.State == StateSuspended && now < m.opensAt(n.Key, held))
}

// opensAt returns when this node allows requests with a suspended part again. One node tries them
// first: if all did so at once, they would meet several engines before the first crash is known.
func (m *Monitor) opensAt(key Key, held heldNotice) time.Duration {
	if m.cfg.Trial(key.Part) {
		return held.until
	}
	return held.until + held.period
}

// SuspendedFor returns the longest suspension of the parts and its part. It returns 0 if none is
// suspended.
func (m *Monitor) SuspendedFor(service fleet.ServiceID, parts []routing.Part, now time.Duration) (wait time.Duration, part routing.PartID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspendedFor(service, parts, now)
}

// Admit is like SuspendedFor for a request that is sent to an engine if nothing is suspended. After
// a suspension it lets one request through at a time.
func (m *Monitor) Admit(service fleet.ServiceID, parts []routing.Part, now time.Duration) (wait time.Duration, part routing.PartID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait, part = m.suspendedFor(service, parts, now)
	if wait > 0 {
		return wait, part
	}
	for _, p := range parts {
		key := Key{
			Service: service,
			Part:    p.ID,
		}
		if m.notices[key].state == StateSuspended {
			m.trials[key] = now
		}
	}
	return 0, ""
}

func (m *Monitor) suspendedFor(service fleet.ServiceID, parts []routing.Part, now time.Duration) (wait time.Duration, part routing.PartID) {
	for _, p := range parts {
		key := Key{
			Service: service,
			Part:    p.ID,
		}
		m.own.judgePart(key, now)
		rest := m.own.SuspendedFor(key, now)
		if held, ok := m.notices[key]; ok && held.state == StateSuspended {
			rest = max(rest, m.opensAt(key, held)-now)
			if trial, ok := m.trials[key]; ok {
				rest = max(rest, trial+trialTimeout-now)
			}
		}
		if rest > wait {
			wait, part = rest, p.ID
		}
	}
	return wait, part
}

// MayRepeat reports whether a request whose response was broken off may be sent to another engine:
// none of its parts is suspected for an earlier crash.
func (m *Monitor) MayRepeat(service fleet.ServiceID, parts []routing.Part) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range parts {
		key := Key{
			Service: service,
			Part:    p.ID,
		}
		if _, suspect := m.notices[key]; suspect || m.own.Crashes(key) >= crashesToWatch {
			return false
		}
	}
	return true
}

// Suspended returns the numbers of parts and of requests that are suspended on this node.
func (m *Monitor) Suspended(now time.Duration) (parts, requests int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, held := range m.notices {
		switch {
		case held.state != StateSuspended || now >= m.opensAt(key, held):
		case IsIdentity(key.Part):
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}
