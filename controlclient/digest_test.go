package controlclient

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// TestNodeKeepsOtherContentOfItsVersion follows a replica whose delta lacks a change. Guards against a node that answers by
// content which its version does not have, and counts it as confirmed; and against one that asks again and again for the whole
// configuration of a replica whose build has other digests.
func TestNodeKeepsOtherContentOfItsVersion(t *testing.T) {
	before := routing.Config{
		Version: 4,
		Routes: []routing.Route{
			{Prefix: "/stays"},
			{Prefix: "/goes"},
		},
	}
	after := routing.Config{
		Version: 5,
		Routes:  before.Routes[:1],
	}
	removed := routing.Changes[routing.Match, routing.Route]{Removed: []routing.Match{{Prefix: "/goes"}}}
	for name, test := range map[string]struct {
		digest func(routing.Config) routing.Digest
		routes routing.Changes[routing.Match, routing.Route]
	}{
		"delta lacks a change": {
			digest: routing.Config.Digest,
		},
		"replica of another build": {
			digest: func(c routing.Config) routing.Digest { return c.Digest() + 1 },
			routes: removed,
		},
	} {
		t.Run(name, func(t *testing.T) {
			requests := atomic.Int64{}
			e := newEndpoint(t, "replica")
			e.HandleChannel(control.MethodSubscribe, func(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
				sent := before
				for first := true; ctx.Err() == nil; {
					h := control.Heartbeat{}
					if ch.Receive(&h) != nil {
						return
					}
					update := control.Update{Echo: h.Sent}
					switch {
					case h.Probe:
					case first:
						update.Routing, first = &before, false
					case h.WholeRouting:
						requests.Add(1)
						update.Routing = &after
					case h.Routing == 4:
						update.RoutingDelta = &routing.Delta{
							From:   4,
							To:     5,
							Routes: test.routes,
						}
						sent = after
					}
					update.Versions = &control.Versions{
						Routing:       sent.Version,
						RoutingDigest: test.digest(sent),
					}
					if ch.Send(update) != nil {
						return
					}
				}
			})
			e.Start()
			c := newTestClient(t, e.Address())
			await(t, "the content of version 5", func() bool {
				view := c.knowledge.Load().routing
				return view != nil && slices.EqualFunc(view.Config.Routes, after.Routes, func(a, b routing.Route) bool { return a.Prefix == b.Prefix })
			})
			// A heartbeat that asks may be on its way as the answer to another one comes.
			time.Sleep(300 * time.Millisecond)
			settled := requests.Load()
			time.Sleep(1200 * time.Millisecond)
			if got, most := c.Unconfirmed(), time.Second; got > most {
				t.Errorf("got the configuration unconfirmed for %s, want %s or less", got, most)
			}
			if got := requests.Load(); got != settled {
				t.Errorf("got %d requests for the whole configuration, want no more than the first %d", got, settled)
			}
		})
	}
}
