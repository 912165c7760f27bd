package wire

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// peer holds the connection to an address and the messages queued for it.
type peer struct {
	address netip.AddrPort
	queue   chan queuedMessage
	// sparse is set for a peer that is called through Sparse.
	sparse atomic.Bool
	// streams counts the open streams, and usedAt is when one was last opened, in nanoseconds
	// since the endpoint was opened.
	streams atomic.Int64
	usedAt  atomic.Int64
	// timeouts counts the timeouts of calls in a row.
	timeouts atomic.Int32

	mu   sync.Mutex
	conn *quic.Conn
	// dialed is closed when the dial in progress ends, and nil if there is none.
	dialed chan struct{}
}

type queuedMessage struct {
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
			queue:   make(chan queuedMessage, messageQueueLength),
		}
		e.peers[address] = p
		e.wait.Go(func() { e.sendQueued(p) })
	}
	return p
}

// connect returns the open connection to a peer, or dials one. Concurrent callers wait
// for the same dial.
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
	conn, err := e.dial(dialCtx, p)
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

// closeConn closes the peer's connection. If conn is not nil, it does so only if that is
// still the current connection.
func (p *peer) closeConn(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && (conn == nil || p.conn == conn) {
		_ = p.conn.CloseWithError(0, "")
		p.conn = nil
	}
}

// open opens a stream to a peer and sends its header. The peer acts only on what follows the
// header, so if a connection turns out to have ended, open dials another one.
//
// The state of a connection does not tell that in advance: quic-go ends the streams of a
// connection before its context, and a peer may end one at any time.
func (e *Endpoint) open(ctx context.Context, address netip.AddrPort, method Method) (*countedStream, error) {
	p := e.peer(address)
	for attempt := 1; ; attempt++ {
		conn, err := e.connect(ctx, p)
		if err != nil {
			return nil, err
		}
		stream, err := e.openOn(ctx, p, conn, method)
		if err == nil || attempt == maxOpenAttempts || !connectionEnded(err) || ctx.Err() != nil {
			return stream, err
		}
		connectionsLost.Add(1)
		p.closeConn(conn)
	}
}

// maxOpenAttempts is the number of connections that open tries.
const maxOpenAttempts = 3

// connectionEnded reports whether an error of a stream means that its connection has ended.
func connectionEnded(err error) bool {
	idle, application := (*quic.IdleTimeoutError)(nil), (*quic.ApplicationError)(nil)
	transport, reset := (*quic.TransportError)(nil), (*quic.StatelessResetError)(nil)
	return errors.As(err, &idle) || errors.As(err, &application) || errors.As(err, &transport) || errors.As(err, &reset)
}

// PeerRestarted reports whether an error of a channel means that the process at its other end was replaced
// by one that has started since. That one can be reached over a new connection.
func PeerRestarted(err error) bool {
	reset := (*quic.StatelessResetError)(nil)
	return errors.As(err, &reset)
}

func (e *Endpoint) openOn(ctx context.Context, p *peer, conn *quic.Conn, method Method) (*countedStream, error) {
	address := p.address
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "wire: open a stream to %s", address)
	}
	counted := &countedStream{
		stream: stream,
		peer:   p,
	}
	p.streams.Add(1)
	p.usedAt.Store(int64(time.Since(e.opened)))
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetWriteDeadline(deadline)
	}
	h := streamHeader{
		Method: method,
		From:   string(e.cfg.Node),
	}
	if _, err := writeFrame(counted, h); err != nil {
		stream.CancelWrite(0)
		counted.ended()
		return nil, eris.Wrapf(err, "wire: open a stream to %s: send the header of %s", address, method)
	}
	return counted, nil
}

// Call sends a request to a peer and decodes the body of its response into response. It
// waits until ctx ends at the latest. An error returned by the peer's handler is an *Error.
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
	defer stream.ended()
	defer stream.stream.CancelRead(0)
	if _, err := writeFrame(stream, request); err != nil {
		return eris.Wrapf(err, "wire: %s to %s: send the request", method, address)
	}
	_ = stream.stream.Close()
	body, err := readFrame(stream)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return eris.Wrapf(err, "wire: %s to %s: read the response", method, address)
	}
	received := callResponse{}
	if err := Decode(body, &received); err != nil {
		return eris.Wrapf(err, "wire: %s to %s: decode the response", method, address)
	}
	if received.Error != nil {
		return eris.Wrapf(received.Error, "wire: %s to %s", method, address)
	}
	return eris.Wrapf(Decode(received.Body, response), "wire: %s to %s: decode the body of the response", method, address)
}

// Open opens a channel to a peer.
func (e *Endpoint) Open(ctx context.Context, address netip.AddrPort, method Method) (*Channel, error) {
	stream, err := e.open(ctx, address, method)
	if err != nil {
		return nil, err
	}
	return &Channel{stream: stream}, nil
}

// Send queues a message to a peer, or drops it if the queue is full. Messages of one
// method to one peer arrive in order or not at all.
func (e *Endpoint) Send(address netip.AddrPort, method Method, value any) {
	select {
	case e.peer(address).queue <- queuedMessage{
		method: method,
		value:  value,
	}:
	default:
		messagesDropped.Add(1)
	}
}

// sendQueued sends the messages queued for a peer, on one stream for each method. It opens
// new streams and connections when they fail.
func (e *Endpoint) sendQueued(p *peer) {
	streams := map[Method]*countedStream{}
	for {
		select {
		case <-e.ctx.Done():
			return
		case message := <-p.queue:
			if !e.sendOne(p, streams, message) {
				e.discardQueued(p, redialDelay)
			}
		}
	}
}

// sendOne sends one message and reports whether it was written. A message that fails is
// dropped.
func (e *Endpoint) sendOne(p *peer, streams map[Method]*countedStream, message queuedMessage) bool {
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
		stream.ended()
		delete(streams, message.method)
		messagesDropped.Add(1)
		return false
	}
	return true
}

// discardQueued drops the messages to an unreachable peer for the given period. When
// the peer is reachable again, newer messages have replaced them.
func (e *Endpoint) discardQueued(p *peer, period time.Duration) {
	timer := time.NewTimer(period)
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
