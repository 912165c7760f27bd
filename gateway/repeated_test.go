package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/standin"
)

// The users' rule on requests that crash instances: later than crashGrace after the third crash, at
// most maxRepeats of its repetitions may reach instances.
const (
	crashGrace = 3 * time.Second
	maxRepeats = 3
	// restartTime is how long a crashed instance is down.
	restartTime = 500 * time.Millisecond
	deadlyBody  = "deadly"
)

// newCrashingService returns instances that crash on requests with the deadly body.
func newCrashingService(t *testing.T, instances int) (list []routing.Instance, servers []*standin.Crashing) {
	for i := range instances {
		server, err := standin.NewCrashing(standin.CrashingConfig{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(5 * time.Millisecond)
				w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
				w.Header().Set("Instance-Signature", "signed")
			}),
			Deadly:   deadlyBody,
			Downtime: restartTime,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		servers = append(servers, server)
		list = append(list, routing.Instance{
			ID:      fleet.BackendServerID("i" + strconv.Itoa(i)),
			Service: "s",
			Address: server.Address(),
			Slots:   8,
		})
	}
	return list, servers
}

// sendBody sends one request and returns the status, 0 if there was no response.
func sendBody(url, id, body string) int {
	request, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Attempt-Id", id)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestRepeatedRequestCrashesInstanceAfterInstance guards against a request that crashes each instance
// of a plain service that runs it, and that its caller sends again and again: two requests ended 19
// and 17 instances. Other requests of the same caller, on the same path, must be served.
func TestRepeatedRequestCrashesInstanceAfterInstance(t *testing.T) {
	for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindOnce} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			list, servers := newCrashingService(t, 3)
			server, _ := newGateway(t, routing.Route{
				Name:        "r",
				Host:        "127.0.0.1",
				Prefix:      "/",
				Kind:        kind,
				Timeout:     time.Second,
				Targets:     targets,
				MaxAttempts: 2,
			}, &scriptedInstances{list: list})
			sound, served := 0, 0
			started := time.Now()
			for n := 0; time.Since(started) < 8*time.Second; n++ {
				if n%2 == 0 {
					sendBody(server.URL, "deadly"+strconv.Itoa(n), deadlyBody)
				}
				status := sendBody(server.URL, "sound"+strconv.Itoa(n), "sound"+strconv.Itoa(n))
				if time.Since(started) > 5*time.Second {
					sound++
					if status == http.StatusOK {
						served++
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
			crashes, late := standin.LateArrivals(servers, 3, crashGrace)
			if crashes < 3 {
				t.Fatalf("got %d crashes, want at least 3 before the request is suspected", crashes)
			}
			if late > maxRepeats {
				t.Errorf("got %d repetitions at instances later than %s after the third of %d crashes, want at most %d", late, crashGrace, crashes, maxRepeats)
			}
			if served < sound*95/100 {
				t.Errorf("got %d of %d sound requests served after 5 s, want nearly all", served, sound)
			}
		})
	}
}
