package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Limits and timeouts of connections to instances.
const (
	// connectTimeout limits the time to open a connection within one region.
	connectTimeout = 700 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged by the server's
	// machine until the kernel closes the connection. It also decides when keep-alive
	// probes give up, whatever their count.
	tcpUserTimeout = 2500 * time.Millisecond
	// defaultMaxIdle is how long an idle connection may be reused if the server does
	// not announce its own timeout.
	defaultMaxIdle = 2 * time.Second
	// atMostOnceMaxIdle is how long an idle connection may be reused for a request
	// that must run at most once. The longer a connection is idle, the likelier it
	// is broken unnoticed, and a request sent over it has an unknown outcome.
	atMostOnceMaxIdle = 300 * time.Millisecond
	// maxStaleResponses limits the responses to earlier requests that are skipped.
	maxStaleResponses = 2
	// maxStaleResponseBytes limits the body of a skipped response.
	maxStaleResponseBytes = 64 << 10
	// readBufferBytes is enough for a response header and the first events of a
	// stream.
	readBufferBytes = 4 << 10
	// abandonTimeout limits the wait for a server to end a connection whose caller has left.
	abandonTimeout = 150 * time.Millisecond
)

// Counters of connections to instances.
var (
	connsOpened atomic.Int64
	connsReused atomic.Int64
)

// ConnCounts returns how many connections were opened, and how many requests reused an
// idle connection.
func ConnCounts() (opened, reused int64) {
	return connsOpened.Load(), connsReused.Load()
}

// Instance is the destination of a request: one incarnation of a backend server.
type Instance struct {
	ID      fleet.BackendServerID
	Address netip.AddrPort
}

// ConnPool is a pool of HTTP/1.1 connections to instances. It is safe for concurrent
// use.
//
// http.Transport resends a request on its own when a reused connection turns out to be
// closed. Such a retry would bypass the retry budget, and could run a request twice that
// must run at most once. So the connections are managed here, and only the responses
// are parsed with net/http.
type ConnPool struct {
	limits Limits
	mu     sync.Mutex
	idle   map[Instance][]*Conn
	// retirements counts the calls of Retire, so that a connection that was in use
	// during one is not returned to the pool.
	retirements map[Instance]int
	// idleLimits is the maximum number of idle connections to each instance.
	idleLimits map[Instance]int
	observer   ConnectObserver
	dialer     *net.Dialer
}

// ConnectObserver is told of the connects to instances.
type ConnectObserver interface {
	// Connecting is called at the start of a connect, and the function that it returns at its end. The
	// error of a connect that its request did not wait for is context.Canceled.
	Connecting() (ended func(error))
}

// NewConnPool returns an empty pool. It reads responses within the limits.
func NewConnPool(limits Limits) *ConnPool {
	return &ConnPool{
		limits:      limits.WithDefaults(),
		idle:        map[Instance][]*Conn{},
		retirements: map[Instance]int{},
		idleLimits:  map[Instance]int{},
		dialer:      newDialer(connectTimeout, time.Second, tcpUserTimeout),
	}
}

// newDialer returns a dialer of connections to servers. An idle connection is probed after the given time.
func newDialer(timeout, idle, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     idle,
			Interval: time.Second,
			Count:    2,
		},
		Control: TCPUserTimeout(userTimeout),
	}
}

// Observe sets the observer of connects. It is called before the pool is used.
func (c *ConnPool) Observe(observer ConnectObserver) {
	c.observer = observer
}

// Conn is one connection. It carries at most one request at a time.
type Conn struct {
	instance    Instance
	conn        net.Conn
	guard       *headGuard
	reader      *bufio.Reader
	maxIdle     time.Duration
	idleSince   time.Time
	retirements int
	reused      bool
	// headRead is set once the head of the response to the current request was read.
	headRead atomic.Bool
}

// abandon ends the exchange, so that the server can cancel the work. If the caller left before the
// response began, only the sending side is closed: until the server ends the connection, and
// abandonTimeout at most, it shows whether a response had begun.
func (c *Conn) abandon(cause error) {
	if half, ok := c.conn.(*net.TCPConn); ok && errors.Is(cause, context.Canceled) && !c.headRead.Load() {
		_ = half.SetReadDeadline(time.Now().Add(abandonTimeout))
		if half.CloseWrite() == nil {
			return
		}
	}
	_ = c.conn.Close()
}

