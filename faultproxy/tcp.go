package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// tcpBufferSize is in bytes.
	tcpBufferSize   = 32 << 10
	tcpDialTimeout  = 2 * time.Second
	cutPollInterval = 10 * time.Millisecond
)

// TCP forwards the connections to one endpoint.
type TCP struct {
	network  *Network
	toTarget Direction
	listener net.Listener
	target   string

	mu    sync.Mutex
	flows map[*tcpFlow]struct{}
}

type tcpFlow struct {
	client net.Conn
	server net.Conn
	// blackholed is closed when the flow is to discard all further data.
	blackholed chan struct{}
	once       sync.Once
}

// NewTCP starts a fault proxy that listens on an address and forwards connections to the
// target. The direction is the one towards the target.
func NewTCP(network *Network, direction Direction, listen, target netip.AddrPort) (*TCP, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, eris.Wrapf(err, "faultproxy: listen on TCP address %s", listen)
	}
	t := &TCP{
		network:  network,
		toTarget: direction,
		listener: listener,
		target:   target.String(),
		flows:    map[*tcpFlow]struct{}{},
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

// Close stops the fault proxy and resets its connections.
func (t *TCP) Close() {
	_ = t.listener.Close()
	t.Reset()
}

// Blackhole discards all further data on the current connections, in both directions,
// without closing them. New connections are not affected. It returns the number of
// current connections.
func (t *TCP) Blackhole() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.flows {
		f.once.Do(func() { close(f.blackholed) })
	}
	return len(t.flows)
}

// Reset resets the current connections and returns their number.
func (t *TCP) Reset() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.flows {
		f.reset()
	}
	return len(t.flows)
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
	if copies, _ := t.network.delivery(t.toTarget); copies == 0 {
		t.holdUnanswered(client)
		return
	}
	server, err := net.DialTimeout("tcp", t.target, tcpDialTimeout)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	f := &tcpFlow{
		client:     client,
		server:     server,
		blackholed: make(chan struct{}),
	}
	t.mu.Lock()
	t.flows[f] = struct{}{}
	t.mu.Unlock()
	toClient := Direction{
		From: t.toTarget.To,
		To:   t.toTarget.From,
	}
	directions := sync.WaitGroup{}
	directions.Go(func() { t.copy(f, server, client, t.toTarget) })
	directions.Go(func() { t.copy(f, client, server, toClient) })
	directions.Wait()
	f.reset()
	t.mu.Lock()
	delete(t.flows, f)
	t.mu.Unlock()
}

// holdUnanswered keeps a connection open without forwarding it, for up to 10 s or until
// the direction is no longer cut. In a real partition the connection would not have been
// accepted, but the kernel has accepted it already.
func (t *TCP) holdUnanswered(client net.Conn) {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if copies, _ := t.network.delivery(t.toTarget); copies > 0 {
			break
		}
	}
	_ = client.Close()
}

// copy forwards data in one direction. Once the flow is blackholed, it discards what it
// reads.
func (t *TCP) copy(f *tcpFlow, to, from net.Conn, direction Direction) {
	buffer := make([]byte, tcpBufferSize)
	for {
		size, err := from.Read(buffer)
		select {
		case <-f.blackholed:
			if err != nil {
				return
			}
			continue
		default:
		}
		if size > 0 && !t.write(to, buffer[:size], direction) {
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

func (t *TCP) write(to net.Conn, data []byte, direction Direction) bool {
	copies, delay := t.network.delivery(direction)
	for copies == 0 {
		// TCP retransmits lost data until the partition ends.
		time.Sleep(cutPollInterval)
		copies, delay = t.network.delivery(direction)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := to.Write(data)
	return err == nil
}
