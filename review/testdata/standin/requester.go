package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// requester sends idempotent requests at a steady rate, each over a new channel to the next entry VM.
type requester struct {
	w      *world
	client *http.Client
	stop   chan struct{}
	wait   sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// answer is what became of a request.
type answer struct {
	sent   time.Time
	status int
}

const (
	requestInterval = 50 * time.Millisecond
	requestDeadline = 1500 * time.Millisecond
)

func startRequester(w *world, edges []*vm) *requester {
	r := &requester{
		w: w,
		client: &http.Client{
			Timeout:   requestDeadline,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
		stop: make(chan struct{}),
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
			edge := edges[n%len(edges)]
			r.wait.Go(func() { r.send(n, edge) })
		}
	})
	return r
}

func (r *requester) send(n int, edge *vm) {
	sent := time.Now()
	status, text := 0, ""
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/lookup/%d", edge.ip, r.w.ports.front, n), nil)
	if err != nil {
		return
	}
	request.Host = "registry.example"
	request.Header.Set("Attempt-Id", fmt.Sprintf("%016x", n+1))
	request.Header.Set("Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Token key-of-keepers")
	if response, err := r.client.Do(request); err == nil {
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text = response.StatusCode, string(body)
	}
	r.w.note("request %016x to %s: %d %.60s", n+1, edge.name, status, text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, answer{
		sent:   sent,
		status: status,
	})
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
