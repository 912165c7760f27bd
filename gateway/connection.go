package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// minRequestsPerConnection and morePerConnection bound the requests of a caller's
	// connection. Callers keep connections for as long as they may, and choose an
	// entry node only for a new one: a workspace that sends a third of all requests
	// over a few of them overloads the node that they lead to (3,371 of 22,000
	// requests came to one of 65 nodes, whose link then held everyone up). The price is
	// a round trip in some twenty requests.
	minRequestsPerConnection = 12
	maxExtraRequests  = 12
)

type connectionKey struct{}

// connection counts the requests of a caller's connection.
type connection struct {
	remaining atomic.Int32
}

// ConnContext is for the HTTP server that hands requests to a Server: it counts the
// requests of each connection.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	c := &connection{}
	c.remaining.Store(minRequestsPerConnection + rand.Int32N(maxExtraRequests+1))
	return context.WithValue(ctx, connectionKey{}, c)
}

// isLastRequest counts a request and reports whether it is its connection's last.
func isLastRequest(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && c.remaining.Add(-1) <= 0
}
