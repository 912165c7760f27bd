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

// request is a request with what its caller and the instances observed of it.
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
	// ended is when the response was complete or the caller stopped waiting.
	ended  time.Time
	status int
	// disconnected is true if the caller closed the connection before the response was
	// complete.
	disconnected bool
	arrivals     []time.Time
	executions   []*execution
	// delivered counts the events that reached the caller.
	delivered int64

	// resumes is the request that brought the first event of the stream, nil unless this one resumes
	// it. after is the last event that the caller has, software the version that sent the events.
	resumes  *request
	after    int
	software string
}

// execution is one execution of a request at an instance.
type execution struct {
	request  *request
	instance *instance
	events   int64
}

// audit compares the responses that callers received with what instances did. It is safe for
// concurrent use.
type audit struct {
	h             *harness
	mu            sync.Mutex
	requests      map[string]*request
	consumed      map[string]int64
	servedAt      []time.Time
	sentAt        []time.Time
	lateResponses int
	lateArrivals  int
	statuses      map[int]int
	refusals      map[refusalKey]*refusal
	limits        map[string]*limitLog
	// deadlyCrashes are the times at which instances ran the deadly request, deadlyRepeats counts
	// those that came too late.
	deadlyCrashes []time.Time
	deadlyRepeats int
}

func newAudit(h *harness) *audit {
	return &audit{
		h:        h,
		requests: map[string]*request{},
		consumed: map[string]int64{},
		statuses: map[int]int{},
		refusals: map[refusalKey]*refusal{},
		limits:   map[string]*limitLog{},
	}
}

// recordRequest records a request that is about to be sent.
func (a *audit) recordRequest(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.sent = time.Now()
	a.requests[r.id] = r
	a.sentAt = append(a.sentAt, r.sent)
}

// recordArrival records and checks a request that an instance received.
func (a *audit) recordArrival(in *instance, got *http.Request, body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.requests[got.Header.Get("Attempt-Id")]
	if !ok {
		a.h.reportViolation("unknown request", "an instance received a request that no caller sent: %s", got.URL)
		return
	}
	if got.URL.RequestURI() != r.target || body != r.body || got.Header.Get("Tenant") != r.workspace || got.Header.Get("Authorization") != "" {
		a.h.reportViolation("changed request", "request %s was changed on its way to an instance: %s, body %q, workspace %q", r.id, got.URL, body, got.Header.Get("Tenant"))
	}
	now := time.Now()
	r.arrivals = append(r.arrivals, now)
	if len(r.arrivals) > r.attempts {
		a.h.reportViolation("attempts", "request %s reached %d instances, its route allows %d attempts", r.id, len(r.arrivals), r.attempts)
	}
	faultFree := a.h.faultLog.faultFree(r.entry.name, r.sent.Add(-settleTime), now)
	millisLeft, err := strconv.ParseFloat(got.Header.Get("Deadline-Ms"), 64)
	if limit := r.timeout - now.Sub(r.sent) + lateBound; faultFree && (err != nil || time.Duration(millisLeft*float64(time.Millisecond)) > limit) {
		a.h.reportViolation("deadline", "request %s was forwarded with %.0f ms left, its caller waits %s more", r.id, millisLeft, limit-lateBound)
	}
	in.mu.Lock()
	draining := in.drainingSince
	in.mu.Unlock()
	if faultFree && !draining.IsZero() && r.sent.After(draining.Add(drainBound+listLag)) {
		a.h.reportViolation("draining", "request %s reached an instance that has been draining for %s", r.id, now.Sub(draining))
	}
	a.checkRefusal(in, r, now)
	if in.limited.Load() {
		a.recordLimited(in, r, now)
	}
	if r.disconnected && faultFree && now.Sub(r.ended) > lateBound {
		a.lateArrivals++
	}
}

// recordMisdirected records an arrival that was meant for another instance. It counts as
// a retry.
func (a *audit) recordMisdirected(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.requests[id]; ok {
		r.arrivals = append(r.arrivals, time.Now())
	}
}

// recordExecution records that an instance begins to execute a request.
func (a *audit) recordExecution(in *instance, got *http.Request) *execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.requests[got.Header.Get("Attempt-Id")]
	if !ok {
		return &execution{request: &request{}}
	}
	e := &execution{
		request:  r,
		instance: in,
	}
	r.executions = append(r.executions, e)
	if r.kind == kindOnce && len(r.executions) > 1 {
		a.h.reportViolation("at most once", "request %s was executed %d times, at %s and %s", r.id, len(r.executions), r.executions[0].instance.id, in.id)
	}
	if !r.ended.IsZero() && !r.disconnected && guaranteesNotExecuted(r.status) {
		a.h.reportViolation("not executed", "request %s was executed %s after its caller had received status %d", r.id, time.Since(r.ended), r.status)
	}
	if len(r.executions) == 1 {
		a.consume(r, r.prompt)
	}
	return e
}

