package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/routing"
)

// TestUnansweredRequestLooksComplete guards against a false answer to a caller that has closed the
// sending side of its connection and still reads: a request that is given up, before or after the
// first event, must not end like a finished one.
func TestUnansweredRequestLooksComplete(t *testing.T) {
	for name, action := range map[string]string{
		"before the response":     "silent",
		"in the middle of events": "slowStream",
	} {
		t.Run(name, func(t *testing.T) {
			server := newServer(t, routing.Route{
				Name:        "r",
				Host:        "h",
				Prefix:      "/",
				Kind:        routing.KindStream,
				Timeout:     2 * time.Second,
				Targets:     targets,
				MaxAttempts: 1,
			}, newInstances(t, action))
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			// The request is at the instance, and the stream has begun, when the caller closes.
			time.Sleep(250 * time.Millisecond)
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if err == nil {
				t.Errorf("got a complete response with status %d and body %q, want a closed connection", response.StatusCode, body)
			}
		})
	}
}
