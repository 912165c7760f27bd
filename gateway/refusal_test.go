package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestPartitionedNodeDelaysRetry covers a partition between all entry nodes and the
// control group in which no node has quota left. A caller that retried at once would use
// up a try in vain, so Retry-After must be as late as the caller can still be served.
func TestPartitionedNodeDelaysRetry(t *testing.T) {
	s := gateway.New(gateway.Config{
		Node:       "n1",
		Control:    unreachableControl{},
		Protocol:   platform.Protocol{},
		RetryRatio: 0.2,
		RetrySlack: 20,
		Log:        event.New(io.Discard, "n1"),
	})
	prepaid := fleet.Tokens(1_000_000)
	s.HandleRouting(routing.NewView(routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name:        "r",
			Host:        "127.0.0.1",
			Prefix:      "/",
			Kind:        routing.KindStream,
			Timeout:     6 * time.Second,
			Targets:     targets,
			MaxAttempts: 1,
		}},
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
	s.StartQuota()
	server := httptest.NewServer(s)
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader("prompt"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Attempt-Id", "a1")
	request.Header.Set("Authorization", "Token k")
	request.Header.Set("Token-Usage", "5000,100")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, want 503: the state of the budget is unknown", response.StatusCode)
	}
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || after < 1.5 || after > 2 {
		t.Errorf("got Retry-After %q, want just under a third of the 6 s", response.Header.Get("Retry-After"))
	}
}
