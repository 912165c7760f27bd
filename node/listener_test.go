package node

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
)

// TestConnectionsBeyondTheLimitAreClosed opens more connections than a listener takes. Those beyond
// the limit must end at once, and one that ends must make room for another.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &limitedListener{
		Listener: inner,
		limit:    2,
		log:      event.New(io.Discard, "n1"),
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	closed := func(conn net.Conn) bool {
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		return !ok || !timeout.Timeout()
	}
	first, second, third := dial(), dial(), dial()
	if closed(first) || closed(second) {
		t.Error("got a connection within the limit closed, want it open")
	}
	if !closed(third) {
		t.Error("got a connection beyond the limit open, want it closed")
	}
	conn := <-accepted
	_ = conn.Close()
	_ = conn.Close()
	if closed(dial()) {
		t.Error("got a connection closed after another had ended, want it open")
	}
	if !closed(dial()) {
		t.Error("got a connection beyond the limit open after a double close, want it closed")
	}
}

// TestLimitedConnResets checks that a reset reaches the peer through the wrapper of the listener.
func TestLimitedConnResets(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &limitedListener{
		Listener: inner,
		limit:    1,
		log:      event.New(io.Discard, "n1"),
	}
	defer func() { _ = listener.Close() }()
	peer, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.(*limitedConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("got %v, want a reset", err)
	}
}