// guaranteesNotExecuted reports whether a status guarantees that the request was not
// executed.
func guaranteesNotExecuted(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// consume adds to the tokens that a workspace has received. The audit is locked.
func (a *audit) consume(r *request, tokens int64) {
	a.consumed[r.workspace] += tokens
	if got, limit := a.consumed[r.workspace], a.h.operator.prepaid(r.workspace); got > limit {
		a.h.reportViolation("prepaid", "%s received %d tokens but has prepaid only %d; the last request was %s", r.workspace, got, limit, r.id)
	}
}

// recordEvent records that an instance has sent an event.
func (a *audit) recordEvent(e *execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.events++
}

// recordDelivery records an event that reached the caller.
func (a *audit) recordDelivery(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.delivered++
	a.consume(r, eventTokens)
}

// recordDisconnect records that a caller closed its connection early.
func (a *audit) recordDisconnect(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.disconnected = true
	r.ended = time.Now()
}

// recordOutcome records and checks the status that a caller received, 0 for a connection
// that ended without a complete response.
func (a *audit) recordOutcome(r *request, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.ended = time.Now()
	r.status = status
	a.statuses[status]++
	faultFree := a.h.faultLog.faultFree(r.entry.name, r.sent.Add(-settleTime), r.ended)
	switch {
	case guaranteesNotExecuted(status) && len(r.executions) > 0:
		a.h.reportViolation("not executed", "request %s was refused with status %d but had been executed at %s", r.id, status, r.executions[0].instance.id)
	case status == 0 && len(r.executions) > 0:
		a.checkClosedConnection(r)
	case status/100 == 2:
		a.servedAt = append(a.servedAt, r.ended)
	case (status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound || status == http.StatusBadRequest) && r.kind != kindProbe:
		a.h.reportViolation("allowed", "request %s to %s was refused with status %d although it is allowed", r.id, r.target, status)
	}
	if faultFree && r.ended.Sub(r.sent) > r.timeout+lateBound {
		a.lateResponses++
	}
}

// checkClosedConnection checks a connection that ended without a complete response to a
// request that had been forwarded: without a fault, only the request's deadline may end it.
// The audit is locked.
func (a *audit) checkClosedConnection(r *request) {
	locations := []string{r.entry.name}
	for _, e := range r.executions {
		locations = append(locations, instanceName(e.instance.index))
	}
	for _, location := range locations {
		if !a.h.faultLog.faultFree(location, r.sent.Add(-settleTime), r.ended) {
			return
		}
	}
	if r.ended.Sub(r.sent) < r.timeout {
		a.h.reportViolation("planned stops", "request %s at %s was forwarded and its connection closed after %s without a complete response", r.id, r.entry.name, r.ended.Sub(r.sent))
	}
}

// checkTotals makes the checks that need the data of the whole run.
func (a *audit) checkTotals(faultsCleared time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lateResponses >= 8 {
		a.h.reportViolation("late responses", "%d requests had no response %s after their deadline, at VMs without a fault", a.lateResponses, lateBound)
	}
	if a.lateArrivals > 3 {
		a.h.reportViolation("disconnected callers", "%d requests were forwarded %s after their callers had disconnected", a.lateArrivals, lateBound)
	}
	a.checkRetries()
	a.checkLimits()
	since := faultsCleared.Add(recoverBound)
	sent, served := countAfter(a.sentAt, since), countAfter(a.servedAt, since)
	if sent == 0 || served*4 < sent {
		a.h.reportViolation("recovery", "%d of %d requests were served from %s after all faults had been removed", served, sent, recoverBound)
	}
	a.h.t.Logf("seed %d: %d requests, by status: %v; consumed: %v", a.h.seed, len(a.requests), a.statuses, a.consumed)
}

// countAfter returns the number of times that are later than since.
func countAfter(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) {
			n++
		}
	}
	return n
}

// checkRetries checks that arrivals beyond the first of each request stay within the retry
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
			if limit := retryRatio*float64(first) + retrySlack; float64(n) > limit {
				a.h.reportViolation("retries", "%d retries at %s within %s, at most %.0f are allowed", n, service, retryWindow, limit)
				break
			}
		}
	}
}
