package gateway_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/waxwingreel/waxwingreel/loopback"
)

// path is the way from one node to one instance. It can be cut.
type path struct {
	t       *testing.T
	address netip.AddrPort
	target  netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	// backlog is the socket that takes the place of the listener while the path is cut, so that no other process
	// gets the port. Fillers are the connections that fill its queue while connects hang.
	backlog int
	fillers []net.Conn
	conns   map[net.Conn]bool
	// silent is set while nothing is forwarded.
	silent bool
	opened int
}

// How a path is cut.
const (
	// cutRefuse resets all connections and refuses new ones.
	cutRefuse = "refuse"
	// cutRefuseNew refuses new connections and forwards the data of those that are open.
	cutRefuseNew = "refuseNew"
	// cutHang forwards nothing, and new connections are neither accepted nor refused.
	cutHang = "hang"
	// cutHangNew neither accepts nor refuses new connections and forwards the data of those that are open.
	cutHangNew = "hangNew"
)

func newPath(t *testing.T, target netip.AddrPort) *path {
	t.Helper()
	address, err := loopback.FreeAddress("tcp")
	if err != nil {
		t.Fatal(err)
	}
	p := &path{
		t:       t,
		address: address,
		target:  target,
		backlog: -1,
		conns:   map[net.Conn]bool{},
	}
	p.heal()
	t.Cleanup(func() {
		p.cut(cutRefuse)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.silent = false
		p.closeBacklog()
	})
	return p
}

// heal opens the path.
func (p *path) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeBacklog()
	p.silent = false
	if p.listener != nil {
		return
	}
	listener, err := net.Listen("tcp", p.address.String())
	if err != nil {
		p.t.Errorf("reopen a path: %v", err)
		return
	}
	p.listener = listener
	go p.accept(listener)
}

func (p *path) closeBacklog() {
	if p.backlog >= 0 {
		_ = unix.Close(p.backlog)
		p.backlog = -1
	}
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
}

// cut cuts the path.
func (p *path) cut(how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.closeBacklog()
	p.holdPort()
	switch how {
	case cutRefuse:
		for c := range p.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	case cutRefuseNew:
	case cutHangNew:
		p.hang()
	case cutHang:
		p.silent = true
		p.hang()
	default:
		p.t.Errorf("unknown way to cut a path: %q", how)
	}
}

// holdPort binds a socket to the port. Connects are refused while it does not listen.
func (p *path) holdPort() {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		p.t.Errorf("hold the port of a path: %v", err)
		return
	}
	// Connections of the path may still have the port, but no other socket may take it once it is bound.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, &unix.SockaddrInet4{
		Port: int(p.address.Port()),
		Addr: p.address.Addr().As4(),
	}); err != nil {
		p.t.Errorf("hold the port of a path: %v", err)
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0)
	p.backlog = fd
}

// hang listens with a queue that is full, so that the kernel drops further connects.
func (p *path) hang() {
	// Open connections of the path have the port too.
	_ = unix.SetsockoptInt(p.backlog, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Listen(p.backlog, 0); err != nil {
		p.t.Errorf("let the connects of a path hang: %v", err)
	}
	_ = unix.SetsockoptInt(p.backlog, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0)
	filler, err := net.Dial("tcp", p.address.String())
	if err == nil {
		p.fillers = append(p.fillers, filler)
	}
}

func (p *path) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target.String())
		if err != nil {
			_ = conn.Close()
			continue
		}
		p.mu.Lock()
		p.opened++
		p.conns[conn], p.conns[target] = true, true
		p.mu.Unlock()
		go p.forward(conn, target)
		go p.forward(target, conn)
	}
}

func (p *path) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// forward copies data until one side closes. It holds back what comes while the path is silent.
func (p *path) forward(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.isSilent() {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			break
		}
	}
	// A silent path does not tell of a close either.
	for p.isSilent() {
		time.Sleep(10 * time.Millisecond)
	}
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, to)
	delete(p.conns, from)
}
