package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestBrokenOffStreamLooksCompleteToHTTP10Caller guards against a broken stream that ends like a
// whole one for a caller without chunks, to whom only a reset tells them apart.
func TestBrokenOffStreamLooksCompleteToHTTP10Caller(t *testing.T) {
	for action, wantWhole := range map[string]bool{
		"stream": true,
		"break":  false,
	} {
		t.Run(action, func(t *testing.T) {
			plain, s := newGateway(t, routing.Route{
				Name:        "r",
				Host:        "h",
				Prefix:      "/",
				Kind:        routing.KindStream,
				Timeout:     2 * time.Second,
				Targets:     targets,
				MaxAttempts: 1,
			}, newInstances(t, action))
			plain.Close()
			server := httptest.NewUnstartedServer(s)
			server.Config.ConnContext = gateway.ConnContext
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "GET /x HTTP/1.0\r\nHost: h\r\nAttempt-Id: id1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if got := err == nil; got != wantWhole {
				t.Errorf("got a whole response %v with body %q and error %v, want %v", got, body, err, wantWhole)
			}
		})
	}
}
