package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Bounds of the platform's list, as the settings of the small sites have them.
const (
	listLag    = 800 * time.Millisecond
	callRate   = 44.0
	readyCheck = time.Second
)

// serveList serves the platform's list of servers. It lags, and refuses calls over its rate.
func (w *world) serveList() error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.address(250), w.ports.list))
	if err != nil {
		return err
	}
	calls := callBudget{
		left: callRate,
		at:   time.Now(),
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			w.mu.Lock()
			accepted := calls.take(time.Now())
			servers := w.listed(time.Now().Add(-listLag))
			w.mu.Unlock()
			if !accepted {
				w.note("platform: a call for the list is refused")
				rw.WriteHeader(http.StatusTooManyRequests)
				return
			}
			rw.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(rw).Encode(map[string]any{
				"instances": servers,
				"next":      nil,
			})
		}))
	}()
	return nil
}

// callBudget limits the calls of all nodes together.
type callBudget struct {
	left float64
	at   time.Time
}

func (b *callBudget) take(now time.Time) bool {
	b.left = min(b.left+now.Sub(b.at).Seconds()*callRate, callRate)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// listed returns the list of servers as it was at a time. The caller holds mu.
func (w *world) listed(at time.Time) []serverEntry {
	servers := []serverEntry{}
	for _, l := range w.lists {
		if !l.from.After(at) {
			servers = l.servers
		}
	}
	return servers
}

// list adds an entry to the platform's list.
func (w *world) list(entry serverEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setServers(append([]serverEntry{entry}, w.servers...))
}

// unlist removes an entry from the platform's list.
func (w *world) unlist(id string) {
	w.mu.Lock()
	kept := []serverEntry{}
	for _, entry := range w.servers {
		if entry.ID != id {
			kept = append(kept, entry)
		}
	}
	w.setServers(kept)
	w.mu.Unlock()
	w.note("%s leaves the list, which shows it %s later", id, listLag)
}

// setServers changes the list. The caller holds mu.
func (w *world) setServers(servers []serverEntry) {
	w.servers = servers
	w.lists = append(w.lists, serverList{
		from:    time.Now(),
		servers: servers,
	})
}

// checkReady asks each entry VM once per second whether it is ready, and notes each change.
func (w *world) checkReady(edges []*vm) {
	client := &http.Client{Timeout: readyCheck}
	for _, edge := range edges {
		go func() {
			last := -1
			for ; ; time.Sleep(readyCheck) {
				status := 0
				response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", edge.ip, w.ports.ready))
				if err == nil {
					status = response.StatusCode
					_ = response.Body.Close()
				}
				if status != last {
					w.note("platform: %s answers the ready check with %d", edge.name, status)
				}
				last = status
			}
		}()
	}
}
