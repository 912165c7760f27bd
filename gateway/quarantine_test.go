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

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/gateway"
	"github.com/waxwingreel/waxwingreel/platform"
	"github.com/waxwingreel/waxwingreel/routing"
)

// fragileEngines are engines that close all their connections as soon as they begin a response to a
// prompt with the part dead.
type fragileEngines struct {
	mu       sync.Mutex
	conns    map[int][]net.Conn
	arrivals map[string]int
	list     []routing.Instance
}

func startFragileEngines(t *testing.T, n int) *fragileEngines {
	t.Helper()
	e := &fragileEngines{
		conns:    map[int][]net.Conn{},
		arrivals: map[string]int{},
	}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		e.list = append(e.list, routing.Instance{
			ID:      fleet.BackendServerID("e" + strconv.Itoa(i)),
			Service: "s",
			Address: listener.Addr().(*net.TCPAddr).AddrPort(),
			Slots:   64,
		})
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				e.mu.Lock()
				e.conns[i] = append(e.conns[i], conn)
				e.mu.Unlock()
				go e.serve(i, conn)
			}
		}()
	}
	return e
}

func (e *fragileEngines) serve(engine int, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		kind := "sound"
		if strings.Contains(r.Header.Get("Prompt-Prefix"), "dead:") {
			kind = "deadly"
		}
		e.mu.Lock()
		e.arrivals[kind]++
		e.mu.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nInstance-Signature: signed\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		if kind == "deadly" {
			time.Sleep(10 * time.Millisecond)
			e.crash(engine)
			return
		}
		_, _ = io.WriteString(conn, "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n")
	}
}

func (e *fragileEngines) crash(engine int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns[engine] {
		_ = conn.Close()
	}
	e.conns[engine] = nil
}

// ask sends a request and returns its status.
func ask(t *testing.T, url, id, parts string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Token-Usage", "10,10")
	r.Header.Set("Prompt-Prefix", parts)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response
}

// TestRequestsWithDeadlyPartCrashEngineAfterEngine guards against a part of prompts on which one
// engine after the other crashes. A node that is on its own finds it too.
func TestRequestsWithDeadlyPartCrashEngineAfterEngine(t *testing.T) {
	engines := startFragileEngines(t, 8)
	url := serveInstances(t, engines, &routing.Engine{})
	shared := "subject:100,"
	for i := range 8 {
		id := strconv.Itoa(i)
		ask(t, url, "deadly"+id, shared+"dead:10,own"+id+":5")
		ask(t, url, "sound"+id, shared+"own"+id+"s:5")
		time.Sleep(160 * time.Millisecond)
	}
	engines.mu.Lock()
	if got, limit := engines.arrivals["deadly"], 5; got > limit {
		t.Errorf("got %d requests with the deadly part at engines, want at most %d", got, limit)
	}
	engines.mu.Unlock()
	refused := ask(t, url, "last", shared+"dead:10,ownLast:5")
	if got, want := refused.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d for a request with the deadly part, want %d", got, want)
	}
	if after, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64); err != nil || after < 1 {
		t.Errorf("got Retry-After %q, want the time of the suspension", refused.Header.Get("Retry-After"))
	}
	if got, want := ask(t, url, "sound", shared+"ownSound:5").StatusCode, http.StatusOK; got != want {
		t.Errorf("got status %d for a sound request with the same subject, want %d", got, want)
	}
}

// TestRequestEndsServerAfterServer guards against a single request that is sent on each time that
// an instance breaks it off: at most two may crash.
func TestRequestEndsServerAfterServer(t *testing.T) {
	for name, engine := range map[string]*routing.Engine{
		"engines":       {},
		"plain service": nil,
	} {
		t.Run(name, func(t *testing.T) {
			engines := startFragileEngines(t, 8)
			response := ask(t, serveInstances(t, engines, engine), "deadly", "dead:10,own:5")
			if got, want := response.StatusCode, http.StatusBadGateway; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
			engines.mu.Lock()
			defer engines.mu.Unlock()
			if got, limit := engines.arrivals["deadly"], 2; got > limit {
				t.Errorf("got the request at %d instances, want at most %d", got, limit)
			}
		})
	}
}

// TestGarbageIsNoCrash guards against the suspension of a part because engines send bytes that are
// no response: they run on, and are at fault themselves.
func TestGarbageIsNoCrash(t *testing.T) {
	in := newInstances(t, strings.Repeat("garbage ", 40))
	url := serveInstances(t, &fragileEngines{list: in.list}, &routing.Engine{})
	for i := range 8 {
		response := ask(t, url, "r"+strconv.Itoa(i), "subject:100,own"+strconv.Itoa(i)+":5")
		if got, want := response.StatusCode, http.StatusServiceUnavailable; got == want {
			t.Fatalf("request %d: got status %d, want it sent", i, got)
		}
		time.Sleep(160 * time.Millisecond)
	}
}

// serveInstances returns the address of a gateway with a resumable route to the instances. The
// engine is nil for a plain service.
func serveInstances(t *testing.T, engines *fragileEngines, engine *routing.Engine) string {
	t.Helper()
	s := gateway.New(gateway.Config{
		Node:       "n1",
		Control:    unreachableControl{},
		Protocol:   platform.Protocol{},
		RetryRatio: 1,
		RetrySlack: 100,
		Log:        event.New(io.Discard, "n1"),
	})
	s.HandleEntryNodes(1)
	s.HandleRouting(routing.NewView(routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name:        "r",
			Host:        "127.0.0.1",
			Prefix:      "/",
			Kind:        routing.KindStream,
			Resumable:   true,
			Timeout:     3 * time.Second,
			Targets:     targets,
			MaxAttempts: 8,
		}},
		Services: []routing.Service{{
			ID:     "s",
			Engine: engine,
		}},
	}))
	s.SetInstances(engines.list)
	return serveGateway(t, s).URL
}
