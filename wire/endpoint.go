// Package wire implements the transport between the processes of the fleet, over QUIC.
//
// A process uses one UDP port for all its peers. A call opens a stream for one request
// and one response. A channel is a stream that stays open for frames in both directions.
// Messages are sent in order on one stream for each peer and method; they are dropped
// if the peer is slow or cannot be reached.
//
// # Unresponsive connections
//
// The network between two VMs can stop forwarding the packets of an existing connection
// while new connections work. The process that dialed an idle connection therefore sends a QUIC
// ping each second and closes it after three seconds without a packet from the peer. All its
// streams then end with an error, and the next use dials a new connection from the same port.
//
// A process that is killed tells its peers nothing. The next process at its address does: it
// answers packets of connections that it does not know with QUIC's stateless reset, which its peers
// accept because the key of the reset tokens depends only on the fleet's secret and the address.
//
// Entry nodes have a connection to each of dozens of others, most of which are idle at any time,
// so the pings would cost more than the calls. Such peers are pinged rarely (see Sparse): their
// calls have short timeouts, and some timeouts in a row close the connection.
package wire

import (
	"context"
	"expvar"
	"maps"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Timeouts and intervals of connections.
const (
	keepAlivePeriod = time.Second
	idleTimeout     = 3 * time.Second
	// sparseKeepAlivePeriod and sparseIdleTimeout apply to peers that are called through Sparse.
	sparseKeepAlivePeriod = 6 * time.Second
	sparseIdleTimeout     = 15 * time.Second
	// unusedTimeout is how long a connection without streams is kept.
	unusedTimeout = 12 * time.Second
	// sparseTimeouts is the number of timeouts of calls in a row after which the connection to
	// such a peer is closed.
	sparseTimeouts   = 3
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	// redialDelay is the time after a failed send to a peer in which messages to it
	// are dropped.
	redialDelay = 200 * time.Millisecond
)

// messageQueueLength is the maximum number of queued messages for one peer. Further ones
// are dropped.
const messageQueueLength = 1024

// Method is the name of a call, message or channel. It selects the peer's handler.
type Method string

// Counters of the traffic between processes.
var (
	bytesSent       = expvar.NewInt("waxwingreel.wire.bytesSent")
	bytesReceived   = expvar.NewInt("waxwingreel.wire.bytesReceived")
	messagesDropped = expvar.NewInt("waxwingreel.wire.messagesDropped")
	connectionsLost = expvar.NewInt("waxwingreel.wire.connectionsLost")
)

// Config sets up an Endpoint.
type Config struct {
	Node fleet.NodeID
	// Listen is the UDP address of this process.
	Listen netip.AddrPort
	// Advertise is the address that peers use. If it is not valid, they use the
	// address of the socket.
	Advertise netip.AddrPort
	// Panicked is called with the value and the stack of a panic in a handler, whose stream
	// then ends. If it is nil, a panic ends the process.
	Panicked func(value any, stack []byte)
	// Secret is shared by all nodes of the fleet and authenticates them.
	Secret string
}

// CallHandler responds to a call with a value or an error. The client receives an *Error
// with its code, and any other error with CodeInternal.
type CallHandler func(ctx context.Context, from fleet.NodeID, body []byte) (any, error)

// MessageHandler handles a message.
type MessageHandler func(from fleet.NodeID, body []byte)

// ChannelHandler serves a channel. The channel is closed when the handler returns.
type ChannelHandler func(ctx context.Context, from fleet.NodeID, ch *Channel)

// Endpoint sends and receives a process's calls, messages and channels.
type Endpoint struct {
	cfg        Config
	socket     *net.UDPConn
	transport  *quic.Transport
	listener   *quic.Listener
	quicConfig *quic.Config
	opened     time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	wait       sync.WaitGroup
	dial       func(context.Context, *peer) (*quic.Conn, error)

	calls    map[Method]CallHandler
	messages map[Method]MessageHandler
	channels map[Method]ChannelHandler

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// New opens the endpoint's socket. Handlers must be set before Start.
func New(cfg Config) (*Endpoint, error) {
	identity, err := tlsConfig(cfg.Secret)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "wire: listen on %s", cfg.Listen)
	}
	resetKey, err := statelessResetKey(cfg.Secret, socket.LocalAddr().String())
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{
		cfg:    cfg,
		socket: socket,
		transport: &quic.Transport{
			Conn:              socket,
			StatelessResetKey: resetKey,
		},
		quicConfig: &quic.Config{
			HandshakeIdleTimeout:  handshakeTimeout,
			MaxIdleTimeout:        idleTimeout,
			KeepAlivePeriod:       keepAlivePeriod,
			MaxIncomingStreams:    1 << 16,
			MaxIncomingUniStreams: 1 << 10,
		},
		opened:   time.Now(),
		ctx:      ctx,
		cancel:   cancel,
		calls:    map[Method]CallHandler{},
		messages: map[Method]MessageHandler{},
		channels: map[Method]ChannelHandler{},
		peers:    map[netip.AddrPort]*peer{},
	}
	sparse := e.quicConfig.Clone()
	sparse.MaxIdleTimeout, sparse.KeepAlivePeriod = sparseIdleTimeout, sparseKeepAlivePeriod
	e.dial = func(ctx context.Context, p *peer) (*quic.Conn, error) {
		cfg := e.quicConfig
		if p.sparse.Load() {
			cfg = sparse
		}
		return e.transport.Dial(ctx, net.UDPAddrFromAddrPort(p.address), identity, cfg)
	}
	// The side that dialed sends the pings, and the shorter idle timeout of both applies.
	accepted := sparse.Clone()
	accepted.KeepAlivePeriod = 0
	e.listener, err = e.transport.Listen(identity, accepted)
	if err != nil {
		cancel()
		_ = socket.Close()
		return nil, eris.Wrapf(err, "wire: listen on %s", cfg.Listen)
	}
	e.wait.Go(e.closeUnused)
	return e, nil
}

