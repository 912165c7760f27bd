package entry_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/google/uuid"
)

// TestFailedCallIsTakenForPromise guards against callers that make a call again, under a new id, which has run: its server's
// failure has a status that says it has not. The stored outcome must say the same.
func TestFailedCallIsTakenForPromise(t *testing.T) {
	for _, c := range []struct {
		method, path string
		status, want int
	}{
		{
			method: http.MethodPost,
			path:   "change",
			status: http.StatusServiceUnavailable,
			want:   http.StatusBadGateway,
		},
		{
			method: http.MethodPost,
			path:   "change",
			status: http.StatusTooManyRequests,
			want:   http.StatusBadGateway,
		},
		{
			method: http.MethodPost,
			path:   "change",
			status: http.StatusRequestTimeout,
			want:   http.StatusBadGateway,
		},
		{
			method: http.MethodPost,
			path:   "change",
			status: http.StatusMisdirectedRequest,
			want:   http.StatusBadGateway,
		},
		{
			method: http.MethodPost,
			path:   "change",
			status: http.StatusConflict,
			want:   http.StatusConflict,
		},
		{
			method: http.MethodPut,
			path:   "lookup",
			status: http.StatusServiceUnavailable,
			want:   http.StatusServiceUnavailable,
		},
	} {
		t.Run(c.path+" "+strconv.Itoa(c.status), func(t *testing.T) {
			services := newCrashing(t, 2, func() http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					w.WriteHeader(c.status)
				})
			})
			url := startEntry(t, nil, services)
			id := uuid.Must(uuid.NewV7()).String()
			for try := range 2 {
				r, err := http.NewRequest(c.method, url+"/v1/services/s/"+c.path, strings.NewReader("work"))
				if err != nil {
					t.Fatal(err)
				}
				r.Header.Set("Authorization", "Bearer "+testKey)
				r.Header.Set("Idempotency-Key", id)
				response, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if got := response.StatusCode; got != c.want {
					t.Errorf("try %d: got status %d, want %d", try, got, c.want)
				}
				if got := response.Header.Get("Retry-After"); got != "" {
					t.Errorf("try %d: got Retry-After %q for a call that has run, want none", try, got)
				}
			}
		})
	}
}
