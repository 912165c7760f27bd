package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// abandonedServer reads a request and sends text. When the connection ends, it sends late and closes, by a
// reset if reset is set. It goes on without end if deaf is set.
type abandonedServer struct {
	text  string
	late  string
	reset bool
	deaf  bool
}

func (s abandonedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	_, _ = io.WriteString(conn, s.text)
	_, _ = io.Copy(io.Discard, reader)
	if s.deaf {
		time.Sleep(2 * time.Second)
	}
	_, _ = io.WriteString(conn, s.late)
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// TestUnbegunRequestIsTold guards against a request that is charged although its caller left before the
// instance had produced anything, and against one that is not although it had.
func TestUnbegunRequestIsTold(t *testing.T) {
	errPassed := errors.New("passed")
	for name, c := range map[string]struct {
		server  abandonedServer
		cause   error
		unbegun bool
		// within limits the time until Do returns.
		within time.Duration
	}{
		"nothing sent": {
			cause:   context.Canceled,
			unbegun: true,
			within:  abandonTimeout,
		},
		"part of a head sent": {
			server: abandonedServer{text: "HTTP/1.1 2"},
			cause:  context.Canceled,
			within: abandonTimeout,
		},
		"a response crosses": {
			server: abandonedServer{late: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
			cause:  context.Canceled,
			within: abandonTimeout,
		},
		"reset": {
			server: abandonedServer{reset: true},
			cause:  context.Canceled,
			within: abandonTimeout,
		},
		"goes on": {
			server: abandonedServer{deaf: true},
			cause:  context.Canceled,
			within: 2 * abandonTimeout,
		},
		"deadline, nothing sent": {
			cause:  errPassed,
			within: abandonTimeout,
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				if conn, err := listener.Accept(); err == nil {
					c.server.serve(conn)
				}
			}()
			ctx, cancel := context.WithCancelCause(context.Background())
			left := time.Time{}
			time.AfterFunc(100*time.Millisecond, func() {
				left = time.Now()
				cancel(c.cause)
			})
			_, err = NewConnPool(Limits{}).Do(ctx, Outgoing{
				Instance: Instance{
					ID:      "i",
					Address: netip.MustParseAddrPort(listener.Addr().String()),
				},
				Method: http.MethodPost,
				Target: "/x",
				Host:   "h",
				Match:  func(int, http.Header) Match { return MatchOwn },
			})
			sendErr := (*SendError)(nil)
			if !errors.As(err, &sendErr) || !sendErr.Sent {
				t.Fatalf("got error %v, want one of a request that was sent", err)
			}
			if sendErr.Unbegun != c.unbegun {
				t.Errorf("got unbegun %t, want %t", sendErr.Unbegun, c.unbegun)
			}
			if took := time.Since(left); took > c.within+100*time.Millisecond {
				t.Errorf("got the end after %s, want it within %s", took, c.within)
			}
			if !errors.Is(err, c.cause) {
				t.Errorf("got error %v, want the cause %v", err, c.cause)
			}
		})
	}
}
