package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/waxwingreel/waxwingreel/faultproxy"
)

// Services whose instances are simulated.
const (
	engineService = "engines"
	plainService  = "records"
)

// The streams that the simulated instances send.
const (
	// streamEvents is the number of events in a stream, eventTokens the tokens in each.
	streamEvents  = 8
	eventTokens   = 4
	eventInterval = 15 * time.Millisecond
)

// How an instance handles requests.
const (
	behaviourNormal int32 = iota
	behaviourFull
	behaviourFail
	behaviourHang
	behaviourDropResponse
	behaviourTruncate
	behaviourCount
)

// instance simulates one instance of a service, behind a fault proxy.
type instance struct {
	h         *harness
	id        string
	service   string
	index     int
	software  string
	proxy     *faultproxy.TCP
	listener  net.Listener
	behaviour atomic.Int32
	// limited is set while the instance names a limit.
	limited atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	// drainingSince is when the instance list began to report the instance as draining. stopped
	// is true once it has ended.
	drainingSince time.Time
	stopped       bool
}

// instanceAddress returns the address at which an instance listens if real is true, otherwise
// that of its fault proxy.
func (h *harness) instanceAddress(index int, real bool) netip.AddrPort {
	part := byte(4)
	if real {
		part = 3
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, h.subnet, part, byte(index + 1)}), instancePort)
}

// startInstance starts a new instance at an address that another one may have had before.
func (h *harness) startInstance(service string, index int) {
	number := h.nextID.Add(1)
	in := &instance{
		h:        h,
		id:       fmt.Sprintf("i-%s-%d-%d", service, index, number),
		service:  service,
		index:    index,
		software: softwareOf(int(number)),
		conns:    map[net.Conn]bool{},
	}
	var err error
	in.listener, err = net.Listen("tcp", h.instanceAddress(index, true).String())
	if err != nil {
		h.reportViolation("soak", "cannot listen for instance %d: %v", index, err)
		return
	}
	in.proxy, err = faultproxy.NewTCP(h.network, faultproxy.Direction{
		From: "nodes",
		To:   fmt.Sprintf("instance-%d", index),
	}, h.instanceAddress(index, false), h.instanceAddress(index, true))
	if err != nil {
		h.reportViolation("soak", "cannot start the fault proxy of instance %d: %v", index, err)
		return
	}
	h.instancesMu.Lock()
	h.instances[index] = in
	h.instancesMu.Unlock()
	go in.accept()
}

func (in *instance) accept() {
	for {
		conn, err := in.listener.Accept()
		if err != nil {
			return
		}
		in.mu.Lock()
		in.conns[conn] = true
		in.mu.Unlock()
		go in.serve(conn)
	}
}

// stop ends the instance and resets its connections, as a crash does.
func (in *instance) stop() {
	in.mu.Lock()
	in.stopped = true
	conns := in.conns
	in.conns = map[net.Conn]bool{}
	in.mu.Unlock()
	_ = in.listener.Close()
	in.proxy.Close()
	for conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (in *instance) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		in.mu.Lock()
		delete(in.conns, conn)
		in.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !in.respond(conn, r, string(body)) {
			return
		}
	}
}

// holdTime returns the time that a request asks the instance to work on it.
func holdTime(r *http.Request) time.Duration {
	ms, _ := strconv.Atoi(r.URL.Query().Get("holdMillis"))
	return time.Duration(ms) * time.Millisecond
}

// signature returns the signature that an instance puts on the response to a request.
func signature(instance, id string) string { return instance + "." + id }

// responseBody returns the body of a complete response.
func responseBody(id, target string) string { return "answer to " + id + " at " + target }

// respond responds to one request and reports whether the connection stays open.
func (in *instance) respond(conn net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Attempt-Id")
	send := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	if r.Header.Get("Expected-Instance") != in.id {
		in.h.audit.recordMisdirected(id)
		return send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	mode := in.behaviour.Load()
	in.h.audit.recordArrival(in, r, body)
	if mode == behaviourRefuse {
		return in.refuse(conn, r)
	}
	if mode == behaviourFull {
		return send("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id + "\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n")
	}
	run := in.h.audit.recordExecution(in, r)
	if body == deadlyBody {
		in.crashOn(run.request)
		return false
	}
	head := "Attempt-Id: " + id + "\r\nInstance-Signature: " + signature(in.id, id) + "\r\nInstance-Load: 1,0,16\r\n"
	if in.limited.Load() {
		head += "Server-Limit: " + strconv.Itoa(limitRate) + "\r\n"
	}
	in.mu.Lock()
	if !in.drainingSince.IsZero() {
		head += "Connection: close\r\nServer-Leaving: 1\r\n"
	}
	in.mu.Unlock()
	switch mode {
	case behaviourFail:
		return send("HTTP/1.1 500 Internal Server Error\r\n" + head + "Content-Length: 4\r\n\r\nfail")
	case behaviourHang:
		time.Sleep(hangDuration)
		return false
	case behaviourDropResponse:
		return false
	case behaviourEndlessHead, behaviourEndlessBody, behaviourDrip:
		return in.sendEndless(conn, head, mode)
	case behaviourUnframed:
		return in.sendUnframed(conn, r, head, run)
	}
	if in.service == engineService {
		return in.stream(conn, r, head, run, mode)
	}
	text := responseBody(id, r.URL.RequestURI())
	if mode == behaviourTruncate {
		send("HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text[:len(text)/2])
		return false
	}
	time.Sleep(max(plainServiceTime, holdTime(r)))
	if mode == behaviourDouble {
		return sendTwice(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
	}
	return send("HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
}

// streamEvent returns one event of the stream that answers a request.
func (in *instance) streamEvent(r *http.Request, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", number, r.Header.Get("Attempt-Id"), number, in.software)
}

// stream sends the events after the last one that the caller received.
func (in *instance) stream(conn net.Conn, r *http.Request, head string, run *execution, mode int32) bool {
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= streamEvents; i++ {
		time.Sleep(eventInterval)
		text := in.streamEvent(r, i)
		if mode == behaviourTruncate && i == streamEvents/2 {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(text), text[:8])
			return false
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		in.h.audit.recordEvent(run)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil && !strings.Contains(head, "Connection: close")
}
