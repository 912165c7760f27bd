package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	tcpBuffer = 32 << 10
	tcpDial   = 2 * time.Second
	cutPoll   = 10 * time.Millisecond
)

// TCP passes the connections for one place on.
type TCP struct {
	network  *Network
	pair     Pair
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*tcpFlow]struct{}
}

type tcpFlow struct {
	client net.Conn
	server net.Conn
	// silent is closed when the flow is to lose all track of its data.
	silent chan struct{}
	once   sync.Once
}

// NewTCP starts a relay that listens on an address and passes connections on to
// the target. The pair names the direction towards the target.
func NewTCP(network *Network, pair Pair, listen, target netip.AddrPort) (*TCP, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, eris.Wrapf(err, "relay: listen on %s", listen)
	}
	t := &TCP{
		network:  network,
		pair:     pair,
		listener: listener,
		target:   target.String(),
		conns:    map[*tcpFlow]struct{}{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	return t, nil
}

// Close ends the relay and its connections.
func (t *TCP) Close() {
	_ = t.listener.Close()
	t.Reset()
}

// Silence makes all present connections silent for good, in both directions,
// without closing them. New ones work.
func (t *TCP) Silence() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.conns {
		f.once.Do(func() { close(f.silent) })
	}
	return len(t.conns)
}

// Reset resets all present connections.
func (t *TCP) Reset() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.conns {
		f.reset()
	}
	return len(t.conns)
}

func (f *tcpFlow) reset() {
	for _, conn := range []net.Conn{f.client, f.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (t *TCP) serve(client net.Conn) {
	if copies, _ := t.network.fate(t.pair); copies == 0 {
		t.holdSilent(client)
		return
	}
	server, err := net.DialTimeout("tcp", t.target, tcpDial)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	f := &tcpFlow{
		client: client,
		server: server,
		silent: make(chan struct{}),
	}
	t.mu.Lock()
	t.conns[f] = struct{}{}
	t.mu.Unlock()
	back := Pair{
		From: t.pair.To,
		To:   t.pair.From,
	}
	both := sync.WaitGroup{}
	both.Go(func() { t.copy(f, server, client, t.pair) })
	both.Go(func() { t.copy(f, client, server, back) })
	both.Wait()
	f.reset()
	t.mu.Lock()
	delete(t.conns, f)
	t.mu.Unlock()
}

// holdSilent keeps a connection that a cut network would never have accepted. The
// kernel has accepted it already, so it is left without an answer for a while.
func (t *TCP) holdSilent(client net.Conn) {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if copies, _ := t.network.fate(t.pair); copies > 0 {
			break
		}
	}
	_ = client.Close()
}

// copy passes data on in one direction. Once silent, it reads and forgets.
func (t *TCP) copy(f *tcpFlow, to, from net.Conn, pair Pair) {
	buffer := make([]byte, tcpBuffer)
	for {
		size, err := from.Read(buffer)
		select {
		case <-f.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if size > 0 && !t.forward(to, buffer[:size], pair) {
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

func (t *TCP) forward(to net.Conn, data []byte, pair Pair) bool {
	copies, delay := t.network.fate(pair)
	for copies == 0 {
		// TCP sends again what a cut network loses, until it is mended.
		time.Sleep(cutPoll)
		copies, delay = t.network.fate(pair)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := to.Write(data)
	return err == nil
}
