package controlclient

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/faultproxy"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// restartable is a replica behind a proxy, which keeps the replica's last words from its peers.
type restartable struct {
	network *faultproxy.Network
	name    string
	address netip.AddrPort
	proxy   netip.AddrPort
	e       *wire.Endpoint
}

func startRestartable(t *testing.T, network *faultproxy.Network, name string) *restartable {
	t.Helper()
	r := &restartable{
		network: network,
		name:    name,
		address: netip.MustParseAddrPort("127.0.0.1:0"),
	}
	r.start(t, 1)
	proxy, err := faultproxy.NewUDP(network, name, netip.MustParseAddrPort("127.0.0.1:0"), r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	r.proxy = proxy.Address()
	return r
}

// start starts the replica with a version of the configuration.
func (r *restartable) start(t *testing.T, version routing.Version) {
	t.Helper()
	e, err := wire.New(wire.Config{
		Node:   fleet.NodeID(r.name),
		Listen: r.address,
		Secret: testSecret,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	e.HandleChannel(control.MethodSubscribe, func(_ context.Context, _ fleet.NodeID, ch *wire.Channel) {
		for {
			h := control.Heartbeat{}
			update := control.Update{Versions: &control.Versions{Routing: version}}
			if ch.Receive(&h) != nil {
				return
			}
			update.Echo = h.Sent
			if !h.Probe {
				update.Routing = &routing.Config{Version: version}
			}
			if ch.Send(update) != nil {
				return
			}
		}
	})
	e.Start()
	r.address, r.e = e.Address(), e
}

// TestRestartedGroupIsFoundLate kills all nine replicas, to which a node has connections, and starts them again. The node
// finds out about each connection only by using it. Guards against a node that tries the dead connections one after the other,
// with pauses in between, while all replicas are there: it serves dropped routes and refuses new ones meanwhile.
func TestRestartedGroupIsFoundLate(t *testing.T) {
	const (
		replicas = 9
		bound    = time.Second
	)
	network := faultproxy.NewNetwork(1)
	var group []*restartable
	var addresses []netip.AddrPort
	for i := range replicas {
		r := startRestartable(t, network, fmt.Sprintf("c%d", i))
		group, addresses = append(group, r), append(addresses, r.proxy)
	}
	c := newTestClient(t, addresses...)
	for _, address := range addresses {
		ch, err := c.cfg.Endpoint.Open(t.Context(), address, control.MethodSubscribe)
		if err != nil {
			t.Fatal(err)
		}
		update := control.Update{}
		if err := ch.Send(c.heartbeat(true)); err != nil || ch.Receive(&update) != nil {
			t.Fatalf("replica %s does not respond", address)
		}
	}
	await(t, "version 1", func() bool { return c.routingVersion() == 1 })
	network.SetDefaultFaults(faultproxy.Faults{Cut: true})
	for _, r := range group {
		r.e.Close()
		r.start(t, 2)
	}
	network.ClearFaults()
	network.SetDefaultFaults(faultproxy.Faults{})
	restarted := time.Now()
	await(t, "version 2", func() bool { return c.routingVersion() == 2 })
	if took := time.Since(restarted); took > bound {
		t.Errorf("got the configuration %s after the restart, want it within %s", took.Round(time.Millisecond), bound)
	}
}