// closeUnused closes connections that have had no stream for unusedTimeout. Each node calls the
// leader of the control group when it starts and seldom afterwards; without this, a leader would be
// pinged by the whole fleet for ever.
func (e *Endpoint) closeUnused() {
	ticker := time.NewTicker(unusedTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		e.closeOlderThan(unusedTimeout)
	}
}

// closeOlderThan closes the connections that have no stream and had none for the given time.
func (e *Endpoint) closeOlderThan(limit time.Duration) {
	now := time.Since(e.opened)
	e.mu.Lock()
	peers := slices.Collect(maps.Values(e.peers))
	e.mu.Unlock()
	for _, p := range peers {
		if p.streams.Load() == 0 && now-time.Duration(p.usedAt.Load()) > limit {
			p.closeConn(nil)
		}
	}
}

// HandleCall sets the handler of a call.
func (e *Endpoint) HandleCall(method Method, handler CallHandler) {
	e.calls[method] = handler
}

// HandleMessage sets the handler of a message.
func (e *Endpoint) HandleMessage(method Method, handler MessageHandler) {
	e.messages[method] = handler
}

// HandleChannel sets the handler of a channel.
func (e *Endpoint) HandleChannel(method Method, handler ChannelHandler) {
	e.channels[method] = handler
}

// Start accepts connections in the background.
func (e *Endpoint) Start() {
	e.wait.Go(func() {
		for {
			conn, err := e.listener.Accept(e.ctx)
			if err != nil {
				return
			}
			e.wait.Go(func() { e.serve(conn) })
		}
	})
}

// Close closes all connections and waits for the handlers.
func (e *Endpoint) Close() {
	e.cancel()
	_ = e.listener.Close()
	e.mu.Lock()
	peers := e.peers
	e.peers = map[netip.AddrPort]*peer{}
	e.mu.Unlock()
	for _, p := range peers {
		p.closeConn(nil)
	}
	_ = e.transport.Close()
	_ = e.socket.Close()
	e.wait.Wait()
}

