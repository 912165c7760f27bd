package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// The users' rule on requests that crash instances: later than crashGrace after the third crash, at
// most maxRepeats of its repetitions may reach instances.
const (
	crashGrace = 3 * time.Second
	maxRepeats = 3
	// restartTime is how long a crashed instance is down.
	restartTime = 500 * time.Millisecond
	deadlyBody  = "deadly"
)

// crashingService has instances that crash on requests with the deadly body. Each comes back after
// restartTime at the same address.
type crashingService struct {
	t  *testing.T
	mu sync.Mutex
	// crashes and deadly have the times of the crashes and of the arrivals of the deadly request.
	crashes []time.Time
	deadly  []time.Time
	list    []routing.Instance
	closed  bool
}

func newCrashingService(t *testing.T, instances int) *crashingService {
	c := &crashingService{t: t}
	for i := range instances {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.list = append(c.list, routing.Instance{
			ID:      fleet.BackendServerID("i" + strconv.Itoa(i)),
			Service: "s",
			Address: listener.Addr().(*net.TCPAddr).AddrPort(),
			Slots:   8,
		})
		c.start(listener)
	}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
	})
	return c
}

// start serves connections until the instance crashes, and then again.
func (c *crashingService) start(listener net.Listener) {
	run := &instanceRun{
		service:  c,
		listener: listener,
		conns:    map[net.Conn]bool{},
	}
	c.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			run.mu.Lock()
			run.conns[conn] = true
			run.mu.Unlock()
			go run.serve(conn)
		}
	}()
}

// instanceRun is an instance from its start to its crash.
type instanceRun struct {
	service  *crashingService
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	crashed  bool
}

func (run *instanceRun) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		time.Sleep(5 * time.Millisecond)
		if string(body) == deadlyBody {
			run.crash()
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nInstance-Signature: signed\r\nContent-Length: 4\r\n\r\ndone")
	}
}

// crash closes the listener and all connections, and starts the instance anew after restartTime.
func (run *instanceRun) crash() {
	c := run.service
	now := time.Now()
	c.mu.Lock()
	c.deadly = append(c.deadly, now)
	c.mu.Unlock()
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.crashed {
		return
	}
	run.crashed = true
	c.mu.Lock()
	c.crashes = append(c.crashes, now)
	c.mu.Unlock()
	_ = run.listener.Close()
	for conn := range run.conns {
		_ = conn.Close()
	}
	time.AfterFunc(restartTime, func() {
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if listener, err := net.Listen("tcp", run.listener.Addr().String()); err == nil && !closed {
			c.start(listener)
		}
	})
}

// sendBody sends one request and returns the status, 0 if there was no response.
func sendBody(url, id, body string) int {
	request, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Attempt-Id", id)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestRepeatedRequestCrashesInstanceAfterInstance guards against a request that crashes each instance
// of a plain service that runs it, and that its caller sends again and again: two requests ended 19
// and 17 instances. Other requests of the same caller, on the same path, must be served.
func TestRepeatedRequestCrashesInstanceAfterInstance(t *testing.T) {
	for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindOnce} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			c := newCrashingService(t, 3)
			server, _ := newGateway(t, routing.Route{
				Name:        "r",
				Host:        "127.0.0.1",
				Prefix:      "/",
				Kind:        kind,
				Timeout:     time.Second,
				Targets:     targets,
				MaxAttempts: 2,
			}, &scriptedInstances{list: c.list})
			sound, served := 0, 0
			started := time.Now()
			for n := 0; time.Since(started) < 8*time.Second; n++ {
				if n%2 == 0 {
					sendBody(server.URL, "deadly"+strconv.Itoa(n), deadlyBody)
				}
				status := sendBody(server.URL, "sound"+strconv.Itoa(n), "sound"+strconv.Itoa(n))
				if time.Since(started) > 5*time.Second {
					sound++
					if status == http.StatusOK {
						served++
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.crashes) < 3 {
				t.Fatalf("got %d crashes, want at least 3 before the request is suspected", len(c.crashes))
			}
			late := 0
			for _, at := range c.deadly {
				if at.Sub(c.crashes[2]) > crashGrace {
					late++
				}
			}
			if late > maxRepeats {
				t.Errorf("got %d repetitions at instances later than %s after the third of %d crashes, want at most %d", late, crashGrace, len(c.crashes), maxRepeats)
			}
			if served < sound*95/100 {
				t.Errorf("got %d of %d sound requests served after 5 s, want nearly all", served, sound)
			}
		})
	}
}
