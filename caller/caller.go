// Package caller is a client of the fleet's caller API. It fetches the list of entry
// nodes, caches it for its time to live, and retries requests under the same request id.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/directory"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Limits and timeouts of the client's requests.
const (
	defaultAttempts = 5
	dialTimeout     = time.Second
	initialBackoff  = 100 * time.Millisecond
	// headerTimeout is how long to wait for response headers before the request is
	// sent to another node under the same id.
	headerTimeout = 20 * time.Second
	// idleTimeout is the maximum time without data on a stream; then the attempt is
	// cancelled.
	idleTimeout = 15 * time.Second
)

// Config configures a Client.
type Config struct {
	// Seeds are the caller API addresses of some nodes.
	Seeds []string
	Key   string
	// Attempts is the maximum number of attempts per request; 0 means 5.
	Attempts int
	// DataCentre is the location of the caller; it may be empty.
	DataCentre fleet.DataCentre
}

// Client sends requests to a fleet. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu        sync.Mutex
	entries   []directory.Entry
	expiresAt time.Time
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Attempts == 0 {
		cfg.Attempts = defaultAttempts
	}
	return &Client{
		cfg: cfg,
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost:   64,
			IdleConnTimeout:       10 * time.Second,
			ResponseHeaderTimeout: headerTimeout,
		}},
	}
}

// RefusalError is returned when a node refuses a request.
type RefusalError struct {
	Status           int             `json:"-"`
	Entry            string          `json:"-"`
	Type             string          `json:"type"`
	Message          string          `json:"message"`
	Hint             string          `json:"hint"`
	NotRun           bool            `json:"notRun"`
	Outcome          string          `json:"outcome"`
	RetryAfterMillis int64           `json:"retryAfterMillis"`
	RequestID        fleet.RequestID `json:"requestId"`
	BilledTokens     fleet.Tokens    `json:"billedTokens"`
}

// Error implements the error interface.
func (r *RefusalError) Error() string {
	text := fmt.Sprintf("node %s refused: %s: %s (not run: %v)", r.Entry, r.Type, r.Message, r.NotRun)
	if r.Hint != "" {
		text += "; hint: " + r.Hint
	}
	return text
}

// ErrInterrupted means that no complete response was received, so that the request's outcome
// may be unknown.
var ErrInterrupted = eris.New("no complete response was received")

// Entries returns the entry nodes to use in order of preference, from the cache until it
// expires. Then it fetches the list from the first of the seeds and the cached entry nodes that
// returns one.
func (c *Client) Entries(ctx context.Context) ([]directory.Entry, error) {
	c.mu.Lock()
	entries, expiresAt := c.entries, c.expiresAt
	c.mu.Unlock()
	if len(entries) > 0 && time.Now().Before(expiresAt) {
		return entries, nil
	}
	seeds := c.cfg.Seeds
	for _, e := range entries {
		seeds = append(seeds[:len(seeds):len(seeds)], e.Address.String())
	}
	var lastErr error
	for _, seed := range seeds {
		fetched, err := c.fetchEntries(ctx, seed)
		if err == nil && len(fetched) > 0 {
			return fetched, nil
		}
		if err != nil {
			lastErr = err
		}
	}
	return nil, eris.Wrapf(ErrInterrupted, "fetch the list of entry nodes from %v: %v", seeds, lastErr)
}

func (c *Client) fetchEntries(ctx context.Context, seed string) ([]directory.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/v1/entries?dataCentre="+string(c.cfg.DataCentre), nil)
	if err != nil {
		return nil, eris.Wrapf(err, "create a request to %s for the entry nodes", seed)
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "request the entry nodes from %s", seed)
	}
	defer func() { _ = response.Body.Close() }()
	body := struct {
		Entries    []directory.Entry `json:"entries"`
		TTLSeconds int64             `json:"ttlSeconds"`
	}{}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, eris.Wrapf(err, "decode the entry nodes from %s", seed)
	}
	c.mu.Lock()
	c.entries = body.Entries
	c.expiresAt = time.Now().Add(time.Duration(body.TTLSeconds) * time.Second)
	c.mu.Unlock()
	return body.Entries, nil
}

// Chat is a chat request.
type Chat struct {
	ID        fleet.RequestID
	Model     string
	Prompt    string
	MaxTokens fleet.Tokens
	Class     fleet.Class
	// OnToken is called with each token as it arrives. A retry starts again with the
	// first token.
	OnToken func(text string)
}

