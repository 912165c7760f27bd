package intake

import (
	"net"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
)

const (
	// maxTakeWait is how long a body waits until others have given back their memory.
	maxTakeWait = 250 * time.Millisecond
)

// Shed is a connection that was closed or refused.
type Shed struct {
	Group   Group
	Reason  Reason
	Address string
	// Usage is what all clients held at that time.
	Usage Usage
}

// Config configures a Gate.
type Config struct {
	Limits Limits
	// MaxRequests bounds the requests on one connection of a group; 0 means no limit.
	MaxRequests map[Group]int
	// Observe is called for each connection that is closed or refused. It must not block.
	Observe func(Shed)
}

// Gate applies the decisions of a Pool to the connections of a process. It is safe for concurrent use.
type Gate struct {
	cfg    Config
	mu     sync.Mutex
	pool   *Pool
	conns  map[ConnID]*Conn
	lastID ConnID
	// given is closed and replaced when memory is given back while someone waits for it.
	given   chan struct{}
	waiting int
}

// NewGate returns a gate without connections.
func NewGate(cfg Config) *Gate {
	return &Gate{
		cfg:   cfg,
		pool:  NewPool(cfg.Limits),
		conns: map[ConnID]*Conn{},
		given: make(chan struct{}),
	}
}

// Usage returns what clients hold now.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Usage()
}

// Take implements Room for what belongs to no connection.
func (g *Gate) Take(n int64) bool {
	return g.take(0, n)
}

// Give implements Room for what belongs to no connection.
func (g *Gate) Give(n int64) {
	g.give(0, n)
}

// admit returns a connection, or nil if it was refused and closed.
func (g *Gate) admit(inner net.Conn, group Group) *Conn {
	address, _, err := net.SplitHostPort(inner.RemoteAddr().String())
	if err != nil {
		address = inner.RemoteAddr().String()
	}
	c := &Conn{
		Conn:    inner,
		gate:    g,
		group:   group,
		address: address,
	}
	g.mu.Lock()
	g.lastID++
	c.id = g.lastID
	victims, ok := g.pool.Open(c.id, group, address, clock.SinceBoot())
	if ok {
		g.conns[c.id] = c
	}
	displaced := g.victimConns(victims)
	g.mu.Unlock()
	g.shed(displaced)
	if !ok {
		g.observe(c, ReasonFull)
		_ = inner.Close()
		return nil
	}
	return c
}

// victimConn is a connection to close.
type victimConn struct {
	*Conn
	reason Reason
}

// victimConns returns the connections of victims. The caller holds mu.
func (g *Gate) victimConns(victims []Victim) []victimConn {
	var conns []victimConn
	for _, v := range victims {
		if c := g.conns[v.Conn]; c != nil {
			conns = append(conns, victimConn{
				Conn:   c,
				reason: v.Reason,
			})
		}
	}
	return conns
}

// shed closes connections.
func (g *Gate) shed(victims []victimConn) {
	for _, v := range victims {
		v.abort(v.reason)
	}
}

func (g *Gate) observe(c *Conn, reason Reason) {
	if g.cfg.Observe != nil {
		g.cfg.Observe(Shed{
			Group:   c.group,
			Reason:  reason,
			Address: c.address,
			Usage:   g.Usage(),
		})
	}
}

// take takes bytes if there is room. If there is none, connections that give way are closed.
func (g *Gate) take(id ConnID, n int64) bool {
	_, ok := g.tryTake(id, n)
	return ok
}

// tryTake is like take. If there is no room, it also returns the channel that is closed when some comes
// back.
func (g *Gate) tryTake(id ConnID, n int64) (<-chan struct{}, bool) {
	g.mu.Lock()
	victims, ok := g.pool.Take(id, n, clock.SinceBoot())
	conns := g.victimConns(victims)
	given := g.given
	g.mu.Unlock()
	g.shed(conns)
	return given, ok
}

// takeWaiting is like take, and waits for room if the connection may.
func (g *Gate) takeWaiting(id ConnID, n int64, wait time.Duration) bool {
	if !g.beginWait(id) {
		return false
	}
	defer g.endWait()
	deadline := time.Now().Add(wait)
	for {
		given, ok := g.tryTake(id, n)
		if ok {
			return true
		}
		if !awaitGiven(given, time.Until(deadline)) {
			return false
		}
	}
}

func (g *Gate) beginWait(id ConnID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pool.BeginWait(id) {
		return false
	}
	g.waiting++
	return true
}

func (g *Gate) endWait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.EndWait()
	g.waiting--
}

func awaitGiven(given <-chan struct{}, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-given:
		return true
	case <-timer.C:
		return false
	}
}

func (g *Gate) give(id ConnID, n int64) {
	if n == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Give(id, n)
	if g.waiting > 0 {
		close(g.given)
		g.given = make(chan struct{})
	}
}

// Listen returns a listener whose connections are admitted as a group.
func (g *Gate) Listen(inner net.Listener, group Group) net.Listener {
	return &listener{
		Listener: inner,
		gate:     g,
		group:    group,
	}
}

// listener admits the connections of a group.
type listener struct {
	net.Listener
	gate  *Gate
	group Group
}

// Accept implements net.Listener. Connections that are refused are closed at once, so that their
// clients try another node.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(conn, l.group); c != nil {
			return c, nil
		}
	}
}
