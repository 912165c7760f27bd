package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/routing"
)

var onceRoute = routing.Route{
	Name:        "r",
	Host:        "127.0.0.1",
	Prefix:      "/",
	Kind:        routing.KindOnce,
	Timeout:     5 * time.Second,
	Targets:     targets,
	MaxAttempts: 1,
}

// send sends one request and returns its response, whose body is closed.
func send(t *testing.T, url string, n int) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Attempt-Id", "id"+strconv.Itoa(n))
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response
}

// TestLeavingInstanceGetsNoMoreRequests lets the instance that answers first say that it leaves.
// It must get no further request, although the list has it as ready all the time.
func TestLeavingInstanceGetsNoMoreRequests(t *testing.T) {
	in := newInstances(t, "leaving")
	server, g := newGateway(t, onceRoute, in)
	for n := range 20 {
		if got, want := send(t, server.URL, n).StatusCode, http.StatusOK; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
		g.SetInstances(in.list)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if got, want := min(in.byInstance["i0"], in.byInstance["i1"]), 1; got != want {
		t.Errorf("got %d requests at the instance that leaves, want %d", got, want)
	}
}

// TestFullInstancesGetNoRequests lets both instances refuse a request with a time. Until it is over
// no request may reach them, and callers must be refused at once with the time that is left.
func TestFullInstancesGetNoRequests(t *testing.T) {
	in := newInstances(t, "full full")
	server, _ := newGateway(t, onceRoute, in)
	refused := time.Now()
	send(t, server.URL, 1)
	send(t, server.URL, 2)
	for n := range 5 {
		started := time.Now()
		response := send(t, server.URL, 3+n)
		if took := time.Since(started); response.StatusCode != http.StatusServiceUnavailable || took > 100*time.Millisecond {
			t.Errorf("got status %d after %s, want 503 at once", response.StatusCode, took)
		}
		left := 800*time.Millisecond - time.Since(refused)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if wait := time.Duration(after * float64(time.Second)); err != nil || wait < left || wait > left+300*time.Millisecond {
			t.Errorf("got Retry-After %q, want a little over %s", response.Header.Get("Retry-After"), left)
		}
	}
	in.mu.Lock()
	if got, want := in.requests, 2; got != want {
		t.Errorf("got %d requests at full instances, want %d", got, want)
	}
	in.mu.Unlock()
	time.Sleep(time.Until(refused.Add(900 * time.Millisecond)))
	if got, want := send(t, server.URL, 9).StatusCode, http.StatusOK; got != want {
		t.Errorf("got status %d when the time is over, want %d", got, want)
	}
}
