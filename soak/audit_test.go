package soak

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Kinds of request.
const (
	kindOnce   = "once"
	kindLookup = "lookup"
	kindStream = "stream"
	kindProbe  = "probe"
)

// request is one request as its caller knows it, and what instances saw of it.
type request struct {
	id        string
	kind      string
	target    string
	body      string
	workspace string
	key       string
	prompt    int64
	output    int64
	timeout   time.Duration
	attempts  int

	entry *vm
	sent  time.Time
	// ended is when the caller had its last answer or gave up.
	ended  time.Time
	status int
	// disconnected says that the caller went away early.
	disconnected bool
	arrivals     []time.Time
	executions   []*execution
	// delivered are the events that reached the caller.
	delivered int64
}

// execution is one execution of a request at an instance.
type execution struct {
	request  *request
	instance *instance
	events   int64
}

// audit compares what callers were told with what instances did. It is safe for
// concurrent use.
type audit struct {
	w            *harness
	mu           sync.Mutex
	requests     map[string]*request
	consumed     map[string]int64
	servedAt     []time.Time
	sentAt       []time.Time
	lateAnswers  int
	lateArrivals int
	statuses     map[int]int
}

func newAudit(w *harness) *audit {
	return &audit{
		w:        w,
		requests: map[string]*request{},
		consumed: map[string]int64{},
		statuses: map[int]int{},
	}
}

// recordRequest takes note of a request that is about to be sent.
func (a *audit) recordRequest(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.sent = time.Now()
	a.requests[r.id] = r
	a.sentAt = append(a.sentAt, r.sent)
}

// recordArrival checks what an instance received.
func (a *audit) recordArrival(in *instance, got *http.Request, body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.requests[got.Header.Get("Attempt-Id")]
	if !ok {
		a.w.reportViolation("nobody asked", "an instance got a request that no caller sent: %s", got.URL)
		return
	}
	if got.URL.RequestURI() != r.target || body != r.body || got.Header.Get("Tenant") != r.workspace || got.Header.Get("Authorization") != "" {
		a.w.reportViolation("nobody asked", "request %s reached an instance changed: %s, body %q, workspace %q", r.id, got.URL, body, got.Header.Get("Tenant"))
	}
	now := time.Now()
	r.arrivals = append(r.arrivals, now)
	if len(r.arrivals) > r.attempts {
		a.w.reportViolation("attempts", "request %s reached %d instances, its route allows %d", r.id, len(r.arrivals), r.attempts)
	}
	calm := a.w.faultLog.faultFree(r.entry.name, r.sent.Add(-settleTime), now)
	left, err := strconv.ParseFloat(got.Header.Get("Deadline-Ms"), 64)
	if most := r.timeout - now.Sub(r.sent) + lateBound; calm && (err != nil || time.Duration(left*float64(time.Millisecond)) > most) {
		a.w.reportViolation("deadline", "request %s was passed on with %.0f ms left, its caller waits %s more", r.id, left, most-lateBound)
	}
	in.mu.Lock()
	leaving := in.drainingSince
	in.mu.Unlock()
	if calm && !leaving.IsZero() && r.sent.After(leaving.Add(drainBound+listLag)) {
		a.w.reportViolation("leaving", "request %s reached an instance that has been leaving for %s", r.id, now.Sub(leaving))
	}
	if r.disconnected && calm && now.Sub(r.ended) > lateBound {
		a.lateArrivals++
	}
}

// recordMisdirected takes note of a request for another instance, which costs a retry.
func (a *audit) recordMisdirected(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.requests[id]; ok {
		r.arrivals = append(r.arrivals, time.Now())
	}
}

// recordExecution takes note of a run that begins.
func (a *audit) recordExecution(in *instance, got *http.Request) *execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.requests[got.Header.Get("Attempt-Id")]
	if !ok {
		return &execution{request: &request{}}
	}
	n := &execution{
		request:  r,
		instance: in,
	}
	r.executions = append(r.executions, n)
	if r.kind == kindOnce && len(r.executions) > 1 {
		a.w.reportViolation("at most once", "request %s ran %d times, at %s and %s", r.id, len(r.executions), r.executions[0].instance.id, in.id)
	}
	if !r.ended.IsZero() && !r.disconnected && guaranteesNotExecuted(r.status) {
		a.w.reportViolation("not run", "request %s ran %s after its caller was told %d", r.id, time.Since(r.ended), r.status)
	}
	if len(r.executions) == 1 {
		a.consume(r, r.prompt)
	}
	return n
}

