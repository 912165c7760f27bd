// Package caller is a client of the callers' interface: it asks which entry nodes
// to use, keeps the answer for its time to live, and repeats what may be repeated
// under the same request id.
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

// Bounds of the client's retries.
const (
	defaultAttempts = 5
	dialTimeout     = time.Second
	firstPause      = 100 * time.Millisecond
	// headerTimeout is how long a response may take to begin before another
	// node is asked under the same id.
	headerTimeout = 20 * time.Second
	// silence is how long a stream may be silent before the caller gives up on
	// the node.
	silence = 15 * time.Second
)

// Config sets up a Client.
type Config struct {
	// Seeds are callers' addresses of some nodes.
	Seeds []string
	Key   string
	// Attempts bounds the tries of one request; 0 means 5.
	Attempts int
	// DataCentre says where the caller is; it may be empty.
	DataCentre fleet.DataCentre
}

// Client talks to a fleet. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu      sync.Mutex
	entries []directory.Entry
	until   time.Time
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

// RefusalError is a refusal by a node.
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

// ErrBroken means that an answer broke off.
var ErrBroken = eris.New("the answer broke off")

// Entries returns the entry nodes to use, the first first, from memory while the
// last answer lives.
func (c *Client) Entries(ctx context.Context) ([]directory.Entry, error) {
	c.mu.Lock()
	entries, until := c.entries, c.until
	c.mu.Unlock()
	if len(entries) > 0 && time.Now().Before(until) {
		return entries, nil
	}
	seeds := c.cfg.Seeds
	for _, e := range entries {
		seeds = append(seeds[:len(seeds):len(seeds)], e.Address.String())
	}
	var last error
	for _, seed := range seeds {
		fresh, err := c.fetchEntries(ctx, seed)
		if err == nil && len(fresh) > 0 {
			return fresh, nil
		}
		if err != nil {
			last = err
		}
	}
	return nil, eris.Wrapf(ErrBroken, "no node of %v told the entries: %v", seeds, last)
}

func (c *Client) fetchEntries(ctx context.Context, seed string) ([]directory.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/v1/entries?dataCentre="+string(c.cfg.DataCentre), nil)
	if err != nil {
		return nil, eris.Wrapf(err, "ask %s for the entries", seed)
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "ask %s for the entries", seed)
	}
	defer func() { _ = response.Body.Close() }()
	body := struct {
		Entries    []directory.Entry `json:"entries"`
		TTLSeconds int64             `json:"ttlSeconds"`
	}{}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, eris.Wrapf(err, "read the entries of %s", seed)
	}
	c.mu.Lock()
	c.entries = body.Entries
	c.until = time.Now().Add(time.Duration(body.TTLSeconds) * time.Second)
	c.mu.Unlock()
	return body.Entries, nil
}

// Chat is one chat request.
type Chat struct {
	ID        fleet.RequestID
	Model     string
	Prompt    string
	MaxTokens fleet.Tokens
	Class     fleet.Class
	// OnToken hears each token as it comes; a retry begins the answer anew.
	OnToken func(text string)
}

// Answer is a whole answer.
type Answer struct {
	Text   string
	Billed fleet.Tokens
	// BilledBefore says that an earlier attempt was billed.
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

// Chat sends a chat request and reads its answer as a stream, over as many
// attempts as it takes. The error is a *Refused where a node refused.
func (c *Client) Chat(ctx context.Context, chat Chat) (Answer, error) {
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
		return Answer{}, eris.Wrap(err, "encode the request")
	}
	started := time.Now()
	answer := Answer{}
	err = c.retry(ctx, func(ctx context.Context, entry string, attempt int) error {
		answer = Answer{
			Entry:    entry,
			Attempts: attempt,
		}
		return c.chatOnce(ctx, entry, chat, body, &answer, started)
	})
	answer.Total = time.Since(started)
	return answer, err
}

