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

// fixedServer is an instance that responds to each request with a fixed text and counts the
// connections that it accepts.
type fixedServer struct {
	instance    Instance
	connections atomic.Int64
}

func newFixedServer(t *testing.T, text string) *fixedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &fixedServer{instance: Instance{
		ID:      "i1",
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
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
	return s
}

// send sends one request and returns the body of the response.
func send(t *testing.T, c *ConnPool, to Instance, atMostOnce bool) string {
	t.Helper()
	in, err := c.Do(context.Background(), Outgoing{
		Instance:   to,
		Method:     http.MethodGet,
		Target:     "/x",
		Host:       "h.example",
		Header:     http.Header{},
		AtMostOnce: atMostOnce,
		Match:      func(int, http.Header) Match { return MatchOwn },
	})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(in.Body)
	in.Finish(err == nil)
	return string(body)
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestConnectionReuse sends two requests and counts the connections that were opened.
func TestConnectionReuse(t *testing.T) {
	const pause = 20 * time.Millisecond
	for name, c := range map[string]struct {
		text       string
		pause      time.Duration
		atMostOnce bool
		want       int64
	}{
		"an open idle connection is reused": {
			text: completeResponse,
			want: 1,
		},
		"a connection with data after the response is not reused": {
			text:  completeResponse + "HTTP/1.1 200 OK\r\n",
			pause: pause,
			want:  2,
		},
		"a response with Connection: close ends the connection": {
			text: strings.Replace(completeResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
			want: 2,
		},
		"a keep-alive timeout of 0 prevents reuse": {
			text:  strings.Replace(completeResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1),
			pause: pause,
			want:  2,
		},
		"an at-most-once request does not reuse a connection that was idle for long": {
			text:       completeResponse,
			pause:      atMostOnceMaxIdle + pause,
			atMostOnce: true,
			want:       2,
		},
		"a repeatable request reuses a connection that was idle for long": {
			text:  completeResponse,
			pause: atMostOnceMaxIdle + pause,
			want:  1,
		},
		"an at-most-once request reuses a connection that was just used": {
			text:       completeResponse,
			atMostOnce: true,
			want:       1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixedServer(t, c.text)
			conns := NewConnPool(Limits{})
			conns.SetIdleLimits(map[Instance]int{s.instance: 4})
			for i := range 2 {
				if i > 0 {
					time.Sleep(c.pause)
				}
				if got, want := send(t, conns, s.instance, c.atMostOnce), "ok"; got != want {
					t.Errorf("got body %q, want %q", got, want)
				}
			}
			if got := s.connections.Load(); got != c.want {
				t.Errorf("got %d connections, want %d", got, c.want)
			}
		})
	}
}

// TestRetiredConnectionsAreNotReused checks that a request after Retire opens a new
// connection.
func TestRetiredConnectionsAreNotReused(t *testing.T) {
	s := newFixedServer(t, completeResponse)
	conns := NewConnPool(Limits{})
	conns.SetIdleLimits(map[Instance]int{s.instance: 4})
	send(t, conns, s.instance, false)
	conns.Retire(s.instance)
	send(t, conns, s.instance, false)
	if got, want := s.connections.Load(), int64(2); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// TestRefusedConnectionReportsNotSent checks that a refused connection is reported as a
// request that was not sent, so that the caller may safely retry it elsewhere.
func TestRefusedConnectionReportsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	_, err = NewConnPool(Limits{}).Do(context.Background(), Outgoing{
		Instance: Instance{
			ID:      "i1",
			Address: address,
		},
		Method: http.MethodGet,
		Target: "/x",
	})
	sendErr := (*SendError)(nil)
	if !errors.As(err, &sendErr) || sendErr.Sent {
		t.Errorf("got %v, want a SendError with Sent unset", err)
	}
}

// TestLateCopyIsNotTheNextAnswer has an instance send a second copy of an answer while the
// connection is in use for the next request. That request must get its own answer.
func TestLateCopyIsNotTheNextAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	answer := func(r *http.Request) string {
		id := r.Header.Get("Id")
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\n" + id
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		last := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			// The copy of the last answer arrives after this request has been sent.
			_, _ = io.WriteString(conn, last+answer(r))
			last = answer(r)
		}
	}()
	pool := NewConnPool(Limits{})
	to := Instance{
		ID:      "i1",
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}
	pool.SetIdleLimits(map[Instance]int{to: 1})
	for _, id := range []string{"1", "2", "3", "4"} {
		out := outgoing(to)
		out.Header.Set("Id", id)
		out.Match = func(_ int, h http.Header) Match {
			if h.Get("Id") == id {
				return MatchOwn
			}
			return MatchOther
		}
		in, err := pool.Do(t.Context(), out)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(in.Body)
		in.Finish(err == nil)
		if got, want := string(body), id; got != want {
			t.Errorf("got answer %q, want %q", got, want)
		}
	}
}

// TestNoConnectionIsKeptAfterRefusal guards against a refusal that a server writes once more on the
// connection, where the next request would get it.
func TestNoConnectionIsKeptAfterRefusal(t *testing.T) {
	for match, want := range map[Match]int64{
		MatchOwn:            1,
		MatchRefusal:        2,
		MatchUnnamedRefusal: 2,
	} {
		server := newFixedServer(t, completeResponse)
		c := NewConnPool(Limits{})
		c.SetIdleLimits(map[Instance]int{server.instance: 1})
		for range 2 {
			in, err := c.Do(context.Background(), Outgoing{
				Instance: server.instance,
				Method:   http.MethodGet,
				Target:   "/x",
				Host:     "h.example",
				Match:    func(int, http.Header) Match { return match },
			})
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(in.Body)
			in.Finish(err == nil)
		}
		if got := server.connections.Load(); got != want {
			t.Errorf("match %d: got %d connections for two requests, want %d", match, got, want)
		}
	}
}
