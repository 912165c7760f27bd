package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// workspaces are the workspaces with the tokens that they have prepaid at first. Each change
// of the configuration may add tokens, a small amount for the one that runs short.
var workspaces = []struct {
	name    string
	prepaid int64
	added   int64
	// later is set if the first version has no total for the workspace. What it receives meanwhile counts against the one
	// that comes.
	later bool
}{
	{
		name:    "plenty",
		prepaid: 50_000_000,
	},
	{
		name:    "short",
		prepaid: 60_000,
		added:   15_000,
	},
	{
		name:    "some",
		prepaid: 400_000,
		added:   100_000,
	},
	{
		name:    "late",
		prepaid: 110_000,
		later:   true,
	},
}

func keyOf(workspace string) string { return "key-of-" + workspace }

// change is a configuration that the operator has sent.
type change struct {
	version uint64
	// probeVersions are the versions whose probe routes the configuration has.
	probeVersions []uint64
	text          []byte
	sent          time.Time
	acked         time.Time
	invalid       bool
}

// operator changes the configuration and reads it back. It is safe for concurrent use.
type operator struct {
	h             *harness
	rng           *rand.Rand
	client        http.Client
	mu            sync.Mutex
	changes       []*change
	prepaidTotals map[string]int64
	// firstRead is the text of each version when it was first read back.
	firstRead map[uint64]string
}

func newOperator(h *harness) *operator {
	o := &operator{
		h:             h,
		rng:           h.random(2),
		client:        http.Client{Timeout: 2 * time.Second},
		prepaidTotals: map[string]int64{},
		firstRead:     map[uint64]string{},
	}
	for _, ws := range workspaces {
		o.prepaidTotals[ws.name] = ws.prepaid
	}
	return o
}

// prepaid returns the highest prepaid total of a workspace in any configuration so far.
func (o *operator) prepaid(workspace string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.prepaidTotals[workspace]
}

// nextChange creates the next change.
func (o *operator) nextChange(invalid bool) *change {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &change{
		version: 1,
		invalid: invalid,
	}
	if last := o.lastChange(); last != nil {
		c.version = last.version + 1 + o.rng.Uint64N(3)
		c.probeVersions = []uint64{last.version}
		for _, ws := range workspaces {
			if ws.added > 0 && !invalid && o.rng.IntN(3) == 0 {
				o.prepaidTotals[ws.name] += ws.added
			}
		}
	}
	c.probeVersions = append(c.probeVersions, c.version)
	c.text = o.buildConfiguration(c)
	c.sent = time.Now()
	if !invalid {
		o.changes = append(o.changes, c)
	}
	return c
}

func (o *operator) lastChange() *change {
	if len(o.changes) == 0 {
		return nil
	}
	return o.changes[len(o.changes)-1]
}

func probePath(version uint64) string { return fmt.Sprintf("/v%d/", version) }

func (o *operator) buildConfiguration(c *change) []byte {
	route := func(name, prefix, kind, service string, timeout time.Duration, attempts int) map[string]any {
		return map[string]any{
			"name":         name,
			"host":         host,
			"path_prefix":  prefix,
			"type":         kind,
			"timeout_ms":   timeout.Milliseconds(),
			"slo_ms":       500,
			"priority":     0,
			"service":      service,
			"max_attempts": attempts,
			"resumable":    kind == "streaming",
			"gap_slo_ms":   400,
		}
	}
	routes := []any{
		route("once", "/once/", "non_idempotent", plainService, onceTimeout, 2),
		route("lookup", "/lookup/", "idempotent", plainService, onceTimeout, 2),
		route("stream", "/stream/", "streaming", engineService, streamTimeout, 2),
	}
	for _, v := range c.probeVersions {
		routes = append(routes, route(fmt.Sprintf("probe-%d", v), probePath(v), "idempotent", plainService, onceTimeout, 2))
	}
	if c.invalid {
		routes = append(routes, route("broken", "/broken/", "idempotent", "no-such-service", onceTimeout, 2))
	}
	var tenants []any
	for _, ws := range workspaces {
		tenant := map[string]any{
			"name":     ws.name,
			"api_keys": []string{keyOf(ws.name)},
		}
		// Builds of earlier revisions record nothing without a total.
		if !ws.later || len(o.changes) > 0 || o.h.builds != nil {
			tenant["prepaid"] = o.prepaidTotals[ws.name]
		}
		tenants = append(tenants, tenant)
	}
	text, err := json.Marshal(map[string]any{
		"version": c.version,
		"routes":  routes,
		"services": []any{
			map[string]any{
				"name":            engineService,
				"max_connections": 200,
				"runtime": map[string]any{
					"slots":  16,
					"stride": eventTokens,
				},
			},
			map[string]any{
				"name":            plainService,
				"max_connections": 100,
			},
		},
		"limits":  map[string]any{"max_body_bytes": 1 << 20},
		"tenants": tenants,
	})
	if err != nil {
		o.h.reportViolation("soak", "cannot encode the configuration: %v", err)
	}
	return text
}

