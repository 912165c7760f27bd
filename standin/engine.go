// Package standin implements simple backend servers for tests and measurements: a model engine
// and a plain service. They implement the protocol of docs/BACKENDS.md and can be configured to
// fail in certain ways.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	Name string
	// Slots is the maximum number of requests that run at once, QueueLength that of
	// requests that wait.
	Slots       int
	QueueLength int
	// TokenTime is the time between the tokens of a completion.
	TokenTime time.Duration
	// PromptTime is the prefill time of 1000 prompt tokens that are not cached.
	PromptTime time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of BlockBytes.
	CacheBlocks int
	// LoadLag is the age of the load in the reports.
	LoadLag time.Duration
	// ChecksOrders makes the engine refuse orders with a stale fence.
	ChecksOrders bool
	// LoseCacheEvents is n to drop every nth cache event, or 0 to drop none.
	LoseCacheEvents uint64
}

// BlockBytes is the size of a block of the prefix cache.
const BlockBytes = 256

// Engine simulates a model engine.
type Engine struct {
	cfg EngineConfig

	mu       sync.Mutex
	draining bool
	active   int
	waiting  []*queuedRequest
	arrivals uint64
	attempts map[string]*attempt
	// cache maps the hash of each cached prefix to the value of useCount at its last use.
	cache       map[uint64]uint64
	useCount    uint64
	events      []backend.CacheEvent
	loadHistory []loadSample
	loaded      map[string]string
	fence       backend.Fence
	orders      []backend.Order
	stats       EngineStats
}

// EngineStats counts an engine's requests, tokens and refused orders.
type EngineStats struct {
	Started      int `json:"started"`
	Finished     int `json:"finished"`
	Cancelled    int `json:"cancelled"`
	Resumed      int `json:"resumed"`
	Refused      int `json:"refused"`
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	OutputTokens int `json:"outputTokens"`
	StaleOrders  int `json:"staleOrders"`
}

type queuedRequest struct {
	priority int
	arrival  uint64
	start    chan struct{}
}

type attempt struct {
	tokens   int
	finished bool
}

type loadSample struct {
	at   time.Time
	load backend.Load
}

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:      cfg,
		attempts: map[string]*attempt{},
		cache:    map[uint64]uint64{},
		loaded:   map[string]string{},
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/chat/completions":
		e.handleChat(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/attempts/"):
		e.handleAttempt(w, strings.TrimPrefix(r.URL.Path, "/v1/attempts/"))
	case r.URL.Path == "/v1/load":
		writeJSON(w, e.load())
	case r.URL.Path == "/v1/cache/events":
		e.handleCacheEvents(w, r)
	case r.URL.Path == "/v1/loaded":
		e.handleLoaded(w)
	case r.URL.Path == "/v1/orders" && r.Method == http.MethodPost:
		e.handleOrder(w, r)
	case r.URL.Path == "/standin/leave":
		e.SetDraining(true)
		writeJSON(w, true)
	case r.URL.Path == "/standin/stats":
		writeJSON(w, e.Stats())
	default:
		http.NotFound(w, r)
	}
}

// SetDraining sets whether the engine refuses new requests.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Orders returns the orders that the engine has carried out.
func (e *Engine) Orders() []backend.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]backend.Order(nil), e.orders...)
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	chat := backend.Chat{}
	if err := json.NewDecoder(r.Body).Decode(&chat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(backend.HeaderAttempt)
	priority, _ := strconv.Atoi(r.Header.Get(backend.HeaderPriority))
	queued, ok := e.enqueue(w, id, priority)
	if !ok {
		return
	}
	if !e.awaitSlot(r.Context(), queued) {
		return
	}
	defer e.releaseSlot()
	e.streamCompletion(w, r, id, chat)
}

