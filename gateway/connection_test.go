package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestConnectionsAreClosedAfterSomeRequests guards against a workspace that overloads one
// entry node by sending all its requests over connections that it keeps open. Each
// connection is closed after some requests, announced by "Connection: close" in the last
// response, so that the next connection may lead to another entry node.
func TestConnectionsAreClosedAfterSomeRequests(t *testing.T) {
	in := newInstances(t, "")
	inner := newServer(t, routing.Route{
		Name:        "r",
		Host:        "127.0.0.1",
		Prefix:      "/",
		Kind:        routing.KindIdempotent,
		Timeout:     time.Second,
		Targets:     targets,
		MaxAttempts: 1,
	}, in)
	server := httptest.NewUnstartedServer(inner.Config.Handler)
	server.Config.ConnContext = gateway.ConnContext
	server.Start()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	const requests = 100
	closed := 0
	for i := range requests {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader("work"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Attempt-Id", strconv.Itoa(i))
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusOK {
			t.Fatalf("got status %d, want 200 also for the last request of a connection", response.StatusCode)
		}
		if response.Close {
			closed++
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if closed < 4 || closed > 10 {
		t.Errorf("got %d connections closed in %d requests, want 4 to 10", closed, requests)
	}
}