// Address returns the address that peers use.
func (e *Endpoint) Address() netip.AddrPort {
	if e.cfg.Advertise.IsValid() {
		return e.cfg.Advertise
	}
	return e.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// serve handles the streams that a peer opens on a connection.
func (e *Endpoint) serve(conn *quic.Conn) {
	streams := sync.WaitGroup{}
	defer streams.Wait()
	for {
		stream, err := conn.AcceptStream(e.ctx)
		if err != nil {
			_ = conn.CloseWithError(0, "")
			return
		}
		streams.Go(func() { e.serveStream(conn, stream) })
	}
}

func (e *Endpoint) serveStream(conn *quic.Conn, stream *quic.Stream) {
	defer stream.CancelRead(0)
	defer func() { _ = stream.Close() }()
	defer e.containPanic(stream)
	counted := &countedStream{stream: stream}
	frame, err := readFrame(counted)
	if err != nil {
		return
	}
	h := streamHeader{}
	if err := Decode(frame, &h); err != nil {
		return
	}
	from := fleet.NodeID(h.From)
	switch {
	case e.calls[h.Method] != nil:
		e.serveCall(conn.Context(), counted, from, e.calls[h.Method])
	case e.messages[h.Method] != nil:
		e.serveMessages(counted, from, e.messages[h.Method])
	case e.channels[h.Method] != nil:
		e.channels[h.Method](conn.Context(), from, &Channel{stream: counted})
	}
}

// containPanic ends the stream of a handler that panicked. A message that a handler does not expect
// must not end the process.
func (e *Endpoint) containPanic(stream *quic.Stream) {
	if e.cfg.Panicked == nil {
		return
	}
	if value := recover(); value != nil {
		e.cfg.Panicked(value, debug.Stack())
		stream.CancelWrite(0)
	}
}

func (e *Endpoint) serveCall(ctx context.Context, stream *countedStream, from fleet.NodeID, handler CallHandler) {
	body, err := readFrame(stream)
	if err != nil {
		return
	}
	response := callResponse{}
	value, err := handler(ctx, from, body)
	if err == nil {
		response.Body, err = cbor.Marshal(value)
	}
	if err != nil {
		response.Error = toError(err)
	}
	_ = stream.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = writeFrame(stream, response)
}

// toError converts the error of a handler to the one sent to the client.
func toError(err error) *Error {
	coded := (*Error)(nil)
	if eris.As(err, &coded) {
		return coded
	}
	return &Error{
		Code: CodeInternal,
		Text: err.Error(),
	}
}

func (e *Endpoint) serveMessages(stream *countedStream, from fleet.NodeID, handler MessageHandler) {
	for {
		body, err := readFrame(stream)
		if err != nil {
			return
		}
		handler(from, body)
	}
}

// countedStream adds the bytes read and written to the traffic counters.
type countedStream struct {
	stream *quic.Stream
	// peer is nil for a stream that the peer opened.
	peer *peer
	once sync.Once
}

// ended counts the stream as closed. Further calls do nothing.
func (c *countedStream) ended() {
	if c.peer != nil {
		c.once.Do(func() { c.peer.streams.Add(-1) })
	}
}

// Read implements io.Reader.
func (c *countedStream) Read(p []byte) (int, error) {
	n, err := c.stream.Read(p)
	bytesReceived.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedStream) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	bytesSent.Add(int64(n))
	return n, err
}

// Channel is a stream of frames in both directions. One goroutine may send while another
// receives.
type Channel struct {
	stream *countedStream
}

// Send sends one value.
func (c *Channel) Send(v any) error {
	_ = c.stream.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := writeFrame(c.stream, v)
	return err
}

// Receive waits for one value and decodes it into v.
func (c *Channel) Receive(v any) error {
	body, err := readFrame(c.stream)
	if err != nil {
		return eris.Wrap(err, "wire: read a frame of the channel")
	}
	return eris.Wrap(Decode(body, v), "wire: decode a frame of the channel")
}

// Close closes the channel in both directions.
func (c *Channel) Close() {
	c.stream.stream.CancelRead(0)
	_ = c.stream.stream.Close()
	c.stream.ended()
}
