package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/routing"
)

// ledgerControl is a ControlClient whose control group is a ledger in the same process.
type ledgerControl struct {
	unreachableControl
	mu     sync.Mutex
	ledger *ledger.State
}

func (c *ledgerControl) ControlReachable() bool { return true }

func (c *ledgerControl) Submit(_ context.Context, command control.Command) (control.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := control.Result{}
	for _, change := range command.Leases {
		r, _ := c.ledger.ChangeLease(change)
		result.Leases = append(result.Leases, r)
	}
	return result, nil
}

// meteredGateway is a gateway with one route to a model service, which charges 4 tokens an event to one workspace.
type meteredGateway struct {
	control *ledgerControl
	server  *gateway.Server
	url     string
}

func newMeteredGateway(t *testing.T, route routing.Route, prepaid fleet.Tokens, in *scriptedInstances) meteredGateway {
	g := meteredGateway{control: &ledgerControl{ledger: ledger.New()}}
	g.control.ledger.Join(g.control.Holder())
	g.control.ledger.SetMeteredPrepaid("w", prepaid)
	g.server = gateway.New(gateway.Config{
		Node:       "n1",
		Control:    g.control,
		Protocol:   platform.Protocol{},
		RetryRatio: 0.2,
		RetrySlack: 20,
		Log:        event.New(io.Discard, "n1"),
	})
	g.server.HandleEntryNodes(1)
	g.server.HandleRouting(routing.NewView(routing.Config{
		Version: 1,
		Routes:  []routing.Route{route},
		Services: []routing.Service{{
			ID:     "s",
			Engine: &routing.Engine{EventTokens: 4},
		}},
		Workspaces: []routing.Workspace{{
			ID:      "w",
			Keys:    []string{"k"},
			Prepaid: &prepaid,
		}},
	}))
	g.server.StartQuota()
	g.server.SetInstances(in.list)
	g.url = serveGateway(t, g.server).URL
	return g
}

// post sends a request. Without a usage it does not say how large it is.
func (g meteredGateway) post(ctx context.Context, t *testing.T, usage string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+"/x", strings.NewReader("prompt"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Attempt-Id", "id1")
	r.Header.Set("Authorization", "Token k")
	r.Header.Set("Prompt-Prefix", "a:60,b:40")
	if usage != "" {
		r.Header.Set("Token-Usage", usage)
	}
	return http.DefaultClient.Do(r)
}

// settled stops the gateway and returns what the ledger has counted as spent.
func (g meteredGateway) settled(t *testing.T) fleet.Tokens {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for g.server.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := g.server.Close(ctx); err != nil {
		t.Fatal(err)
	}
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	b, _ := g.control.ledger.MeteredBudget("w")
	return b.Settled
}

// TestDeliveredOutputIsNotCharged runs the cases in testdata/charges.txt: whatever the end of a request, its workspace is charged
// the prompt and what was delivered. Guards against workspaces that get more than they have prepaid, as whole answers and
// bodies without events cost nothing.
func TestDeliveredOutputIsNotCharged(t *testing.T) {
	for _, fields := range readCases(t, "testdata/charges.txt", 8) {
		t.Run(fields[0], func(t *testing.T) { runChargeCase(t, fields) })
	}
}

func runChargeCase(t *testing.T, fields []string) {
	t.Parallel()
	prepaid, err := strconv.Atoi(fields[5])
	if err != nil {
		t.Fatal(err)
	}
	in := newInstances(t, fields[3])
	in.body = "HTTP/1.1 200 OK\r\nID" + strings.ReplaceAll(fields[4], "~", "\n")
	g := newMeteredGateway(t, chargedRoute(fields[1]), fleet.Tokens(prepaid), in)
	response, err := g.post(context.Background(), t, fields[2])
	if err != nil {
		t.Fatal(err)
	}
	got := strconv.Itoa(response.StatusCode)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		got = "cut"
	}
	_ = response.Body.Close()
	if want := fields[6]; got != want {
		t.Errorf("got status %s, want %s", got, want)
	}
	if got, want := strconv.Itoa(int(g.settled(t))), fields[7]; got != want {
		t.Errorf("got %s tokens charged, want %s", got, want)
	}
}

func chargedRoute(kind string) routing.Route {
	return routing.Route{
		Name:        "r",
		Host:        "127.0.0.1",
		Prefix:      "/",
		Kind:        routing.Kind(strings.TrimSuffix(kind, "+")),
		Resumable:   strings.HasSuffix(kind, "+"),
		Timeout:     2 * time.Second,
		Targets:     targets,
		MaxAttempts: 2,
	}
}

// TestAnswerLeftHalfwayIsNotCharged lets callers leave once they have got a part of an answer. Guards against workspaces whose
// callers get most of each answer for nothing.
func TestAnswerLeftHalfwayIsNotCharged(t *testing.T) {
	for name, c := range map[string]struct {
		kind, action string
		want         fleet.Tokens
	}{
		"whole": {
			kind:   "once",
			action: "raw",
			want:   500,
		},
		"stream": {
			kind:   "stream",
			action: "slowStream",
			want:   104,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in := newInstances(t, c.action)
			in.body = "HTTP/1.1 200 OK\r\nIDContent-Length: 4000000\r\n\r\n" + strings.Repeat("word", 1_000_000)
			g := newMeteredGateway(t, chargedRoute(c.kind), 1000, in)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			response, err := g.post(ctx, t, "100,400")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(response.Body, make([]byte, 10)); err != nil {
				t.Fatal(err)
			}
			leave()
			_ = response.Body.Close()
			if got := g.settled(t); got < c.want {
				t.Errorf("got %d tokens charged, want %d or more", got, c.want)
			}
		})
	}
}
