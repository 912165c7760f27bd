package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// start starts three control VMs, two entry VMs and a number of servers of a service, and installs a configuration.
func start(f *fleet, config map[string]any, servers []*server, service string) error {
	var list []listed
	for i, s := range servers {
		s.address = f.address(201+i, offsetServer)
		if err := startServer(s); err != nil {
			return err
		}
		list = append(list, listed{
			ID:      s.id,
			Service: service,
			Address: s.address,
			Zone:    "zone-a",
			Version: "v1",
			Slots:   64,
			State:   "ready",
			Born:    time.Now().UnixMilli(),
		})
	}
	f.list(list...)
	if err := f.start(3, 2); err != nil {
		return err
	}
	if err := f.replace(config); err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(configApply + time.Second)
	return nil
}

// config returns a configuration with one route to one service.
func config(version int, kind string, runtime bool, tenants []any) map[string]any {
	service := map[string]any{
		"name":            "svc",
		"health_path":     "/healthz",
		"max_connections": 370,
		"protocol":        "h1",
		"tls":             false,
	}
	if runtime {
		service["runtime"] = map[string]any{
			"slots":              64,
			"kv_capacity_tokens": 400351,
			"kv_bytes":           163840,
			"link_mbps":          260000.0,
			"stride":             6,
			"models":             []any{map[string]any{"name": "m"}},
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name":         "r-1",
			"host":         "host.example",
			"path_prefix":  "/task/",
			"type":         kind,
			"timeout_ms":   3000,
			"slo_ms":       500,
			"priority":     1,
			"service":      "svc",
			"max_attempts": 1,
			"public":       false,
			"sticky":       runtime,
			"resumable":    false,
		}},
		"services": []any{service},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    4194304,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": tenants,
	}
}

func tenant(name string, prepaid int, keys ...any) map[string]any {
	t := map[string]any{
		"name":     name,
		"api_keys": keys,
	}
	if prepaid > 0 {
		t["prepaid"] = prepaid
	}
	return t
}

func authorization(key string) map[string]string {
	return map[string]string{"Authorization": "Token " + key}
}

// key is the key of the tenant, strangerKey one that no configuration holds.
const (
	key         = "n2ctnfzs989anu6wsjnb"
	strangerKey = "zzzzzzzzzzzzzzzzzzzz"
)

// generation is the header of a request of 100 prompt tokens and up to 400 output tokens.
func generation(part int) map[string]string {
	h := authorization(key)
	h["Model"] = "m"
	h["Token-Usage"] = "100,400"
	h["Prompt-Prefix"] = fmt.Sprintf("%08x:60,%08x:40", 0x5c1e07a2, part)
	return h
}

// consumed returns the tokens that a tenant got: the prompt and the output of each complete answer.
func consumed(replies []reply, servers []*server) int {
	usage := map[string]run{}
	for _, s := range servers {
		for _, r := range s.runs() {
			usage[r.id] = r
		}
	}
	total := 0
	for _, r := range replies {
		if r.err == nil && r.status == http.StatusOK {
			total += usage[r.id].prompt + usage[r.id].output
		}
	}
	return total
}

// budgetCase: a tenant sends many times its usual on a route whose answers are no streams.
func budgetCase(f *fleet, record *recorder, trouble bool) error {
	const prepaid = 40_000
	full := func(w http.ResponseWriter, r *http.Request, _ []byte) {
		_, output := tokens(r)
		answer(w, http.StatusOK, words(output))
	}
	var servers []*server
	for i := range 3 {
		servers = append(servers, &server{
			id:     fmt.Sprintf("i-%d", i+1),
			record: record,
			handle: full,
		})
	}
	if err := start(f, config(1, "non_idempotent", true, []any{tenant("t-1", prepaid, key)}), servers, "svc"); err != nil {
		return err
	}
	usual, times := 30, 1
	if trouble {
		times = 7
	}
	// The surge keeps to its time however long the answers take.
	const surge = 6 * time.Second
	c := &caller{record: record}
	replies := make([]reply, usual*times)
	var callers sync.WaitGroup
	for i := range replies {
		callers.Go(func() {
			time.Sleep(surge * time.Duration(i) / time.Duration(len(replies)))
			replies[i] = c.send(f.edge(i%2), http.MethodPost, "/task/1", generation(i), "prompt")
		})
	}
	callers.Wait()
	total := consumed(replies, servers)
	record.line("the tenant got %d tokens, its prepaid is %d", total, prepaid)
	if total > prepaid {
		return fmt.Errorf("%w: the tenant got %d tokens, its prepaid is %d", errBroken, total, prepaid)
	}
	if total == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}