// enqueue queues a request. If the engine is draining or its queue is full, it refuses the
// request as not run.
func (e *Engine) enqueue(w http.ResponseWriter, id string, priority int) (*queuedRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining || len(e.waiting) >= e.cfg.QueueLength && e.active >= e.cfg.Slots {
		e.stats.Refused++
		w.Header().Set(backend.HeaderNotRun, "true")
		w.Header().Set(backend.HeaderAttempt, id)
		if e.draining {
			w.Header().Set(backend.HeaderDraining, "true")
		}
		http.Error(w, "engine is draining or its queue is full", http.StatusServiceUnavailable)
		return nil, false
	}
	e.attempts[id] = &attempt{}
	e.arrivals++
	q := &queuedRequest{
		priority: priority,
		arrival:  e.arrivals,
		start:    make(chan struct{}),
	}
	e.waiting = append(e.waiting, q)
	e.startWaiting()
	return q, true
}

// startWaiting assigns free slots to waiting requests by priority, then by arrival. The
// caller holds mu.
func (e *Engine) startWaiting() {
	for e.active < e.cfg.Slots && len(e.waiting) > 0 {
		next := 0
		for i, q := range e.waiting {
			if q.priority < e.waiting[next].priority || q.priority == e.waiting[next].priority && q.arrival < e.waiting[next].arrival {
				next = i
			}
		}
		q := e.waiting[next]
		e.waiting = append(e.waiting[:next], e.waiting[next+1:]...)
		e.active++
		e.stats.Started++
		close(q.start)
	}
}

func (e *Engine) awaitSlot(ctx context.Context, q *queuedRequest) bool {
	select {
	case <-q.start:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, waiting := range e.waiting {
		if waiting == q {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.stats.Cancelled++
			return false
		}
	}
	// The slot was assigned just before the request was cancelled.
	e.active--
	e.startWaiting()
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.startWaiting()
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, id string, chat backend.Chat) {
	prompt := PromptText(chat)
	usage := e.cachePrompt(prompt)
	if !sleep(r.Context(), time.Duration(usage.PromptTokens-usage.CachedTokens)*e.cfg.PromptTime/1000) {
		e.countCancelled()
		return
	}
	total := CompletionLength(prompt, chat.MaxTokens)
	firstIndex := 0
	if chat.Resume != nil {
		firstIndex = chat.Resume.Tokens
		e.countResumed()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := firstIndex; i < total; i++ {
		if !sleep(r.Context(), e.cfg.TokenTime) {
			e.countCancelled()
			return
		}
		e.setProgress(id, i+1)
		if !writeChunk(w, backend.Chunk{
			Attempt: id,
			Index:   i,
			Text:    CompletionToken(prompt, i),
		}) {
			e.countCancelled()
			return
		}
	}
	usage.CompletionTokens = fleet.Tokens(total)
	reason := "stop"
	if fleet.Tokens(total) == chat.MaxTokens {
		reason = "length"
	}
	e.finish(id, total-firstIndex)
	writeChunk(w, backend.Chunk{
		Attempt:      id,
		Index:        total,
		FinishReason: reason,
		Usage:        &usage,
	})
}

// PromptText returns the prompt of a chat: its messages, joined.
func PromptText(chat backend.Chat) string {
	var b strings.Builder
	for _, m := range chat.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt. Each token is four bytes.
func PromptTokens(prompt string) int {
	return (len(prompt) + 3) / 4
}

// CompletionLength returns the number of tokens of the completion of a prompt: N if the prompt
// contains "length=N", otherwise a number derived from its hash.
func CompletionLength(prompt string, maxTokens fleet.Tokens) int {
	length := int(8 + xxhash.Sum64String(prompt)%40)
	if _, after, ok := strings.Cut(prompt, "length="); ok {
		end := strings.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' })
		if end < 0 {
			end = len(after)
		}
		if n, err := strconv.Atoi(after[:end]); err == nil {
			length = n
		}
	}
	if maxTokens > 0 {
		length = min(length, int(maxTokens))
	}
	return max(length, 1)
}

// CompletionToken returns token i of the completion of a prompt. It is the same on all engines,
// so that callers can verify completions.
func CompletionToken(prompt string, i int) string {
	sum := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return fmt.Sprintf("w%d.%x ", i, sum&0xffff)
}

// Completion returns the whole completion of a prompt.
func Completion(prompt string, maxTokens fleet.Tokens) string {
	var b strings.Builder
	for i := range CompletionLength(prompt, maxTokens) {
		b.WriteString(CompletionToken(prompt, i))
	}
	return b.String()
}

// cachePrompt adds a prompt to the prefix cache and returns its token counts, including how many
// tokens were cached before.
func (e *Engine) cachePrompt(prompt string) backend.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := 0
	sum := xxhash.New()
	hit := true
	for at := 0; at+BlockBytes <= len(prompt); at += BlockBytes {
		_, _ = sum.WriteString(prompt[at : at+BlockBytes])
		hash := sum.Sum64()
		if _, ok := e.cache[hash]; ok && hit {
			cached += BlockBytes / 4
		} else {
			hit = false
			e.addCacheEvent(hash, true)
		}
		e.useCount++
		e.cache[hash] = e.useCount
	}
	e.evict()
	tokens := PromptTokens(prompt)
	e.stats.PromptTokens += tokens
	e.stats.CachedTokens += cached
	return backend.Usage{
		PromptTokens: fleet.Tokens(tokens),
		CachedTokens: fleet.Tokens(cached),
	}
}

func (e *Engine) evict() {
	for len(e.cache) > e.cfg.CacheBlocks {
		oldest, lastUse := uint64(0), uint64(0)
		for hash, use := range e.cache {
			if lastUse == 0 || use < lastUse {
				oldest, lastUse = hash, use
			}
		}
		delete(e.cache, oldest)
		e.addCacheEvent(oldest, false)
	}
}

func (e *Engine) addCacheEvent(hash uint64, kept bool) {
	e.events = append(e.events, backend.CacheEvent{
		Prefix: hash,
		Kept:   kept,
	})
}

// handleCacheEvents returns a batch of at most 256 events. It drops those that
// LoseCacheEvents selects and reports a gap instead.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := backend.CacheEvents{Next: after}
	for i := after; i < uint64(len(e.events)) && len(batch.Events) < 256; i++ {
		batch.Next = i + 1
		if e.cfg.LoseCacheEvents > 0 && i%e.cfg.LoseCacheEvents == 0 {
			batch.Gap = true
			continue
		}
		batch.Events = append(batch.Events, e.events[i])
	}
	writeJSON(w, batch)
}

// load returns the load as of about LoadLag ago.
func (e *Engine) load() backend.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{
		at: now,
		load: backend.Load{
			Active: e.active,
			Queued: len(e.waiting),
		},
	})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) >= e.cfg.LoadLag {
		e.loadHistory = e.loadHistory[1:]
	}
	report := e.loadHistory[0].load
	report.AgeMillis = now.Sub(e.loadHistory[0].at).Milliseconds()
	report.Draining = e.draining
	return report
}

