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
	// callerGrace is how long a caller waits beyond its request's time.
	callerGrace = time.Second
	// disconnectOneIn and keptIn are one in how many requests whose caller goes away early,
	// and how many are sent on one connection.
	disconnectOneIn = 40
	reconnectOneIn  = 30
)

// caller sends requests, one after the other, over connections that it keeps.
type caller struct {
	w               *harness
	rng             *rand.Rand
	number          int
	requestCount    int
	addresses       []netip.AddrPort
	addressesExpire time.Time

	entry  *vm
	conn   net.Conn
	reader *bufio.Reader
}

// endedWithin waits, and reports whether the run has ended.
func (w *harness) endedWithin(wait time.Duration) bool {
	select {
	case <-w.ended:
		return true
	case <-time.After(wait):
		return false
	}
}

func (w *harness) runCaller(number int) {
	c := &caller{
		w:      w,
		rng:    w.random(uint64(100 + number)),
		number: number,
	}
	defer c.disconnect()
	for !w.endedWithin(time.Duration(20+c.rng.IntN(60)) * time.Millisecond) {
		c.sendRequest()
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// resolve asks a random entry VM which ones to use, and keeps the answer up to three times
// as long as it says.
func (c *caller) resolve() {
	if time.Now().Before(c.addressesExpire) {
		return
	}
	entries := c.w.entries()
	v := entries[c.rng.IntN(len(entries))]
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.settings.Site.Listen.Directory.String() + "/resolve?name=" + host)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer := struct {
		Addresses []netip.AddrPort `json:"addresses"`
		TTL       float64          `json:"ttl_s"`
	}{}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return
	}
	c.addresses = answer.Addresses
	c.addressesExpire = time.Now().Add(time.Duration(answer.TTL * float64(1+c.rng.IntN(3)) * float64(time.Second)))
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

// connect opens a connection unless there is one, through the relay of a listed VM.
func (c *caller) connect() bool {
	c.resolve()
	if c.conn != nil || len(c.addresses) == 0 {
		return c.conn != nil
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	for i, v := range c.w.vms {
		if v.settings.Site.Listen.Callers != address {
			continue
		}
		conn, err := net.DialTimeout("tcp", c.w.address(1, i, callersPort).String(), connectTimeout)
		if err != nil {
			c.addressesExpire = time.Time{}
			return false
		}
		c.entry, c.conn, c.reader = v, conn, bufio.NewReader(conn)
		return true
	}
	return false
}

// sendRequest sends one request and takes its answer.
func (c *caller) sendRequest() {
	if !c.connect() {
		return
	}
	r := c.newRequest()
	c.w.audit.recordRequest(r)
	limit := r.sent.Add(r.timeout + callerGrace)
	leaves := r.kind != kindOnce && c.rng.IntN(disconnectOneIn) == 0
	if leaves {
		limit = r.sent.Add(time.Duration(10+c.rng.IntN(100)) * time.Millisecond)
	}
	_ = c.conn.SetDeadline(limit)
	_, err := io.WriteString(c.conn, r.encode())
	if err != nil {
		c.w.audit.recordOutcome(r, 0)
		c.disconnect()
		return
	}
	status, keep := c.receive(r)
	if leaves && status == 0 && !time.Now().Before(limit) {
		c.disconnect()
		c.w.audit.recordDisconnect(r)
		return
	}
	c.w.audit.recordOutcome(r, status)
	if r.kind == kindProbe {
		c.checkProbe(r)
	}
	if !keep || status == 0 || c.rng.IntN(reconnectOneIn) == 0 {
		c.disconnect()
	}
}

// checkProbe compares the answer to a probe with what the configuration in force must be.
func (c *caller) checkProbe(r *request) {
	version, _ := strconv.ParseUint(strings.Trim(strings.Split(r.target, "/")[1], "v"), 10, 64)
	must, mustNot := c.w.operator.expectProbe(version, r.sent, r.ended)
	if !c.w.faultLog.faultFree(r.entry.name, r.sent.Add(-settleTime), r.ended) {
		return
	}
	if must && r.status == http.StatusNotFound {
		c.w.reportViolation("configuration", "%s does not know the route of version %d %s after it was acknowledged", r.entry.name, version, configBound)
	}
	if mustNot && r.status/100 == 2 {
		c.w.reportViolation("configuration", "%s still serves the route of version %d", r.entry.name, version)
	}
}

func (c *caller) newRequest() *request {
	c.requestCount++
	ws := workspaces[c.rng.IntN(len(workspaces))].name
	r := &request{
		id:        fmt.Sprintf("%d-%d-%d", c.w.seed, c.number, c.requestCount),
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
		versions := c.w.operator.newestAcked(time.Now())
		r.target = probePath(versions-min(versions, uint64(c.rng.IntN(3)*2))) + r.id
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

// encode is the request on the wire.
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
	if r.body != "" {
		text += "Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n"
	}
	return text + "\r\n" + r.body
}

// receive reads the answer. A status of 0 says that there was no whole one.
func (c *caller) receive(r *request) (status int, keep bool) {
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false
	}
	defer func() { _ = answer.Body.Close() }()
	signed := answer.Header.Get("Instance-Signature")
	if answer.StatusCode/100 == 2 && !c.signedBy(r, signed) {
		c.w.reportViolation("answers", "request %s got a success signed %q", r.id, signed)
	}
	if answer.StatusCode/100 == 2 && r.kind == kindStream {
		if !c.receiveStream(r, answer.Body) {
			return 0, false
		}
		return answer.StatusCode, !answer.Close
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, false
	}
	if want := answerBody(r.id, r.target); answer.StatusCode/100 == 2 && string(text) != want {
		c.w.reportViolation("answers", "request %s got the body %q, want %q", r.id, text, want)
	}
	return answer.StatusCode, !answer.Close
}

// signedBy reports whether a signature is that of one of the request's runs.
func (c *caller) signedBy(r *request, signed string) bool {
	c.w.audit.mu.Lock()
	defer c.w.audit.mu.Unlock()
	for _, n := range r.executions {
		if signed == signature(n.instance.id, r.id) {
			return true
		}
	}
	return false
}

// receiveStream reads the events, which must come in order and be all there when the
// stream ends as complete.
func (c *caller) receiveStream(r *request, body io.Reader) bool {
	lines := bufio.NewScanner(body)
	last := 0
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(id)
		if err != nil || n != last+1 {
			c.w.reportViolation("streams", "request %s got event %q after event %d", r.id, id, last)
			return false
		}
		if !lines.Scan() || lines.Text() != fmt.Sprintf("data: %s %d", r.id, n) {
			if lines.Err() == nil && lines.Text() != "" {
				c.w.reportViolation("streams", "request %s got %q in event %d", r.id, lines.Text(), n)
			}
			return false
		}
		last = n
		c.w.audit.recordDelivery(r)
	}
	if lines.Err() != nil {
		return false
	}
	if last != streamEvents {
		c.w.reportViolation("streams", "request %s ended as complete after event %d of %d", r.id, last, streamEvents)
	}
	return true
}
