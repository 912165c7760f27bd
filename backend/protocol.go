// Package backend is the client of the backend servers: model engines and plain services.
// docs/BACKENDS.md describes the protocol between nodes and engines.
package backend

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Headers of the engine protocol.
const (
	// HeaderAttempt carries the id of one attempt of a request, which is unique for
	// each attempt. Each chunk of the response repeats it.
	HeaderAttempt = "X-Attempt-Id"
	// headerRequestID carries the request's id in a call of a service. A refusal may repeat it, as one
	// of an engine may repeat HeaderAttempt.
	headerRequestID = "idempotency-key"
	// HeaderPriority carries the request's priority; 0 is the most urgent.
	HeaderPriority = "X-Priority"
	// HeaderNotRun is "true" if the server refused the request without starting it.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining is "true" if the server refused the request because it is
	// draining.
	HeaderDraining = "X-Leaving"
)

// Chat is a chat completion request.
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
	// Resume asks the engine to continue after the output that was delivered by
	// earlier attempts.
	Resume *Resume `json:"resume,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Resume is the part of the output that was delivered already.
type Resume struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	// Attempt repeats HeaderAttempt.
	Attempt string `json:"attempt"`
	// Index is the token's index in the response, from 0. In the final chunk, which
	// has Usage, it is the number of tokens.
	Index        int    `json:"index"`
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finishReason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
}

// Usage counts the tokens of one response.
type Usage struct {
	PromptTokens     fleet.Tokens `json:"promptTokens"`
	CompletionTokens fleet.Tokens `json:"completionTokens"`
	CachedTokens     fleet.Tokens `json:"cachedTokens"`
}

// Load is the load report of an engine or a plain service's server.
type Load struct {
	Active    int   `json:"active"`
	Queued    int   `json:"queued"`
	AgeMillis int64 `json:"ageMillis"`
	Draining  bool  `json:"leaving"`
}

// AttemptState is an engine's report on the progress of an attempt.
type AttemptState struct {
	Known    bool `json:"known"`
	Tokens   int  `json:"tokens"`
	Finished bool `json:"finished"`
}

// CacheEvents is a batch of events of an engine's prefix cache. It may arrive late. Gap
// means that events before the batch were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
}

// CacheEvent reports that a prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Prefix uint64 `json:"prefix"`
	Kept   bool   `json:"kept"`
}

// Fence is the fencing token of an order. Fences are ordered by term, then by sequence;
// an order with a higher fence supersedes one with a lower fence.
type Fence struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f is older than g.
func (f Fence) Less(g Fence) bool {
	return f.Term < g.Term || f.Term == g.Term && f.Sequence < g.Sequence
}

// OrderAction is the action that an order requests.
type OrderAction string

// Actions of an order.
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
	// NotAfter is the wall-clock time after which the engine must not start the
	// action.
	NotAfter fleet.UnixMillis `json:"notAfter"`
}

// Loaded lists the models and adapters that an engine has loaded, and the highest
// fence of the orders that it accepted.
type Loaded struct {
	Versions []LoadedVersion `json:"versions"`
	Fence    Fence           `json:"fence"`
}

// LoadedVersion is one loaded model or adapter. Name is "model" or "model:adapter".
type LoadedVersion struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Errors of requests to a backend server. They are returned wrapped with the server's
// id and the step that failed.
var (
	// ErrNotRun means that the server did not start the request, so that it is safe
	// to retry elsewhere.
	ErrNotRun = eris.New("request was not started")
	// ErrBusy means that the server did not start the request because it is at
	// capacity.
	ErrBusy = eris.New("server is at capacity")
	// ErrDraining means that the server did not start the request because it is
	// draining.
	ErrDraining = eris.New("server is draining")
	// ErrInterrupted means that the response was incomplete or missing, or had a
	// status that leaves open whether the request ran. The server may have run it.
	ErrInterrupted = eris.New("response is incomplete or missing")
	// ErrCrashed is the ErrInterrupted of a server that closed or reset the connection.
	ErrCrashed = fmt.Errorf("%w: the server closed the connection", ErrInterrupted)
	// ErrRejected means that the server responded with a 4xx status, since the request
	// is invalid.
	ErrRejected = eris.New("server rejected the request")
)

// Timeouts of connections to backend servers.
const (
	dialTimeout = time.Second
	// clientIdleProbe is the time without data after which a connection is probed.
	clientIdleProbe = 2 * time.Second
	// clientUserTimeout is the counterpart of tcpUserTimeout.
	clientUserTimeout = 4 * time.Second
	// stallProbeInterval is how long a stream may receive nothing until the server is
	// probed for the attempt's progress over another connection. While the stream
	// receives nothing, the probe is repeated at this interval.
	stallProbeInterval = 1500 * time.Millisecond
	probeTimeout       = time.Second
)

// ClosedByServer reports whether the cause of a failure is that the server closed or reset the
// connection, as a process that crashes does. A silent connection, a deadline and bytes that are no
// response are other failures.
func ClosedByServer(cause error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(cause, closed) {
			return true
		}
	}
	return false
}

// interrupted returns the kind of a failure after a request was sent.
func interrupted(cause error) error {
	if ClosedByServer(cause) {
		return ErrCrashed
	}
	return ErrInterrupted
}