// prepaidCase: a new version gives a tenant its prepaid, after the tenant has consumed some.
func prepaidCase(f *fleet, record *recorder, trouble bool) error {
	const prepaid = 40_000
	stream := func(w http.ResponseWriter, r *http.Request, _ []byte) {
		_, output := tokens(r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for i := range output / 6 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, words(6))
		}
	}
	servers := []*server{
		{
			id:     "i-1",
			record: record,
			handle: stream,
		},
		{
			id:     "i-2",
			record: record,
			handle: stream,
		},
	}
	first := prepaid
	if trouble {
		first = 0
	}
	if err := start(f, config(1, "streaming", true, []any{tenant("t-1", first, key)}), servers, "svc"); err != nil {
		return err
	}
	c := &caller{record: record}
	var replies []reply
	send := func(n int) {
		for i := range n {
			replies = append(replies, c.send(f.edge(i%2), http.MethodPost, "/task/1", generation(i), "prompt"))
		}
	}
	send(70)
	if err := f.replace(config(2, "streaming", true, []any{tenant("t-1", prepaid, key)})); err != nil {
		return err
	}
	time.Sleep(configApply + time.Second)
	before := consumed(replies, servers)
	send(100)
	total := consumed(replies, servers)
	record.line("the tenant got %d tokens, %d of them before version 2, its prepaid is %d", total, before, prepaid)
	if total > prepaid {
		return fmt.Errorf("%w: the tenant got %d tokens, its prepaid is %d", errBroken, total, prepaid)
	}
	return nil
}

// tenantsCase: an operator takes the keys of the last tenant away, by taking the tenant out of the configuration.
func tenantsCase(f *fleet, record *recorder, trouble bool) error {
	s := &server{
		id:     "i-1",
		record: record,
		handle: func(w http.ResponseWriter, _ *http.Request, _ []byte) { answer(w, http.StatusOK, "done") },
	}
	if err := start(f, config(1, "non_idempotent", false, []any{tenant("t-1", 0, key)}), []*server{s}, "svc"); err != nil {
		return err
	}
	c := &caller{record: record}
	for _, try := range []struct {
		key    string
		status int
	}{
		{
			key:    key,
			status: http.StatusOK,
		},
		{
			key:    strangerKey,
			status: http.StatusUnauthorized,
		},
	} {
		if r := c.send(f.edge(0), http.MethodPost, "/task/1", authorization(try.key), "x"); r.status != try.status {
			return fmt.Errorf("before the change a request with the key %s got status %d, want %d", try.key, r.status, try.status)
		}
	}
	left := []any{}
	if !trouble {
		left = append(left, tenant("t-1", 0, key))
	}
	if err := f.replace(config(2, "non_idempotent", false, left)); err != nil {
		return err
	}
	time.Sleep(configApply + time.Second)
	var replies []reply
	for i := range 4 {
		replies = append(replies, c.send(f.edge(i%2), http.MethodPost, "/task/1", authorization(strangerKey), "x"))
		if trouble {
			replies = append(replies, c.send(f.edge(i%2), http.MethodPost, "/task/1", authorization(key), "x"))
		}
	}
	ran := 0
	for _, r := range replies {
		if hasRun([]*server{s}, r.id) {
			ran++
		}
	}
	record.line("%d of %d requests ran whose key version 2 doesn't hold", ran, len(replies))
	if ran > 0 {
		return fmt.Errorf("%w: %d of %d requests ran whose key was taken away or was never held by a manifest", errBroken, ran, len(replies))
	}
	return nil
}

// hasRun reports whether a server has run a request.
func hasRun(servers []*server, id string) bool {
	for _, s := range servers {
		for _, r := range s.runs() {
			if r.id == id {
				return true
			}
		}
	}
	return false
}

