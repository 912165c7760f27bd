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

// Reachable reports whether a connection to an address can be opened within a time.
func Reachable(ctx context.Context, address netip.AddrPort, timeout time.Duration) bool {
	dialer := &net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
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
