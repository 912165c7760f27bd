package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// listLag is how far the list of runners lags.
	listLag = 800 * time.Millisecond
	// crashedListed is how long a runner that has crashed stays in the list.
	crashedListed = 2 * time.Second
)

// platform serves the list of runners.
type platform struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	runners []*runner
}

func newPlatform() (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) address() string {
	return p.listener.Addr().String()
}

func (p *platform) add(r *runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runners = append(p.runners, r)
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := []any{}
	for _, r := range p.runners {
		if l, ok := r.listed(time.Now().Add(-listLag)); ok {
			entries = append(entries, map[string]any{
				"id": l.id, "born": l.born, "service": r.service, "address": r.address, "zone": r.zone, "version": l.version,
				"slots": r.slots, "state": "ready", "cold_remaining_ms": 0, "phase": "mixed",
				"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			})
		}
	}
	text, err := json.Marshal(map[string]any{"instances": entries, "next": nil})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "%s", text)
}
