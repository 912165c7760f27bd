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

// Times of kept connections.
const (
	// connectTimeout bounds the opening of a connection inside one region.
	connectTimeout = 700 * time.Millisecond
	// unacknowledged ends a connection whose sent data the server's machine does
	// not acknowledge.
	unacknowledged = 1500 * time.Millisecond
	// idleDefault is how long a connection is kept where the server does not say
	// when it closes it.
	idleDefault = 2 * time.Second
	// onceIdle is the longest pause after which a connection is used again for a
	// request that may not be repeated: the longer it was idle, the likelier it
	// has died without a word, which would leave the outcome in doubt.
	onceIdle = 300 * time.Millisecond
	// maxExtraAnswers bounds the answers to earlier requests that are skipped.
	maxExtraAnswers = 2
	// maxExtraBytes bounds such an answer's body.
	maxExtraBytes = 64 << 10
	// readBuffer holds an answer's header and the first events of a stream.
	readBuffer = 4 << 10
)

// Counters of connections to instances.
var (
	connsOpened atomic.Int64
	connsReused atomic.Int64
)

// ConnCounts returns how many connections were opened, and how many requests found a
// kept one.
func ConnCounts() (opened, reused int64) {
	return connsOpened.Load(), connsReused.Load()
}

// Instance is where a request is sent: one life of a backend server.
type Instance struct {
	ID      fleet.BackendServerID
	Address netip.AddrPort
}

// ConnPool keeps connections to instances. It is safe for concurrent use.
//
// The standard client sends a request again by itself when a kept connection dies,
// which no retry budget would count and a request that may run only once cannot bear.
// So connections are kept here, and the library reads and writes the messages.
type ConnPool struct {
	mu   sync.Mutex
	idle map[Instance][]*Conn
	// resets counts retirements, so that a connection that was in use during
	// one is not kept.
	resets map[Instance]int
	// keep is how many idle connections are kept to each instance.
	keep map[Instance]int
}

// NewConnPool returns an empty set.
func NewConnPool() *ConnPool {
	return &ConnPool{
		idle:   map[Instance][]*Conn{},
		resets: map[Instance]int{},
		keep:   map[Instance]int{},
	}
}

// Conn is one connection with at most one request at a time.
type Conn struct {
	instance  Instance
	conn      net.Conn
	reader    *bufio.Reader
	keepFor   time.Duration
	idleSince time.Time
	resets    int
	reused    bool
}

// SendError tells how far a request got that has no answer.
type SendError struct {
	// Sent says that a byte of it may have left, so that it may have run.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *SendError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// Outgoing is one request to an instance.
type Outgoing struct {
	Instance Instance
	Method   string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce marks a request that may not be sent again if its fate is unknown.
	AtMostOnce bool
	// Matches tells whether an answer belongs to this request.
	Matches func(status int, header http.Header) bool
}

// Incoming is an answer whose body has not been read.
type Incoming struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length, -1 where it is not known.
	Length int64
	// framed says that the answer has an end of its own, and does not end with
	// its connection.
	framed bool
	conn   *Conn
	conns  *ConnPool
	close  bool
	stop   func() bool
}

// Do sends a request and reads the header of its answer. When ctx ends, the connection
// is closed, which frees the server, whatever the request is at. An error is a
// *SendError.
func (c *ConnPool) Do(ctx context.Context, out Outgoing) (*Incoming, error) {
	conn, err := c.take(ctx, out)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	in, err := conn.exchange(out)
	if err != nil {
		stop()
		_ = conn.conn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{
			Sent: true,
			Err:  eris.Wrapf(err, "backend: %s at %s", out.Instance.ID, out.Instance.Address),
		}
	}
	in.conns = c
	in.stop = stop
	return in, nil
}

