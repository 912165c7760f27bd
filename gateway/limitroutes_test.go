package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/routing"
)

// TestRetriesAndResumptionsCountForTheLimit guards against requests that reach a limited instance
// besides the first attempts: retries, and streams that go on elsewhere. Two instances that fail all
// requests name 2 requests a second each.
func TestRetriesAndResumptionsCountForTheLimit(t *testing.T) {
	for _, c := range []struct {
		name, action string
		route        routing.Route
	}{
		{
			name:   "retries",
			action: "fail",
			route:  routing.Route{Kind: routing.KindIdempotent},
		},
		{
			name:   "resumed streams",
			action: "break",
			route: routing.Route{
				Kind:      routing.KindStream,
				Resumable: true,
			},
		},
		{
			name:   "requests that run once",
			action: "fail",
			route:  routing.Route{Kind: routing.KindOnce},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.route.Name = "r"
			c.route.Host = "127.0.0.1"
			c.route.Prefix = "/"
			c.route.Timeout = time.Second
			c.route.Targets = targets
			c.route.MaxAttempts = 3
			in := newInstances(t, strings.Repeat(c.action+" ", 500))
			in.limit = "2"
			server := newServer(t, c.route, in)
			sending := sync.WaitGroup{}
			for range 150 {
				sending.Go(func() { tryRequest(server.URL) })
				time.Sleep(20 * time.Millisecond)
			}
			sending.Wait()
			in.mu.Lock()
			defer in.mu.Unlock()
			late := 0
			for _, at := range in.arrivals {
				if at.Sub(in.arrivals[0]) > time.Second {
					late++
				}
			}
			// Two seconds of one and a half times the limit of both.
			if most := 12 + 5; late > most {
				t.Errorf("got %d requests in 2 s at two instances that take 2 a second each, want at most %d", late, most)
			}
			if late == 0 {
				t.Error("got no request at the instances, want what the limits allow")
			}
		})
	}
}

// tryRequest sends a request, whatever comes of it.
func tryRequest(url string) {
	request, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader("work"))
	if err != nil {
		return
	}
	request.Header.Set("Attempt-Id", "id")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
