package gateway_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/controlclient"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/routing"
)

// eventsPerStream is the number of events in a stream of a versionedInstance.
const eventsPerStream = 4

// versionedInstance is a test instance whose streams tell its software version in each event.
type versionedInstance struct {
	listed routing.Instance

	mu sync.Mutex
	// breakAfter is the number of events after which the next stream breaks off, 0 for none.
	breakAfter int
}

func newVersionedInstance(t *testing.T, id, software string, local bool) *versionedInstance {
	in := &versionedInstance{}
	server := httptest.NewServer(in)
	t.Cleanup(server.Close)
	in.listed = routing.Instance{
		ID:       fleet.BackendServerID(id),
		Service:  "s",
		Address:  netip.MustParseAddrPort(server.Listener.Addr().String()),
		Slots:    4,
		Software: routing.SoftwareVersion(software),
	}
	if local {
		in.listed.DataCentre = "local"
	}
	return in
}

// ServeHTTP sends the events after Last-Event-Id.
func (in *versionedInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.mu.Lock()
	breakAfter := in.breakAfter
	in.breakAfter = 0
	in.mu.Unlock()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Signature", "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first + 1; i <= eventsPerStream; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, in.listed.Software)
		_ = http.NewResponseController(w).Flush()
		if breakAfter > 0 && i-first >= breakAfter {
			panic(http.ErrAbortHandler)
		}
	}
}

// versionsControl is the ControlClient of a node whose heartbeats reach a control replica. It can be
// cut off.
type versionsControl struct {
	unreachableControl
	replica *versionsReplica
	node    string
}

// versionsReplica takes the place of the control replicas.
type versionsReplica struct {
	mu       sync.Mutex
	cutOff   bool
	streams  origin.Table
	versions origin.History
	nodes    map[string]*gateway.Server
}

// SendHeartbeat implements gateway.ControlClient.
func (c versionsControl) SendHeartbeat() {
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	s := c.replica.nodes[c.node]
	if c.replica.cutOff || s == nil {
		return
	}
	records, _ := s.TakeOrigins(false)
	for _, r := range records {
		c.replica.streams.Add(r, clock.SinceBoot())
	}
}

// FindOrigin implements gateway.ControlClient.
func (c versionsControl) FindOrigin(_ context.Context, key origin.Key) (origin.Answer, error) {
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	if c.replica.cutOff {
		return origin.Answer{}, controlclient.ErrUnavailable
	}
	now := clock.SinceBoot()
	answer := origin.Answer{Versions: []origin.Report{c.replica.versions.Report(now)}}
	if r, ok := c.replica.streams.Find(key, now); ok {
		answer.Record = &r
	}
	return answer, nil
}

// versionsCase is a fleet of two nodes and the caller of one stream at a time.
type versionsCase struct {
	t         *testing.T
	instances map[string]*versionedInstance
	nodes     map[string]*gateway.Server
	addresses map[string]string
	replica   *versionsReplica
	// attempts is the number of the caller's attempts, began the id of the one that brought the
	// first event, and versions has the software versions of the events so far.
	attempts int
	began    string
	versions []string
}

func newVersionsCase(t *testing.T, instances string) *versionsCase {
	c := &versionsCase{
		t:         t,
		instances: map[string]*versionedInstance{},
		nodes:     map[string]*gateway.Server{},
		addresses: map[string]string{},
		replica:   &versionsReplica{nodes: map[string]*gateway.Server{}},
	}
	for _, text := range strings.Fields(instances) {
		id, software, _ := strings.Cut(strings.TrimSuffix(text, "*"), ":")
		c.instances[id] = newVersionedInstance(t, id, software, strings.HasSuffix(text, "*"))
	}
	for _, node := range []string{"n1", "n2"} {
		c.startNode(node)
	}
	return c
}

func (c *versionsCase) startNode(node string) {
	s := gateway.New(gateway.Config{
		Node:       fleet.NodeID(node),
		DataCentre: "local",
		Control: versionsControl{
			replica: c.replica,
			node:    node,
		},
		Protocol:   platform.Protocol{},
		RetryRatio: 0.2,
		RetrySlack: 1000,
		Log:        event.New(io.Discard, node),
	})
	s.HandleRouting(routing.NewView(routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name:        "r",
			Host:        "127.0.0.1",
			Prefix:      "/",
			Kind:        routing.KindStream,
			Resumable:   true,
			Timeout:     5 * time.Second,
			Targets:     targets,
			MaxAttempts: 3,
		}},
		Services: []routing.Service{{ID: "s"}},
	}))
	server := httptest.NewServer(s)
	c.t.Cleanup(func() {
		server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Close(ctx)
	})
	c.nodes[node], c.addresses[node] = s, server.URL
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	c.replica.nodes[node] = s
}

