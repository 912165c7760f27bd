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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/routing"
)

// cutHeads are responses whose heads are cut at each byte. %s is the id of the request.
var cutHeads = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: signed\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
	"chunked": "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: signed\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	"interim": "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: signed\r\nContent-Length: 12\r\n\r\n",
	"bare":    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: signed\r\nContent-Length: 0\r\n",
}

// cutHeadInstance is an instance that breaks off in the head of its response. The path of a request says
// where and how: /ROUTE/HEAD/BYTES/END. A stream that is resumed got two events before.
type cutHeadInstance struct {
	received *atomic.Int64
}

// ServeHTTP implements http.Handler.
func (in cutHeadInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, parts := r.Header.Get("Attempt-Id"), strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if len(parts) < 4 {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Signature: signed\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	in.received.Add(1)
	if parts[0] == "resumed" && r.Header.Get("Last-Event-Id") == "" {
		const events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
		_, _ = fmt.Fprintf(conn, cutHeads["chunked"]+"%x\r\n%s\r\n", id, len(events), events)
		return
	}
	n, _ := strconv.Atoi(parts[2])
	head := fmt.Sprintf(cutHeads[parts[1]], id)
	_, _ = io.WriteString(conn, head[:min(n, len(head))])
	if parts[3] == "reset" {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// cutHeadID returns the id of a request, of the same length for all cuts of a head.
func cutHeadID(route, head string, n int, end string) string {
	return fmt.Sprintf("%s-%s-%03d-%s", route, head, n, end)
}

// cutHeadRouting has a route for each kind of request.
func cutHeadRouting() *routing.View {
	config := routing.Config{
		Version:  1,
		Services: []routing.Service{{ID: "s"}},
	}
	for prefix, kind := range map[string]routing.Kind{
		"/once/":    routing.KindOnce,
		"/repeat/":  routing.KindIdempotent,
		"/stream/":  routing.KindStream,
		"/resumed/": routing.KindStream,
	} {
		config.Routes = append(config.Routes, routing.Route{
			Name:        routing.RouteName(prefix),
			Host:        "127.0.0.1",
			Prefix:      prefix,
			Kind:        kind,
			Resumable:   prefix == "/resumed/",
			Timeout:     3 * time.Second,
			Targets:     targets,
			MaxAttempts: 2,
		})
	}
	return routing.NewView(config)
}

func cutHeadList(addresses []netip.AddrPort) []routing.Instance {
	var list []routing.Instance
	for i, address := range addresses {
		list = append(list, routing.Instance{
			ID:       fleet.BackendServerID(fmt.Sprint("i", i)),
			Service:  "s",
			Address:  address,
			Slots:    64,
			Software: "v1",
		})
	}
	return list
}

// cutHeadFleet returns the address of a node that reaches two such instances directly, or only through
// another node.
func cutHeadFleet(t *testing.T, relayed bool) (url string, received *atomic.Int64) {
	received = &atomic.Int64{}
	var addresses []netip.AddrPort
	for range 2 {
		server := httptest.NewServer(cutHeadInstance{received: received})
		t.Cleanup(server.Close)
		addresses = append(addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	if !relayed {
		s := gateway.New(gateway.Config{
			Node:       "n1",
			Control:    unreachableControl{},
			Protocol:   platform.Protocol{},
			RetryRatio: 1,
			RetrySlack: 100_000,
			Log:        event.New(io.Discard, "n1"),
		})
		s.HandleEntryNodes(1)
		s.HandleRouting(cutHeadRouting())
		s.SetInstances(cutHeadList(addresses))
		return serveGateway(t, s).URL, received
	}
	f := &isolatedFleet{t: t}
	for i := range 2 {
		f.addNode(i, addresses)
		f.servers[i].HandleRouting(cutHeadRouting())
		f.servers[i].SetInstances(cutHeadList([]netip.AddrPort{f.paths[i][0].address, f.paths[i][1].address}))
	}
	f.cut(0, cutRefuse)
	for deadline := time.Now().Add(10 * time.Second); f.send(0, "/repeat/", "w") != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got no relayed response within 10 s")
		}
	}
	return f.callers[0], received
}

// wholeSuccess sends a request and reports whether the caller gets a success that looks whole, and the status.
func wholeSuccess(ctx context.Context, url, id string) (bool, int) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("work"))
	if err != nil {
		return false, 0
	}
	r.Header.Set("Attempt-Id", id)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return false, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, bufio.NewReader(response.Body))
	return err == nil && response.StatusCode < 300, response.StatusCode
}

// TestHeadBrokenOffLooksWhole guards against an instance that stops in the middle of a response's head and
// closes, and whose caller gets a success with an empty or short body, framed as whole. Heads are cut at each
// byte, by the end of the connection and by a reset, for all kinds of requests, directly and relayed.
func TestHeadBrokenOffLooksWhole(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %v", relayed), func(t *testing.T) {
			base, received := cutHeadFleet(t, relayed)
			whole, cases := 0, 0
			mu, callers, slots := sync.Mutex{}, sync.WaitGroup{}, make(chan struct{}, 16)
			for route, heads := range map[string][]string{
				"once":    {"length", "interim", "bare"},
				"repeat":  {"length", "bare"},
				"stream":  {"chunked", "interim"},
				"resumed": {"chunked", "bare"},
			} {
				for _, head := range heads {
					longest := len(fmt.Sprintf(cutHeads[head], cutHeadID(route, head, 0, "reset")))
					if head == "bare" {
						longest++
					}
					for n := range longest {
						for _, end := range []string{"close", "reset"} {
							slots <- struct{}{}
							callers.Go(func() {
								defer func() { <-slots }()
								id := cutHeadID(route, head, n, end)
								ok, status := wholeSuccess(context.Background(), fmt.Sprintf("%s/%s/%s/%d/%s/", base, route, head, n, end), id)
								mu.Lock()
								defer mu.Unlock()
								cases++
								if ok {
									whole++
									t.Errorf("%s: got a whole success, want a failure", id)
								}
								if route == "once" && status == http.StatusServiceUnavailable {
									t.Errorf("%s: got status 503, which says that it has not run", id)
								}
							})
						}
					}
				}
			}
			callers.Wait()
			t.Logf("%d of %d look whole", whole, cases)
			if got := received.Load(); got < int64(cases) {
				t.Errorf("got %d requests at the instances, want at least the %d sent", got, cases)
			}
		})
	}
}
