package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	host           = "soak.example"
	onceTimeout    = 1500 * time.Millisecond
	streamTimeout  = 4 * time.Second
	connectTimeout = time.Second
	// callerGrace is the time that a caller waits beyond its request's deadline.
	callerGrace = time.Second
	// One in disconnectOneIn requests has a caller that disconnects early; one in
	// reconnectOneIn is the last on its connection.
	disconnectOneIn = 40
	reconnectOneIn  = 30
)

// caller sends requests one after the other over connections that it reuses.
type caller struct {
	h               *harness
	rng             *rand.Rand
	number          int
	requestCount    int
	addresses       []netip.AddrPort
	addressesExpire time.Time

	entry  *vm
	conn   net.Conn
	reader *bufio.Reader
}

// endedWithin waits for a time and reports whether the run has ended.
func (h *harness) endedWithin(wait time.Duration) bool {
	select {
	case <-h.ended:
		return true
	case <-time.After(wait):
		return false
	}
}

func (h *harness) runCaller(number int) {
	c := &caller{
		h:      h,
		rng:    h.random(uint64(100 + number)),
		number: number,
	}
	defer c.disconnect()
	for !h.endedWithin(time.Duration(20+c.rng.IntN(60)) * time.Millisecond) {
		c.sendRequest()
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// resolve fetches the addresses to use from the directory of a random entry VM, and keeps
// them for up to three times their time to live.
func (c *caller) resolve() {
	if time.Now().Before(c.addressesExpire) {
		return
	}
	entries := c.h.entries()
	v := entries[c.rng.IntN(len(entries))]
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.settings.Site.Listen.Directory.String() + "/resolve?name=" + host)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	directory := struct {
		Addresses []netip.AddrPort `json:"addresses"`
		TTL       float64          `json:"ttl_s"`
	}{}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&directory) != nil || len(directory.Addresses) == 0 {
		return
	}
	c.addresses = directory.Addresses
	c.addressesExpire = time.Now().Add(time.Duration(directory.TTL * float64(1+c.rng.IntN(3)) * float64(time.Second)))
	if c.conn != nil && !c.isListed(c.entry) {
		c.disconnect()
	}
}

func (c *caller) isListed(v *vm) bool {
	for _, a := range c.addresses {
		if a == v.settings.Site.Listen.Callers {
			return true
		}
	}
	return false
}

