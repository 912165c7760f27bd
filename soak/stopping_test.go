package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stoppingCase is a line of testdata/stopping.txt.
type stoppingCase struct {
	kind     string
	short    bool
	sent     time.Duration
	hold     time.Duration
	outcomes []string
	conn     net.Conn
	reader   *bufio.Reader
	request  *request
}

// TestRequestsLateInPlannedStop guards against requests that come late in a planned stop, are passed on and are
// cut off without a response at its end. All of them come on connections that were open before, to the same real
// entry VM; testdata/stopping.txt has them.
func TestRequestsLateInPlannedStop(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, size{
		control: 1,
		entries: 1,
	})
	control, entry := h.vms[0], h.vms[1]
	h.start(control)
	h.start(entry)
	awaitListening(t, entry)
	configureSlowRoutes(t, h)
	if !answers(h, entry, 0, startLimit) {
		t.Fatal("the entry VM does not answer, before any signal")
	}
	cases := readStoppingCases(t)
	for _, c := range cases {
		c.open(t, h, entry)
	}
	entry.Signal(syscall.SIGTERM)
	stopped, waiting := time.Now(), sync.WaitGroup{}
	for i, c := range cases {
		waiting.Go(func() {
			time.Sleep(time.Until(stopped.Add(c.sent)))
			got := c.send(h, entry)
			if !slices.Contains(c.outcomes, got) {
				t.Errorf("case %d, %s at %s: got %s, want %s", i, c.kind, c.sent, got, strings.Join(c.outcomes, " or "))
			}
		})
	}
	code, inTime := entry.Stop(0, stopBound)
	if code != 0 || !inTime {
		t.Errorf("got exit code %d, in time: %t, want 0 within %s", code, inTime, stopBound)
	}
	waiting.Wait()
}

func readStoppingCases(t *testing.T) []*stoppingCase {
	t.Helper()
	text, err := os.ReadFile("testdata/stopping.txt")
	if err != nil {
		t.Fatal(err)
	}
	var cases []*stoppingCase
	for line := range strings.Lines(string(text)) {
		columns := strings.Split(line, "|")
		if strings.HasPrefix(line, "#") || len(columns) != 4 {
			continue
		}
		kind, short := strings.CutSuffix(strings.TrimSpace(columns[0]), " short")
		sent, errSent := strconv.Atoi(strings.TrimSpace(columns[1]))
		hold, errHold := strconv.Atoi(strings.TrimSpace(columns[2]))
		if errSent != nil || errHold != nil {
			t.Fatalf("testdata/stopping.txt: cannot read %q", line)
		}
		cases = append(cases, &stoppingCase{
			kind:     kind,
			short:    short,
			sent:     time.Duration(sent) * time.Millisecond,
			hold:     time.Duration(hold) * time.Millisecond,
			outcomes: strings.Split(strings.TrimSpace(columns[3]), "/"),
		})
	}
	return cases
}

// open opens the connection and keeps it with a first request.
func (c *stoppingCase) open(t *testing.T, h *harness, v *vm) {
	t.Helper()
	conn, err := net.Dial("tcp", v.settings.Site.Listen.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c.conn, c.reader = conn, bufio.NewReader(conn)
	hold := c.hold
	c.hold = 0
	if got := c.send(h, v); got != "answered" {
		t.Fatalf("%s before the stop: got %s, want answered", c.kind, got)
	}
	c.hold = hold
}

// send sends a request on the connection and returns its outcome, "cut" if an instance got it and no
// response came.
func (c *stoppingCase) send(h *harness, v *vm) string {
	c.request = &request{
		id:        "stopping-" + strconv.FormatUint(h.nextID.Add(1), 10),
		kind:      c.kind,
		workspace: "plenty",
		target:    "/" + c.kind + "/?holdMillis=" + strconv.FormatInt(c.hold.Milliseconds(), 10),
		body:      "x",
		prompt:    10,
		output:    10,
		entry:     v,
		timeout:   stopBound,
		attempts:  2,
	}
	h.audit.recordRequest(c.request)
	deadline := ""
	if c.short {
		deadline = "Deadline-Ms: 1500\r\n"
	}
	_, err := io.WriteString(c.conn, "POST "+c.request.target+" HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: "+c.request.id+
		"\r\nAuthorization: Token "+keyOf(c.request.workspace)+"\r\n"+deadline+"Content-Length: 1\r\n\r\nx")
	status := 0
	if err == nil {
		response, readErr := http.ReadResponse(c.reader, nil)
		if readErr == nil {
			_, readErr = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if readErr == nil {
			status = response.StatusCode
		}
	}
	h.audit.mu.Lock()
	arrived := len(c.request.arrivals) > 0
	h.audit.mu.Unlock()
	switch {
	case status == http.StatusOK:
		return "answered"
	case status == http.StatusGatewayTimeout:
		return "timeout"
	case status == http.StatusServiceUnavailable && !arrived:
		return "refused"
	case status == 0 && !arrived:
		return "closed"
	case status == 0:
		return "cut"
	}
	return "status " + strconv.Itoa(status)
}