func (e *Engine) handleAttempt(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := backend.AttemptState{}
	if a, ok := e.attempts[id]; ok {
		state = backend.AttemptState{
			Known:    true,
			Tokens:   a.tokens,
			Finished: a.finished,
		}
	}
	writeJSON(w, state)
}

func (e *Engine) setProgress(id string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[id].tokens = tokens
}

func (e *Engine) finish(id string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[id].finished = true
	e.stats.Finished++
	e.stats.OutputTokens += tokens
}

func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}

func (e *Engine) countResumed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Resumed++
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	order := backend.Order{}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksOrders && order.Fence.Less(e.fence) {
		e.stats.StaleOrders++
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	if e.fence.Less(order.Fence) {
		e.fence = order.Fence
	}
	name := string(order.Model)
	if order.Adapter != "" {
		name += ":" + string(order.Adapter)
	}
	if order.Action == backend.ActionUnload {
		delete(e.loaded, name)
	} else {
		e.loaded[name] = order.Version
	}
	e.orders = append(e.orders, order)
	writeJSON(w, true)
}

func (e *Engine) handleLoaded(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := backend.Loaded{Fence: e.fence}
	for name, version := range e.loaded {
		loaded.Versions = append(loaded.Versions, backend.LoadedVersion{
			Name:    name,
			Version: version,
		})
	}
	writeJSON(w, loaded)
}

func writeChunk(w http.ResponseWriter, chunk backend.Chunk) bool {
	data, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
