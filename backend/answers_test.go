package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// answersServer reads the head of each request, answers as a case says with a part of a body, waits, and ends the connection.
func answersServer(t *testing.T, fields []string, pause time.Duration) Instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	status, tail, _ := strings.Cut(fields[1], "-")
	head := "HTTP/1.1 " + status + " Any\r\nAttempt-Id: a\r\n"
	answer := head + map[string]string{
		"none":    "Connection: close\r\n\r\npart",
		"length":  "Content-Length: 8\r\n\r\npart",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	}[fields[2]]
	if tail == "head" {
		answer = head + "\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\npart"
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				reads := fields[3] != "reset" || r.ContentLength < 100_000
				if reads && fields[3] != "close-after" {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(conn, answer)
				if fields[3] == "close-after" {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				time.Sleep(pause)
				if fields[3] == "reset" {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return Instance{
		ID:      "s",
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}
}

// answerReaders send a request with a body and read the whole answer, by the two interfaces to servers.
var answerReaders = map[string]func(ctx context.Context, to Instance, body []byte) error{
	"own": func(ctx context.Context, to Instance, body []byte) error {
		c := NewClient(catalog.BackendServer{
			ID:      to.ID,
			Address: to.Address.String(),
		})
		defer c.Close()
		_, err := c.Do(ctx, Call{
			Method:    http.MethodPost,
			Path:      "/x",
			Body:      body,
			RequestID: fleet.NewRequestID(),
		})
		return err
	},
	"routed": func(ctx context.Context, to Instance, body []byte) error {
		in, err := NewConnPool(Limits{}).Do(ctx, Outgoing{
			Instance:   to,
			Method:     http.MethodPost,
			Target:     "/x",
			Host:       "h",
			Header:     http.Header{"Content-Length": {strconv.Itoa(len(body))}},
			Body:       body,
			AtMostOnce: true,
			Match: func(_ int, h http.Header) Match {
				if h.Get("Attempt-Id") != "a" {
					return MatchOther
				}
				return MatchOwn
			},
		})
		if err != nil {
			return err
		}
		_, err = io.ReadAll(in.Body)
		in.Finish(err == nil)
		return err
	},
}

// TestBrokenAnswerLooksWhole runs the cases in testdata/answers.txt on both interfaces, with several pauses before the connection
// ends. Guards against a part of an answer, or bytes that are none, which callers get as the whole answer.
func TestBrokenAnswerLooksWhole(t *testing.T) {
	text, err := os.ReadFile("testdata/answers.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(strings.TrimSpace(line), " | ")
		if len(fields) != 6 {
			t.Fatalf("got %d fields in line %q, want 6", len(fields), line)
		}
		for name, read := range answerReaders {
			t.Run(name+", "+fields[0], func(t *testing.T) { runAnswerCase(t, fields, read) })
		}
	}
}

func runAnswerCase(t *testing.T, fields []string, read func(context.Context, Instance, []byte) error) {
	t.Parallel()
	size, err := strconv.Atoi(fields[4])
	if err != nil {
		t.Fatal(err)
	}
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		to := answersServer(t, fields, pause)
		for try := range 4 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			err := read(ctx, to, make([]byte, size))
			cancel()
			if errors.Is(err, context.DeadlineExceeded) {
				t.Fatalf("pause %s, try %d: got no end of the answer", pause, try)
			}
			got := "whole"
			if err != nil {
				got = "broken"
			}
			if want := fields[5]; got != want {
				t.Errorf("pause %s, try %d: got a %s answer (%v), want a %s one", pause, try, got, fmt.Sprint(err), want)
			}
		}
	}
}
