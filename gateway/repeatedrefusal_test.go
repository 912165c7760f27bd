package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/routing"
)

// TestRepeatedRefusalCountsForAnother runs the cases of testdata/repeatedrefusals.txt: a server writes
// an earlier refusal once more on a kept connection, before it runs the request. Guards against
// callers that are told that a request has not run while it does, and against a second run.
func TestRepeatedRefusalCountsForAnother(t *testing.T) {
	for _, fields := range readCases(t, "testdata/repeatedrefusals.txt", 6) {
		t.Run(fields[0], func(t *testing.T) { runRepeatedRefusalCase(t, fields) })
	}
}

func runRepeatedRefusalCase(t *testing.T, fields []string) {
	attempts, err := strconv.Atoi(fields[2])
	if err != nil {
		t.Fatal(err)
	}
	in := newInstances(t, "")
	server := newServer(t, routing.Route{
		Name:        "r",
		Host:        "127.0.0.1",
		Prefix:      "/",
		Kind:        routing.Kind(fields[1]),
		Timeout:     time.Second,
		Targets:     targets,
		MaxAttempts: attempts,
	}, in)
	warmUp(t, server, in)
	in.mu.Lock()
	before := in.requests
	in.script = append(make([]string, before), strings.Fields(fields[3])...)
	in.mu.Unlock()
	if got, want := strconv.Itoa(postWork(t, server, "id1")), fields[4]; got != want {
		t.Errorf("got status %s, want %s", got, want)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if got, want := strconv.Itoa(in.requests-before), fields[5]; got != want {
		t.Errorf("got %s requests at the instances, want %s", got, want)
	}
}

// warmUp sends requests until both instances have had two, so that each has a kept connection.
func warmUp(t *testing.T, server *httptest.Server, in *scriptedInstances) {
	t.Helper()
	for i := range 100 {
		if got, want := postWork(t, server, "warm"+strconv.Itoa(i)), http.StatusOK; got != want {
			t.Fatalf("got status %d before the case began, want %d", got, want)
		}
		in.mu.Lock()
		ready := in.byInstance["i0"] > 1 && in.byInstance["i1"] > 1
		in.mu.Unlock()
		if ready {
			return
		}
	}
	t.Fatal("got no request at one of the instances")
}

// postWork sends a request and returns the status of its response.
func postWork(t *testing.T, server *httptest.Server, id string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Attempt-Id", id)
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