// retry tries the entries in order, and again after a pause, while the error may
// be cured by that.
func (c *Client) retry(ctx context.Context, try func(ctx context.Context, entry string, attempt int) error) error {
	pause := firstPause
	var last error
	for attempt := 1; attempt <= c.cfg.Attempts && ctx.Err() == nil; attempt++ {
		entries, err := c.Entries(ctx)
		if err == nil {
			entry := entries[(attempt-1)%len(entries)].Address.String()
			err = try(ctx, entry, attempt)
		}
		if err == nil {
			return nil
		}
		last = err
		wait := pause
		refused := (*RefusalError)(nil)
		if eris.As(err, &refused) {
			if refused.RetryAfterMillis == 0 {
				return err
			}
			wait = max(wait, time.Duration(refused.RetryAfterMillis)*time.Millisecond)
		}
		if attempt == c.cfg.Attempts {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		pause *= 2
	}
	return last
}

func (c *Client) post(ctx context.Context, entry, path string, id fleet.RequestID, class fleet.Class, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "ask %s", entry)
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header["idempotency-key"] = []string{id.String()}
	if class != "" {
		request.Header.Set("X-Class", string(class))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrapf(ErrBroken, "ask %s: %v", entry, err)
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
		return eris.Wrapf(ErrBroken, "read the refusal of %s: %v", entry, err)
	}
	if refused := parseRefusal(entry, text); refused != nil {
		refused.Status = response.StatusCode
		return refused
	}
	return eris.Wrapf(ErrBroken, "%s answered status %d: %s", entry, response.StatusCode, text)
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

// streamEvent is one event of a streamed answer.
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

func (c *Client) chatOnce(ctx context.Context, entry string, chat Chat, body []byte, answer *Answer, started time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := c.post(ctx, entry, "/v1/chat/completions", chat.ID, chat.Class, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	var text strings.Builder
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return eris.Wrapf(ErrBroken, "%s: %v", entry, err)
		}
		watchdog.Reset(silence)
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			answer.Text = text.String()
			return nil
		}
		if refused := parseRefusal(entry, data); refused != nil {
			return refused
		}
		if err := readEvent(data, chat, &text, answer, started); err != nil {
			return eris.Wrapf(ErrBroken, "%s: %v", entry, err)
		}
	}
}

func readEvent(data []byte, chat Chat, text *strings.Builder, answer *Answer, started time.Time) error {
	e := streamEvent{}
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Bill != nil {
		answer.Billed = e.Bill.BilledTokens
		answer.BilledBefore = e.Bill.BilledBefore
	}
	for _, choice := range e.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		if answer.FirstToken == 0 {
			answer.FirstToken = time.Since(started)
		}
		text.WriteString(choice.Delta.Content)
		if chat.OnToken != nil {
			chat.OnToken(choice.Delta.Content)
		}
	}
	return nil
}

// Call is one POST to a plain service.
type Call struct {
	ID      fleet.RequestID
	Service fleet.ServiceID
	Path    string
	Body    []byte
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	Status   int
	Body     []byte
	Replayed bool
	Entry    string
	Attempts int
	Total    time.Duration
}

// Call calls a plain service and repeats the call, under the same id, while its
// outcome is not known.
func (c *Client) Call(ctx context.Context, call Call) (CallAnswer, error) {
	started := time.Now()
	answer := CallAnswer{}
	err := c.retry(ctx, func(ctx context.Context, entry string, attempt int) error {
		response, err := c.post(ctx, entry, "/v1/services/"+string(call.Service)+call.Path, call.ID, "", call.Body)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return eris.Wrapf(ErrBroken, "%s: %v", entry, err)
		}
		answer = CallAnswer{
			Status:   response.StatusCode,
			Body:     body,
			Replayed: response.Header.Get("X-Replayed") == "true",
			Entry:    entry,
			Attempts: attempt,
		}
		return nil
	})
	answer.Total = time.Since(started)
	return answer, err
}
