// Package standin holds small stand-ins for the systems that waxwingreel meets: a
// model engine and a plain service. They speak the protocol of docs/BACKENDS.md
// and can be told to misbehave.
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

// EngineConfig sets up an Engine.
type EngineConfig struct {
	Name string
	// Slots is how many answers are worked on at once; QueueLength how many
	// more may wait.
	Slots       int
	QueueLength int
	// TokenTime is the time between tokens of one answer.
	TokenTime time.Duration
	// PromptTime is the time to read 1000 prompt tokens that are not cached.
	PromptTime time.Duration
	// CacheBlocks bounds the prefix cache, in blocks of BlockBytes.
	CacheBlocks int
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// ChecksOrders makes the engine refuse orders with an old fence.
	ChecksOrders bool
	// LoseCacheEvents drops every so many cache events; 0 drops none.
	LoseCacheEvents uint64
}

// BlockBytes is the size of a prompt block that the prefix cache keeps.
const BlockBytes = 256

// Engine is a stand-in for a model engine.
type Engine struct {
	cfg EngineConfig

	mu       sync.Mutex
	leaving  bool
	active   int
	waiting  []*ticket
	arrivals uint64
	attempts map[string]*attempt
	cache    map[uint64]uint64
	clock    uint64
	events   []backend.CacheEvent
	loads    []loadSample
	loaded   map[string]string
	fence    backend.Fence
	orders   []backend.Order
	stats    EngineStats
}

// EngineStats counts what an engine did.
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

type ticket struct {
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

// NewEngine returns an engine that is ready to serve.
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
		e.chat(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/attempts/"):
		e.answerAttempt(w, strings.TrimPrefix(r.URL.Path, "/v1/attempts/"))
	case r.URL.Path == "/v1/load":
		writeJSON(w, e.load())
	case r.URL.Path == "/v1/cache/events":
		e.cacheEvents(w, r)
	case r.URL.Path == "/v1/loaded":
		e.answerLoaded(w)
	case r.URL.Path == "/v1/orders" && r.Method == http.MethodPost:
		e.order(w, r)
	case r.URL.Path == "/standin/leave":
		e.SetDraining(true)
		writeJSON(w, true)
	case r.URL.Path == "/standin/stats":
		writeJSON(w, e.Stats())
	default:
		http.NotFound(w, r)
	}
}

// SetDraining makes the engine refuse new work.
func (e *Engine) SetDraining(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Stats returns what the engine did so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Orders returns the orders that the engine carried out.
func (e *Engine) Orders() []backend.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]backend.Order(nil), e.orders...)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	chat := backend.Chat{}
	if err := json.NewDecoder(r.Body).Decode(&chat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(backend.HeaderAttempt)
	priority, _ := strconv.Atoi(r.Header.Get(backend.HeaderPriority))
	queued, ok := e.enter(w, id, priority)
	if !ok {
		return
	}
	if !e.awaitSlot(r.Context(), queued) {
		return
	}
	defer e.leaveSlot()
	e.answer(w, r, id, chat)
}

// enter takes a request in or refuses it as not run.
func (e *Engine) enter(w http.ResponseWriter, id string, priority int) (*ticket, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving || len(e.waiting) >= e.cfg.QueueLength && e.active >= e.cfg.Slots {
		e.stats.Refused++
		w.Header().Set(backend.HeaderNotRun, "true")
		if e.leaving {
			w.Header().Set(backend.HeaderDraining, "true")
		}
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return nil, false
	}
	e.attempts[id] = &attempt{}
	e.arrivals++
	t := &ticket{
		priority: priority,
		arrival:  e.arrivals,
		start:    make(chan struct{}),
	}
	e.waiting = append(e.waiting, t)
	e.startWaiting()
	return t, true
}

// startWaiting gives free slots to the waiting requests, by priority.
func (e *Engine) startWaiting() {
	for e.active < e.cfg.Slots && len(e.waiting) > 0 {
		best := 0
		for i, t := range e.waiting {
			if t.priority < e.waiting[best].priority || t.priority == e.waiting[best].priority && t.arrival < e.waiting[best].arrival {
				best = i
			}
		}
		t := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		e.active++
		e.stats.Started++
		close(t.start)
	}
}

