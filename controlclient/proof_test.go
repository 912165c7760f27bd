package controlclient

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// serveSlowly serves subscriptions as a replica with a configuration whose first whole update takes
// long: probes are answered at once, whole heartbeats after a delay, or never if it is 0. Replicas of
// earlier versions do not say which versions they prove.
func serveSlowly(t *testing.T, node fleet.NodeID, version routing.Version, delay time.Duration, saysVersions bool) netip.AddrPort {
	t.Helper()
	e := newEndpoint(t, node)
	e.HandleChannel(control.MethodSubscribe, func(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
		for {
			h := control.Heartbeat{}
			if ch.Receive(&h) != nil {
				return
			}
			update := control.Update{Echo: h.Sent}
			if saysVersions {
				update.Versions = &control.Versions{Routing: version}
			}
			if !h.Probe {
				if delay == 0 {
					<-ctx.Done()
					return
				}
				time.Sleep(delay)
				update.Routing = &routing.Config{Version: version}
			}
			if ch.Send(update) != nil {
				return
			}
		}
	})
	e.Start()
	return e.Address()
}

// TestProbeConfirmsOlderConfiguration guards against a node that answers 404 by an older configuration after a change
// of replicas: the answer to a probe proves what the replica has, which the node gets only later, or never.
func TestProbeConfirmsOlderConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		delay        time.Duration
		saysVersions bool
	}{
		"whole update late": {
			delay:        time.Second,
			saysVersions: true,
		},
		"replica dies after the probe": {
			saysVersions: true,
		},
		"replica of the version before": {
			delay: time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			silentSince := make(chan time.Time, 1)
			c := newTestClient(t,
				serveSilent(t, "killed", &control.Update{Routing: &routing.Config{Version: 6}}, silentSince),
				serveSlowly(t, "slow", 7, test.delay, test.saysVersions),
			)
			<-silentSince
			await(t, "confirmation of version 6", func() bool { return c.routingVersion() == 6 && c.Unconfirmed() != NeverConfirmed })
			// Version 7 is acknowledged now.
			acknowledged := time.Now()
			for time.Since(acknowledged) < 2*searchDelay+test.delay {
				// The age is read before the version, as requests do.
				elapsed, unconfirmed := time.Since(acknowledged), c.Unconfirmed()
				if c.routingVersion() == 6 && unconfirmed < elapsed {
					t.Fatalf("got version 6 confirmed %s ago, %s after version 7 was acknowledged", unconfirmed, elapsed)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if want := routing.Version(7); test.delay > 0 && c.routingVersion() != want {
				t.Errorf("got version %d, want %d", c.routingVersion(), want)
			}
		})
	}
}
