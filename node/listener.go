package node

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
)

// maxHeaderBytes bounds the header of a request, except for a few kilobytes that the HTTP library
// allows beyond it.
const maxHeaderBytes = 32 << 10

// refusalReportInterval is the minimum time between two reports of refused connections.
const refusalReportInterval = time.Second

// limitedListener closes connections beyond a limit as soon as they are accepted. A connection
// costs memory before it has sent a request, so a limit on requests does not bound it.
type limitedListener struct {
	net.Listener
	limit int64
	log   *event.Log
	open  atomic.Int64
	// refused counts the connections closed since reportedAt. They are accessed only by the
	// goroutine that accepts.
	refused    int64
	reportedAt time.Time
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{
				Conn: conn,
				open: &l.open,
			}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
		l.reportRefusal()
	}
}

func (l *limitedListener) reportRefusal() {
	l.refused++
	if now := time.Now(); now.Sub(l.reportedAt) >= refusalReportInterval {
		l.log.Warn(event.ConnectionsRefused).
			Int64("connections", l.refused).
			Int64("limit", l.limit).
			Msg("connections of callers closed: as many are open as the memory of the process allows")
		l.refused = 0
		l.reportedAt = now
	}
}

// limitedConn counts as open until it is closed.
type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// SetLinger is like that of net.TCPConn.
func (c *limitedConn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(seconds)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
