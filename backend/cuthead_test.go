package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// cutHeadServer sends the first bytes of a response and closes. The header "X-Cut" of a call, or the
// attempt's id of a chat, says how many, and whether a reset ends them.
func cutHeadServer(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil || strings.HasPrefix(r.URL.Path, "/v1/attempts/") {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				cut := strings.TrimPrefix(r.URL.Path, "/")
				if id := r.Header.Get("X-Attempt-Id"); id != "" {
					cut = id
				}
				bytes, end, _ := strings.Cut(cut, "-")
				n, _ := strconv.Atoi(bytes)
				_, _ = io.WriteString(conn, response[:n])
				if end == "reset" {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestHeadBrokenOffOfOwnProtocol guards against a chat or a call whose instance stops in the middle of the
// response's head, and which counts as answered. Heads are cut at each byte.
func TestHeadBrokenOffOfOwnProtocol(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	} {
		client := NewClient(catalog.BackendServer{
			ID:      "s",
			Address: cutHeadServer(t, response),
		})
		defer client.Close()
		for n := range len(response) {
			for _, end := range []string{"close", "reset"} {
				cut := fmt.Sprintf("%d-%s", n, end)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				if _, err := client.StartStream(ctx, cut, 0, Chat{}); err == nil {
					t.Errorf("%s: got a stream, want an error", cut)
				}
				if _, err := client.Do(ctx, Call{
					Method:    http.MethodPost,
					Path:      "/" + cut,
					RequestID: fleet.NewRequestID(),
				}); err == nil {
					t.Errorf("%s: got a response, want an error", cut)
				}
				cancel()
			}
		}
	}
}