// connect opens a connection through the fault proxy of a listed VM, unless one is open.
func (c *caller) connect() bool {
	c.resolve()
	if c.conn != nil || len(c.addresses) == 0 {
		return c.conn != nil
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	for i, v := range c.h.vms {
		if v.settings.Site.Listen.Callers != address {
			continue
		}
		conn, err := net.DialTimeout("tcp", c.h.address(1, i, callersPort).String(), connectTimeout)
		if err != nil {
			c.addressesExpire = time.Time{}
			return false
		}
		c.entry, c.conn, c.reader = v, conn, bufio.NewReader(conn)
		return true
	}
	return false
}

// sendRequest sends one request and receives its response.
func (c *caller) sendRequest() {
	if !c.connect() {
		return
	}
	r := c.newRequest()
	disconnects := r.kind != kindOnce && c.rng.IntN(disconnectOneIn) == 0
	c.exchange(r, disconnects)
	if !disconnects {
		c.resume(r)
	}
}

// exchange sends a request over the open connection and receives its response, or disconnects early.
func (c *caller) exchange(r *request, disconnects bool) {
	c.h.audit.recordRequest(r)
	limit := r.sent.Add(r.timeout + callerGrace)
	if disconnects {
		limit = r.sent.Add(time.Duration(10+c.rng.IntN(100)) * time.Millisecond)
	}
	_ = c.conn.SetDeadline(limit)
	_, err := io.WriteString(c.conn, r.encode())
	if err != nil {
		c.h.audit.recordOutcome(r, 0)
		c.disconnect()
		return
	}
	status, keep := c.receive(r)
	if disconnects && status == 0 && !time.Now().Before(limit) {
		c.disconnect()
		c.h.audit.recordDisconnect(r)
		return
	}
	c.h.audit.recordOutcome(r, status)
	if r.kind == kindProbe {
		c.checkProbe(r)
	}
	if !keep || status == 0 || c.rng.IntN(reconnectOneIn) == 0 {
		c.disconnect()
	}
}

// checkProbe compares the response to a probe with the configuration that must be in force.
func (c *caller) checkProbe(r *request) {
	version, _ := strconv.ParseUint(strings.Trim(strings.Split(r.target, "/")[1], "v"), 10, 64)
	must, mustNot := c.h.operator.expectProbe(version, r.sent, r.ended)
	if !c.h.faultLog.faultFree(r.entry.name, r.sent.Add(-settleTime), r.ended) {
		return
	}
	if must && r.status == http.StatusNotFound {
		c.h.reportViolation("configuration", "%s does not have the route of version %d %s after it was acknowledged", r.entry.name, version, configBound)
	}
	if mustNot && r.status/100 == 2 {
		c.h.reportViolation("configuration", "%s still serves the route of version %d", r.entry.name, version)
	}
}

func (c *caller) newRequest() *request {
	c.requestCount++
	ws := workspaces[c.rng.IntN(len(workspaces))].name
	r := &request{
		id:        fmt.Sprintf("%d-%d-%d", c.h.seed, c.number, c.requestCount),
		workspace: ws,
		key:       keyOf(ws),
		entry:     c.entry,
		timeout:   onceTimeout,
		attempts:  2,
	}
	r.target = fmt.Sprintf("/x/%s?n=%d", r.id, c.requestCount)
	switch n := c.rng.IntN(20); {
	case n < 7:
		r.kind = kindOnce
		r.attempts = 2
		r.target = "/once" + r.target
		r.body = "change " + r.id
	case n < 12:
		r.kind = kindLookup
		r.target = "/lookup" + r.target
	case n < 13:
		r.kind = kindProbe
		newest := c.h.operator.newestAcked(time.Now())
		r.target = probePath(newest-min(newest, uint64(c.rng.IntN(3)*2))) + r.id
	default:
		r.kind = kindStream
		r.timeout = streamTimeout
		r.prompt = int64(200 + c.rng.IntN(800))
		r.output = streamEvents * eventTokens
		r.target = "/stream" + r.target
		r.body = "prompt " + r.id
	}
	return r
}

// encode returns the request as sent over the connection.
func (r *request) encode() string {
	method := http.MethodPost
	if r.body == "" {
		method = http.MethodGet
	}
	text := method + " " + r.target + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + r.id +
		"\r\nDeadline-Ms: " + strconv.FormatInt(r.timeout.Milliseconds(), 10) +
		"\r\nAuthorization: Token " + r.key + "\r\n"
	if r.kind == kindStream {
		text += fmt.Sprintf("Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: ab:%d,%x:%d\r\n", r.prompt, r.output, r.prompt/2, r.sent.UnixNano(), r.prompt-r.prompt/2)
	}
	if r.resumes != nil {
		text += fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", r.resumes.id, r.after)
	}
	if r.body != "" {
		text += "Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n"
	}
	return text + "\r\n" + r.body
}

// receive reads the response. The status is 0 if there was no complete one.
func (c *caller) receive(r *request) (status int, keep bool) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	signed := response.Header.Get("Instance-Signature")
	if response.StatusCode/100 == 2 && !c.signedByExecution(r, signed) {
		c.h.reportViolation("responses", "request %s got a success with the signature %q, which is of none of its executions", r.id, signed)
	}
	if response.StatusCode/100 == 2 && r.kind == kindStream {
		if !c.receiveStream(r, response.Body) {
			return 0, false
		}
		return response.StatusCode, !response.Close
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false
	}
	if want := responseBody(r.id, r.target); response.StatusCode/100 == 2 && string(text) != want {
		c.h.reportViolation("responses", "request %s got the body %q, want %q", r.id, text, want)
	}
	return response.StatusCode, !response.Close
}

// signedByExecution reports whether a signature is that of one of the request's executions.
func (c *caller) signedByExecution(r *request, signed string) bool {
	c.h.audit.mu.Lock()
	defer c.h.audit.mu.Unlock()
	for _, e := range r.executions {
		if signed == signature(e.instance.id, r.id) {
			return true
		}
	}
	return false
}

// receiveStream reads the events and reports whether the stream ended as complete. Events
// must arrive in order, and all of them before a complete end.
func (c *caller) receiveStream(r *request, body io.Reader) bool {
	lines := bufio.NewScanner(body)
	last := r.after
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(id)
		if err != nil || n != last+1 {
			c.h.reportViolation("streams", "request %s got event %q after event %d", r.id, id, last)
			return false
		}
		software, ok := "", lines.Scan()
		if ok {
			software, ok = strings.CutPrefix(lines.Text(), fmt.Sprintf("data: %s %d ", r.id, n))
		}
		if !ok {
			if lines.Err() == nil && lines.Text() != "" {
				c.h.reportViolation("streams", "request %s got the data %q in event %d", r.id, lines.Text(), n)
			}
			return false
		}
		c.checkSoftware(r, software)
		last, r.after = n, n
		c.h.audit.recordDelivery(r)
	}
	if lines.Err() != nil {
		return false
	}
	if last != streamEvents {
		c.h.reportViolation("streams", "request %s ended as complete after event %d of %d", r.id, last, streamEvents)
	}
	return true
}
