package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/lease"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/routing"
)

// incarnation is the connection of one incarnation of a node to the ledger, until the node is killed.
type incarnation struct {
	*ledgerControl
	holder fleet.Holder
	cut    atomic.Bool
	killed atomic.Bool
}

func (c *incarnation) Holder() fleet.Holder   { return c.holder }
func (c *incarnation) ControlReachable() bool { return !c.cut.Load() }

func (c *incarnation) Submit(ctx context.Context, command control.Command) (control.Result, error) {
	if c.cut.Load() || c.killed.Load() {
		return unreachableControl{}.Submit(ctx, command)
	}
	return c.ledgerControl.Submit(ctx, command)
}

// totalsRun is one case of testdata/totals.txt.
type totalsRun struct {
	t         *testing.T
	ledger    *ledgerControl
	instances *scriptedInstances
	control   *incarnation
	server    *gateway.Server
	http      *httptest.Server
	version   int
	config    routing.Config
	served    int
	starts    uint64
}

// start starts the next incarnation of the node.
func (r *totalsRun) start() {
	r.starts++
	join := ledger.Join{
		Holder:    fleet.Holder{Node: "n1"},
		Nonce:     r.starts,
		Boot:      fmt.Sprint(r.starts),
		LimitRise: lease.LimitRise,
	}
	r.ledger.mu.Lock()
	r.ledger.ledger.BoundJoin(&join)
	number, _ := r.ledger.ledger.AssignIncarnation(join)
	r.ledger.mu.Unlock()
	r.control = &incarnation{
		ledgerControl: r.ledger,
		holder: fleet.Holder{
			Node:        "n1",
			Incarnation: number,
		},
	}
	r.server = gateway.New(gateway.Config{
		Node:       "n1",
		Control:    r.control,
		Protocol:   platform.Protocol{},
		RetryRatio: 0.2,
		RetrySlack: 20,
		Log:        event.New(io.Discard, "n1"),
	})
	r.server.HandleEntryNodes(1)
	if r.version > 0 {
		r.server.HandleRouting(routing.NewView(r.config))
	}
	r.server.StartQuota()
	r.server.SetInstances(r.instances.list)
	r.http = serveGateway(r.t, r.server)
}

// configure makes a version current at the ledger, and at the node unless that is behind.
func (r *totalsRun) configure(workspaces string, behind bool) {
	r.version++
	config, err := platform.ParseDocument(fmt.Appendf(nil, `{"version":%d,
		"routes":[{"name":"r","host":"127.0.0.1","path_prefix":"/","type":"non_idempotent","timeout_ms":2000,"service":"s"}],
		"services":[{"name":"s","runtime":{"stride":6}}],"tenants":[%s]}`, r.version, workspaces))
	if err != nil {
		r.t.Fatal(err)
	}
	r.ledger.mu.Lock()
	recalled := false
	for _, w := range config.Workspaces {
		if w.Prepaid != nil {
			recalled = len(r.ledger.ledger.SetMeteredPrepaid(fleet.BudgetID(w.ID), *w.Prepaid)) > 0
		}
	}
	r.ledger.mu.Unlock()
	if recalled && !r.control.cut.Load() {
		r.server.HandleRecalls([]ledger.Recall{{
			Holder: r.control.holder,
			Budget: "w",
		}})
	}
	r.config = config
	if !behind {
		r.server.HandleRouting(routing.NewView(config))
	}
}

func (r *totalsRun) send(n int) {
	for i := range n {
		request, err := http.NewRequest(http.MethodPost, r.http.URL+"/x", strings.NewReader("prompt"))
		if err != nil {
			r.t.Fatal(err)
		}
		request.Header.Set("Attempt-Id", fmt.Sprint("id-", i))
		request.Header.Set("Authorization", "Token k")
		request.Header.Set("Token-Usage", "100,400")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			r.t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.served += 500
		}
	}
}

func (r *totalsRun) step(step string) {
	name, argument, _ := strings.Cut(step, "=")
	n, _ := strconv.Atoi(argument)
	const workspace = `{"name":"w","api_keys":["k"]%s}`
	switch name {
	case "none":
		r.configure(fmt.Sprintf(workspace, ""), false)
	case "total", "behind":
		r.configure(fmt.Sprintf(workspace, `,"prepaid":`+argument), name == "behind")
	case "gone":
		r.configure("", false)
	case "send":
		r.send(n)
	case "cut", "heal":
		r.control.cut.Store(name == "cut")
	case "kill":
		r.control.killed.Store(true)
		r.start()
	case "stop":
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := r.server.Close(ctx); err != nil {
			r.t.Error(err)
		}
		r.start()
	default:
		r.t.Fatalf("unknown step %q", step)
	}
}

// TestTotalForgetsWhatCameBefore runs the cases in testdata/totals.txt. Guards against workspaces that get a total anew once a version
// brings it, after they have consumed without one, and against refusals of those that have none.
func TestTotalForgetsWhatCameBefore(t *testing.T) {
	for _, fields := range readCases(t, "testdata/totals.txt", 3) {
		t.Run(fields[0], func(t *testing.T) {
			t.Parallel()
			r := &totalsRun{
				t:         t,
				ledger:    &ledgerControl{ledger: ledger.New()},
				instances: newInstances(t, ""),
			}
			r.start()
			for _, step := range strings.Fields(fields[1]) {
				r.step(step)
			}
			least, most := 0, 0
			if _, err := fmt.Sscan(fields[2], &least, &most); err != nil {
				t.Fatal(err)
			}
			t.Logf("%d tokens served", r.served)
			if r.served < least || r.served > most {
				t.Errorf("got %d tokens served, want %d to %d", r.served, least, most)
			}
		})
	}
}
