package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/controlclient"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
)

var targets = []routing.Target{{
	Service: "s",
	Weight:  1,
}}

// unreachableControl is a ControlClient that cannot reach the control group.
type unreachableControl struct{}

func (unreachableControl) Submit(ctx context.Context, _ control.Command) (control.Result, error) {
	<-ctx.Done()
	return control.Result{}, ctx.Err()
}

func (unreachableControl) Holder() fleet.Holder       { return fleet.Holder{Node: "n1"} }
func (unreachableControl) ControlReachable() bool     { return false }
func (unreachableControl) Unconfirmed() time.Duration { return 0 }
func (unreachableControl) Roster() []roster.Report    { return nil }
func (unreachableControl) SendHeartbeat()             {}

func (unreachableControl) FindOrigin(context.Context, origin.Key) (origin.Answer, error) {
	return origin.Answer{}, controlclient.ErrUnavailable
}

// scriptedInstances are test instances of a service. Each request, at whichever instance,
// is handled by the next action of the script; after the end of the script by ok.
type scriptedInstances struct {
	t        *testing.T
	mu       sync.Mutex
	script   []string
	requests int
	// lastEventIDs has the Last-Event-Id header of each request.
	lastEventIDs []string
	// byInstance has the number of requests at each instance.
	byInstance map[string]int
	list       []routing.Instance
	// body is what the actions fin and abort send after the header fields of every response, and the
	// whole response of the action raw.
	body string
	// arrivals has the time of each request.
	arrivals []time.Time
	// limit is the limit that all responses name, empty for none.
	limit string
}

func newInstances(t *testing.T, script string) *scriptedInstances {
	in := &scriptedInstances{
		t:          t,
		script:     strings.Fields(script),
		byInstance: map[string]int{},
	}
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		id := fleet.BackendServerID("i" + strconv.Itoa(i))
		in.list = append(in.list, routing.Instance{
			ID:      id,
			Service: "s",
			Address: listener.Addr().(*net.TCPAddr).AddrPort(),
			Slots:   4,
			// An instance of unknown software may not continue the streams of another one.
			Software: "v1",
		})
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go in.serve(conn)
			}
		}()
	}
	return in
}

// next returns the action for the next request.
func (in *scriptedInstances) next(r *http.Request) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lastEventIDs = append(in.lastEventIDs, r.Header.Get("Last-Event-Id"))
	action := "ok"
	if in.requests < len(in.script) {
		action = in.script[in.requests]
	}
	in.requests++
	in.byInstance[r.Header.Get("Expected-Instance")]++
	in.arrivals = append(in.arrivals, time.Now())
	return action
}

func (in *scriptedInstances) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !in.respond(conn, request, in.next(request)) {
			return
		}
	}
}

