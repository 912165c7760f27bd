package wire

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// peer is the one connection to an address.
type peer struct {
	address netip.AddrPort
	queue   chan queued

	mu   sync.Mutex
	conn *quic.Conn
	// dialed is closed when the dial under way has ended.
	dialed chan struct{}
}

type queued struct {
	method Method
	value  any
}

func (e *Endpoint) peer(address netip.AddrPort) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[address]
	if !ok {
		p = &peer{
			address: address,
			queue:   make(chan queued, messageQueue),
		}
		e.peers[address] = p
		e.wait.Go(func() { e.sendQueued(p) })
	}
	return p
}

// connect returns the live connection, dialling one if there is none. Callers
// that come while a dial is under way wait for it.
func (e *Endpoint) connect(ctx context.Context, p *peer) (*quic.Conn, error) {
	for {
		p.mu.Lock()
		if p.conn != nil && p.conn.Context().Err() == nil {
			conn := p.conn
			p.mu.Unlock()
			return conn, nil
		}
		if p.conn != nil {
			p.conn = nil
			connectionsLost.Add(1)
		}
		wait := p.dialed
		if wait == nil {
			p.dialed = make(chan struct{})
			p.mu.Unlock()
			return e.dialPeer(ctx, p)
		}
		p.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, eris.Wrapf(ctx.Err(), "wire: dial %s", p.address)
		}
		if err := ctx.Err(); err != nil {
			return nil, eris.Wrapf(err, "wire: dial %s", p.address)
		}
	}
}

func (e *Endpoint) dialPeer(ctx context.Context, p *peer) (*quic.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := e.dial(dialCtx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialed)
	p.dialed = nil
	if err != nil {
		return nil, eris.Wrapf(err, "wire: dial %s", p.address)
	}
	p.conn = conn
	return conn, nil
}

// drop closes the connection, unless it was replaced already.
func (p *peer) drop(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && (conn == nil || p.conn == conn) {
		_ = p.conn.CloseWithError(0, "")
		p.conn = nil
	}
}

func (e *Endpoint) open(ctx context.Context, address netip.AddrPort, method Method) (*counting, error) {
	conn, err := e.connect(ctx, e.peer(address))
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "wire: open a stream to %s", address)
	}
	counted := &counting{stream: stream}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetWriteDeadline(deadline)
	}
	h := header{
		Method: method,
		From:   string(e.cfg.Node),
	}
	if _, err := writeFrame(counted, h); err != nil {
		stream.CancelWrite(0)
		return nil, eris.Wrapf(err, "wire: %s to %s", method, address)
	}
	return counted, nil
}

// Call asks a peer and waits for its answer, at the most until ctx ends. An error
// that the peer returned is an *Error.
func (e *Endpoint) Call(ctx context.Context, address netip.AddrPort, method Method, request, response any) error {
	stream, err := e.open(ctx, address, method)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		stream.stream.CancelRead(0)
		stream.stream.CancelWrite(0)
	})
	defer stop()
	defer stream.stream.CancelRead(0)
	if _, err := writeFrame(stream, request); err != nil {
		return eris.Wrapf(err, "wire: %s to %s: ask", method, address)
	}
	_ = stream.stream.Close()
	body, err := readFrame(stream)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return eris.Wrapf(err, "wire: %s to %s: await the answer", method, address)
	}
	reply := answer{}
	if err := Decode(body, &reply); err != nil {
		return eris.Wrapf(err, "wire: %s to %s: decode the answer", method, address)
	}
	if reply.Error != nil {
		return eris.Wrapf(reply.Error, "wire: %s to %s", method, address)
	}
	return eris.Wrapf(Decode(reply.Body, response), "wire: %s to %s: decode the answer", method, address)
}

// Open opens a channel to a peer.
func (e *Endpoint) Open(ctx context.Context, address netip.AddrPort, method Method) (*Channel, error) {
	stream, err := e.open(ctx, address, method)
	if err != nil {
		return nil, err
	}
	return &Channel{stream: stream}, nil
}

// Send queues a message to a peer. Messages of one peer arrive in order or not at
// all.
func (e *Endpoint) Send(address netip.AddrPort, method Method, value any) {
	select {
	case e.peer(address).queue <- queued{
		method: method,
		value:  value,
	}:
	default:
		messagesDropped.Add(1)
	}
}

// sendQueued sends a peer's messages over a stream for each method, opening
// streams and connections afresh when they fail.
func (e *Endpoint) sendQueued(p *peer) {
	streams := map[Method]*counting{}
	for {
		select {
		case <-e.ctx.Done():
			return
		case message := <-p.queue:
			if !e.sendOne(p, streams, message) {
				e.discardFor(p, redialPause)
			}
		}
	}
}

func (e *Endpoint) sendOne(p *peer, streams map[Method]*counting, message queued) bool {
	stream := streams[message.method]
	if stream == nil {
		ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
		defer cancel()
		opened, err := e.open(ctx, p.address, message.method)
		if err != nil {
			messagesDropped.Add(1)
			return false
		}
		stream = opened
		streams[message.method] = stream
	}
	_ = stream.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := writeFrame(stream, message.value); err != nil {
		stream.stream.CancelWrite(0)
		delete(streams, message.method)
		messagesDropped.Add(1)
		return false
	}
	return true
}

// discardFor drops what is queued for an unreachable peer: by the time it is back,
// newer messages say more.
func (e *Endpoint) discardFor(p *peer, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-timer.C:
			return
		case <-p.queue:
			messagesDropped.Add(1)
		}
	}
}
