package controlclient

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// configurationBound is the time within which a configuration is promised to be in force.
const configurationBound = 2 * time.Second

// serveSilent serves subscriptions as the connection to a killed process does: it opens, and
// nothing comes. If first is not nil it is sent once, and its time to silentSince.
func serveSilent(t *testing.T, node fleet.NodeID, first *control.Update, silentSince chan<- time.Time) netip.AddrPort {
	t.Helper()
	e := newEndpoint(t, node)
	sent := atomic.Bool{}
	e.HandleChannel(control.MethodSubscribe, func(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
		if first != nil && !sent.Swap(true) && ch.Send(*first) == nil {
			silentSince <- time.Now()
		}
		<-ctx.Done()
	})
	e.Start()
	return e.Address()
}

// TestSilentReplicasDelayConfiguration has a node whose replica falls silent, as do the next ones
// that it has connections to, while another replica has a newer configuration: the control group was
// killed and its processes start again one after the other. Guards against a configuration that is
// not in force in time.
func TestSilentReplicasDelayConfiguration(t *testing.T) {
	silentSince := make(chan time.Time, 1)
	c := newTestClient(t,
		serveSilent(t, "followed", &control.Update{Routing: &routing.Config{Version: 6}}, silentSince),
		serveSilent(t, "silent-1", nil, nil),
		serveSilent(t, "silent-2", nil, nil),
		serveReplica(t, "fresh", 0, control.Update{Routing: &routing.Config{Version: 7}}),
	)
	since := <-silentSince
	for c.routingVersion() != 7 && time.Since(since) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(since); took > configurationBound {
		t.Errorf("got the newer configuration %s after the followed replica fell silent, want it within %s", took.Round(time.Millisecond), configurationBound)
	}
}
