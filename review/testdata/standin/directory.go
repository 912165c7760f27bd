package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	requestHost = "registry.example"
	// maxTTL is ttl_max_s of the small sites.
	maxTTL = 5 * time.Second
)

// directory is what the requesters know of where to connect. They ask the nodes that serve the
// registry, up to three of them, one second each, and keep the last response if there is no new one.
type directory struct {
	w      *world
	nodes  []*vm
	client *http.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	asking    bool
}

func newDirectory(w *world, nodes []*vm) *directory {
	return &directory{
		w:      w,
		nodes:  nodes,
		client: &http.Client{Timeout: time.Second},
	}
}

// pick returns an address for a new channel, one that has not failed if there is one.
func (d *directory) pick(failed map[string]bool) string {
	d.mu.Lock()
	ask := time.Now().After(d.expires) && !d.asking
	first := len(d.addresses) == 0
	if ask {
		d.asking = true
	}
	d.mu.Unlock()
	if ask && first {
		d.ask()
	} else if ask {
		go d.ask()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return anyOf(d.addresses, failed)
}

func (d *directory) ask() {
	var addresses []string
	ttl := time.Duration(0)
	for _, node := range d.nodes[:min(3, len(d.nodes))] {
		if addresses, ttl = d.resolve(node); len(addresses) > 0 {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asking = false
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	if !slices.Equal(addresses, d.addresses) {
		d.w.note("requesters: connect to %v", addresses)
	}
	d.addresses = addresses
	d.expires = time.Now().Add(min(ttl, maxTTL))
}

// resolve asks one node. It returns no addresses if that fails.
func (d *directory) resolve(node *vm) (addresses []string, ttl time.Duration) {
	query := url.Values{
		"name":   {requestHost},
		"region": {regionName},
		"zone":   {node.zone},
	}
	response, err := d.client.Get(fmt.Sprintf("http://%s:%d/resolve?%s", node.ip, d.w.ports.directory, query.Encode()))
	if err != nil {
		return nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	list := struct {
		Addresses []string `json:"addresses"`
		Seconds   float64  `json:"ttl_s"`
	}{}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&list) != nil {
		return nil, 0
	}
	return list.Addresses, time.Duration(list.Seconds * float64(time.Second))
}
