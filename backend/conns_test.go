package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// answering is an instance that answers each request with the text, and counts its
// connections.
type answering struct {
	instance    Instance
	connections atomic.Int64
}

func newAnswering(t *testing.T, text string) *answering {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	a := &answering{instance: Instance{
		ID:      "i1",
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			a.connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return a
}

// send makes one request and returns the answer's body.
func send(t *testing.T, c *ConnPool, to Instance, once bool) string {
	t.Helper()
	in, err := c.Do(context.Background(), Outgoing{
		Instance:   to,
		Method:     http.MethodGet,
		Target:     "/x",
		Host:       "h.example",
		Header:     http.Header{},
		AtMostOnce: once,
		Matches:    func(int, http.Header) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(in.Body)
	in.Finish(err == nil)
	return string(body)
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestKeptConnections sends two requests and counts the connections that they took.
func TestKeptConnections(t *testing.T) {
	const pause = 20 * time.Millisecond
	for name, c := range map[string]struct {
		text  string
		pause time.Duration
		once  bool
		want  int64
	}{
		"a sound connection is kept": {
			text: wholeAnswer,
			want: 1,
		},
		"bytes behind an answer end its connection": {
			text:  wholeAnswer + "HTTP/1.1 200 OK\r\n",
			pause: pause,
			want:  2,
		},
		"an answer that announces the end is believed": {
			text: strings.Replace(wholeAnswer, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
			want: 2,
		},
		"a kept time of none is believed": {
			text:  strings.Replace(wholeAnswer, "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1),
			pause: pause,
			want:  2,
		},
		"work that runs once takes no long idle one": {
			text:  wholeAnswer,
			pause: onceIdle + pause,
			once:  true,
			want:  2,
		},
		"work that may be repeated takes a long idle one": {
			text:  wholeAnswer,
			pause: onceIdle + pause,
			want:  1,
		},
		"work that runs once takes one that was used just": {
			text: wholeAnswer,
			once: true,
			want: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newAnswering(t, c.text)
			conns := NewConnPool()
			conns.SetIdleLimits(map[Instance]int{a.instance: 4})
			for i := range 2 {
				if i > 0 {
					time.Sleep(c.pause)
				}
				if got, want := send(t, conns, a.instance, c.once), "ok"; got != want {
					t.Errorf("got body %q, want %q", got, want)
				}
			}
			if got := a.connections.Load(); got != c.want {
				t.Errorf("got %d connections, want %d", got, c.want)
			}
		})
	}
}

func TestRetiredConnectionsAreNotUsedAgain(t *testing.T) {
	a := newAnswering(t, wholeAnswer)
	conns := NewConnPool()
	conns.SetIdleLimits(map[Instance]int{a.instance: 4})
	send(t, conns, a.instance, false)
	conns.Retire(a.instance)
	send(t, conns, a.instance, false)
	if got, want := a.connections.Load(), int64(2); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

func TestRefusedConnectionSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	_, err = NewConnPool().Do(context.Background(), Outgoing{
		Instance: Instance{
			ID:      "i1",
			Address: address,
		},
		Method: http.MethodGet,
		Target: "/x",
	})
	sendErr := (*SendError)(nil)
	if !errors.As(err, &sendErr) || sendErr.Sent {
		t.Errorf("got %v, want an error that says that nothing was sent", err)
	}
}
