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

	"github.com/waxwingreel/waxwingreel/faultproxy"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// changedRouting returns version 2 of isolatedRouting, with a change.
func changedRouting(change func(*routing.Config)) *routing.View {
	config := isolatedRouting().Config
	config.Version = 2
	config.Services = append(config.Services, routing.Service{ID: "s2"})
	change(&config)
	return routing.NewView(config)
}

// changes are those of a configuration that forbid what the one before allows.
var changes = map[string]func(*routing.Config){
	"routes are gone": func(c *routing.Config) { c.Routes = nil },
	"routes lead to another service": func(c *routing.Config) {
		for i := range c.Routes {
			c.Routes[i].Targets = []routing.Target{{
				Service: "s2",
				Weight:  1,
			}}
		}
	},
	"the service has no weight": func(c *routing.Config) {
		for i := range c.Routes {
			c.Routes[i].Targets = []routing.Target{{
				Service: "s2",
				Weight:  1,
			}, {
				Service: "s",
			}}
		}
	},
	"keys are needed": func(c *routing.Config) {
		c.Workspaces = []routing.Workspace{{
			ID:   "w",
			Keys: []string{"k"},
		}}
	},
	"no key is valid": func(c *routing.Config) { c.KeysRequired = true },
}

// TestRelayRunsByOldConfiguration sends requests to a node that is cut off and has an old configuration, while the node
// that relays for it has the newest one. Guards against requests that run although the node that sends them knows that they
// are forbidden.
func TestRelayRunsByOldConfiguration(t *testing.T) {
	for name, change := range changes {
		for _, cut := range []string{cutRefuse, cutHang} {
			t.Run(name+", "+cut, func(t *testing.T) {
				t.Parallel()
				f := newIsolatedFleet(t, 2)
				f.isolate(0)
				f.cut(0, cut)
				f.servers[1].HandleRouting(changedRouting(change))
				for i := range 9 {
					route := []string{"/repeat/", "/once/", "/stream/"}[i%3]
					id := fmt.Sprintf("changed-%d", i)
					if got, want := f.send(0, route, id), http.StatusServiceUnavailable; got != want {
						t.Errorf("%s: got status %d, want %d", route, got, want)
					}
					f.instances.mu.Lock()
					if f.instances.runs[id] > 0 {
						t.Errorf("%s: the request has run, want it refused", route)
					}
					f.instances.mu.Unlock()
				}
			})
		}
	}
}

// newService adds an instance of another service to the lists of all nodes. It returns the requests that have run there.
func (f *isolatedFleet) newService(id fleet.ServiceID) *countingInstance {
	f.t.Helper()
	in := &countingInstance{runs: map[string]int{}}
	server := httptest.NewServer(in)
	f.t.Cleanup(server.Close)
	for node, s := range f.servers {
		list := []routing.Instance{{
			ID:      fleet.BackendServerID("of-" + id),
			Service: id,
			Address: newPath(f.t, netip.MustParseAddrPort(server.Listener.Addr().String())).address,
			Slots:   8,
		}}
		for j, p := range f.paths[node] {
			list = append(list, routing.Instance{
				ID:      fleet.BackendServerID(fmt.Sprint("i", j)),
				Service: "s",
				Address: p.address,
				Slots:   8,
			})
		}
		s.SetInstances(list)
	}
	return in
}

// decidedAgain are the changes that requests which wait meanwhile are decided by, with their status.
var decidedAgain = map[string]int{
	"routes are gone":                http.StatusNotFound,
	"routes lead to another service": http.StatusOK,
	"keys are needed":                http.StatusUnauthorized,
	"no key is valid":                http.StatusUnauthorized,
}

// TestRefusedRequestIsDecidedByOldConfiguration gives a node that is cut off the newest configuration while a request is with
// the node that relays for it. Guards against refusals, and against denials by the old configuration, where the node knows
// better by then.
func TestRefusedRequestIsDecidedByOldConfiguration(t *testing.T) {
	for name, want := range decidedAgain {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newIsolatedFleet(t, 2)
			moved := f.newService("s2")
			f.isolate(0)
			view := changedRouting(changes[name])
			f.servers[1].HandleRouting(view)
			f.relayDelay.Store(int64(150 * time.Millisecond))
			time.AfterFunc(50*time.Millisecond, func() { f.servers[0].HandleRouting(view) })
			if got := f.send(0, "/once/", "again"); got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
			f.instances.mu.Lock()
			defer f.instances.mu.Unlock()
			moved.mu.Lock()
			defer moved.mu.Unlock()
			if got := moved.runs["again"]; f.instances.runs["again"] > 0 || got > 0 != (want == http.StatusOK) {
				t.Errorf("got %d runs at the old service and %d at the new one", f.instances.runs["again"], got)
			}
		})
	}
}

// TestWaitingRequestIsSentByOldConfiguration changes the configuration while the body of a request still comes. Guards against
// requests that a node sends long after it has got a configuration which forbids them.
func TestWaitingRequestIsSentByOldConfiguration(t *testing.T) {
	for name, want := range decidedAgain {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newIsolatedFleet(t, 1)
			moved := f.newService("s2")
			body, rest := io.Pipe()
			r, err := http.NewRequest(http.MethodPost, f.callers[0]+"/once/x", body)
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Attempt-Id", "waits")
			go func() {
				_, _ = io.WriteString(rest, "first")
				time.Sleep(200 * time.Millisecond)
				f.servers[0].HandleRouting(changedRouting(changes[name]))
				_, _ = io.WriteString(rest, "last")
				_ = rest.Close()
			}()
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if got := response.StatusCode; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
			f.instances.mu.Lock()
			defer f.instances.mu.Unlock()
			moved.mu.Lock()
			defer moved.mu.Unlock()
			if got := moved.runs["waits"]; f.instances.runs["waits"] > 0 || got > 0 != (want == http.StatusOK) {
				t.Errorf("got %d runs at the old service and %d at the new one", f.instances.runs["waits"], got)
			}
		})
	}
}

