// Package wire carries messages between the fleet's own processes, over QUIC.
//
// One UDP port serves a process for all its peers. A call opens a stream for one
// question and one answer; a channel is a stream that stays open for frames both
// ways; a message is sent in order on one stream for each peer, and dropped rather
// than waited for when the peer is slow.
//
// # Silent connections
//
// A path between two VMs can forget a connection while new ones work. QUIC pings
// each second that is otherwise idle, and a connection that hears nothing for
// three seconds is closed. All streams on it end with an error, and the next use
// dials a fresh connection from the same port.
package wire

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Times of connections.
const (
	keepAlivePeriod  = time.Second
	idleTimeout      = 3 * time.Second
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	redialPause      = 200 * time.Millisecond
)

// messageQueue is how many messages wait for one peer before more are dropped.
const messageQueue = 1024

// Method names what a stream is for.
type Method string

// Counters of the traffic between processes, in bytes and messages.
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
	// Advertise is the address that others use; where it is not valid, that is
	// the address listened on.
	Advertise netip.AddrPort
	// Secret is the fleet's shared secret.
	Secret string
}

// CallHandler answers a call with a value or an error. An *Error keeps its code.
type CallHandler func(ctx context.Context, from fleet.NodeID, body []byte) (any, error)

// MessageHandler takes in a message.
type MessageHandler func(from fleet.NodeID, body []byte)

// ChannelHandler serves a channel until it returns.
type ChannelHandler func(ctx context.Context, from fleet.NodeID, ch *Channel)

// Endpoint is one process's end of the wire.
type Endpoint struct {
	cfg       Config
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	dialing   *quic.Config
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	dial      func(context.Context, netip.AddrPort) (*quic.Conn, error)

	calls    map[Method]CallHandler
	messages map[Method]MessageHandler
	channels map[Method]ChannelHandler

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// New opens the endpoint's socket. Handlers are added with the Handle functions
// before Start.
func New(cfg Config) (*Endpoint, error) {
	identity, err := tlsConfig(cfg.Secret)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "wire: listen on %s", cfg.Listen)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{
		cfg:       cfg,
		socket:    socket,
		transport: &quic.Transport{Conn: socket},
		dialing: &quic.Config{
			HandshakeIdleTimeout:  handshakeTimeout,
			MaxIdleTimeout:        idleTimeout,
			KeepAlivePeriod:       keepAlivePeriod,
			MaxIncomingStreams:    1 << 16,
			MaxIncomingUniStreams: 1 << 10,
		},
		ctx:      ctx,
		cancel:   cancel,
		calls:    map[Method]CallHandler{},
		messages: map[Method]MessageHandler{},
		channels: map[Method]ChannelHandler{},
		peers:    map[netip.AddrPort]*peer{},
	}
	e.dial = func(ctx context.Context, address netip.AddrPort) (*quic.Conn, error) {
		return e.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), identity, e.dialing)
	}
	e.listener, err = e.transport.Listen(identity, e.dialing)
	if err != nil {
		cancel()
		_ = socket.Close()
		return nil, eris.Wrapf(err, "wire: listen on %s", cfg.Listen)
	}
	return e, nil
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

// Start begins to accept connections.
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

// Close ends all connections and waits for the handlers.
func (e *Endpoint) Close() {
	e.cancel()
	_ = e.listener.Close()
	e.mu.Lock()
	peers := e.peers
	e.peers = map[netip.AddrPort]*peer{}
	e.mu.Unlock()
	for _, p := range peers {
		p.drop(nil)
	}
	_ = e.transport.Close()
	_ = e.socket.Close()
	e.wait.Wait()
}

// Address returns the address that others use.
func (e *Endpoint) Address() netip.AddrPort {
	if e.cfg.Advertise.IsValid() {
		return e.cfg.Advertise
	}
	return e.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// serve accepts the streams that a peer opens.
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
	counted := &counting{stream: stream}
	frame, err := readFrame(counted)
	if err != nil {
		return
	}
	h := header{}
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

func (e *Endpoint) serveCall(ctx context.Context, stream *counting, from fleet.NodeID, handler CallHandler) {
	body, err := readFrame(stream)
	if err != nil {
		return
	}
	reply := answer{}
	value, err := handler(ctx, from, body)
	if err == nil {
		reply.Body, err = cbor.Marshal(value)
	}
	if err != nil {
		reply.Error = asError(err)
	}
	_ = stream.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = writeFrame(stream, reply)
}

func asError(err error) *Error {
	coded := (*Error)(nil)
	if eris.As(err, &coded) {
		return coded
	}
	return &Error{
		Code: CodeInternal,
		Text: err.Error(),
	}
}

func (e *Endpoint) serveMessages(stream *counting, from fleet.NodeID, handler MessageHandler) {
	for {
		body, err := readFrame(stream)
		if err != nil {
			return
		}
		handler(from, body)
	}
}

// counting counts the bytes of a stream.
type counting struct {
	stream *quic.Stream
}

// Read implements io.Reader.
func (c *counting) Read(p []byte) (int, error) {
	n, err := c.stream.Read(p)
	bytesReceived.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *counting) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	bytesSent.Add(int64(n))
	return n, err
}

// Channel is a stream of frames both ways. One goroutine may send while another
// receives.
type Channel struct {
	stream *counting
}

// Send writes one value.
func (c *Channel) Send(v any) error {
	_ = c.stream.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := writeFrame(c.stream, v)
	return err
}

// Receive reads one value.
func (c *Channel) Receive(v any) error {
	body, err := readFrame(c.stream)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(Decode(body, v), "decode")
}

// Close ends the channel.
func (c *Channel) Close() {
	c.stream.stream.CancelRead(0)
	_ = c.stream.stream.Close()
}
