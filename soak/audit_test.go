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
	// left says that the caller went away early.
	left     bool
	arrivals []time.Time
	runs     []*run
	// delivered are the events that reached the caller.
	delivered int64
}

// run is one run of a request at an instance.
type run struct {
	request  *request
	instance *instance
	events   int64
}

// audit compares what callers were told with what instances did. It is safe for
// concurrent use.
type audit struct {
	w        *world
	mu       sync.Mutex
	requests map[string]*request
	consumed map[string]int64
	served   []time.Time
	asked    []time.Time
	late     int
	leftLate int
	statuses map[int]int
}

func newAudit(w *world) *audit {
	return &audit{
		w:        w,
		requests: map[string]*request{},
		consumed: map[string]int64{},
		statuses: map[int]int{},
	}
}

// begin takes note of a request that is about to be sent.
func (a *audit) begin(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.sent = time.Now()
	a.requests[r.id] = r
	a.asked = append(a.asked, r.sent)
}

// arrived checks what an instance received.
func (a *audit) arrived(in *instance, got *http.Request, body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.requests[got.Header.Get("Attempt-Id")]
	if !ok {
		a.w.violate("nobody asked", "an instance got a request that no caller sent: %s", got.URL)
		return
	}
	if got.URL.RequestURI() != r.target || body != r.body || got.Header.Get("Tenant") != r.workspace || got.Header.Get("Authorization") != "" {
		a.w.violate("nobody asked", "request %s reached an instance changed: %s, body %q, workspace %q", r.id, got.URL, body, got.Header.Get("Tenant"))
	}
	now := time.Now()
	r.arrivals = append(r.arrivals, now)
	if len(r.arrivals) > r.attempts {
		a.w.violate("attempts", "request %s reached %d instances, its route allows %d", r.id, len(r.arrivals), r.attempts)
	}
	calm := a.w.calm.between(r.entry.name, r.sent.Add(-calmBefore), now)
	left, err := strconv.ParseFloat(got.Header.Get("Deadline-Ms"), 64)
	if most := r.timeout - now.Sub(r.sent) + lateBound; calm && (err != nil || time.Duration(left*float64(time.Millisecond)) > most) {
		a.w.violate("deadline", "request %s was passed on with %.0f ms left, its caller waits %s more", r.id, left, most-lateBound)
	}
	in.mu.Lock()
	leaving := in.leaving
	in.mu.Unlock()
	if calm && !leaving.IsZero() && r.sent.After(leaving.Add(drainBound+listLag)) {
		a.w.violate("leaving", "request %s reached an instance that has been leaving for %s", r.id, now.Sub(leaving))
	}
	if r.left && calm && now.Sub(r.ended) > lateBound {
		a.leftLate++
	}
}

// misdirected takes note of a request for another instance, which costs a retry.
func (a *audit) misdirected(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.requests[id]; ok {
		r.arrivals = append(r.arrivals, time.Now())
	}
}

// ran takes note of a run that begins.
func (a *audit) ran(in *instance, got *http.Request) *run {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.requests[got.Header.Get("Attempt-Id")]
	if !ok {
		return &run{request: &request{}}
	}
	n := &run{
		request:  r,
		instance: in,
	}
	r.runs = append(r.runs, n)
	if r.kind == kindOnce && len(r.runs) > 1 {
		a.w.violate("at most once", "request %s ran %d times, at %s and %s", r.id, len(r.runs), r.runs[0].instance.id, in.id)
	}
	if !r.ended.IsZero() && !r.left && promisesNotRun(r.status) {
		a.w.violate("not run", "request %s ran %s after its caller was told %d", r.id, time.Since(r.ended), r.status)
	}
	if len(r.runs) == 1 {
		a.consume(r, r.prompt)
	}
	return n
}

func promisesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// consume counts tokens that a workspace got. The audit is locked.
func (a *audit) consume(r *request, tokens int64) {
	a.consumed[r.workspace] += tokens
	if got, most := a.consumed[r.workspace], a.w.operator.prepaid(r.workspace); got > most {
		a.w.violate("prepaid", "%s got %d tokens of %d with request %s", r.workspace, got, most, r.id)
	}
}

// sent takes note of an event that an instance has sent.
func (a *audit) sent(n *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n.events++
}

// delivered takes note of an event that reached the caller.
func (a *audit) delivered(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.delivered++
	a.consume(r, eventTokens)
}

// leave takes note of a caller that goes away.
func (a *audit) leave(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.left = true
	r.ended = time.Now()
}

// end takes in what a caller was told, 0 for a connection that ended without a whole
// answer.
func (a *audit) end(r *request, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.ended = time.Now()
	r.status = status
	a.statuses[status]++
	calm := a.w.calm.between(r.entry.name, r.sent.Add(-calmBefore), r.ended)
	switch {
	case promisesNotRun(status) && len(r.runs) > 0:
		a.w.violate("not run", "request %s was refused with %d and had run at %s", r.id, status, r.runs[0].instance.id)
	case status == 0 && len(r.runs) > 0:
		a.cut(r)
	case status/100 == 2:
		a.served = append(a.served, r.ended)
	case (status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound || status == http.StatusBadRequest) && r.kind != kindProbe:
		a.w.violate("allowed", "request %s to %s was answered %d", r.id, r.target, status)
	}
	if calm && r.ended.Sub(r.sent) > r.timeout+lateBound {
		a.late++
	}
}

// cut checks a connection that ended without an answer to a request that was passed on.
// The audit is locked.
func (a *audit) cut(r *request) {
	places := []string{r.entry.name}
	for _, n := range r.runs {
		places = append(places, instancePlace(n.instance.index))
	}
	for _, place := range places {
		if !a.w.calm.between(place, r.sent.Add(-calmBefore), r.ended) {
			return
		}
	}
	if r.ended.Sub(r.sent) < r.timeout {
		a.w.violate("planned stops", "request %s at %s was passed on and its connection closed after %s without an answer", r.id, r.entry.name, r.ended.Sub(r.sent))
	}
}

// finish checks what can only be told at the end.
func (a *audit) finish(mended time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.late >= 8 {
		a.w.violate("in time", "%d requests had no answer %s after their time, at VMs without a fault", a.late, lateBound)
	}
	if a.leftLate > 3 {
		a.w.violate("left", "%d requests were passed on %s after their callers had left", a.leftLate, lateBound)
	}
	a.checkRetries()
	since := mended.Add(recoverBound)
	asked, served := after(a.asked, since), after(a.served, since)
	if asked == 0 || served*4 < asked {
		a.w.violate("recovery", "%d of %d requests were served from %s after the mend on", served, asked, recoverBound)
	}
	a.w.t.Logf("seed %d: %d requests, by status: %v; consumed: %v", a.w.seed, len(a.requests), a.statuses, a.consumed)
}

func after(times []time.Time, since time.Time) int {
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
			first := after(requests, from.Add(-retryWindow/2)) - after(requests, to)
			if most := retryRatio*float64(first) + retrySlack; float64(n) > most {
				a.w.violate("retries", "%d arrivals beyond the first at %s within %s, at most %.0f are allowed", n, service, retryWindow, most)
				break
			}
		}
	}
}
