package wire

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/faultproxy"
	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	methodEcho  Method = "echo"
	methodCount Method = "count"
)

func endpoint(t *testing.T, node fleet.NodeID, secret string) *Endpoint {
	t.Helper()
	e, err := New(Config{
		Node:   node,
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Secret: secret,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func echoServer(t *testing.T) *Endpoint {
	t.Helper()
	e := endpoint(t, "server", "one secret for all")
	e.HandleCall(methodEcho, func(_ context.Context, from fleet.NodeID, body []byte) (any, error) {
		text := ""
		if err := Decode(body, &text); err != nil {
			return nil, err
		}
		if text == "fail" {
			return nil, &Error{
				Code: "tooBad",
				Text: "as asked",
			}
		}
		return string(from) + ":" + text, nil
	})
	e.Start()
	return e
}

func call(e *Endpoint, address netip.AddrPort, text string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	response := ""
	err := e.Call(ctx, address, methodEcho, text, &response)
	return response, err
}

func TestCall(t *testing.T) {
	server, client := echoServer(t), endpoint(t, "client", "one secret for all")
	got, err := call(client, server.Address(), "hello", 5*time.Second)
	if want := "client:hello"; err != nil || got != want {
		t.Errorf("got %q and error %v, want %q", got, err, want)
	}
	_, err = call(client, server.Address(), "fail", 5*time.Second)
	coded := (*Error)(nil)
	if !eris.As(err, &coded) || coded.Code != "tooBad" {
		t.Errorf("got error %v, want one of code tooBad", err)
	}
}

// TestOtherFleetIsRefused checks that a server refuses an endpoint with another secret.
func TestOtherFleetIsRefused(t *testing.T) {
	server, otherFleet := echoServer(t), endpoint(t, "stranger", "another secret")
	if got, err := call(otherFleet, server.Address(), "hello", 3*time.Second); err == nil {
		t.Errorf("got %q, want an error for a peer without the fleet's secret", got)
	}
}

// TestPanicInHandlerEndsItsStreamOnly calls a handler that panics. That call must fail, and others
// on the same connection must go on.
func TestPanicInHandlerEndsItsStreamOnly(t *testing.T) {
	const methodPanic Method = "panic"
	reported := make(chan any, 1)
	server, err := New(Config{
		Node:     "server",
		Listen:   netip.MustParseAddrPort("127.0.0.1:0"),
		Secret:   "one secret for all",
		Panicked: func(value any, _ []byte) { reported <- value },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	server.HandleCall(methodPanic, func(context.Context, fleet.NodeID, []byte) (any, error) {
		panic("unexpected")
	})
	server.HandleCall(methodEcho, func(context.Context, fleet.NodeID, []byte) (any, error) {
		return "fine", nil
	})
	server.Start()
	client := endpoint(t, "client", "one secret for all")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	started := time.Now()
	response := ""
	if err := client.Call(ctx, server.Address(), methodPanic, "x", &response); err == nil || time.Since(started) > 2*time.Second {
		t.Errorf("got error %v after %s from a handler that panics, want one at once", err, time.Since(started))
	}
	if got, want := <-reported, "unexpected"; got != want {
		t.Errorf("got panic %v reported, want %q", got, want)
	}
	if got, err := call(client, server.Address(), "hello", 5*time.Second); err != nil || got != "fine" {
		t.Errorf("got %q and error %v after the panic, want an answer", got, err)
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	server := endpoint(t, "server", "one secret for all")
	received := make(chan int, 1000)
	server.HandleMessage(methodCount, func(_ fleet.NodeID, body []byte) {
		n := 0
		if Decode(body, &n) == nil {
			received <- n
		}
	})
	server.Start()
	client := endpoint(t, "client", "one secret for all")
	for n := range 500 {
		client.Send(server.Address(), methodCount, n)
	}
	for want := range 500 {
		if got := <-received; got != want {
			t.Fatalf("got message %d, want %d", got, want)
		}
	}
}

// proxied puts a fault proxy before a server and returns its network and its address.
func proxied(t *testing.T, client, server *Endpoint) (*faultproxy.Network, netip.AddrPort) {
	t.Helper()
	network := faultproxy.NewNetwork(1)
	network.SetEndpoint(client.Address(), "client")
	unused := endpoint(t, "unused", "x").Address()
	err := error(nil)
	for offset := uint16(1); offset < 20; offset++ {
		listen := netip.AddrPortFrom(unused.Addr(), unused.Port()+offset)
		udp := (*faultproxy.UDP)(nil)
		if udp, err = faultproxy.NewUDP(network, "server", listen, server.Address()); err == nil {
			t.Cleanup(udp.Close)
			return network, listen
		}
	}
	t.Fatalf("no free port for the fault proxy: %v", err)
	return nil, netip.AddrPort{}
}

// TestBlackholedConnection blackholes the path between the client and the server in both
// directions, but not that of other endpoints, so that packets on an open connection are
// lost without an error. A call on it must fail within seconds, and a call after the path
// is restored must succeed on a new connection.
func TestBlackholedConnection(t *testing.T) {
	server, client := echoServer(t), endpoint(t, "client", "one secret for all")
	network, listen := proxied(t, client, server)
	if _, err := call(client, listen, "before", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	for _, direction := range []faultproxy.Direction{{
		From: "client",
		To:   "server",
	}, {
		From: "server",
		To:   "client",
	}} {
		network.SetFaults(direction, faultproxy.Faults{Cut: true})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	response := ""
	started := time.Now()
	if err := client.Call(ctx, listen, methodEcho, "lost", &response); err == nil {
		t.Fatal("got a response on a connection without a path, want an error")
	}
	if got, most := time.Since(started), 8*time.Second; got > most {
		t.Errorf("the call failed after %s, want at most %s", got, most)
	}
	network.ClearFaults()
	if got, err := call(client, listen, "after", 5*time.Second); err != nil || got != "client:after" {
		t.Errorf("got %q and error %v after the path was restored, want client:after", got, err)
	}
}

// TestBlackholedSparseConnection does the same for a peer that is pinged rarely. The calls that get
// no response in time must close the connection, long before its idle timeout.
func TestBlackholedSparseConnection(t *testing.T) {
	server, client := echoServer(t), endpoint(t, "client", "one secret for all")
	network, listen := proxied(t, client, server)
	sparseCall := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		response := ""
		return client.Sparse().Call(ctx, listen, methodEcho, "hello", &response)
	}
	if err := sparseCall(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	blackholed := client.peer(listen).conn
	network.SetFaults(faultproxy.Direction{
		From: "server",
		To:   "client",
	}, faultproxy.Faults{Cut: true})
	for range sparseTimeouts {
		if err := sparseCall(50 * time.Millisecond); err == nil {
			t.Fatal("got a response without a path, want an error")
		}
	}
	if blackholed.Context().Err() == nil {
		t.Error("got a connection that is kept after timeouts in a row, want it closed")
	}
	network.ClearFaults()
	if err := sparseCall(5 * time.Second); err != nil {
		t.Errorf("got error %v after the path was restored, want a response", err)
	}
}

// TestUnusedConnectionIsClosed lets a connection without streams grow old beside one that has an open
// channel. Only the first may be closed, and a later call must dial again.
func TestUnusedConnectionIsClosed(t *testing.T) {
	const methodHold Method = "hold"
	unused, used := echoServer(t), endpoint(t, "server", "one secret for all")
	used.HandleChannel(methodHold, func(ctx context.Context, _ fleet.NodeID, _ *Channel) { <-ctx.Done() })
	used.Start()
	client := endpoint(t, "client", "one secret for all")
	if _, err := call(client, unused.Address(), "hello", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	channel, err := client.Open(ctx, used.Address(), methodHold)
	if err != nil {
		t.Fatal(err)
	}
	defer channel.Close()
	isOpen := func(e *Endpoint) bool {
		p := client.peer(e.Address())
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.conn != nil
	}
	client.closeOlderThan(0)
	if isOpen(unused) {
		t.Error("got an unused connection that stays open, want it closed")
	}
	if !isOpen(used) {
		t.Error("got a connection with a channel closed, want it open")
	}
	if _, err := call(client, unused.Address(), "hello", 5*time.Second); err != nil {
		t.Errorf("got error %v from a call after that, want it to dial again", err)
	}
}

func FuzzDecode(f *testing.F) {
	buffer := &bytes.Buffer{}
	if _, err := writeFrame(buffer, streamHeader{
		Method: methodEcho,
		From:   "n1",
	}); err != nil {
		f.Fatal(err)
	}
	f.Add(buffer.Bytes())
	f.Add([]byte{0, 0, 0, 200, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		body, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		_ = Decode(body, &streamHeader{})
		_ = Decode(body, &callResponse{})
	})
}

// TestCallRedialsEndedConnection ends the connection again and again while calls are made. A call
// that takes a connection just before it ends has sent nothing yet, so it must dial another one
// instead of failing. Only calls that were sent already may fail.
func TestCallRedialsEndedConnection(t *testing.T) {
	server, client := echoServer(t), endpoint(t, "client", "one secret for all")
	if _, err := call(client, server.Address(), "first", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	p := client.peer(server.Address())
	stop := make(chan struct{})
	ender := sync.WaitGroup{}
	ender.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			p.mu.Lock()
			if p.conn != nil {
				_ = p.conn.CloseWithError(0, "")
			}
			p.mu.Unlock()
		}
	})
	callers := sync.WaitGroup{}
	for range 8 {
		callers.Go(func() {
			for range 200 {
				_, err := call(client, server.Address(), "hello", 5*time.Second)
				if err != nil && strings.Contains(err.Error(), "open a stream") {
					t.Errorf("got error %v from a call that was not sent, want it to dial again", err)
					return
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	ender.Wait()
}
