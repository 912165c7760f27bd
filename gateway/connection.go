package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// minRequestsPerConnection and maxExtraRequests limit the requests on one caller's
	// connection: the minimum plus a random number up to maxExtraRequests. Callers keep
	// connections open as long as they can and choose an entry node only for a new one.
	// Without the limit, a workspace that sent a third of all requests over a few
	// connections overloaded one of 65 nodes: it received 3,371 of 22,000 requests, and
	// its network link delayed all of them. The limit costs one extra round trip in about
	// 20 requests.
	minRequestsPerConnection = 12
	maxExtraRequests         = 12
)

type connectionKey struct{}

// connection counts down the requests left on a caller's connection.
type connection struct {
	remaining atomic.Int32
	conn      net.Conn
}

// lingerer is a connection whose unsent data can be dropped when it is closed, as those of
// net.TCPConn and wrappers of it.
type lingerer interface {
	SetLinger(seconds int) error
}

// ConnContext is the ConnContext function of the http.Server that serves a Server. It
// limits the requests on each connection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	c := &connection{conn: conn}
	c.remaining.Store(minRequestsPerConnection + rand.Int32N(maxExtraRequests+1))
	return context.WithValue(ctx, connectionKey{}, c)
}

// abort closes the caller's connection so that the response does not look complete. Without
// chunks a response extends to the end of the connection, and only a reset sets it apart.
func abort(r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if ok && !r.ProtoAtLeast(1, 1) {
		if l, ok := c.conn.(lingerer); ok {
			_ = l.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}

// isLastRequest counts a request and reports whether it is the last one on its
// connection.
func isLastRequest(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && c.remaining.Add(-1) <= 0
}
