package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveEndless is an instance that responds with a prefix, and then with a filler until its
// connection is closed.
func serveEndless(t *testing.T, prefix, filler string) Instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := strings.Repeat(filler, max(1, (16<<10)/len(filler)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, prefix)
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			}()
		}
	}()
	return Instance{
		ID:      "endless",
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}
}

func outgoing(to Instance) Outgoing {
	return Outgoing{
		Instance: to,
		Method:   http.MethodGet,
		Target:   "/x",
		Host:     "h.example",
		Header:   http.Header{},
		Match:    func(int, http.Header) Match { return MatchOwn },
	}
}

// TestEndlessHeads sends heads that never end. Each must fail at its limit, long before the
// request's deadline.
func TestEndlessHeads(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name   string
		prefix string
		filler string
		want   Part
	}{
		{
			name:   "a status line",
			prefix: "HTTP/1.1 200 ",
			filler: "x",
			want:   PartLine,
		},
		{
			name:   "a field's value",
			prefix: status + "A: ",
			filler: "x",
			want:   PartLine,
		},
		{
			name:   "a field's name",
			prefix: status,
			filler: "x",
			want:   PartLine,
		},
		{
			name:   "fields",
			prefix: status,
			filler: "A: b\r\n",
			want:   PartFields,
		},
		{
			name:   "long fields",
			prefix: status,
			filler: "A: " + strings.Repeat("x", 4000) + "\r\n",
			want:   PartHead,
		},
		{
			name:   "interim responses",
			filler: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n",
			want:   PartInterim,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := NewConnPool(Limits{}).Do(ctx, outgoing(serveEndless(t, c.prefix, c.filler)))
			oversize := (*OversizeError)(nil)
			if !errors.As(err, &oversize) || oversize.Part != c.want {
				t.Errorf("got error %v, want an OversizeError of the %s", err, c.want)
			}
		})
	}
}

// TestLongBodyIsNoHead sends interim responses and a head in one write, and then a body that is
// longer than any head and has no empty line. The guard must not count the body.
func TestLongBodyIsNoHead(t *testing.T) {
	body := strings.Repeat("x", 300<<10)
	s := newFixedServer(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"+
		"HTTP/1.1 200 OK\r\nContent-Length: 307200\r\n\r\n"+body)
	if got := send(t, NewConnPool(Limits{}), s.instance, false); got != body {
		t.Errorf("got a body of %d bytes, want %d", len(got), len(body))
	}
}
