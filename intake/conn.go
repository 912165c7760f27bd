package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
)

const (
	// fieldCost is the memory that a header field takes beyond its bytes, as it was received and as it is
	// passed on.
	fieldCost = 400
	// byteCost is how often a byte of a head is held.
	byteCost = 2
	// aheadCost is what the kernel holds of requests that were sent ahead, while another is served.
	aheadCost = 64 << 10
	// writeChunk is the size of the pieces in which progress of a response is demanded.
	writeChunk = 16 << 10
	// refusalTimeout limits the time to write a refusal.
	refusalTimeout = time.Second
)

// shortResponse refuses a request whose head does not fit the memory. Nothing of it has run.
const shortResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 20\r\nRetry-After: " + shortRetryAfter + "\r\nConnection: close\r\n\r\n" + shortBody

const (
	shortBody       = `{"error":"nodeBusy"}`
	shortRetryAfter = "0.10"
)

// Conn is a client's connection. It demands progress of its client and accounts for what the client
// makes the process hold.
type Conn struct {
	net.Conn
	gate    *Gate
	id      ConnID
	group   Group
	address string
	// requests is the number of requests so far. Only the goroutine that serves them accesses it.
	requests int

	mu    sync.Mutex
	phase Phase
	// readDeadline is the one that the HTTP library has set, zero for none.
	readDeadline time.Time
	// headHeld is what the heads hold that were read and not yet served.
	headHeld int64
	// lines is the number of lines of these heads.
	lines  int
	closed bool
}

