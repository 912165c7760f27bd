package standin

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// CrashingConfig configures a Crashing.
type CrashingConfig struct {
	// Handler serves the requests on which the server does not crash.
	Handler http.Handler
	// Deadly is what the body of a request contains on which it does.
	Deadly string
	// Downtime is how long the server is down after a crash.
	Downtime time.Duration
}

// Crashing is a backend server on a loopback address that crashes on some requests: it closes its
// listener and all connections, and comes back at the same address.
type Crashing struct {
	cfg     CrashingConfig
	address netip.AddrPort

	mu      sync.Mutex
	server  *http.Server
	crashes []time.Time
	// deadly has the times of the requests on which the server crashes.
	deadly []time.Time
	closed bool
}

// NewCrashing starts a server.
func NewCrashing(cfg CrashingConfig) (*Crashing, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "standin: start a server that crashes")
	}
	c := &Crashing{
		cfg:     cfg,
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.run(listener)
	return c, nil
}

// run serves until the next crash. The caller holds mu.
func (c *Crashing) run(listener net.Listener) {
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if bytes.Contains(body, []byte(c.cfg.Deadly)) {
			c.crash(server)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		c.cfg.Handler.ServeHTTP(w, r)
	})
	c.server = server
	go func() { _ = server.Serve(listener) }()
}

// crash ends a run, unless it has ended already, and starts the next one later.
func (c *Crashing) crash(server *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.deadly = append(c.deadly, now)
	if c.server != server {
		return
	}
	c.server = nil
	c.crashes = append(c.crashes, now)
	_ = server.Close()
	time.AfterFunc(c.cfg.Downtime, c.restart)
}

func (c *Crashing) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if listener, err := net.Listen("tcp", c.address.String()); err == nil {
		c.run(listener)
	}
}

// Address returns the address of the server.
func (c *Crashing) Address() netip.AddrPort { return c.address }

// LateArrivals returns the number of crashes of all servers, and how many requests on which they
// crash came later than a time after the n-th crash.
func LateArrivals(servers []*Crashing, n int, grace time.Duration) (crashes, late int) {
	var crashTimes, arrivals []time.Time
	for _, c := range servers {
		c.mu.Lock()
		crashTimes = append(crashTimes, c.crashes...)
		arrivals = append(arrivals, c.deadly...)
		c.mu.Unlock()
	}
	slices.SortFunc(crashTimes, time.Time.Compare)
	for _, at := range arrivals {
		if len(crashTimes) >= n && at.Sub(crashTimes[n-1]) > grace {
			late++
		}
	}
	return len(crashTimes), late
}

// Close stops the server for good.
func (c *Crashing) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.server != nil {
		_ = c.server.Close()
	}
}
