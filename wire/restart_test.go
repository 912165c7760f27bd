package wire

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const methodUpdates Method = "updates"

// listenAt opens an endpoint at an address that an earlier one may just have left. Its channels
// repeat what they receive.
func listenAt(t *testing.T, address netip.AddrPort) *Endpoint {
	t.Helper()
	e, err := New(Config{
		Node:   "server",
		Listen: address,
		Secret: "one secret for all",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	e.HandleChannel(methodUpdates, func(_ context.Context, _ fleet.NodeID, ch *Channel) {
		for {
			n := 0
			if ch.Receive(&n) != nil || ch.Send(n) != nil {
				return
			}
		}
	})
	e.Start()
	return e
}

// TestRestartedPeerIsNoticedLate kills a process, which tells its peers nothing, and starts it
// again at the same address. A peer that goes on sending must find out from the new process, not
// from a timeout. Guards against nodes that wait for a process that no longer exists.
func TestRestartedPeerIsNoticedLate(t *testing.T) {
	const (
		sendInterval = 100 * time.Millisecond
		bound        = 500 * time.Millisecond
	)
	server := listenAt(t, netip.MustParseAddrPort("127.0.0.1:0"))
	address := server.Address()
	client := endpoint(t, "client", "one secret for all")
	ch, err := client.Open(t.Context(), address, methodUpdates)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if err := ch.Send(1); err != nil {
		t.Fatal(err)
	}
	if err := ch.Receive(&n); err != nil {
		t.Fatal(err)
	}
	// Without its socket the endpoint cannot say goodbye.
	_ = server.socket.Close()
	server.Close()
	listenAt(t, address)
	restarted := time.Now()
	ended := make(chan time.Time, 1)
	go func() {
		for ch.Receive(&n) == nil {
		}
		ended <- time.Now()
	}()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case at := <-ended:
			if took := at.Sub(restarted); took > bound {
				t.Errorf("got the end of the channel %s after the peer's restart, want it within %s", took.Round(time.Millisecond), bound)
			}
			return
		case <-ticker.C:
			_ = ch.Send(2)
		}
	}
}