func (e *Engine) awaitSlot(ctx context.Context, t *ticket) bool {
	select {
	case <-t.start:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, waiting := range e.waiting {
		if waiting == t {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.stats.Cancelled++
			return false
		}
	}
	// The slot was given just before the caller left.
	e.active--
	e.startWaiting()
	return false
}

func (e *Engine) leaveSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.startWaiting()
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, id string, chat backend.Chat) {
	prompt := PromptText(chat)
	usage := e.readPrompt(prompt)
	if !sleep(r.Context(), time.Duration(usage.PromptTokens-usage.CachedTokens)*e.cfg.PromptTime/1000) {
		e.countCancelled()
		return
	}
	total := AnswerLength(prompt, chat.MaxTokens)
	first := 0
	if chat.Resume != nil {
		first = chat.Resume.Tokens
		e.countResumed()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := first; i < total; i++ {
		if !sleep(r.Context(), e.cfg.TokenTime) {
			e.countCancelled()
			return
		}
		e.progress(id, i+1)
		if !writeChunk(w, backend.Chunk{
			Attempt: id,
			Index:   i,
			Text:    AnswerToken(prompt, i),
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
	e.finish(id, total-first)
	writeChunk(w, backend.Chunk{
		Attempt:      id,
		Index:        total,
		FinishReason: reason,
		Usage:        &usage,
	})
}

// PromptText joins a chat's messages.
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

// PromptTokens counts a prompt as the stand-in does: a token for each four bytes.
func PromptTokens(prompt string) int {
	return (len(prompt) + 3) / 4
}

// AnswerLength returns how many tokens the answer to a prompt has. A prompt that
// holds "length=N" asks for N; another gets a length that depends on its text.
func AnswerLength(prompt string, maxTokens fleet.Tokens) int {
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

// AnswerToken returns one token of the answer to a prompt. Every engine gives the
// same, so that an answer can be checked from outside.
func AnswerToken(prompt string, i int) string {
	sum := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return fmt.Sprintf("w%d.%x ", i, sum&0xffff)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, maxTokens fleet.Tokens) string {
	var b strings.Builder
	for i := range AnswerLength(prompt, maxTokens) {
		b.WriteString(AnswerToken(prompt, i))
	}
	return b.String()
}

// readPrompt takes the prompt into the prefix cache and tells what was there.
func (e *Engine) readPrompt(prompt string) backend.Usage {
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
			e.event(hash, true)
		}
		e.clock++
		e.cache[hash] = e.clock
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
		oldest, at := uint64(0), uint64(0)
		for hash, used := range e.cache {
			if at == 0 || used < at {
				oldest, at = hash, used
			}
		}
		delete(e.cache, oldest)
		e.event(oldest, false)
	}
}

func (e *Engine) event(hash uint64, kept bool) {
	e.events = append(e.events, backend.CacheEvent{
		Prefix: hash,
		Kept:   kept,
	})
}

// cacheEvents gives out the events late, in small batches, and loses some.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := backend.CacheEvents{Next: after}
	for i := after; i < uint64(len(e.events)) && len(answer.Events) < 256; i++ {
		answer.Next = i + 1
		if e.cfg.LoseCacheEvents > 0 && i%e.cfg.LoseCacheEvents == 0 {
			answer.Gap = true
			continue
		}
		answer.Events = append(answer.Events, e.events[i])
	}
	writeJSON(w, answer)
}

// load returns a report that is LoadLag old.
func (e *Engine) load() backend.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads = append(e.loads, loadSample{
		at: now,
		load: backend.Load{
			Active: e.active,
			Queued: len(e.waiting),
		},
	})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.cfg.LoadLag {
		e.loads = e.loads[1:]
	}
	report := e.loads[0].load
	report.AgeMillis = now.Sub(e.loads[0].at).Milliseconds()
	report.Draining = e.leaving
	return report
}

func (e *Engine) answerAttempt(w http.ResponseWriter, id string) {
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

func (e *Engine) progress(id string, tokens int) {
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

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	order := backend.Order{}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksOrders && order.Fence.Less(e.fence) {
		e.stats.StaleOrders++
		http.Error(w, "old fence", http.StatusConflict)
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

func (e *Engine) answerLoaded(w http.ResponseWriter) {
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
