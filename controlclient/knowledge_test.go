package controlclient

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/rapidseed"
	"github.com/waxwingreel/waxwingreel/routing"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 2000))
}

// modelReplica is a control replica: the configuration it has, when that was the newest, and whether it
// is of the build before, which does not say what it proves.
type modelReplica struct {
	version routing.Version
	freshAt time.Duration
	old     bool
}

// modelSubscription is a channel to a replica, with what is on its way in both directions.
type modelSubscription struct {
	replica    *modelReplica
	heartbeats []control.Heartbeat
	updates    []control.Update
	// wholeSince is 0 while the node only probes.
	wholeSince time.Duration
	// What the replica knows of its subscriber.
	known  bool
	echo   int64
	probes bool
	sent   routing.Version
}

// model is a node among replicas that learn what is acknowledged at any time, or never.
type model struct {
	now          time.Duration
	acknowledged []time.Duration
	replicas     []*modelReplica
	s            *modelSubscription
	node         knowledge
}

func newModel(t *rapid.T) *model {
	m := &model{
		now:          time.Hour,
		acknowledged: []time.Duration{0, time.Hour},
		node:         knowledge{catalog: catalog.NewView()},
	}
	for range 3 {
		m.replicas = append(m.replicas, &modelReplica{
			version: 1,
			freshAt: m.now,
			old:     rapid.Bool().Draw(t, "old"),
		})
	}
	m.subscribe(t)
	return m
}

// subscribe leaves the replica with all that is on its way, as after a kill or a cut.
func (m *model) subscribe(t *rapid.T) {
	m.s = &modelSubscription{replica: rapid.SampledFrom(m.replicas).Draw(t, "replica")}
}

func (m *model) acknowledge(t *rapid.T) {
	m.acknowledged = append(m.acknowledged, m.now)
	for _, r := range m.replicas {
		if rapid.Bool().Draw(t, "applies") {
			m.catchUp(r)
		}
	}
}

func (m *model) catchUp(r *modelReplica) {
	r.version, r.freshAt = routing.Version(len(m.acknowledged)-1), m.now
}

func (m *model) sendHeartbeat(probe bool) {
	if !probe && m.s.wholeSince == 0 {
		m.s.wholeSince = m.now
	}
	m.s.heartbeats = append(m.s.heartbeats, control.Heartbeat{
		Routing: m.node.versions().Routing,
		Probe:   probe && m.s.wholeSince == 0,
		Sent:    int64(m.now),
	})
}

func (m *model) receiveHeartbeat() {
	if len(m.s.heartbeats) == 0 {
		return
	}
	h := m.s.heartbeats[0]
	m.s.heartbeats = m.s.heartbeats[1:]
	if !m.s.known {
		m.s.known, m.s.sent = true, h.Routing
	}
	m.s.echo, m.s.probes = h.Sent, h.Probe
}

// sendUpdate does what Replica.update does.
func (m *model) sendUpdate() {
	r := m.s.replica
	if !m.s.known {
		return
	}
	// The age is rounded up: a message takes longer than what Replica.update rounds off.
	u := control.Update{
		Stale:       m.s.sent > r.version,
		Echo:        m.s.echo,
		FreshMicros: (m.now - r.freshAt + time.Microsecond - 1).Microseconds(),
	}
	if !u.Stale && !r.old {
		u.Versions = &control.Versions{Routing: r.version}
	}
	if !u.Stale && !m.s.probes && r.version > m.s.sent {
		m.s.sent = r.version
		u.Routing = &routing.Config{Version: r.version}
	}
	m.s.updates = append(m.s.updates, u)
}

// receiveUpdate applies an update once the node follows the replica.
func (m *model) receiveUpdate() {
	if len(m.s.updates) == 0 || m.s.wholeSince == 0 {
		return
	}
	u := m.s.updates[0]
	m.s.updates = m.s.updates[1:]
	if u.Routing != nil && u.Routing.Version > m.node.versions().Routing {
		m.node.routing = routing.NewView(*u.Routing)
	}
	if p, ok := proofIn(u, m.node.versions(), m.s.wholeSince, m.now); ok {
		m.node = m.node.confirm(p)
	}
}

// TestConfirmedConfigurationLacksNothingAcknowledged plays probes, whole updates, replicas that die between the two, late
// replicas, changes of replicas and both builds in any order. Guards against a node that answers 404 by a configuration
// that lacks what was acknowledged before the moment for which it counts as the newest.
func TestConfirmedConfigurationLacksNothingAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		then := func(f func()) func(*rapid.T) {
			return func(*rapid.T) {
				m.now += time.Microsecond
				f()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "millis")) * time.Millisecond
			},
			"a change is acknowledged": m.acknowledge,
			"a replica catches up":     func(t *rapid.T) { m.catchUp(rapid.SampledFrom(m.replicas).Draw(t, "late")) },
			"the node changes":         m.subscribe,
			"probe":                    then(func() { m.sendHeartbeat(true) }),
			"whole heartbeat":          then(func() { m.sendHeartbeat(false) }),
			"heartbeat arrives":        then(m.receiveHeartbeat),
			"update":                   then(m.sendUpdate),
			"update arrives":           then(m.receiveUpdate),
			"": func(t *rapid.T) {
				lacking := int(m.node.versions().Routing) + 1
				if lacking < len(m.acknowledged) && m.node.confirmedAt > m.acknowledged[lacking] {
					t.Fatalf("got version %d confirmed for %s, but version %d was acknowledged at %s", lacking-1, m.node.confirmedAt, lacking, m.acknowledged[lacking])
				}
			},
		})
	})
}
