// Package backend talks to the backend servers: model engines and plain services.
// docs/BACKENDS.md describes the protocol that engines are met through.
package backend

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Headers of the engine protocol.
const (
	// HeaderAttempt carries the attempt's id, unique for each try of a
	// request. All that belongs to the attempt repeats it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderPriority carries the priority, 0 first.
	HeaderPriority = "X-Priority"
	// HeaderNotRun is "true" on a refusal of work that was not begun.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining is "true" where a server refuses because it is leaving.
	HeaderDraining = "X-Leaving"
)

// Chat is the usual chat completion request.
type Chat struct {
	Model     string       `json:"model"`
	Messages  []Message    `json:"messages"`
	MaxTokens fleet.Tokens `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens fleet.Tokens `json:"max_completion_tokens,omitempty"`
	Stream              bool         `json:"stream,omitempty"`
	Temperature         *float64     `json:"temperature,omitempty"`
	TopP                *float64     `json:"top_p,omitempty"`
	Seed                *int64       `json:"seed,omitempty"`
	Stop                []string     `json:"stop,omitempty"`
	User                string       `json:"user,omitempty"`
	// Resume asks the engine to go on behind what was delivered already.
	Resume *Resume `json:"resume,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Resume tells how much of an answer was delivered.
type Resume struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	// Attempt repeats HeaderAttempt.
	Attempt string `json:"attempt"`
	// Index numbers the answer's tokens from 0. The closing chunk, which has
	// Usage, carries the number of tokens.
	Index        int    `json:"index"`
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finishReason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     fleet.Tokens `json:"promptTokens"`
	CompletionTokens fleet.Tokens `json:"completionTokens"`
	CachedTokens     fleet.Tokens `json:"cachedTokens"`
}

// Load is an engine's or service's load report.
type Load struct {
	Active    int   `json:"active"`
	Queued    int   `json:"queued"`
	AgeMillis int64 `json:"ageMillis"`
	Draining  bool  `json:"leaving"`
}

// AttemptState is what an engine says of an attempt.
type AttemptState struct {
	Known    bool `json:"known"`
	Tokens   int  `json:"tokens"`
	Finished bool `json:"finished"`
}

// CacheEvents is a batch of late word on an engine's prefix cache. Gap tells that
// events before it are lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
}

// CacheEvent tells that a prefix was kept or dropped.
type CacheEvent struct {
	Prefix uint64 `json:"prefix"`
	Kept   bool   `json:"kept"`
}

// Fence orders the orders: a higher term goes before a lower one, then the
// sequence counts.
type Fence struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f was given before g.
func (f Fence) Less(g Fence) bool {
	return f.Term < g.Term || f.Term == g.Term && f.Sequence < g.Sequence
}

// OrderAction is what an order asks for.
type OrderAction string

// The actions.
const (
	ActionLoadModel   OrderAction = "loadModel"
	ActionLoadAdapter OrderAction = "loadAdapter"
	ActionUnload      OrderAction = "unload"
)

// Order asks an engine to change what it has loaded.
type Order struct {
	Fence   Fence           `json:"fence"`
	Action  OrderAction     `json:"action"`
	Model   fleet.ModelID   `json:"model"`
	Adapter fleet.AdapterID `json:"adapter,omitempty"`
	Version string          `json:"version"`
	// NotAfter is the wall-clock time after which the engine must not begin.
	NotAfter fleet.UnixMillis `json:"notAfter"`
}

// Loaded lists what an engine has loaded, by "model" or "model:adapter".
type Loaded struct {
	Versions []LoadedVersion `json:"versions"`
	Fence    Fence           `json:"fence"`
}

// LoadedVersion is one loaded model or adapter.
type LoadedVersion struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Errors of a backend server. They are wrapped with the step and the server.
var (
	// ErrNotRun means that the server certainly did not begin the work.
	ErrNotRun = eris.New("not run")
	// ErrBusy is ErrNotRun for lack of room.
	ErrBusy = eris.New("server is full")
	// ErrDraining is ErrNotRun because the server is leaving.
	ErrDraining = eris.New("server is leaving")
	// ErrInterrupted means that the answer broke off or never came.
	ErrInterrupted = eris.New("answer broke off")
	// ErrRejected means that the server found fault with the request.
	ErrRejected = eris.New("server rejected the request")
)

// Times of the connections to backend servers.
const (
	dialTimeout = time.Second
	// stallProbe is the silence on a stream after which the server is asked,
	// over another connection, how far it is.
	stallProbe   = 1500 * time.Millisecond
	probeTimeout = time.Second
)
