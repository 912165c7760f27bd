package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lifetime is one run of a runner.
type lifetime struct {
	id   string
	born int64
	// version is that of the software.
	version string
	began   time.Time
	// ended is zero while the run lasts.
	ended time.Time
}

// runner is a server of a service. It can crash and start again at its address, as a new lifetime.
type runner struct {
	name    string
	service string
	zone    string
	slots   int
	address string
	log     *record
	// keepID makes the runner start again under the id that it had.
	keepID bool
	work   func(*run)

	mu        sync.Mutex
	lifetimes []lifetime
	server    *http.Server
	active    int
	// version is that of the next lifetime.
	version   string
	signature int
}

// run is one request that a runner works on.
type run struct {
	r       *runner
	w       http.ResponseWriter
	request *http.Request
	ctx     context.Context
	id      string
	tenant  string
	prompt  int
	output  int
	parts   []string
	life    lifetime
	begun   time.Time
}

// runnerSpec is what all runners of a service have in common.
type runnerSpec struct {
	service string
	slots   int
	// keepID makes a runner start again under the id that it had.
	keepID bool
	work   func(*run)
}

// startRunner starts the first lifetime of a runner, with a version of its software.
func startRunner(log *record, spec runnerSpec, name, zone, version string) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		name:    name,
		service: spec.service,
		zone:    zone,
		slots:   spec.slots,
		address: listener.Addr().String(),
		log:     log,
		keepID:  spec.keepID,
		version: version,
		work:    spec.work,
	}
	r.serve(listener)
	return r, nil
}

func (r *runner) serve(listener net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	life := lifetime{
		id:    fmt.Sprintf("i-%s-%d", r.name, len(r.lifetimes)+1),
		born:  time.Now().UnixMilli(),
		began: time.Now(),

		version: r.version,
	}
	if r.keepID {
		life.id = "i-" + r.name
	}
	r.lifetimes = append(r.lifetimes, life)
	r.active = 0
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.handle(life, w, request) })}
	server := r.server
	go func() { _ = server.Serve(listener) }()
}

// crash ends the run at once with all its connections. The runner is back after a time.
func (r *runner) crash(life lifetime, back time.Duration) {
	r.mu.Lock()
	last := len(r.lifetimes) - 1
	if r.lifetimes[last].born != life.born || !r.lifetimes[last].ended.IsZero() {
		r.mu.Unlock()
		return
	}
	r.lifetimes[last].ended = time.Now()
	server, broken := r.server, r.active
	r.mu.Unlock()
	r.log.line("runner %s crashed with %d requests in work", life.id, broken)
	_ = server.Close()
	time.AfterFunc(back, func() {
		for range 50 {
			listener, err := net.Listen("tcp", r.address)
			if err == nil {
				r.serve(listener)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		r.log.line("runner %s could not start again", r.name)
	})
}

// upgrade sets the software version of the next lifetime.
func (r *runner) upgrade(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// current returns the latest lifetime.
func (r *runner) current() lifetime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifetimes[len(r.lifetimes)-1]
}

// listed returns the lifetime that the list has at a time.
func (r *runner) listed(at time.Time) (lifetime, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.lifetimes) - 1; i >= 0; i-- {
		l := r.lifetimes[i]
		if !l.began.After(at) {
			return l, l.ended.IsZero() || at.Before(l.ended.Add(crashedListed))
		}
	}
	return lifetime{}, false
}

func (r *runner) handle(life lifetime, w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Instance-Id", life.id)
	r.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", r.active, r.slots)
	r.mu.Unlock()
	w.Header().Set("Instance-Load", load)
	switch request.URL.Path {
	case "/healthz":
		return
	case "/report":
		text, _ := json.Marshal(map[string]any{
			"born": life.born, "phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"busy": false, "sequence": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 400351, "handles": 0,
		})
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
		return
	}
	id := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != life.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	r.mu.Lock()
	full := r.active >= r.slots
	if !full {
		r.active++
	}
	r.signature++
	signature := fmt.Sprintf("%s.%d", life.id, r.signature)
	r.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.active--
	}()
	w.Header().Set("Instance-Signature", signature)
	prompt, output := tokenUsage(request.Header.Get("Token-Usage"))
	x := &run{
		r:       r,
		w:       w,
		request: request,
		ctx:     request.Context(),
		id:      id,
		tenant:  request.Header.Get("Tenant"),
		prompt:  prompt,
		output:  output,
		parts:   partIDs(request.Header.Get("Prompt-Prefix")),
		life:    life,
		begun:   time.Now(),
	}
	r.work(x)
}

// sleep waits and reports whether the channel is still open.
func (x *run) sleep(d time.Duration) bool {
	select {
	case <-x.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// event sends one event of the stream.
func (x *run) event(n int) bool {
	x.w.Header().Set("Content-Type", "text/event-stream")
	if _, err := fmt.Fprintf(x.w, "id: %d\ndata: %s piece %d version %s\n\n", n, x.id, n, x.life.version); err != nil {
		return false
	}
	return http.NewResponseController(x.w).Flush() == nil
}

// hang ends the handler without writing anything more: the runner has crashed meanwhile.
func (x *run) hang() {
	<-x.ctx.Done()
	panic(http.ErrAbortHandler)
}

func (x *run) has(part string) bool {
	for _, p := range x.parts {
		if p == part {
			return true
		}
	}
	return false
}

func tokenUsage(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

func partIDs(text string) []string {
	var ids []string
	for _, entry := range strings.Split(text, ",") {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids
}