// ChatResponse is the complete response to a chat request.
type ChatResponse struct {
	Text   string
	Billed fleet.Tokens
	// BilledBefore is true if an earlier attempt was billed.
	BilledBefore bool
	Entry        string
	Attempts     int
	FirstToken   time.Duration
	Total        time.Duration
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens fleet.Tokens  `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat sends a chat request and reads its response as a stream, with retries. The error is a
// *RefusalError if a node refused the request.
func (c *Client) Chat(ctx context.Context, chat Chat) (ChatResponse, error) {
	body, err := json.Marshal(chatBody{
		Model: chat.Model,
		Messages: []chatMessage{{
			Role:    "user",
			Content: chat.Prompt,
		}},
		MaxTokens: chat.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		return ChatResponse{}, eris.Wrap(err, "encode the request")
	}
	started := time.Now()
	chatResponse := ChatResponse{}
	err = c.retry(ctx, func(ctx context.Context, entry string, attempt int) error {
		chatResponse = ChatResponse{
			Entry:    entry,
			Attempts: attempt,
		}
		return c.chatOnce(ctx, entry, chat, body, &chatResponse, started)
	})
	chatResponse.Total = time.Since(started)
	return chatResponse, err
}

// retry calls try with one entry node after another, with exponential backoff, until it
// succeeds, a node refuses without a retry delay, or the attempts are used up.
func (c *Client) retry(ctx context.Context, try func(ctx context.Context, entry string, attempt int) error) error {
	backoff := initialBackoff
	var lastErr error
	for attempt := 1; attempt <= c.cfg.Attempts && ctx.Err() == nil; attempt++ {
		entries, err := c.Entries(ctx)
		if err == nil {
			entry := entries[(attempt-1)%len(entries)].Address.String()
			err = try(ctx, entry, attempt)
		}
		if err == nil {
			return nil
		}
		lastErr = err
		wait := backoff
		refusal := (*RefusalError)(nil)
		if eris.As(err, &refusal) {
			if refusal.RetryAfterMillis == 0 {
				return err
			}
			wait = max(wait, time.Duration(refusal.RetryAfterMillis)*time.Millisecond)
		}
		if attempt == c.cfg.Attempts {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		backoff *= 2
	}
	return lastErr
}

func (c *Client) post(ctx context.Context, entry, path string, id fleet.RequestID, class fleet.Class, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "create a request to %s", entry)
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header["idempotency-key"] = []string{id.String()}
	if class != "" {
		request.Header.Set("X-Class", string(class))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrapf(ErrInterrupted, "send the request to %s: %v", entry, err)
	}
	if response.StatusCode >= 400 {
		defer func() { _ = response.Body.Close() }()
		return nil, readRefusal(entry, response)
	}
	return response, nil
}

func readRefusal(entry string, response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	if err != nil {
		return eris.Wrapf(ErrInterrupted, "read the error response of %s: %v", entry, err)
	}
	if refusal := parseRefusal(entry, text); refusal != nil {
		refusal.Status = response.StatusCode
		return refusal
	}
	return eris.Wrapf(ErrInterrupted, "%s responded with status %d: %s", entry, response.StatusCode, text)
}

func parseRefusal(entry string, text []byte) *RefusalError {
	body := struct {
		Error *RefusalError `json:"error"`
	}{}
	if json.Unmarshal(text, &body) != nil || body.Error == nil || body.Error.Type == "" {
		return nil
	}
	body.Error.Entry = entry
	return body.Error
}

// streamEvent is an event of a streamed response.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Bill *struct {
		BilledTokens fleet.Tokens `json:"billedTokens"`
		BilledBefore bool         `json:"billedBefore"`
	} `json:"waxwingreel"`
}

func (c *Client) chatOnce(ctx context.Context, entry string, chat Chat, body []byte, chatResponse *ChatResponse, started time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := c.post(ctx, entry, "/v1/chat/completions", chat.ID, chat.Class, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	var text strings.Builder
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return eris.Wrapf(ErrInterrupted, "read the stream of %s: %v", entry, err)
		}
		idleTimer.Reset(idleTimeout)
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			chatResponse.Text = text.String()
			return nil
		}
		if refusal := parseRefusal(entry, data); refusal != nil {
			return refusal
		}
		if err := readEvent(data, chat, &text, chatResponse, started); err != nil {
			return eris.Wrapf(ErrInterrupted, "decode a stream event of %s: %v", entry, err)
		}
	}
}

func readEvent(data []byte, chat Chat, text *strings.Builder, chatResponse *ChatResponse, started time.Time) error {
	e := streamEvent{}
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Bill != nil {
		chatResponse.Billed = e.Bill.BilledTokens
		chatResponse.BilledBefore = e.Bill.BilledBefore
	}
	for _, choice := range e.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		if chatResponse.FirstToken == 0 {
			chatResponse.FirstToken = time.Since(started)
		}
		text.WriteString(choice.Delta.Content)
		if chat.OnToken != nil {
			chat.OnToken(choice.Delta.Content)
		}
	}
	return nil
}

// Call is a POST request to a plain service.
type Call struct {
	ID      fleet.RequestID
	Service fleet.ServiceID
	Path    string
	Body    []byte
}

// CallResponse is the response of a plain service.
type CallResponse struct {
	Status   int
	Body     []byte
	Replayed bool
	Entry    string
	Attempts int
	Total    time.Duration
}

// Call calls a plain service. It retries under the same request id if the outcome is unknown
// or the refusal names a retry delay.
func (c *Client) Call(ctx context.Context, call Call) (CallResponse, error) {
	started := time.Now()
	callResponse := CallResponse{}
	err := c.retry(ctx, func(ctx context.Context, entry string, attempt int) error {
		response, err := c.post(ctx, entry, "/v1/services/"+string(call.Service)+call.Path, call.ID, "", call.Body)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return eris.Wrapf(ErrInterrupted, "read the response of %s: %v", entry, err)
		}
		callResponse = CallResponse{
			Status:   response.StatusCode,
			Body:     body,
			Replayed: response.Header.Get("X-Replayed") == "true",
			Entry:    entry,
			Attempts: attempt,
		}
		return nil
	})
	callResponse.Total = time.Since(started)
	return callResponse, err
}
