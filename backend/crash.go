package backend

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// crashCheckTimeout limits the time to find out whether a server still listens. A machine that
// does not respond at all is no evidence of a crash.
const crashCheckTimeout = 150 * time.Millisecond

// Reachability is what a connect tells of the path to a server.
type Reachability int

const (
	// Reached means that the server's machine accepted the connection.
	Reached Reachability = iota
	// Unanswered means that no answer came in time.
	Unanswered
	// Unreachable means that the connection was refused, or that no path is known.
	Unreachable
)

// Reach tries to open a connection to an address within a time.
func Reach(ctx context.Context, address netip.AddrPort, timeout time.Duration) Reachability {
	dialer := &net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	timedOut := net.Error(nil)
	switch {
	case err == nil:
		_ = conn.Close()
		return Reached
	case errors.As(err, &timedOut) && timedOut.Timeout():
		return Unanswered
	}
	return Unreachable
}

// Gone reports whether nothing listens at an address any more. A server that has closed a connection
// before it responded may have crashed, or be too busy for the connection; only the first refuses
// new ones.
func Gone(ctx context.Context, address netip.AddrPort) bool {
	dialer := &net.Dialer{Timeout: crashCheckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
