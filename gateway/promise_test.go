package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// TestFailureIsTakenForPromise runs the cases in testdata/promises.txt, directly and through a node that relays. Guards
// against callers that send a request again which has run, since its server's failure has a status that says it has not.
func TestFailureIsTakenForPromise(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, fields := range readCases(t, "testdata/promises.txt", 4) {
			name := fields[0]
			if relayed {
				name += ", relayed"
			}
			t.Run(name, func(t *testing.T) { runPromiseCase(t, fields, relayed) })
		}
	}
}

func runPromiseCase(t *testing.T, fields []string, relayed bool) {
	t.Parallel()
	status, err := strconv.Atoi(fields[2])
	if err != nil {
		t.Fatal(err)
	}
	f := newIsolatedFleet(t, 2)
	if relayed {
		f.isolate(0)
		f.cut(0, cutRefuse)
	}
	f.instances.failsWith.Store(int32(status))
	r, err := http.NewRequest(http.MethodPost, f.callers[0]+fields[1]+"x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Attempt-Id", "a")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if got, want := strconv.Itoa(response.StatusCode), fields[3]; got != want {
		t.Errorf("got status %s, want %s", got, want)
	}
	signed := response.Header.Get("Instance-Signature") != ""
	if got, want := signed, response.StatusCode == status; got != want {
		t.Errorf("got status %d signed by the server %t, want %t", response.StatusCode, got, want)
	}
	if got := response.Header.Get("Retry-After"); !signed && got != "" {
		t.Errorf("got Retry-After %q for a request that has run, want none", got)
	}
	f.instances.mu.Lock()
	defer f.instances.mu.Unlock()
	if f.instances.runs["a"] == 0 {
		t.Error("the request has not run, want it run")
	}
}
