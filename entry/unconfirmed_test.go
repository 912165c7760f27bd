package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/standin"
)

// TestUnconfirmedNodeDeniesKeys asks a node's own interface for what its configuration does not have.
// Guards against 401 and 404 for what a newer configuration has.
func TestUnconfirmedNodeDeniesKeys(t *testing.T) {
	const chat = `{"model":"m2","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name, key, path, body string
		confirmed             int
	}{
		{
			name:      "key",
			key:       "other",
			path:      "/v1/chat/completions",
			body:      chat,
			confirmed: http.StatusUnauthorized,
		},
		{
			name:      "model",
			key:       testKey,
			path:      "/v1/chat/completions",
			body:      chat,
			confirmed: http.StatusNotFound,
		},
		{
			name:      "service",
			key:       testKey,
			path:      "/v1/services/s2/lookup",
			confirmed: http.StatusNotFound,
		},
		{
			name:      "call of a service",
			key:       testKey,
			path:      "/v1/services/s/new",
			confirmed: http.StatusNotFound,
		},
	} {
		for age, want := range map[time.Duration]int{
			1900 * time.Millisecond: c.confirmed,
			2100 * time.Millisecond: http.StatusServiceUnavailable,
			time.Hour:               http.StatusServiceUnavailable,
		} {
			control, url := startEntryWith(t, nil, []*standin.Crashing(nil))
			control.unconfirmed = age
			request, err := http.NewRequest(http.MethodPost, url+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+c.key)
			request.Header.Set("Idempotency-Key", fleet.NewRequestID().String())
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if got := response.StatusCode; got != want {
				t.Errorf("%s, confirmed %s ago: got status %d, want %d", c.name, age, got, want)
			}
			if got, want := response.Header.Get("Retry-After") != "", want == http.StatusServiceUnavailable; got != want {
				t.Errorf("%s, confirmed %s ago: got Retry-After %t, want %t", c.name, age, got, want)
			}
		}
	}
}
