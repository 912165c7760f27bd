package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// isolate cuts a node off from all instances and waits until it knows.
func (f *isolatedFleet) isolate(node int) {
	f.t.Helper()
	f.cut(node, cutRefuse)
	for deadline := time.Now().Add(5 * time.Second); !f.servers[node].Isolated(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatal("the node does not know that it is isolated")
		}
		f.send(node, "/repeat/", fmt.Sprint("isolate-", time.Now().UnixNano()))
	}
}

// openTo opens a channel for requests to relay to a node.
func openTo(t *testing.T, address netip.AddrPort) *wire.Channel {
	t.Helper()
	endpoint, err := wire.New(wire.Config{
		Node:   "asks",
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Secret: "a secret of the tests",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	endpoint.Start()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ch, err := endpoint.Open(ctx, address, gateway.MethodRelay)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ch.Close)
	return ch
}

// relayedRequest returns a request for instance 0 with the given time.
func relayedRequest(timeout time.Duration) gateway.RelayRequest {
	return gateway.RelayRequest{
		Request:       "r",
		Instance:      "i0",
		Method:        http.MethodPost,
		Target:        "/repeat/x",
		Host:          "127.0.0.1",
		Header:        http.Header{"Attempt-Id": {"r"}},
		TimeoutMillis: timeout.Milliseconds(),
	}
}

// relayTo sends a request for node 0 to a node, as nodes of earlier versions do, and returns its response.
func relayTo(t *testing.T, address netip.AddrPort, request gateway.RelayRequest) gateway.RelayResponse {
	t.Helper()
	ch := openTo(t, address)
	if err := ch.Send(request); err != nil {
		t.Fatal(err)
	}
	response := gateway.RelayResponse{}
	if err := ch.Receive(&response); err != nil {
		t.Fatal(err)
	}
	return response
}

// TestRelayRefuses guards against requests that reach an instance through a node that must not send it any: the
// bounds on draining and on full instances hold for the node that sends. Nothing may reach the instance.
func TestRelayRefuses(t *testing.T) {
	request := relayedRequest(time.Second)
	for name, c := range map[string]struct {
		prepare func(*isolatedFleet)
		change  func(*gateway.RelayRequest)
		want    gateway.RelayRefusal
	}{
		"sends it": {},
		"draining instance": {
			prepare: func(f *isolatedFleet) {
				f.servers[0].SetInstances([]routing.Instance{{
					ID:       "i0",
					Service:  "s",
					Address:  f.paths[0][0].address,
					Draining: true,
				}})
			},
			want: gateway.RelayExcluded,
		},
		"evacuated data centre": {
			prepare: func(f *isolatedFleet) {
				f.servers[0].SetInstances([]routing.Instance{{
					ID:         "i0",
					Service:    "s",
					Address:    f.paths[0][0].address,
					DataCentre: "d7",
					Slots:      8,
				}})
				evacuate(f.servers[0], 1, "d7")
			},
			want: gateway.RelayExcluded,
		},
		"unknown instance": {
			change: func(r *gateway.RelayRequest) { r.Instance = "i9" },
			want:   gateway.RelayExcluded,
		},
		"another run of the instance": {
			change: func(r *gateway.RelayRequest) { r.Born = 7 },
			want:   gateway.RelayExcluded,
		},
		"crashed instance": {
			prepare: func(f *isolatedFleet) { f.paths[0][0].cut(cutRefuse) },
			want:    gateway.RelayUnreachable,
		},
		"isolated node": {
			prepare: func(f *isolatedFleet) { f.isolate(0) },
			want:    gateway.RelayIsolated,
		},
		"stopping node": {
			prepare: func(f *isolatedFleet) { f.servers[0].StartDraining(time.Second, 8*time.Second) },
			want:    gateway.RelayBusy,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newIsolatedFleet(t, 1)
			if c.prepare != nil {
				c.prepare(f)
			}
			r := request
			if c.change != nil {
				c.change(&r)
			}
			response := relayTo(t, f.roster()[0].WireAddress, r)
			if got, want := response.Refusal, c.want; got != want {
				t.Errorf("got refusal %q, want %q", got, want)
			}
			f.instances.mu.Lock()
			defer f.instances.mu.Unlock()
			if got, want := f.instances.runs["r"] > 0, c.want == ""; got != want {
				t.Errorf("got the request run %t, want %t", got, want)
			}
		})
	}
}

// TestRelayedRequestEndsWithItsCaller guards against instances that go on working for a caller that has left a
// node which relays its requests.
func TestRelayedRequestEndsWithItsCaller(t *testing.T) {
	f := newIsolatedFleet(t, 2)
	working, left := make(chan struct{}), make(chan struct{})
	instance := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices the end of a connection only once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		close(working)
		<-r.Context().Done()
		close(left)
	}))
	defer instance.Close()
	f.isolate(0)
	for node, address := range []netip.AddrPort{f.paths[0][0].address, netip.MustParseAddrPort(instance.Listener.Addr().String())} {
		f.servers[node].SetInstances([]routing.Instance{{
			ID:      "i0",
			Service: "s",
			Address: address,
		}})
	}
	ctx, leave := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.callers[0]+"/once/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Attempt-Id", "leaves")
	go func() {
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	select {
	case <-working:
	case <-time.After(5 * time.Second):
		t.Fatal("the request did not reach the instance")
	}
	leave()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Error("the instance was still at work 500ms after the caller had left")
	}
}

// TestLostRelayIsInDoubt guards against a request that is refused as not run, or sent again, although the node
// that relayed it was lost after it had sent it.
func TestLostRelayIsInDoubt(t *testing.T) {
	f := newIsolatedFleet(t, 2)
	working, done := make(chan struct{}, 8), make(chan struct{})
	instance := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		working <- struct{}{}
		<-done
	}))
	defer instance.Close()
	defer close(done)
	f.isolate(0)
	f.servers[1].SetInstances([]routing.Instance{{
		ID:      "i0",
		Service: "s",
		Address: netip.MustParseAddrPort(instance.Listener.Addr().String()),
	}})
	f.servers[0].SetInstances([]routing.Instance{{
		ID:      "i0",
		Service: "s",
		Address: f.paths[0][0].address,
	}})
	status := make(chan int, 1)
	go func() { status <- f.send(0, "/once/", "lost") }()
	select {
	case <-working:
	case <-time.After(5 * time.Second):
		t.Fatal("the request did not reach the instance")
	}
	f.endpoints[1].Close()
	if got := <-status; got != http.StatusBadGateway && got != http.StatusGatewayTimeout {
		t.Errorf("got status %d, want one that does not say whether the request has run", got)
	}
	if got := len(working); got > 0 {
		t.Errorf("the request reached the instance %d more times, want none", got)
	}
}