// run performs one step.
func (c *versionsCase) run(step string) {
	words, want, _ := strings.Cut(step, " = ")
	fields := strings.Fields(words)
	switch fields[0] {
	case "list":
		var list []routing.Instance
		for _, id := range fields[1:] {
			list = append(list, c.instances[id].listed)
		}
		for _, s := range c.nodes {
			s.SetInstances(list)
		}
	case "push":
		c.push(fields[1], fields[2], fields[3:])
	case "break":
		in := c.instances[fields[1]]
		in.mu.Lock()
		in.breakAfter, _ = strconv.Atoi(fields[2])
		in.mu.Unlock()
	case "restart":
		for node := range c.nodes {
			if fields[1] == "all" || slices.Contains(fields[1:], node) {
				c.startNode(node)
			}
		}
	case "control":
		c.setControl(fields[1])
	case "soon":
		// A push that comes while the next step runs.
		time.AfterFunc(100*time.Millisecond, func() { c.push(fields[1], fields[2], fields[3:]) })
	case "begin":
		c.began, c.versions = "", nil
		c.request(fields[1], step, want)
		// The node's report of the stream is under way for a moment.
		time.Sleep(50 * time.Millisecond)
	case "resume":
		c.request(fields[1], step, want)
	default:
		c.t.Fatalf("unknown step %q", step)
	}
}

// push passes a list to one node as an update of a control replica that has known the listed versions, and
// no others, for two minutes. The update proves what was listed up to the given time ago.
func (c *versionsCase) push(node, provenAgo string, ids []string) {
	ago, err := time.ParseDuration(provenAgo)
	if err != nil {
		c.t.Fatal(err)
	}
	now := clock.SinceBoot()
	list := control.InstanceList{
		ProvenAt: now - ago,
		Versions: &origin.Report{SinceMillis: (2 * time.Minute).Milliseconds()},
	}
	for _, id := range ids {
		list.Instances = append(list.Instances, c.instances[id].listed)
		list.Versions.Versions = append(list.Versions.Versions, origin.Version{
			Service:  "s",
			Software: c.instances[id].listed.Software,
		})
	}
	c.nodes[node].HandleInstances(list)
}

// setControl cuts the nodes off from the control replica, or makes it start again without memory.
func (c *versionsCase) setControl(state string) {
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	c.replica.cutOff = state == "off"
	c.replica.streams = origin.Table{}
}

// request makes one attempt at a node, and compares what the caller has by then.
func (c *versionsCase) request(node, step, want string) {
	c.attempts++
	id := fmt.Sprintf("%s-%d", c.t.Name(), c.attempts)
	r, err := http.NewRequest(http.MethodPost, c.addresses[node]+"/x", strings.NewReader("work"))
	if err != nil {
		c.t.Fatal(err)
	}
	r.Header.Set("Attempt-Id", id)
	if c.began != "" {
		r.Header.Set("Resumes", c.began)
		r.Header.Set("Last-Event-Id", strconv.Itoa(len(c.versions)))
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		c.t.Fatalf("%s: got no response: %v", step, err)
	}
	defer func() { _ = response.Body.Close() }()
	end := "whole"
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if software, ok := strings.CutPrefix(lines.Text(), "data:"); ok {
			software = cmp.Or(strings.TrimSpace(software), "?")
			c.versions = append(c.versions, software)
			if c.began == "" {
				c.began = id
			}
		}
	}
	opErr := (*net.OpError)(nil)
	switch {
	case response.StatusCode != http.StatusOK:
		end = strconv.Itoa(response.StatusCode)
	case errors.Is(lines.Err(), io.ErrUnexpectedEOF) || errors.As(lines.Err(), &opErr):
		end = "cut"
	}
	if got := strings.Join(append(slices.Clone(c.versions), end), " "); got != want {
		c.t.Errorf("%s: got %s", step, got)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		c.t.Errorf("%s: got a refusal without Retry-After", step)
	}
}

// TestStreamJoinsSoftwareVersions guards against streams whose events come from two software
// versions of a service: inside one response, or over a caller's attempts at the same node, another
// one, or one that has started again. It runs the cases in testdata/versions.txt.
func TestStreamJoinsSoftwareVersions(t *testing.T) {
	text, err := os.ReadFile("testdata/versions.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(strings.TrimSpace(line), " | ")
		if strings.HasPrefix(line, "#") || len(fields) != 3 {
			continue
		}
		t.Run(fields[0], func(t *testing.T) {
			c := newVersionsCase(t, fields[1])
			for _, step := range strings.Split(fields[2], "; ") {
				c.run(step)
			}
		})
	}
}
