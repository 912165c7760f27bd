package controlclient

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// newTestClient returns a client of replicas.
func newTestClient(t *testing.T, replicas ...netip.AddrPort) *Client {
	t.Helper()
	c := New(Config{
		Holder:   fleet.Holder{Node: "entry"},
		Endpoint: newEndpoint(t, "entry"),
		Replicas: replicas,
		Report:   func() roster.Report { return roster.Report{} },
		Log:      event.New(io.Discard, "entry"),
	})
	t.Cleanup(c.Close)
	return c
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("got no %s in 10s", what)
		}
	}
}

// recordingReplica answers heartbeats with an update each, and records them.
type recordingReplica struct {
	address netip.AddrPort
	mu      sync.Mutex
	got     []control.Heartbeat
}

func (r *recordingReplica) heartbeats() []control.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]control.Heartbeat(nil), r.got...)
}

func recordReplica(t *testing.T, node fleet.NodeID, respond func(n int, h control.Heartbeat) control.Update) *recordingReplica {
	t.Helper()
	e := newEndpoint(t, node)
	r := &recordingReplica{}
	e.HandleChannel(control.MethodSubscribe, func(_ context.Context, _ fleet.NodeID, ch *wire.Channel) {
		for n := 0; ; n++ {
			h := control.Heartbeat{}
			if ch.Receive(&h) != nil {
				return
			}
			r.mu.Lock()
			r.got = append(r.got, h)
			r.mu.Unlock()
			if ch.Send(respond(n, h)) != nil {
				return
			}
		}
	})
	e.Start()
	r.address = e.Address()
	return r
}

// TestLateUpdateConfirmsNothingNew delivers updates late. Guards against a node that takes what a
// replica knew some time ago for what is known now.
func TestLateUpdateConfirmsNothingNew(t *testing.T) {
	const (
		delay = 300 * time.Millisecond
		fresh = 200 * time.Millisecond
	)
	late := recordReplica(t, "late", func(_ int, h control.Heartbeat) control.Update {
		time.Sleep(delay)
		return control.Update{
			Echo:        h.Sent,
			FreshMicros: fresh.Microseconds(),
		}
	})
	c := newTestClient(t, late.address)
	await(t, "replica", c.ControlReachable)
	if got, least := c.Unconfirmed(), delay+fresh; got < least {
		t.Errorf("got a configuration that is unconfirmed for %s, want %s or more", got, least)
	}
}

// TestOnlyFollowedReplicaGetsReport has stale replicas and one that is up to date. Guards against a
// search that tells each replica what the node knows of streams, which they pass on to each other.
func TestOnlyFollowedReplicaGetsReport(t *testing.T) {
	stale := func(int, control.Heartbeat) control.Update { return control.Update{Stale: true} }
	first, second := recordReplica(t, "stale-1", stale), recordReplica(t, "stale-2", stale)
	followed := recordReplica(t, "fresh", func(int, control.Heartbeat) control.Update {
		return control.Update{Routing: &routing.Config{Version: 7}}
	})
	newTestClient(t, first.address, second.address, followed.address)
	await(t, "heartbeat", func() bool { return len(followed.heartbeats()) > 1 })
	for _, r := range []*recordingReplica{first, second} {
		for _, h := range r.heartbeats() {
			if !h.Probe {
				t.Errorf("got a whole heartbeat at a stale replica, want probes only")
			}
		}
	}
	// A probe whose response is late is repeated.
	whole := func() bool {
		got := followed.heartbeats()
		return !got[len(got)-1].Probe
	}
	await(t, "whole heartbeat", whole)
	if !followed.heartbeats()[0].Probe {
		t.Error("got a whole heartbeat first, want a probe")
	}
}

// TestReplicaOfOldVersionIsFollowed has a replica that does not know probes: it sends all that it has
// with its first update, though that is stale, and only changes later. Guards against a node that
// loses the roster in a rolling upgrade.
func TestReplicaOfOldVersionIsFollowed(t *testing.T) {
	old := newEndpoint(t, "old")
	old.HandleChannel(control.MethodSubscribe, func(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
		for _, update := range []control.Update{
			{
				Stale:  true,
				Roster: []roster.Report{{Holder: fleet.Holder{Node: "other"}}},
			},
			{Routing: &routing.Config{Version: 7}},
		} {
			if ch.Send(update) != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		<-ctx.Done()
	})
	old.Start()
	c := newTestClient(t, old.Address())
	await(t, "configuration", func() bool { return c.routingVersion() == 7 })
	if got, want := len(c.Roster()), 1; got != want {
		t.Errorf("got %d nodes in the roster, want %d", got, want)
	}
	if got := c.Unconfirmed(); got > time.Second {
		t.Errorf("got a configuration that is unconfirmed for %s, want it confirmed when the update arrived", got)
	}
}