// send sends a change to the control VMs in turn until one acknowledges or rejects it.
func (o *operator) send(c *change, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for i := rand.IntN(8); time.Now().Before(deadline); i++ {
		controls := o.h.controls()
		v := controls[i%len(controls)]
		response, err := o.client.Post("http://"+v.settings.Site.Listen.Control.String()+"/config/replace", "application/json", bytes.NewReader(c.text))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch {
		case response.StatusCode == http.StatusOK && c.invalid:
			o.h.reportViolation("configuration", "%s accepted the invalid version %d", v.name, c.version)
			return true
		case response.StatusCode == http.StatusOK:
			o.mu.Lock()
			if c.acked.IsZero() {
				c.acked = time.Now()
			}
			o.mu.Unlock()
			return true
		case response.StatusCode/100 == 4 && response.StatusCode != http.StatusRequestTimeout && response.StatusCode != http.StatusTooManyRequests:
			if !c.invalid {
				o.h.reportViolation("configuration", "%s rejected version %d with status %d: %s", v.name, c.version, response.StatusCode, text)
			}
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// newestAcked returns the highest version that was acknowledged at a time or before.
func (o *operator) newestAcked(by time.Time) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := uint64(0)
	for _, c := range o.changes {
		if !c.acked.IsZero() && !c.acked.After(by) {
			newest = max(newest, c.version)
		}
	}
	return newest
}

// readBack reads the configuration from one VM, checks it and reports whether the VM
// returned one.
func (o *operator) readBack(v *vm) bool {
	started := time.Now()
	response, err := o.client.Get("http://" + v.settings.Site.Listen.Control.String() + "/config/describe")
	if err != nil {
		return false
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	got := struct {
		Version uint64 `json:"version"`
	}{}
	if err := json.Unmarshal(text, &got); err != nil {
		o.h.reportViolation("configuration", "%s returned a configuration that cannot be decoded: %v", v.name, err)
		return false
	}
	if want := o.newestAcked(started); got.Version < want {
		o.h.reportViolation("configuration", "%s returned version %d although %d had been acknowledged", v.name, got.Version, want)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known := false
	for _, c := range o.changes {
		known = known || c.version == got.Version && bytes.Equal(c.text, text)
	}
	before, seen := o.firstRead[got.Version]
	if !known || seen && before != string(text) {
		o.h.reportViolation("configuration", "%s returned a version %d that was not sent or differs from what was returned before", v.name, got.Version)
	}
	o.firstRead[got.Version] = string(text)
	return true
}

// expectProbe reports whether a probe of a version's own route must be served, and whether it
// must not be. If both are false, either is allowed.
func (o *operator) expectProbe(version uint64, sent, ended time.Time) (must, mustNot bool) {
	newest := o.newestAcked(sent.Add(-configBound))
	o.mu.Lock()
	defer o.mu.Unlock()
	must, mustNot = newest > 0, newest > 0
	for _, c := range o.changes {
		if c.version < newest || c.sent.After(ended) {
			continue
		}
		has := false
		for _, v := range c.probeVersions {
			has = has || v == version
		}
		must = must && has
		mustNot = mustNot && !has
	}
	return must, mustNot
}

// changeUntilEnded changes the configuration until the run ends, sometimes to an invalid one,
// and sometimes as two operators that send different configurations of one version.
func (o *operator) changeUntilEnded() {
	for !o.h.endedWithin(time.Duration(300+rand.IntN(900)) * time.Millisecond) {
		switch rand.IntN(6) {
		case 0:
			o.send(o.nextChange(true), time.Second)
		case 1:
			first := o.nextChange(false)
			second := &change{
				version:       first.version,
				probeVersions: first.probeVersions,
				text:          bytes.Replace(first.text, []byte(`"slo_ms":500`), []byte(`"slo_ms":501`), 1),
				sent:          time.Now(),
			}
			o.mu.Lock()
			o.changes = append(o.changes, second)
			o.mu.Unlock()
			senders := sync.WaitGroup{}
			senders.Go(func() { o.send(first, recoverBound) })
			senders.Go(func() { o.send(second, recoverBound) })
			senders.Wait()
		default:
			o.send(o.nextChange(false), recoverBound)
		}
	}
}

// readUntilEnded reads the configuration back until the run ends.
func (o *operator) readUntilEnded() {
	for !o.h.endedWithin(200 * time.Millisecond) {
		controls := o.h.controls()
		o.readBack(controls[rand.IntN(len(controls))])
	}
}