// refusedCase: one of seven servers fails two fifths of its requests after it has run them. It says so with status
// 503 and without Not-Executed. Requesters send a request once more after a 503, as a promise that it has not run.
func refusedCase(f *fleet, record *recorder, trouble bool) error {
	var mu sync.Mutex
	n := 0
	var servers []*server
	for i := range 7 {
		failing := trouble && i == 0
		servers = append(servers, &server{
			id:     fmt.Sprintf("i-%d", i+1),
			record: record,
			handle: func(w http.ResponseWriter, _ *http.Request, _ []byte) {
				fails := false
				if failing {
					mu.Lock()
					n++
					fails = n%5 < 2
					mu.Unlock()
				}
				if fails {
					answer(w, http.StatusServiceUnavailable, "the work is done, its confirmation failed")
					return
				}
				answer(w, http.StatusOK, "done")
			},
		})
	}
	if err := start(f, config(1, "non_idempotent", false, []any{tenant("t-1", 0, key)}), servers, "svc"); err != nil {
		return err
	}
	c := &caller{record: record}
	refused, twice := 0, 0
	for i := range 300 {
		first := c.send(f.edge(i%2), http.MethodPost, "/task/1", authorization(key), "x")
		if first.status != http.StatusServiceUnavailable {
			continue
		}
		again := c.send(f.edge(i%2), http.MethodPost, "/task/1", authorization(key), "x")
		if !hasRun(servers, first.id) {
			continue
		}
		refused++
		record.line("request %s was answered 503 and has run", first.id)
		if hasRun(servers, again.id) {
			twice++
			record.line("its requester trusted the 503, and the same work was done twice: %s and %s", first.id, again.id)
		}
	}
	if refused > 0 {
		return fmt.Errorf("%w: %d requests that are not idempotent were answered 503 and have run; the work of %d was done twice", errBroken, refused, twice)
	}
	return nil
}

// poisonCase: each server that begins to write an answer on one part of a prompt crashes. Every seven seconds three
// callers send a request with that part at the same time.
func poisonCase(f *fleet, record *recorder, trouble bool) error {
	const (
		stability = 3 * time.Second
		downFor   = 3 * time.Second
		poison    = "0000bad0"
	)
	var mu sync.Mutex
	var crashes, reached []time.Time
	var servers []*server
	for i := range 8 {
		s := &server{
			id:     fmt.Sprintf("i-%d", i+1),
			record: record,
		}
		s.handle = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			if !strings.Contains(r.Header.Get("Prompt-Prefix"), poison) {
				time.Sleep(20 * time.Millisecond)
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(http.StatusOK)
				_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", words(6))
				return
			}
			mu.Lock()
			reached = append(reached, time.Now())
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			record.line("server %s crashes", s.id)
			s.crash(downFor, func() { f.born(s.id) })
		}
		servers = append(servers, s)
	}
	if err := start(f, config(1, "streaming", true, []any{tenant("t-1", 0, key)}), servers, "svc"); err != nil {
		return err
	}
	c := &caller{record: record}
	for round := range 10 {
		var callers sync.WaitGroup
		for i := range 3 {
			part := poison
			if !trouble {
				part = "0000600d"
			}
			callers.Go(func() {
				h := authorization(key)
				h["Model"] = "m"
				h["Token-Usage"] = "500,60"
				h["Prompt-Prefix"] = fmt.Sprintf("%08x:200,%s:250,%08x:50", 0x5c1e, part, round*100+i+1)
				c.send(f.edge(i%2), http.MethodPost, "/task/1", h, fmt.Sprint("prompt ", round, i))
			})
		}
		callers.Wait()
		time.Sleep(7 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	record.line("%d requests with the part reached servers, %d crashes", len(reached), len(crashes))
	if len(crashes) < 5 {
		return nil
	}
	late := 0
	for _, at := range reached {
		if at.After(crashes[4].Add(stability)) {
			late++
		}
	}
	record.line("%d of them later than %s after the fifth crash; three are allowed", late, stability)
	if late > 3 {
		return fmt.Errorf("%w: %d requests with the part reached servers later than %s after the fifth crash", errBroken, late, stability)
	}
	return nil
}