// respond performs the action for one request and reports whether the connection stays
// open.
func (in *scriptedInstances) respond(conn net.Conn, r *http.Request, action string) bool {
	id := "Attempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nInstance-Signature: signed\r\n"
	if in.limit != "" {
		id += "Server-Limit: " + in.limit + "\r\n"
	}
	send := func(text string) { _, _ = io.WriteString(conn, text) }
	switch action {
	case "ok":
		send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ndone")
	case "refuse":
		send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case "raw":
		send(strings.Replace(in.body, "ID", id, 1))
		return false
	case "late":
		// Repeats an earlier refusal before it runs the request.
		send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ndone")
	case "late421":
		send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ndone")
	case "lateNamed":
		send("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ndone")
	case "refuseNamed":
		send("HTTP/1.1 503 Service Unavailable\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case "full":
		send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n")
	case "leaving":
		send("HTTP/1.1 200 OK\r\n" + id + "Server-Leaving: 1\r\nContent-Length: 4\r\n\r\ndone")
	case "other":
		send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	case "fail":
		send("HTTP/1.1 500 Internal Server Error\r\n" + id + "Content-Length: 4\r\n\r\nfail")
	case "zero":
		send("HTTP/1.1 000 None\r\n" + id + "Content-Length: 4\r\n\r\nnone")
	case "zeroHead":
		// The body of the first head looks like a response.
		send("HTTP/1.1 000 None\r\n" + id + "\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nfake")
	case "switch":
		send("HTTP/1.1 101 Switching Protocols\r\n" + id + "\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nfake")
	case "unsigned":
		send("HTTP/1.1 200 OK\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nContent-Length: 4\r\n\r\ndone")
	case "truncate":
		send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ndo")
		return false
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case "fin":
		send("HTTP/1.1 200 OK\r\n" + id + in.body)
		return false
	case "abort":
		send("HTTP/1.1 200 OK\r\n" + id + in.body)
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case "foreign":
		send("HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nInstance-Signature: signed\r\nContent-Length: 5\r\n\r\nother")
		send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ndone")
	case "garbage":
		send("not an answer\r\n\r\n")
		return false
	case "huge":
		send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9000000000000000000\r\n\r\ndone")
		return false
	case "slow":
		time.Sleep(400 * time.Millisecond)
		send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ndone")
	case "silent":
		time.Sleep(time.Second)
		return false
	case "slowStream":
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 1; i <= 8; i++ {
			time.Sleep(150 * time.Millisecond)
			text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		}
		send("0\r\n\r\n")
	case "drip":
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			if _, err := io.WriteString(conn, "1\r\nx\r\n"); err != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	case "stream", "break", "start":
		return in.stream(conn, r, id, action)
	default:
		in.t.Errorf("unknown action %q in the script", action)
	}
	return true
}

// stream sends the events up to 4 that follow the caller's last event: all of them
// (stream), up to the middle of event 3 (break), or only the header (start).
func (in *scriptedInstances) stream(conn net.Conn, r *http.Request, id, action string) bool {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+id+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	if action == "start" {
		return false
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= 4; i++ {
		text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		if action == "break" && i == 3 {
			text = text[:8]
		}
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		if action == "break" && i == 3 {
			return false
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	return true
}

// newServer returns a server with one route to the instances.
func newServer(t *testing.T, route routing.Route, in *scriptedInstances) *httptest.Server {
	server, _ := newGateway(t, route, in)
	return server
}

// newGateway is like newServer and returns the gateway too.
func newGateway(t *testing.T, route routing.Route, in *scriptedInstances) (*httptest.Server, *gateway.Server) {
	s := gateway.New(gateway.Config{
		Node:        "n1",
		Control:     unreachableControl{},
		Protocol:    platform.Protocol{},
		RetryRatio:  0.2,
		RetrySlack:  20,
		MaxInFlight: maxInFlight,
		Log:         event.New(io.Discard, "n1"),
	})
	s.HandleEntryNodes(1)
	s.HandleRouting(routing.NewView(routing.Config{
		Version:  1,
		Routes:   []routing.Route{route},
		Services: []routing.Service{{ID: "s"}},
	}))
	s.SetInstances(in.list)
	return serveGateway(t, s), s
}

// serveGateway serves callers until the test ends.
func serveGateway(t *testing.T, s *gateway.Server) *httptest.Server {
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Close(ctx)
	})
	return server
}

// TestExchange runs the cases in testdata/exchange.txt: "name | kind of route, with + if
// resumable | maximum attempts | actions of the instances | status | body, or cut if the
// connection is closed early | requests at the instances".
func TestExchange(t *testing.T) {
	text, err := os.ReadFile("testdata/exchange.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(strings.TrimSpace(line), " | ")
		if len(fields) != 7 {
			continue
		}
		t.Run(fields[0], func(t *testing.T) { runExchangeCase(t, fields) })
	}
}

func runExchangeCase(t *testing.T, fields []string) {
	attempts, err := strconv.Atoi(fields[2])
	if err != nil {
		t.Fatal(err)
	}
	route := routing.Route{
		Name:        "r",
		Host:        "127.0.0.1",
		Prefix:      "/",
		Kind:        routing.Kind(strings.TrimSuffix(fields[1], "+")),
		Resumable:   strings.HasSuffix(fields[1], "+"),
		Timeout:     300 * time.Millisecond,
		Targets:     targets,
		MaxAttempts: attempts,
	}
	in := newInstances(t, fields[3])
	server := newServer(t, route, in)
	request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Attempt-Id", "id1")
	started := time.Now()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		t.Fatalf("got no response: %v", err)
	}
	body, bodyErr := io.ReadAll(response.Body)
	if elapsed := time.Since(started); elapsed > 600*time.Millisecond {
		t.Errorf("got the response after %v, want it at the route's timeout of 300ms at the latest", elapsed)
	}
	if got, want := strconv.Itoa(response.StatusCode), fields[4]; got != want {
		t.Errorf("got status %s, want %s", got, want)
	}
	got := strings.ReplaceAll(string(body), "\n", "~")
	if bodyErr != nil {
		got = "cut"
	}
	if want := fields[5]; want != "" && got != want {
		t.Errorf("got body %q, want %q", got, want)
	}
	if refused := response.StatusCode == http.StatusServiceUnavailable; refused != (response.Header.Get("Retry-After") != "") {
		t.Errorf("got status %d with Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if got, want := strconv.Itoa(in.requests), fields[6]; got != want {
		t.Errorf("got %s requests at the instances, want %s", got, want)
	}
}

// TestBusyNodeRefusesAtOnce guards against a node that runs out of memory when many users
// send requests at the same time: requests beyond its limit must be refused at once, so
// that callers try another node.
func TestBusyNodeRefusesAtOnce(t *testing.T) {
	in := newInstances(t, strings.Repeat("silent ", 8))
	server := newServer(t, routing.Route{
		Name:        "r",
		Host:        "127.0.0.1",
		Prefix:      "/",
		Kind:        routing.KindOnce,
		Timeout:     500 * time.Millisecond,
		Targets:     targets,
		MaxAttempts: 1,
	}, in)
	const callers = maxInFlight + 4
	statuses := make(chan int, callers)
	started := time.Now()
	for range callers {
		go func() {
			response, err := http.Post(server.URL+"/x", "text/plain", strings.NewReader("work"))
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusServiceUnavailable && time.Since(started) > 200*time.Millisecond {
				t.Error("got a refusal late, want it at once")
			}
			statuses <- response.StatusCode
		}()
	}
	count := map[int]int{}
	for range callers {
		count[<-statuses]++
	}
	if got, want := count[http.StatusServiceUnavailable], 4; got != want {
		t.Errorf("got %d refusals of %v, want %d", got, count, want)
	}
}

// maxInFlight is the limit of the test servers.
const maxInFlight = 4

// TestUnreachableInstancesGive503 checks that a request is refused as not run, so that the
// caller may retry it, if no instance accepts a connection.
func TestUnreachableInstancesGive503(t *testing.T) {
	in := newInstances(t, "")
	for i := range in.list {
		// No process listens on this port.
		in.list[i].Address = netip.MustParseAddrPort("127.0.0.1:9")
	}
	server := newServer(t, routing.Route{
		Name:        "r",
		Host:        "127.0.0.1",
		Prefix:      "/",
		Kind:        routing.KindOnce,
		Timeout:     time.Second,
		Targets:     targets,
		MaxAttempts: 1,
	}, in)
	response, err := http.Post(server.URL+"/x", "text/plain", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d: nothing was sent", got, want)
	}
}

// TestCallerDisconnectClosesInstanceConnection guards against instances that go on working
// for a caller that has disconnected. It closes a caller's connection and waits until the
// instance sees its own connection closed.
func TestCallerDisconnectClosesInstanceConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	received, closed := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		close(received)
		_, _ = io.Copy(io.Discard, reader)
		close(closed)
	}()
	in := &scriptedInstances{list: []routing.Instance{{
		ID:      "i0",
		Service: "s",
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
		Slots:   4,
	}}}
	server := newServer(t, routing.Route{
		Name:        "r",
		Host:        "127.0.0.1",
		Prefix:      "/",
		Kind:        routing.KindStream,
		Timeout:     10 * time.Second,
		Targets:     targets,
		MaxAttempts: 1,
	}, in)
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	<-received
	disconnect()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection to the instance was still open 500ms after the caller had disconnected")
	}
}