// take returns a kept connection that is sound, or a new one.
func (c *ConnPool) take(ctx context.Context, out Outgoing) (*Conn, error) {
	for {
		conn := c.pop(out.Instance)
		if conn == nil {
			return c.dial(ctx, out.Instance)
		}
		limit := conn.keepFor
		if out.AtMostOnce {
			limit = min(limit, onceIdle)
		}
		if time.Since(conn.idleSince) < limit && conn.quiet() {
			connsReused.Add(1)
			conn.reused = true
			return conn, nil
		}
		_ = conn.conn.Close()
	}
}

// pop takes the connection that was used last.
func (c *ConnPool) pop(instance Instance) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[instance]
	if len(kept) == 0 {
		return nil
	}
	conn := kept[len(kept)-1]
	c.idle[instance] = kept[:len(kept)-1]
	return conn
}

func (c *ConnPool) dial(ctx context.Context, instance Instance) (*Conn, error) {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: TCPUserTimeout(unacknowledged),
	}
	raw, err := dialer.DialContext(ctx, "tcp", instance.Address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "backend: connect to %s at %s", instance.ID, instance.Address)
	}
	connsOpened.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Conn{
		instance: instance,
		conn:     raw,
		reader:   bufio.NewReaderSize(raw, readBuffer),
		keepFor:  idleDefault,
		resets:   c.resets[instance],
	}, nil
}

// quiet reports whether nothing has arrived on an idle connection: neither its end nor
// bytes behind the last answer, which would belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		one := [1]byte{}
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange writes the request and reads the header of the answer that belongs to it.
func (c *Conn) exchange(out Outgoing) (*Incoming, error) {
	if err := c.write(out); err != nil {
		return nil, eris.Wrap(err, "send the request")
	}
	for range maxExtraAnswers + 1 {
		response, err := c.readHeader(out.Method)
		if err != nil {
			return nil, eris.Wrap(err, "await the answer")
		}
		if out.Matches(response.StatusCode, response.Header) {
			return &Incoming{
				Status: response.StatusCode,
				Header: response.Header,
				Body:   response.Body,
				Length: response.ContentLength,
				framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
				conn:   c,
				close:  response.Close,
			}, nil
		}
		// An answer to an earlier request. What follows it may be ours.
		if response.ContentLength < 0 || response.ContentLength > maxExtraBytes {
			return nil, eris.New("an answer to another request came in its place")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, eris.Wrap(err, "skip an answer to another request")
		}
	}
	return nil, eris.New("answers to other requests came in its place")
}

func (c *Conn) write(out Outgoing) error {
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

func (c *Conn) readHeader(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// Finish ends the exchange. A connection whose answer was read whole is kept, unless
// the server is about to close it.
func (in *Incoming) Finish(whole bool) {
	stopped := in.stop()
	c := in.conn
	if !stopped || !whole || in.close || !in.framed || c.reader.Buffered() > 0 {
		_ = c.conn.Close()
		return
	}
	c.keepFor = keepFor(in.Header)
	c.idleSince = time.Now()
	in.conns.put(c)
}

// keepFor returns how long an idle connection may be used again: seven tenths of what
// the server says, so that the request arrives before the server closes it.
func keepFor(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second * 7 / 10
		}
	}
	return idleDefault
}

func (c *ConnPool) put(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[conn.instance]
	if len(kept) >= c.keep[conn.instance] || conn.resets != c.resets[conn.instance] {
		_ = conn.conn.Close()
		return
	}
	c.idle[conn.instance] = append(kept, conn)
}

// Retire closes the idle connections to an instance and keeps none of those in use:
// one of them was found silent, or the instance is leaving.
func (c *ConnPool) Retire(instance Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets[instance]++
	for _, conn := range c.idle[instance] {
		_ = conn.conn.Close()
	}
	delete(c.idle, instance)
}

// SetIdleLimits sets how many idle connections to keep to each instance, and closes those to
// all others.
func (c *ConnPool) SetIdleLimits(instances map[Instance]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep = instances
	for instance, kept := range c.idle {
		if instances[instance] > 0 {
			continue
		}
		for _, conn := range kept {
			_ = conn.conn.Close()
		}
		delete(c.idle, instance)
		delete(c.resets, instance)
	}
}
