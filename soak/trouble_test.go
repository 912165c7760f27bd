package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Troubles of instances that come on top of the drawn faults.
const (
	// behaviourRefuse refuses requests and names a time for which to stay away.
	behaviourRefuse int32 = behaviourCount + iota
	// behaviourDouble sends a second copy of each answer late, when the connection may be in
	// use again.
	behaviourDouble
	// behaviourEndlessHead, behaviourEndlessBody and behaviourDrip send bytes that are no answer:
	// without end, or one now and then.
	behaviourEndlessHead
	behaviourEndlessBody
	behaviourDrip
	// behaviourUnframed sends answers without length or chunks, and breaks off half of the streams
	// inside an event by ending the connection in the usual way.
	behaviourUnframed
	troublesEnd
)

const (
	// troubleCount is the number of troubles of a run.
	troubleCount = 3
	// refusalTime is the time for which an instance with behaviourRefuse wants no requests, and
	// refusalGrace how long after the refusal they may still arrive.
	refusalTime  = 1500 * time.Millisecond
	refusalGrace = 500 * time.Millisecond
	// maxAfterRefusal is the number of requests of one VM that may arrive in between.
	maxAfterRefusal = 2
	doubleDelay     = 15 * time.Millisecond
	dripInterval    = 40 * time.Millisecond
)

// drawTroubles draws the troubles of a run. They have a random source of their own, so that a seed
// draws the same faults as before there were troubles.
func (h *harness) drawTroubles() []fault {
	rng := h.random(3)
	var troubles []fault
	for range troubleCount {
		index := randomInstance(rng)
		mode := behaviourCount + rng.Int32N(troublesEnd-behaviourCount)
		troubles = append(troubles, fault{
			start:       time.Second + time.Duration(rng.Int64N(int64(faultPhase-3*time.Second))),
			duration:    500*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond))),
			description: fmt.Sprintf("%s is in trouble with behaviour %d", instanceName(index), mode),
			inject: func(duration time.Duration) {
				defer h.faultLog.record(instanceName(index))()
				h.withInstance(index, func(in *instance) {
					in.behaviour.Store(mode)
					time.Sleep(duration)
					in.behaviour.CompareAndSwap(mode, behaviourNormal)
				})
			},
		})
	}
	return troubles
}

// refuse refuses a request as full and names refusalTime.
func (in *instance) refuse(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	in.h.audit.recordRefusal(in, id)
	_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "+id+
		fmt.Sprintf("\r\nNot-Executed: full\r\nRetry-After: %.1f\r\nContent-Length: 0\r\n\r\n", refusalTime.Seconds()))
	return err == nil
}

// sendEndless sends bytes that are no answer until the connection is closed.
func (in *instance) sendEndless(conn net.Conn, head string, mode int32) bool {
	text, pause := strings.Repeat("x", 16<<10), time.Duration(0)
	prefix := "HTTP/1.1 200 OK\r\n" + head
	switch mode {
	case behaviourEndlessHead:
		prefix += "Endless: "
	case behaviourDrip:
		text, pause = "x", dripInterval
		fallthrough
	default:
		prefix += "\r\n"
	}
	_, err := io.WriteString(conn, prefix)
	for err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(conn, text)
	}
	return false
}

// sendUnframed sends an answer that extends to the end of its connection.
func (in *instance) sendUnframed(conn net.Conn, r *http.Request, head string, run *execution) bool {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
	if in.service == plainService {
		_, _ = io.WriteString(conn, responseBody(r.Header.Get("Attempt-Id"), r.URL.RequestURI()))
		return false
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	breaks := first == 0 && len(r.URL.RequestURI())%2 == 0
	for i := first + 1; i <= streamEvents; i++ {
		time.Sleep(eventInterval)
		text := in.streamEvent(r, i)
		if breaks && i == streamEvents/2 {
			_, _ = io.WriteString(conn, text[:8])
			return false
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		in.h.audit.recordEvent(run)
	}
	return false
}

// sendTwice sends an answer, and its copy later.
func sendTwice(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	time.AfterFunc(doubleDelay, func() { _, _ = io.WriteString(conn, text) })
	return err == nil
}

// refusal is the latest refusal of an instance to a VM, and the requests that came too soon after.
type refusal struct {
	at      time.Time
	arrived int
}

// refusalKey identifies a VM and an instance.
type refusalKey struct {
	entry    string
	instance string
}

// recordRefusal records that an instance refused a request and named refusalTime.
func (a *audit) recordRefusal(in *instance, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.requests[id]; ok {
		key := refusalKey{
			entry:    r.entry.name,
			instance: in.id,
		}
		if old := a.refusals[key]; old == nil || time.Since(old.at) > refusalTime {
			a.refusals[key] = &refusal{at: time.Now()}
		}
	}
}

// checkRefusal checks an arrival against the latest refusal. The caller holds mu.
func (a *audit) checkRefusal(in *instance, r *request, now time.Time) {
	last := a.refusals[refusalKey{
		entry:    r.entry.name,
		instance: in.id,
	}]
	if last == nil || now.Sub(last.at) < refusalGrace || now.Sub(last.at) > refusalTime {
		return
	}
	last.arrived++
	if last.arrived > maxAfterRefusal && a.h.faultLog.faultFree(r.entry.name, last.at.Add(-settleTime), now) {
		a.h.reportViolation("refusals", "request %s of %s reached %s %s after that had asked for %s without requests", r.id, r.entry.name, in.id, now.Sub(last.at), refusalTime)
	}
}
