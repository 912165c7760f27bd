package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// repeatingServer responds to the first request on a connection, and to each further one with a refusal,
// which repeats the headers in echo. It says of every attempt that it is known, or not.
func repeatingServer(t *testing.T, echo func(r *http.Request) string, known bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			switch {
			case strings.HasPrefix(r.URL.Path, "/v1/attempts/"):
				text := fmt.Sprintf(`{"known":%t}`, known)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				return
			case n == 0:
				_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno")
			default:
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\n"+echo(r)+"Content-Length: 0\r\n\r\n")
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// TestRepeatedRefusalOfOwnProtocol sends a second request on a connection, which gets a refusal. Guards
// against a refusal of an earlier request that is taken for a promise that this one has not run.
func TestRepeatedRefusalOfOwnProtocol(t *testing.T) {
	none := func(*http.Request) string { return "" }
	for name, c := range map[string]struct {
		echo  func(r *http.Request) string
		known bool
		chat  error
		call  error
	}{
		"the server does not say of which request, and runs it": {
			echo:  none,
			known: true,
			chat:  ErrInterrupted,
			call:  ErrInterrupted,
		},
		"the server does not say of which request, and does not know it": {
			echo: none,
			chat: ErrBusy,
			call: ErrInterrupted,
		},
		"the refusal names another request": {
			echo:  func(*http.Request) string { return "X-Attempt-Id: other\r\nIdempotency-Key: other\r\n" },
			known: true,
			chat:  ErrInterrupted,
			call:  ErrInterrupted,
		},
		"the refusal names the request": {
			echo: func(r *http.Request) string {
				return "X-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\nIdempotency-Key: " + r.Header.Get("Idempotency-Key") + "\r\n"
			},
			known: true,
			chat:  ErrBusy,
			call:  ErrBusy,
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			client := NewClient(catalog.BackendServer{
				ID:      "s",
				Address: repeatingServer(t, c.echo, c.known),
			})
			defer client.Close()
			var chatErr, callErr error
			for range 2 {
				_, chatErr = client.StartStream(ctx, "a", 0, Chat{})
			}
			if !errors.Is(chatErr, c.chat) {
				t.Errorf("got error %v of the chat, want %v", chatErr, c.chat)
			}
			client.CloseIdle()
			for range 2 {
				_, callErr = client.Do(ctx, Call{
					Method:     http.MethodPut,
					Path:       "/x",
					RequestID:  fleet.NewRequestID(),
					Idempotent: true,
				})
			}
			if !errors.Is(callErr, c.call) {
				t.Errorf("got error %v of the call, want %v", callErr, c.call)
			}
		})
	}
}
