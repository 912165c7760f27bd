package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator changes and reads the manifest as the pages say: it picks among the nodes that serve control, by
// a list that lags, follows a redirect twice, moves on after a failure or a second without a response, later
// each time, and sends the same order again until it has a clear answer.
type operator struct {
	w      *world
	client *http.Client
	next   int
	// acknowledged is the highest version that was acknowledged.
	acknowledged int
}

func newOperator(w *world) *operator {
	return &operator{
		w: w,
		client: &http.Client{
			Timeout:   time.Second,
			Transport: &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(_ *http.Request, via []*http.Request) error {
				if len(via) > maxRedirects {
					return http.ErrUseLastResponse
				}
				return nil
			},
		},
	}
}

const (
	maxRedirects = 2
	// seedLag is seed_lag_s of the small sites.
	seedLag = 3 * time.Second
	// The time between two tries doubles.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = time.Second
)

// manifest returns a valid manifest.
func manifest(version int) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name":         "lookup",
			"host":         "registry.example",
			"path_prefix":  "/lookup/",
			"type":         "idempotent",
			"timeout_ms":   1200 + version,
			"slo_ms":       100,
			"priority":     0,
			"service":      "registry",
			"max_attempts": 2,
		}},
		"services": []map[string]any{{
			"name":            "registry",
			"health_path":     "/healthz",
			"max_connections": 96,
			"protocol":        "h1",
			"tls":             false,
		}},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    4194304,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": []map[string]any{{
			"name":     "keepers",
			"api_keys": []string{"key-of-keepers"},
			"priority": 1,
			"prepaid":  1000000,
		}},
	})
	return text
}

// nodes are the VMs that serve control, as the operator's list has them.
func (o *operator) nodes() []*vm {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	var nodes []*vm
	at := time.Now().Add(-seedLag)
	for _, v := range o.w.vms {
		if v.core && v.served(at) {
			nodes = append(nodes, v)
		}
	}
	if len(nodes) > 0 {
		return nodes
	}
	return o.w.running()
}

// call makes one call to the next node and returns its status, 0 without a response.
func (o *operator) call(method, path string, body []byte) (int, []byte) {
	nodes := o.nodes()
	node := nodes[o.next%len(nodes)]
	o.next++
	address := fmt.Sprintf("http://%s:%d%s", node.ip, o.w.ports.control, path)
	request, err := http.NewRequest(method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		o.w.note("operator: %s %s at %s: no response", method, path, node.name)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	o.w.note("operator: %s %s at %s: %d %.90s", method, path, node.name, response.StatusCode, text)
	return response.StatusCode, text
}

// replace sends a manifest until it is acknowledged, for a limited time.
func (o *operator) replace(version int, limit time.Duration) bool {
	body := manifest(version)
	o.w.note("operator: change to version %d", version)
	delay := firstRetryDelay
	for end := time.Now().Add(limit); time.Now().Before(end); delay = o.pause(delay) {
		if status, _ := o.call(http.MethodPost, "/config/replace", body); status == http.StatusOK {
			o.acknowledged = version
			return true
		}
	}
	return false
}

// pause waits before the next try and returns the time to wait after it.
func (o *operator) pause(delay time.Duration) time.Duration {
	time.Sleep(delay)
	return min(2*delay, maxRetryDelay)
}

// describe reads the manifest until it comes, for a limited time. It returns 0 if it does not come.
func (o *operator) describe(limit time.Duration) int {
	delay := firstRetryDelay
	for end := time.Now().Add(limit); time.Now().Before(end); delay = o.pause(delay) {
		status, text := o.call(http.MethodGet, "/config/describe", nil)
		read := struct {
			Version int `json:"version"`
		}{}
		if status == http.StatusOK && json.Unmarshal(text, &read) == nil {
			return read.Version
		}
	}
	return 0
}
