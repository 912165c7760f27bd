package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// runner is a sound server of the platform, as the pages describe one.
type runner struct {
	entry    serverEntry
	listener net.Listener
	server   *http.Server
}

// startRunner starts a server and lists it.
func (w *world) startRunner(id, service string, host int) (*runner, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.address(host), w.ports.wire+25))
	if err != nil {
		return nil, err
	}
	r := &runner{
		entry: serverEntry{
			ID:      id,
			Service: service,
			Address: listener.Addr().String(),
			Zone:    w.deploy.zones[host%len(w.deploy.zones)],
			Version: "v1",
			Slots:   6,
			State:   "ready",
			Born:    time.Now().UnixMilli(),
		},
		listener: listener,
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	w.list(r.entry)
	w.note("runner %s of %s at %s", id, service, r.entry.Address)
	return r, nil
}

// list adds an entry to the platform's list.
func (w *world) list(entry serverEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, entry)
}

// unlist removes an entry from the platform's list.
func (w *world) unlist(id string) {
	w.mu.Lock()
	var kept []serverEntry
	for _, entry := range w.servers {
		if entry.ID != id {
			kept = append(kept, entry)
		}
	}
	w.servers = kept
	w.mu.Unlock()
	w.note("%s has left the list", id)
}

// ServeHTTP runs a request, unless another server is expected.
func (r *runner) ServeHTTP(rw http.ResponseWriter, request *http.Request) {
	const work = 5 * time.Millisecond
	_, _ = io.Copy(io.Discard, request.Body)
	rw.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != r.entry.ID {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(work)
	rw.Header().Set("Instance-Signature", r.entry.ID+".signature")
	_, _ = io.WriteString(rw, "looked up by "+r.entry.ID)
}

// crash ends a server: it drops its channels and listens no more.
func (r *runner) crash() {
	_ = r.server.Close()
}
