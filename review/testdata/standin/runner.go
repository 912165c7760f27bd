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

// ServeHTTP runs a request, unless another server is expected.
func (r *runner) ServeHTTP(rw http.ResponseWriter, request *http.Request) {
	const work = 5 * time.Millisecond
	_, _ = io.Copy(io.Discard, request.Body)
	if request.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", r.entry.ID)
		return
	}
	id := request.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if id == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
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