// ErrRevoked means that the instance stopped taking requests while the request waited for a connection.
var ErrRevoked = eris.New("backend: the instance takes no requests any more")

// ErrExpired means that the request's deadline passed before anything was sent.
var ErrExpired = eris.New("backend: the deadline passed before the request was sent")

// SendError is the error of a request that got no response.
type SendError struct {
	// Sent is set if part of the request may have been sent, so that it may have run.
	Sent bool
	// Unbegun is set if the caller left and the instance then ended the connection without having sent
	// anything: it had produced no part of a response.
	Unbegun bool
	Err     error
}

// Error implements the error interface.
func (e *SendError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// Do sends a request and reads the header of its response. When ctx ends before Finish
// is called, the connection is closed at any stage, so that the server can cancel the
// work. An error is a *SendError.
func (c *ConnPool) Do(ctx context.Context, out Outgoing) (*Incoming, error) {
	conn, err := c.take(ctx, out)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if out.expired() {
		_ = conn.conn.Close()
		return nil, &SendError{Err: eris.Wrapf(ErrExpired, "backend: %s at %s", out.Instance.ID, out.Instance.Address)}
	}
	stop := context.AfterFunc(ctx, func() { conn.abandon(context.Cause(ctx)) })
	in, reusable, err := conn.exchange(out)
	conn.headRead.Store(true)
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		stop()
		_ = conn.conn.Close()
		unbegun := ctx.Err() != nil && errors.Is(err, io.ErrUnexpectedEOF) && conn.guard.received == 0
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{
			Sent:    true,
			Unbegun: unbegun,
			Err:     eris.Wrapf(err, "backend: %s at %s", out.Instance.ID, out.Instance.Address),
		}
	}
	in.Reused = conn.reused
	in.End = func(complete bool) {
		if !stop() || !complete || !reusable || out.NoReuse || conn.reader.Buffered() > 0 {
			_ = conn.conn.Close()
			return
		}
		conn.maxIdle = maxIdleTime(in.Header)
		conn.idleSince = time.Now()
		c.put(conn)
	}
	return in, nil
}

// take returns an idle connection that is still usable, or a new one.
func (c *ConnPool) take(ctx context.Context, out Outgoing) (*Conn, error) {
	for {
		if out.NoReuse {
			return c.dial(ctx, out)
		}
		conn := c.pop(out.Instance)
		if conn == nil {
			return c.dial(ctx, out)
		}
		limit := conn.maxIdle
		if out.AtMostOnce {
			limit = min(limit, atMostOnceMaxIdle)
		}
		if time.Since(conn.idleSince) < limit && conn.nothingReceived() {
			connsReused.Add(1)
			conn.reused = true
			return conn, nil
		}
		_ = conn.conn.Close()
	}
}

// pop removes and returns the idle connection that was used last, or nil.
func (c *ConnPool) pop(instance Instance) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[instance]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idle[instance] = idle[:len(idle)-1]
	return conn
}

