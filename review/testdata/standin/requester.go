package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// requester sends idempotent requests at a steady rate, each over a new channel to an entry VM of the
// directory. As the map lookups of the small sites, a request is sent once more after a failure.
type requester struct {
	w         *world
	client    *http.Client
	directory *directory
	stop      chan struct{}
	wait      sync.WaitGroup

	mu       sync.Mutex
	answers  []answer
	attempts int
}

// answer is what became of a request.
type answer struct {
	sent   time.Time
	status int
}

const (
	requestInterval = 50 * time.Millisecond
	requestDeadline = 1500 * time.Millisecond
	channelTimeout  = time.Second
	requestRetries  = 1
)

func startRequester(w *world, edges []*vm) *requester {
	dialer := &net.Dialer{Timeout: channelTimeout}
	r := &requester{
		w: w,
		client: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
				DialContext:       dialer.DialContext,
			},
		},
		directory: newDirectory(w, edges),
		stop:      make(chan struct{}),
	}
	r.wait.Go(func() {
		ticker := time.NewTicker(requestInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-r.stop:
				return
			case <-ticker.C:
			}
			r.wait.Go(func() { r.request(n) })
		}
	})
	return r
}

// request sends a request, and again after a failure.
func (r *requester) request(n int) {
	sent := time.Now()
	deadline := sent.Add(requestDeadline)
	status, failed := 0, map[string]bool{}
	for try := 0; try <= requestRetries; try++ {
		address := r.directory.pick(failed)
		retryAfter := time.Duration(0)
		status, retryAfter = r.send(n, address, deadline)
		if status/100 == 2 || status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			break
		}
		failed[address] = true
		left := time.Until(deadline)
		time.Sleep(min(retryAfter, left/3))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, answer{
		sent:   sent,
		status: status,
	})
}

// send makes one attempt. It returns the status, 0 without an answer, and when to come back.
func (r *requester) send(n int, address string, deadline time.Time) (status int, retryAfter time.Duration) {
	left := time.Until(deadline)
	if address == "" || left <= 0 {
		return 0, 0
	}
	r.mu.Lock()
	r.attempts++
	id := fmt.Sprintf("%016x", r.attempts)
	r.mu.Unlock()
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/lookup/%d", address, n), nil)
	if err != nil {
		return 0, 0
	}
	request.Host = requestHost
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token key-of-keepers")
	client := *r.client
	client.Timeout = left
	text := ""
	if response, err := client.Do(request); err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			status, text = response.StatusCode, string(body)
		}
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	r.w.note("request %d, attempt %s to %s: %d %.60s", n, id, address, status, text)
	return status, retryAfter
}

// close stops the requests and waits for the last answers.
func (r *requester) close() {
	close(r.stop)
	r.wait.Wait()
}

// served returns how many requests of a span were sent and how many of them were served.
func (r *requester) served(from, to time.Time) (sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.answers {
		if a.sent.Before(from) || a.sent.After(to) {
			continue
		}
		sent++
		if a.status/100 == 2 {
			served++
		}
	}
	return sent, served
}

// anyOf returns one of the addresses, those that have failed only if there are no others.
func anyOf(addresses []string, failed map[string]bool) string {
	var sound []string
	for _, a := range addresses {
		if !failed[a] {
			sound = append(sound, a)
		}
	}
	if len(sound) == 0 {
		sound = addresses
	}
	if len(sound) == 0 {
		return ""
	}
	return sound[rand.IntN(len(sound))]
}
