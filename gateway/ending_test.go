package gateway_test

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/routing"
)

// TestBrokenOffStreamLooksComplete guards against a stream that its engine breaks off inside an
// event and that reaches the caller as a complete response. The cases are in testdata/endings.txt.
func TestBrokenOffStreamLooksComplete(t *testing.T) {
	text, err := os.ReadFile("testdata/endings.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(strings.TrimSuffix(strings.TrimSpace(line), " |"), " | ")
		if len(fields) == 5 {
			fields = append(fields, "")
		}
		if len(fields) != 6 || fields[0] == "name" {
			continue
		}
		t.Run(fields[0], func(t *testing.T) { runEndingCase(t, fields) })
	}
}

func runEndingCase(t *testing.T, fields []string) {
	body, err := strconv.Unquote(fields[2])
	if err != nil {
		t.Fatal(err)
	}
	status, err := strconv.Atoi(fields[4])
	if err != nil {
		t.Fatal(err)
	}
	in := newInstances(t, fields[3]+" stream")
	in.body = body
	server := newServer(t, routing.Route{
		Name:        "r",
		Host:        "127.0.0.1",
		Prefix:      "/",
		Kind:        routing.Kind(strings.TrimSuffix(fields[1], "+")),
		Resumable:   strings.HasSuffix(fields[1], "+"),
		Timeout:     300 * time.Millisecond,
		Targets:     targets,
		MaxAttempts: 2,
	}, in)
	request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Attempt-Id", "id1")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		t.Fatalf("got no response: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	received, bodyErr := io.ReadAll(response.Body)
	got := strings.NewReplacer("\r", "", "\n", "~").Replace(string(received))
	if bodyErr != nil {
		got = "cut"
	}
	if response.StatusCode != status {
		t.Errorf("got status %d with body %q, want status %d", response.StatusCode, got, status)
		return
	}
	if want := fields[5]; status == http.StatusOK && got != want {
		t.Errorf("got body %q, want %q", got, want)
	}
}
