package entry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// TestChatEndsServerAfterServer guards against a chat that is sent on each time that an engine
// crashes on it. A server that refuses, or breaks after its first token, is no reason to stop.
func TestChatEndsServerAfterServer(t *testing.T) {
	crash := attemptError(t, func(w http.ResponseWriter) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
	busy := attemptError(t, func(w http.ResponseWriter) {
		w.Header().Set(backend.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for name, c := range map[string]struct {
		errs  []error
		begun bool
		want  int
	}{
		"crashes": {
			errs: []error{crash, crash, crash, crash},
			want: 2,
		},
		"refusals": {
			errs: []error{busy, busy, busy, busy},
			want: 4,
		},
		"crashes after the first token": {
			errs:  []error{crash, crash, crash, crash},
			begun: true,
			want:  4,
		},
	} {
		x, got := &exchange{
			server:       &Server{cfg: Config{Quarantine: newLocalQuarantine()}},
			ctx:          t.Context(),
			identityHash: "request:r",
		}, 0
		for _, err := range c.errs {
			got++
			if x.attemptEnded(poolKey{model: "m"}, catalog.BackendServer{ID: fleet.BackendServerID(name)}, err, c.begun) {
				break
			}
		}
		if got != c.want {
			t.Errorf("%s: got the request at %d servers, want %d", name, got, c.want)
		}
	}
}

// attemptError returns the error of a chat at a server with the handler.
func attemptError(t *testing.T, handle func(http.ResponseWriter)) error {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { handle(w) }))
	defer server.Close()
	client := backend.NewClient(catalog.BackendServer{
		ID:      "e1",
		Address: strings.TrimPrefix(server.URL, "http://"),
	})
	defer client.Close()
	stream, err := client.StartStream(t.Context(), "a1", 0, backend.Chat{})
	if err == nil {
		defer stream.Close()
		_, err = stream.Next(t.Context())
	}
	if err == nil {
		t.Fatal("got no error, want one")
	}
	return err
}
