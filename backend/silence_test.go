package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// soundSilence is how long the machine of a sound server may be silent.
const soundSilence = 1500 * time.Millisecond

// shortestFatalSilence returns the shortest silence of the other machine after which the kernel gives a
// connection up that waits for a response. Probes are sent from the idle time on, one in each interval. At
// each of them the connection is given up if nothing was received for the user timeout and a probe is
// out, so the silence begins just before the first probe at the latest.
func shortestFatalSilence(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) time.Duration {
		value, optionErr := 0, error(nil)
		err := raw.Control(func(fd uintptr) {
			value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
		})
		if err != nil || optionErr != nil {
			t.Fatalf("read option %d: %v, %v", name, err, optionErr)
		}
		return time.Duration(value)
	}
	user := option(unix.TCP_USER_TIMEOUT) * time.Millisecond
	idle, interval := option(unix.TCP_KEEPIDLE)*time.Second, option(unix.TCP_KEEPINTVL)*time.Second
	gaveUp := idle + interval
	for gaveUp < user {
		gaveUp += interval
	}
	return min(user, gaveUp-idle)
}

// dialed returns a connection to a server.
func dialed(t *testing.T, dial func(address string) net.Conn) net.Conn {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	conn := dial(server.Listener.Addr().String())
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestShortSilenceEndsConnection guards against connections that are given up while a sound server is
// silent for a second or so: a user timeout also bounds the keep-alive probes, whatever their count.
func TestShortSilenceEndsConnection(t *testing.T) {
	for name, dial := range map[string]func(address string) net.Conn{
		"routed requests": func(address string) net.Conn {
			conn, err := NewConnPool(Limits{}).dial(context.Background(), Outgoing{
				Instance: Instance{Address: netip.MustParseAddrPort(address)},
			})
			if err != nil {
				t.Fatal(err)
			}
			return conn.conn
		},
		"own API": func(address string) net.Conn {
			conn, err := newDialer(dialTimeout, clientIdleProbe, clientUserTimeout).DialContext(context.Background(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			return conn
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := shortestFatalSilence(t, dialed(t, dial)); got < soundSilence {
				t.Errorf("got a connection that ends after a silence of %s, want %s at least", got, soundSilence)
			}
		})
	}
}