// newSlowPeer puts a proxy before a node, through which the others reach it. It returns a function that sets the delay in
// each direction.
func (f *isolatedFleet) newSlowPeer(node int) (setDelay func(time.Duration)) {
	f.t.Helper()
	network := faultproxy.NewNetwork(1)
	proxy, err := faultproxy.NewUDP(network, "peer", netip.MustParseAddrPort("127.0.0.1:0"), f.endpoints[node].Address())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(proxy.Close)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports[:0:0], f.reports...)
	f.reports[node].WireAddress = proxy.Address()
	return func(delay time.Duration) { network.SetDefaultFaults(faultproxy.Faults{Delay: delay}) }
}

// TestRelayedRequestRunsAfterItsDeadline relays requests over a link on which each packet takes longer than they have time.
// Guards against requests that run for callers whose deadline has passed, as the time on the way was not counted.
func TestRelayedRequestRunsAfterItsDeadline(t *testing.T) {
	f := newIsolatedFleet(t, 2)
	setDelay := f.newSlowPeer(1)
	f.isolate(0)
	if got, want := f.send(0, "/repeat/", "before"), http.StatusOK; got != want {
		t.Fatalf("got status %d over a fast link, want %d", got, want)
	}
	setDelay(1700 * time.Millisecond)
	for i := range 3 {
		f.send(0, "/repeat/", fmt.Sprint("late-", i))
	}
	time.Sleep(2 * time.Second)
	f.instances.mu.Lock()
	defer f.instances.mu.Unlock()
	for id := range f.instances.runs {
		if strings.HasPrefix(id, "late-") {
			t.Errorf("request %s has run, want none after its deadline", id)
		}
	}
}

// TestRelayCountsTimeOnTheWay sends a relay the request proper later than the request's time after the relay has said that
// it is ready. Guards against a deadline that begins anew at each node.
func TestRelayCountsTimeOnTheWay(t *testing.T) {
	for name, late := range map[string]time.Duration{
		"in time": 0,
		"late":    300 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newIsolatedFleet(t, 1)
			ch := openTo(t, f.roster()[0].WireAddress)
			ready := gateway.RelayResponse{}
			if err := ch.Send(gateway.RelayRequest{Opens: true}); err != nil {
				t.Fatal(err)
			}
			if err := ch.Receive(&ready); err != nil || !ready.Ready {
				t.Fatalf("got %+v (%v), want a relay that is ready", ready, err)
			}
			time.Sleep(late)
			response := gateway.RelayResponse{}
			if err := ch.Send(relayedRequest(200 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			if err := ch.Receive(&response); err != nil {
				t.Fatal(err)
			}
			f.instances.mu.Lock()
			defer f.instances.mu.Unlock()
			if got, want := f.instances.runs["r"], 1; late == 0 && (got != want || response.Status != http.StatusOK) {
				t.Errorf("got %d runs and %+v, want %d", got, response, want)
			}
			if got, want := response.Refusal, gateway.RelayExpired; late > 0 && (got != want || f.instances.runs["r"] > 0) {
				t.Errorf("got refusal %q, want %q and no run", got, want)
			}
		})
	}
}

// TestRelayOfEarlierBuild isolates a node whose only relay is of the build before, which runs what it gets. Guards against
// callers that are refused while both builds run, and against old decisions that such a relay does not compare.
func TestRelayOfEarlierBuild(t *testing.T) {
	for name, test := range map[string]struct {
		unconfirmed time.Duration
		want        int
	}{
		"recent configuration": {want: http.StatusOK},
		"old configuration": {
			unconfirmed: 3 * time.Second,
			want:        http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newIsolatedFleet(t, 2)
			f.unconfirmed.Store(int64(test.unconfirmed))
			f.isolate(0)
			old, err := wire.New(wire.Config{
				Node:   "old",
				Listen: netip.MustParseAddrPort("127.0.0.1:0"),
				Secret: "a secret of the tests",
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(old.Close)
			old.HandleChannel(gateway.MethodRelay, func(_ context.Context, _ fleet.NodeID, ch *wire.Channel) {
				defer ch.Close()
				request := struct {
					Request  string `json:"request"`
					Instance string `json:"instance"`
				}{}
				if ch.Receive(&request) != nil {
					return
				}
				if request.Instance == "" {
					_ = ch.Send(gateway.RelayResponse{Refusal: gateway.RelayExcluded})
					return
				}
				_ = ch.Send(gateway.RelayResponse{
					Status: http.StatusOK,
					Header: http.Header{
						"Attempt-Id":         {request.Request},
						"Instance-Signature": {"signed"},
					},
					Length: -1,
				})
				_ = ch.Send(gateway.RelayChunk{End: true})
			})
			old.Start()
			f.mu.Lock()
			f.reports = append(f.reports[:0:0], f.reports...)
			f.reports[1].WireAddress = old.Address()
			f.mu.Unlock()
			if got := f.send(0, "/once/", "old"); got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
		})
	}
}