func (c *ConnPool) dial(ctx context.Context, out Outgoing) (*Conn, error) {
	ended := func(error) {}
	if c.observer != nil {
		ended = c.observer.Connecting()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", out.Instance.Address.String())
	if err != nil && ctx.Err() != nil {
		ended(context.Canceled)
	} else {
		ended(err)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "backend: connect to %s at %s", out.Instance.ID, out.Instance.Address)
	}
	connsOpened.Add(1)
	if out.Revoked != nil && out.Revoked() {
		_ = raw.Close()
		return nil, eris.Wrapf(ErrRevoked, "backend: connect to %s at %s", out.Instance.ID, out.Instance.Address)
	}
	guard := &headGuard{
		Conn:   raw,
		limits: c.limits,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Conn{
		instance:    out.Instance,
		conn:        raw,
		guard:       guard,
		reader:      bufio.NewReaderSize(guard, readBufferBytes),
		maxIdle:     defaultMaxIdle,
		retirements: c.retirements[out.Instance],
	}, nil
}

// nothingReceived reports whether an idle connection is open and has no unread data.
// Data after the last response would belong to no request.
func (c *Conn) nothingReceived() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		one := [1]byte{}
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// exchange writes the request and reads the header of the matching response. It returns whether the
// connection can be used again once the body has been read.
//
// A refusal says that the request has not run, so it must not be another one's. A server may write an
// earlier refusal once more: one without an id counts only as the first response on a connection, and
// no connection is used again after a refusal.
func (c *Conn) exchange(out Outgoing) (in *Incoming, reusable bool, err error) {
	if err := c.write(out); err != nil {
		return nil, false, eris.Wrap(err, "send the request")
	}
	for skipped := range maxStaleResponses + 1 {
		response, err := c.readHeader(out.Method)
		if err != nil {
			return nil, false, eris.Wrap(err, "await the answer")
		}
		match := out.Match(response.StatusCode, response.Header)
		if match == MatchUnnamedRefusal && (c.reused || skipped > 0) {
			return nil, false, eris.New("received a refusal that does not say of which request, on a connection that had others")
		}
		if match != MatchOther {
			in := &Incoming{
				Status:  response.StatusCode,
				Header:  response.Header,
				Body:    response.Body,
				Length:  response.ContentLength,
				Framing: framingOf(response),
			}
			return in, match == MatchOwn && !response.Close && in.Framing != FramingConnection, nil
		}
		// This is the response to an earlier request. The one to this request may
		// follow it.
		if response.ContentLength < 0 || response.ContentLength > maxStaleResponseBytes {
			return nil, false, eris.New("received a response to another request, of unknown length or too long to skip")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, false, eris.Wrap(err, "skip the response to another request")
		}
	}
	return nil, false, eris.New("received only responses to other requests")
}

func (c *Conn) write(out Outgoing) error {
	c.guard.received = 0
	c.headRead.Store(false)
	buffer := make([]byte, 0, 1024+len(out.Body))
	buffer = append(buffer, out.Method+" "+out.Target+" HTTP/1.1\r\nHost: "+out.Host+"\r\n"...)
	for name, values := range out.Header {
		for _, value := range values {
			buffer = append(buffer, name+": "+value+"\r\n"...)
		}
	}
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, out.Body...)
	_, err := c.conn.Write(buffer)
	return err
}

// FinalStatus reports whether a response that is not an interim one may have a status.
func FinalStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}

// readHeader reads the head of the next response that is not an interim one. Nothing is read behind a head that is neither: the
// bytes that follow may look like another response. No request asks for another protocol (101).
func (c *Conn) readHeader(method string) (*http.Response, error) {
	for range c.guard.limits.Interim + 1 {
		c.guard.startHead()
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		c.guard.reading = false
		if err != nil {
			return nil, err
		}
		switch status := response.StatusCode; {
		case FinalStatus(status):
			return response, nil
		case status < http.StatusContinue || status >= http.StatusOK || status == http.StatusSwitchingProtocols:
			return nil, eris.Errorf("received a head with status %03d, which is no response to the request", status)
		}
	}
	return nil, &OversizeError{
		Part:  PartInterim,
		Limit: c.guard.limits.Interim,
	}
}

// Finish ends the exchange. If the body was read to its end, the connection may be used again, unless
// the server is about to close it.
func (in *Incoming) Finish(complete bool) {
	in.End(complete)
}

// maxIdleTime returns how long an idle connection may be reused: 70 % of the timeout that
// the server announces, so that a request arrives before the server closes the
// connection.
func maxIdleTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second * 7 / 10
		}
	}
	return defaultMaxIdle
}

func (c *ConnPool) put(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[conn.instance]
	if len(idle) >= c.idleLimits[conn.instance] || conn.retirements != c.retirements[conn.instance] {
		_ = conn.conn.Close()
		return
	}
	c.idle[conn.instance] = append(idle, conn)
}

// Retire closes the idle connections to an instance, and has those in use closed when
// their requests end. It is called when an attempt at the instance has failed, since
// the other connections may be broken as well, or when the instance is draining.
func (c *ConnPool) Retire(instance Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retirements[instance]++
	for _, conn := range c.idle[instance] {
		_ = conn.conn.Close()
	}
	delete(c.idle, instance)
}

// SetIdleLimits sets the maximum number of idle connections to each instance, and closes
// the idle connections to all other instances.
func (c *ConnPool) SetIdleLimits(instances map[Instance]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimits = instances
	for instance, idle := range c.idle {
		if instances[instance] > 0 {
			continue
		}
		for _, conn := range idle {
			_ = conn.conn.Close()
		}
		delete(c.idle, instance)
		delete(c.retirements, instance)
	}
}