func guaranteesNotExecuted(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// consume counts tokens that a workspace got. The audit is locked.
func (a *audit) consume(r *request, tokens int64) {
	a.consumed[r.workspace] += tokens
	if got, most := a.consumed[r.workspace], a.w.operator.prepaid(r.workspace); got > most {
		a.w.reportViolation("prepaid", "%s got %d tokens of %d with request %s", r.workspace, got, most, r.id)
	}
}

// recordEvent takes note of an event that an instance has recordEvent.
func (a *audit) recordEvent(n *execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n.events++
}

// recordDelivery takes note of an event that reached the caller.
func (a *audit) recordDelivery(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.delivered++
	a.consume(r, eventTokens)
}

// recordDisconnect takes note of a caller that goes away.
func (a *audit) recordDisconnect(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.disconnected = true
	r.ended = time.Now()
}

// recordOutcome takes in what a caller was told, 0 for a connection that ended without a whole
// answer.
func (a *audit) recordOutcome(r *request, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.ended = time.Now()
	r.status = status
	a.statuses[status]++
	calm := a.w.faultLog.faultFree(r.entry.name, r.sent.Add(-settleTime), r.ended)
	switch {
	case guaranteesNotExecuted(status) && len(r.executions) > 0:
		a.w.reportViolation("not run", "request %s was refused with %d and had run at %s", r.id, status, r.executions[0].instance.id)
	case status == 0 && len(r.executions) > 0:
		a.checkClosedConnection(r)
	case status/100 == 2:
		a.servedAt = append(a.servedAt, r.ended)
	case (status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound || status == http.StatusBadRequest) && r.kind != kindProbe:
		a.w.reportViolation("allowed", "request %s to %s was answered %d", r.id, r.target, status)
	}
	if calm && r.ended.Sub(r.sent) > r.timeout+lateBound {
		a.lateAnswers++
	}
}

// checkClosedConnection checks a connection that ended without an answer to a request that was passed on.
// The audit is locked.
func (a *audit) checkClosedConnection(r *request) {
	places := []string{r.entry.name}
	for _, n := range r.executions {
		places = append(places, instanceName(n.instance.index))
	}
	for _, place := range places {
		if !a.w.faultLog.faultFree(place, r.sent.Add(-settleTime), r.ended) {
			return
		}
	}
	if r.ended.Sub(r.sent) < r.timeout {
		a.w.reportViolation("planned stops", "request %s at %s was passed on and its connection closed after %s without an answer", r.id, r.entry.name, r.ended.Sub(r.sent))
	}
}

// checkTotals checks what can only be told at the end.
func (a *audit) checkTotals(mended time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lateAnswers >= 8 {
		a.w.reportViolation("in time", "%d requests had no answer %s after their time, at VMs without a fault", a.lateAnswers, lateBound)
	}
	if a.lateArrivals > 3 {
		a.w.reportViolation("left", "%d requests were passed on %s after their callers had left", a.lateArrivals, lateBound)
	}
	a.checkRetries()
	since := mended.Add(recoverBound)
	asked, served := countAfter(a.sentAt, since), countAfter(a.servedAt, since)
	if asked == 0 || served*4 < asked {
		a.w.reportViolation("recovery", "%d of %d requests were served from %s after the mend on", served, asked, recoverBound)
	}
	a.w.t.Logf("seed %d: %d requests, by status: %v; consumed: %v", a.w.seed, len(a.requests), a.statuses, a.consumed)
}

func countAfter(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) {
			n++
		}
	}
	return n
}

// checkRetries checks that arrivals beyond the first of each request stay within the
// budget that all VMs share, in any window.
func (a *audit) checkRetries() {
	for _, service := range []string{engineService, plainService} {
		var requests, extra []time.Time
		for _, r := range a.requests {
			if (r.kind == kindStream) != (service == engineService) {
				continue
			}
			requests = append(requests, r.sent)
			if len(r.arrivals) > 1 {
				extra = append(extra, r.arrivals[1:]...)
			}
		}
		slices.SortFunc(extra, time.Time.Compare)
		for i, from := range extra {
			to := from.Add(retryWindow)
			n := 0
			for _, at := range extra[i:] {
				if at.Before(to) {
					n++
				}
			}
			first := countAfter(requests, from.Add(-retryWindow/2)) - countAfter(requests, to)
			if most := retryRatio*float64(first) + retrySlack; float64(n) > most {
				a.w.reportViolation("retries", "%d arrivals beyond the first at %s within %s, at most %.0f are allowed", n, service, retryWindow, most)
				break
			}
		}
	}
}
