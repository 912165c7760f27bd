package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/controlclient"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/routing"
)

// unconfirmedControl is a ControlClient that last heard some time ago that the configuration is the
// newest.
type unconfirmedControl struct {
	unreachableControl
	age time.Duration
}

func (c unconfirmedControl) Unconfirmed() time.Duration { return c.age }

// TestUnconfirmedNodeDeniesRoutes asks a node for routes and with keys that its configuration does
// not have, by the cases of testdata/unconfirmed.txt. Guards against 404 and 401 for what a newer
// configuration has.
func TestUnconfirmedNodeDeniesRoutes(t *testing.T) {
	for _, fields := range readCases(t, "testdata/unconfirmed.txt", 6) {
		t.Run(fields[0], func(t *testing.T) { runUnconfirmedCase(t, fields) })
	}
}

func runUnconfirmedCase(t *testing.T, fields []string) {
	age := controlclient.NeverConfirmed
	if fields[3] != "never" {
		millis, err := strconv.Atoi(fields[3])
		if err != nil {
			t.Fatal(err)
		}
		age = time.Duration(millis) * time.Millisecond
	}
	s := gateway.New(gateway.Config{
		Node:       "n1",
		Control:    unconfirmedControl{age: age},
		Protocol:   platform.Protocol{},
		RetryRatio: 0.2,
		RetrySlack: 20,
		Log:        event.New(io.Discard, "n1"),
	})
	s.HandleEntryNodes(1)
	s.HandleRouting(routing.NewView(routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name:        "r",
			Host:        "127.0.0.1",
			Prefix:      "/known/",
			Kind:        routing.KindIdempotent,
			Timeout:     time.Second,
			Targets:     targets,
			MaxAttempts: 1,
		}},
		Services: []routing.Service{{ID: "s"}},
		Workspaces: []routing.Workspace{{
			ID:   "w",
			Keys: []string{"k1"},
		}},
	}))
	s.SetInstances(newInstances(t, "").list)
	server := serveGateway(t, s)
	request, err := http.NewRequest(http.MethodGet, server.URL+fields[1], http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Attempt-Id", "id1")
	if fields[2] != "" {
		request.Header.Set("Authorization", "Token "+fields[2])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, want := strconv.Itoa(response.StatusCode), fields[4]; got != want {
		t.Errorf("got status %s, want %s", got, want)
	}
	if fields[5] == "" {
		return
	}
	body := struct {
		Error string `json:"error"`
	}{}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if got, want := body.Error, fields[5]; got != want {
		t.Errorf("got cause %q, want %q", got, want)
	}
	if after := response.Header.Get("Retry-After"); (response.StatusCode == http.StatusServiceUnavailable) != (after != "") {
		t.Errorf("got Retry-After %q with status %d", after, response.StatusCode)
	}
}