// errShort ends a connection without a response by the HTTP library, which takes it for a failed read.
func (c *Conn) errShort() error {
	return &net.OpError{
		Op:   "read",
		Net:  "tcp",
		Addr: c.RemoteAddr(),
		Err:  ErrFull,
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(p)
	if n == 0 {
		c.noteTimeout(err)
		return n, err
	}
	if reason := c.received(p[:n]); reason != "" {
		c.refuse(reason)
		return 0, c.errShort()
	}
	return n, err
}

// beginRead sets the deadline by which the client has to make progress.
func (c *Conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == PhaseIdle {
		// All that was read has been parsed.
		c.releaseHead()
	}
	if c.phase == PhaseBody || c.phase == PhaseHead && c.headHeld > 0 {
		c.applyReadDeadline(c.gate.progress(c.id, 0))
	}
}

// applyReadDeadline sets the earlier of the deadlines of the HTTP library and of the client's progress.
// The caller holds mu.
func (c *Conn) applyReadDeadline(due time.Duration) {
	deadline := c.readDeadline
	if due > 0 {
		progress := time.Now().Add(due - clock.SinceBoot())
		if deadline.IsZero() || progress.Before(deadline) {
			deadline = progress
		}
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// received accounts for bytes of the client. It returns why they are refused, "" if they are not. Bodies
// are accounted for by those who hold them.
func (c *Conn) received(p []byte) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.progress(c.id, int64(len(p)))
	if c.phase == PhaseIdle {
		c.setPhase(PhaseHead)
	}
	if (c.phase == PhaseServe || c.phase == PhaseWrite) && len(p) == 1 {
		// The HTTP library waits for a single byte while it serves a request.
		return c.receivedAhead()
	}
	if c.phase != PhaseHead {
		return ""
	}
	lines := bytes.Count(p, []byte{'\n'})
	c.lines += lines
	unusual := min(lines, c.lines-usualFields)
	switch {
	case unusual > 0 && !c.gate.takeFields(unusual):
		return ReasonFields
	case !c.takeHead(headCost(int64(len(p)), int64(lines))):
		return ReasonShort
	}
	return ""
}

// receivedAhead accounts for requests that are sent before the response to another. The caller holds mu.
func (c *Conn) receivedAhead() Reason {
	if !c.takeHead(aheadCost) {
		return ReasonUnread
	}
	return ""
}

// headCost returns the memory that a head of a request takes.
func headCost(size, fields int64) int64 {
	return size*byteCost + fields*fieldCost
}

// takeHead takes memory for the head of a request. The caller holds mu.
func (c *Conn) takeHead(cost int64) bool {
	if !c.gate.take(c.id, cost) {
		return false
	}
	c.headHeld += cost
	return true
}

// noteTimeout counts a client that was too slow.
func (c *Conn) noteTimeout(err error) {
	timeout, ok := err.(net.Error)
	if !ok || !timeout.Timeout() {
		return
	}
	c.mu.Lock()
	slow := c.phase <= PhaseBody
	c.mu.Unlock()
	if slow {
		c.gate.observe(c, ReasonSlow)
	}
}

// refuse refuses a request whose head does not fit. One that was sent ahead gets no response, since that
// to another is under way.
func (c *Conn) refuse(reason Reason) {
	c.gate.observe(c, reason)
	if reason == ReasonUnread {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(shortResponse))
}

// Write implements net.Conn. Its deadline moves with the progress of the client.
func (c *Conn) Write(p []byte) (int, error) {
	limits := c.gate.cfg.Limits
	if limits.Rate <= 0 {
		return c.Conn.Write(p)
	}
	previous := c.enter(PhaseWrite)
	defer c.enter(previous)
	written := 0
	for {
		chunk := p[written:min(len(p), written+writeChunk)]
		allowed := limits.Grace + time.Duration(float64(len(chunk))/float64(limits.Rate)*float64(time.Second))
		_ = c.Conn.SetWriteDeadline(time.Now().Add(allowed))
		n, err := c.Conn.Write(chunk)
		written += n
		c.gate.progress(c.id, int64(n))
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			c.gate.observe(c, ReasonSlow)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetLinger is like that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(seconds)
}

// CloseWrite is like that of net.TCPConn.
func (c *Conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return w.CloseWrite()
}

// abort closes the connection at once, and drops what the client has not read.
func (c *Conn) abort(reason Reason) {
	c.gate.observe(c, reason)
	_ = c.SetLinger(0)
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.releaseHead()
	c.mu.Unlock()
	if !closed {
		c.gate.remove(c.id)
	}
	return c.Conn.Close()
}

// releaseHead gives back what the head of a request holds. The caller holds mu.
func (c *Conn) releaseHead() {
	c.gate.give(c.id, c.headHeld)
	c.headHeld = 0
	c.lines = 0
}

// enter begins a phase and returns the one before.
func (c *Conn) enter(phase Phase) Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.phase
	c.setPhase(phase)
	if previous == PhaseBody && phase != PhaseBody {
		// A read in the background must not end by the body's deadline.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	return previous
}

// setPhase begins a phase. The caller holds mu.
func (c *Conn) setPhase(phase Phase) {
	c.phase = phase
	c.gate.setPhase(c.id, phase)
}

func (g *Gate) setPhase(id ConnID, phase Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetPhase(id, phase, clock.SinceBoot())
}

// progress records progress and returns when the client will have used up its grace, 0 for never.
func (g *Gate) progress(id ConnID, n int64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Progress(id, n, clock.SinceBoot())
}

func (g *Gate) takeFields(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.TakeFields(n, clock.SinceBoot())
}

func (g *Gate) expect(id ConnID, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Expect(id, bytes)
}

func (g *Gate) remove(id ConnID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Close(id)
	delete(g.conns, id)
}

// Take implements Room. It waits a moment for memory that others give back.
func (c *Conn) Take(n int64) bool {
	if c.gate.take(c.id, n) {
		return true
	}
	// The client is not late while it waits for room.
	previous := c.enter(PhaseServe)
	defer c.enter(previous)
	return c.gate.takeWaiting(c.id, n, maxTakeWait)
}

// Give implements Room.
func (c *Conn) Give(n int64) {
	c.gate.give(c.id, n)
}

// ConnState is the ConnState function of a server whose listener is one of a Gate.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(PhaseServe)
	case http.StateIdle:
		c.enter(PhaseIdle)
	}
}

type connKey struct{}

// ConnContext is a ConnContext function of a server whose listener is one of a Gate.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// RoomOf returns the room of a request's connection, or another one if the connection is none of a
// Gate.
func RoomOf(ctx context.Context, other Room) Room {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c
	}
	return other
}
