package controlclient

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

const testSecret = "a secret for tests only"

func newEndpoint(t *testing.T, node fleet.NodeID) *wire.Endpoint {
	t.Helper()
	e, err := wire.New(wire.Config{
		Node:   node,
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Secret: testSecret,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// serveReplica serves subscriptions as a replica that always sends the given update.
func serveReplica(t *testing.T, node fleet.NodeID, delay time.Duration, update control.Update) netip.AddrPort {
	t.Helper()
	e := newEndpoint(t, node)
	e.HandleChannel(control.MethodSubscribe, func(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
		time.Sleep(delay)
		for ctx.Err() == nil && ch.Send(update) == nil {
			time.Sleep(100 * time.Millisecond)
		}
	})
	e.Start()
	return e.Address()
}

// TestStaleReplicaIsLeftAtOnce subscribes while the first replicas in the list are stale, as they
// are when they have just come back. The node must follow the fresh one without waiting for the
// time that a replica known to be fresh gets to catch up.
func TestStaleReplicaIsLeftAtOnce(t *testing.T) {
	stale := control.Update{Stale: true}
	fresh := control.Update{Routing: &routing.Config{Version: 7}}
	replicas := []netip.AddrPort{
		serveReplica(t, "stale-1", 0, stale),
		serveReplica(t, "stale-2", 0, stale),
		serveReplica(t, "fresh", 0, fresh),
	}
	started := time.Now()
	c := New(Config{
		Holder:   fleet.Holder{Node: "entry"},
		Endpoint: newEndpoint(t, "entry"),
		Replicas: replicas,
		Report:   func() roster.Report { return roster.Report{} },
		Log:      event.New(io.Discard, "entry"),
	})
	defer c.Close()
	for !c.ControlReachable() && time.Since(started) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(started); !c.ControlReachable() || took >= stalePatience {
		t.Errorf("got the fresh replica after %s, want it before %s", took, stalePatience)
	}
	if got, want := c.routingVersion(), routing.Version(7); got != want {
		t.Errorf("got configuration %d, want %d", got, want)
	}
}

// TestReplicaThatBecomesStaleIsLeftAtOnce follows a replica that is cut off from the group with its
// leader. It counts itself as stale late, so the node must not give it more time.
func TestReplicaThatBecomesStaleIsLeftAtOnce(t *testing.T) {
	const freshTime = 400 * time.Millisecond
	cutOff := newEndpoint(t, "cut-off")
	becameStale := make(chan time.Time, 1)
	cutOff.HandleChannel(control.MethodSubscribe, func(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
		if ch.Send(control.Update{}) != nil {
			return
		}
		time.Sleep(freshTime)
		select {
		case becameStale <- time.Now():
		default:
		}
		for ctx.Err() == nil && ch.Send(control.Update{Stale: true}) == nil {
			time.Sleep(500 * time.Millisecond)
		}
	})
	cutOff.Start()
	fresh := serveReplica(t, "fresh", 0, control.Update{Routing: &routing.Config{Version: 7}})
	c := New(Config{
		Holder:   fleet.Holder{Node: "entry"},
		Endpoint: newEndpoint(t, "entry"),
		Replicas: []netip.AddrPort{cutOff.Address(), fresh},
		Report:   func() roster.Report { return roster.Report{} },
		Log:      event.New(io.Discard, "entry"),
	})
	defer c.Close()
	since := <-becameStale
	for c.routingVersion() != 7 && time.Since(since) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took, limit := time.Since(since), 400*time.Millisecond; took > limit {
		t.Errorf("got the later configuration %s after the replica became stale, want it within %s", took, limit)
	}
}
