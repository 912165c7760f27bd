package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// The users' rule on isolated nodes: from stabilityWindow after a node was cut off from all instances, it must
// serve first attempts at least servedShare times as often as the other nodes.
const (
	stabilityWindow = 3 * time.Second
	servedShare     = 2.0 / 3
)

// countingInstance is an instance that counts the runs of each request.
type countingInstance struct {
	mu   sync.Mutex
	runs map[string]int
	// state is a state of refusing_test.go, or nothing.
	state atomic.Value
	// failsWith is the status of the responses to requests that have run, 0 for success.
	failsWith atomic.Int32
}

// ServeHTTP responds to a request, to one under /stream/ with two events.
func (in *countingInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", id)
	if !in.says(w) {
		return
	}
	in.mu.Lock()
	in.runs[id]++
	in.mu.Unlock()
	w.Header().Set("Instance-Signature", "signed")
	if status := in.failsWith.Load(); status != 0 {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(int(status))
		_, _ = io.WriteString(w, "failed")
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		_, _ = io.WriteString(w, "done")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 2 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// rosterControl is a ControlClient in touch with the control group. Its roster has all nodes.
type rosterControl struct {
	unreachableControl
	fleet *isolatedFleet
}

func (c rosterControl) ControlReachable() bool     { return true }
func (c rosterControl) Unconfirmed() time.Duration { return time.Duration(c.fleet.unconfirmed.Load()) }
func (c rosterControl) Roster() []roster.Report    { return c.fleet.roster() }

// isolatedFleet is a fleet whose nodes have paths of their own to the instances.
type isolatedFleet struct {
	t         *testing.T
	instances *countingInstance
	servers   []*gateway.Server
	callers   []string
	paths     [][]*path
	endpoints []*wire.Endpoint
	// relayDelay is how long a node takes to respond to a request to relay.
	relayDelay atomic.Int64
	// unconfirmed is for how long no node's configuration was confirmed.
	unconfirmed atomic.Int64

	mu      sync.Mutex
	reports []roster.Report
}

func (f *isolatedFleet) roster() []roster.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports
}

func newIsolatedFleet(t *testing.T, nodes int) *isolatedFleet {
	f := &isolatedFleet{
		t:         t,
		instances: &countingInstance{runs: map[string]int{}},
	}
	var targets []netip.AddrPort
	for range 4 {
		server := httptest.NewServer(f.instances)
		t.Cleanup(server.Close)
		targets = append(targets, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	for i := range nodes {
		f.addNode(i, targets)
	}
	return f
}

// addNode starts a node. Its list of instances has the addresses of its own paths.
func (f *isolatedFleet) addNode(i int, targets []netip.AddrPort) {
	node := fleet.NodeID(fmt.Sprint("n", i))
	dataCentre := fleet.DataCentre(fmt.Sprint("d", i%2))
	endpoint, err := wire.New(wire.Config{
		Node:   node,
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Secret: "a secret of the tests",
	})
	if err != nil {
		f.t.Fatal(err)
	}
	s := gateway.New(gateway.Config{
		Node:        node,
		DataCentre:  dataCentre,
		Control:     rosterControl{fleet: f},
		Peers:       endpoint,
		Protocol:    platform.Protocol{},
		RetryRatio:  0.2,
		RetrySlack:  50,
		MaxInFlight: 448,
		Room:        intake.NewBudget(vmBytes / 5),
		Log:         event.New(io.Discard, string(node)),
	})
	endpoint.HandleChannel(gateway.MethodRelay, func(ctx context.Context, from fleet.NodeID, ch *wire.Channel) {
		time.Sleep(time.Duration(f.relayDelay.Load()))
		s.HandleRelay(ctx, from, ch)
	})
	endpoint.Start()
	server := httptest.NewServer(s)
	f.t.Cleanup(func() {
		server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Close(ctx)
		endpoint.Close()
	})
	s.HandleRouting(isolatedRouting())
	var list []routing.Instance
	var paths []*path
	for j, target := range targets {
		p := newPath(f.t, target)
		paths = append(paths, p)
		list = append(list, routing.Instance{
			ID:      fleet.BackendServerID(fmt.Sprint("i", j)),
			Service: "s",
			Address: p.address,
			Slots:   8,
		})
	}
	s.SetInstances(list)
	f.servers, f.callers, f.paths = append(f.servers, s), append(f.callers, server.URL), append(f.paths, paths)
	f.endpoints = append(f.endpoints, endpoint)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(append([]roster.Report(nil), f.reports...), roster.Report{
		Holder:        fleet.Holder{Node: node},
		State:         roster.StateUp,
		DataCentre:    dataCentre,
		CallerAddress: netip.MustParseAddrPort(server.Listener.Addr().String()),
		WireAddress:   endpoint.Address(),
	})
}

func isolatedRouting() *routing.View {
	config := routing.Config{
		Version:  1,
		Services: []routing.Service{{ID: "s"}},
	}
	for prefix, kind := range map[string]routing.Kind{
		"/repeat/": routing.KindIdempotent,
		"/once/":   routing.KindOnce,
		"/stream/": routing.KindStream,
	} {
		config.Routes = append(config.Routes, routing.Route{
			Name:        routing.RouteName(prefix),
			Host:        "127.0.0.1",
			Prefix:      prefix,
			Kind:        kind,
			Timeout:     1500 * time.Millisecond,
			Targets:     targets,
			MaxAttempts: 2,
		})
	}
	return routing.NewView(config)
}

// cut cuts the paths of a node, heal opens them again.
func (f *isolatedFleet) cut(node int, how string) {
	for _, p := range f.paths[node] {
		p.cut(how)
	}
}

func (f *isolatedFleet) heal(node int) {
	for _, p := range f.paths[node] {
		p.heal()
	}
}

// outcomes counts what callers of one node got.
type outcomes struct {
	served, refused, failed, slow int
	// refusedButRun counts the refusals of requests that have run.
	refusedButRun int
}

func (o outcomes) total() int { return o.served + o.refused + o.failed }

// run sends requests to each node for a time, 20 a second and node, and returns what came of them.
func (f *isolatedFleet) run(phase string, took time.Duration) []outcomes {
	results := make([]outcomes, len(f.callers))
	mu, sending := sync.Mutex{}, sync.WaitGroup{}
	routes := []string{"/repeat/", "/once/", "/stream/"}
	end := time.Now().Add(took)
	for n := 0; time.Now().Before(end); n++ {
		for node := range f.callers {
			sending.Go(func() {
				id := fmt.Sprintf("%s-%d-%d", phase, node, n)
				started := time.Now()
				status := f.send(node, routes[n%len(routes)], id)
				f.instances.mu.Lock()
				runs := f.instances.runs[id]
				f.instances.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				o := &results[node]
				switch {
				case status == http.StatusOK:
					o.served++
				case status == http.StatusServiceUnavailable:
					o.refused++
					if runs > 0 {
						o.refusedButRun++
					}
				default:
					o.failed++
				}
				if runs > 1 && strings.Contains(routes[n%len(routes)], "once") {
					f.t.Errorf("%s has run %d times, want at most once", id, runs)
				}
				if time.Since(started) > time.Second {
					o.slow++
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	sending.Wait()
	return results
}

// send sends one request and returns the status, 0 for a response that was cut off.
func (f *isolatedFleet) send(node int, prefix, id string) int {
	r, err := http.NewRequest(http.MethodPost, f.callers[node]+prefix+"x", strings.NewReader("work"))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	r.Header.Set("Attempt-Id", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestIsolatedNodeServesNobody guards against nodes that answer all their callers with refusals while they are
// cut off from the instances and other nodes are not. It runs the cases in testdata/isolated.txt.
func TestIsolatedNodeServesNobody(t *testing.T) {
	runLines(t, "testdata/isolated.txt", runIsolatedCase)
}

// runLines runs a case for each line of a file that has four fields. The bounds are on time: cases that run all at
// once take the processor from one another.
func runLines(t *testing.T, file string, run func(t *testing.T, fields []string)) {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	turn := make(chan struct{}, 3)
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(strings.TrimSpace(line), " | ")
		if strings.HasPrefix(line, "#") || len(fields) != 4 {
			continue
		}
		t.Run(fields[0], func(t *testing.T) {
			t.Parallel()
			turn <- struct{}{}
			defer func() { <-turn }()
			run(t, fields)
		})
	}
}

func runIsolatedCase(t *testing.T, fields []string) {
	nodes, err := strconv.Atoi(fields[1])
	if err != nil {
		t.Fatal(err)
	}
	f := newIsolatedFleet(t, nodes)
	isolated := map[int]bool{}
	for node := range nodes {
		isolated[node] = fields[2] == "all" || strings.Contains(fields[2], fmt.Sprint("n", node))
	}
	f.run("before", 500*time.Millisecond)
	for node := range nodes {
		if isolated[node] {
			f.cut(node, fields[3])
		}
	}
	f.run("begin", stabilityWindow)
	results := f.run("cut", 2*time.Second)
	best := 0.0
	for _, o := range results {
		best = max(best, float64(o.served)/float64(o.total()))
	}
	for node, o := range results {
		if got := float64(o.served) / float64(o.total()); got < servedShare*best {
			t.Errorf("node %d, isolated %t: got %+v, want %.2f of the share served that the others have", node, isolated[node], o, servedShare)
		}
		if o.refusedButRun > 0 {
			t.Errorf("node %d: got %d refusals of requests that have run, want none", node, o.refusedButRun)
		}
		if fields[2] == "all" && o.slow+o.failed > 0 {
			t.Errorf("node %d: got %+v, want refusals within a second", node, o)
		}
	}
	for node := range nodes {
		f.heal(node)
	}
	f.run("healing", 2*time.Second)
	for node, o := range f.run("after", time.Second) {
		if o.served < o.total() {
			t.Errorf("node %d: got %+v after the cut, want all served", node, o)
		}
	}
}

// TestIsolatedNodesRefuseWithoutAsking guards against refusals that come late while all nodes are isolated and
// each is slow to tell the others so.
func TestIsolatedNodesRefuseWithoutAsking(t *testing.T) {
	f := newIsolatedFleet(t, 3)
	f.run("before", 500*time.Millisecond)
	for node := range 3 {
		f.cut(node, cutRefuse)
	}
	f.run("begin", stabilityWindow)
	f.relayDelay.Store(int64(1200 * time.Millisecond))
	for node, o := range f.run("cut", 2*time.Second) {
		if o.slow+o.failed > 0 {
			t.Errorf("node %d: got %+v, want refusals within a second", node, o)
		}
	}
}
