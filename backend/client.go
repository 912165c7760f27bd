package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 1 << 20

// Client talks to one backend server. It is safe for concurrent use.
type Client struct {
	id        fleet.BackendServerID
	base      string
	transport *http.Transport
	http      *http.Client
	// once makes a new connection for each call, for calls that may not be
	// repeated: a kept connection may have gone silent, which would leave
	// their outcome in doubt.
	once *http.Client
}

// NewClient returns a client of the server. Each server has connections of its
// own, so that all that are idle can be retired together.
func NewClient(server catalog.BackendServer) *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     2 * time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: TCPUserTimeout(3 * time.Second),
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{
		id:        server.ID,
		base:      "http://" + server.Address,
		transport: transport,
		http:      &http.Client{Transport: transport},
		once:      &http.Client{Transport: fresh},
	}
}

// TCPUserTimeout returns a socket control that ends a connection whose sent
// data is not acknowledged for so long. Without it the kernel goes on for about a
// quarter of an hour on a path that has lost track of the connection.
func TCPUserTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// CloseIdle ends the connections that are idle, because one to the same server
// was found silent.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}

// sent tells whether any byte of a request may have left.
type sent struct {
	wrote atomic.Bool
}

func (s *sent) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.wrote.Store(true) },
	})
}

// fail wraps an error of a request. Only a request that never got a connection is
// certainly not run.
func (c *Client) fail(step string, s *sent, err error) error {
	kind := ErrInterrupted
	if !s.wrote.Load() {
		kind = ErrNotRun
	}
	return eris.Wrapf(kind, "backend server %s: %s: %v", c.id, step, err)
}

// refusal reads a refusal's headers.
func (c *Client) refusal(step string, response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	_ = response.Body.Close()
	kind := ErrInterrupted
	switch {
	case response.Header.Get(HeaderDraining) == "true":
		kind = ErrDraining
	case response.Header.Get(HeaderNotRun) == "true":
		kind = ErrBusy
	case response.StatusCode >= 400 && response.StatusCode < 500:
		kind = ErrRejected
	}
	return eris.Wrapf(kind, "backend server %s: %s: status %d: %s", c.id, step, response.StatusCode, strings.TrimSpace(string(body)))
}

// Stream is an engine's answer as it comes.
type Stream struct {
	client  *Client
	attempt string
	cancel  context.CancelFunc
	body    io.ReadCloser
	chunks  chan Chunk
	err     error
	next    int
	wait    sync.WaitGroup
}

// Counters of what was dropped and of what was found silent.
var (
	// lateChunks counts chunks of another attempt, or delivered before.
	lateChunks    = expvar.NewInt("waxwingreel.backend.lateChunks")
	silentStreams = expvar.NewInt("waxwingreel.backend.silentStreams")
)

// StartStream sends a chat to an engine and returns its answer. The chat's Resume
// tells where to begin.
func (c *Client) StartStream(ctx context.Context, attempt string, priority int, chat Chat) (*Stream, error) {
	chat.Stream = true
	body, err := json.Marshal(chat)
	if err != nil {
		return nil, eris.Wrapf(ErrNotRun, "backend server %s: encode: %v", c.id, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	track := &sent{}
	request, err := http.NewRequestWithContext(track.trace(ctx), http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, eris.Wrapf(ErrNotRun, "backend server %s: %v", c.id, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderAttempt, attempt)
	request.Header.Set(HeaderPriority, strconv.Itoa(priority))
	response, err := c.doWithProbe(request, attempt, cancel)
	if err != nil {
		cancel()
		return nil, c.fail("start a stream", track, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, c.refusal("start a stream", response)
	}
	s := &Stream{
		client:  c,
		attempt: attempt,
		cancel:  cancel,
		body:    response.Body,
		chunks:  make(chan Chunk, 16),
	}
	if chat.Resume != nil {
		s.next = chat.Resume.Tokens
	}
	s.wait.Go(s.read)
	return s, nil
}

// doWithProbe sends a request. While no response comes, the server is asked now
// and then, over other connections, whether it knows the attempt; one that does
// not is given up, since the request was lost on the way.
func (c *Client) doWithProbe(request *http.Request, attempt string, cancel context.CancelFunc) (*http.Response, error) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		ticker := time.NewTicker(stallProbe)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				state, err := c.Probe(request.Context(), attempt)
				if err != nil || !state.Known || state.Tokens > 0 {
					c.CloseIdle()
					cancel()
					return
				}
			}
		}
	}()
	return c.http.Do(request)
}

// read parses the events until the stream ends.
func (s *Stream) read() {
	defer close(s.chunks)
	defer func() { _ = s.body.Close() }()
	reader := bufio.NewReaderSize(s.body, 8<<10)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			s.err = err
			return
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		chunk := Chunk{}
		if err := json.Unmarshal(data, &chunk); err != nil {
			s.err = eris.Wrap(err, "decode a chunk")
			return
		}
		s.chunks <- chunk
		if chunk.Usage != nil {
			return
		}
	}
}

// Next returns the next chunk in order. A chunk of another attempt, or one that
// was delivered before, is dropped. A stream that is silent is kept while the
// engine, asked over another connection, says that it has produced no more than
// was received.
func (s *Stream) Next(ctx context.Context) (Chunk, error) {
	timer := time.NewTimer(stallProbe)
	defer timer.Stop()
	for {
		select {
		case chunk, ok := <-s.chunks:
			if !ok {
				return Chunk{}, eris.Wrapf(ErrInterrupted, "backend server %s: read the stream: %v", s.client.id, s.err)
			}
			if s.fits(chunk) {
				return chunk, nil
			}
			if chunk.Attempt == s.attempt && chunk.Index > s.next {
				return Chunk{}, eris.Wrapf(ErrInterrupted, "backend server %s: token %d is missing", s.client.id, s.next)
			}
			lateChunks.Add(1)
		case <-timer.C:
			state, err := s.client.Probe(ctx, s.attempt)
			if err != nil || !state.Known || state.Finished || state.Tokens > s.next {
				silentStreams.Add(1)
				s.client.CloseIdle()
				return Chunk{}, eris.Wrapf(ErrInterrupted, "backend server %s: the stream is silent", s.client.id)
			}
			timer.Reset(stallProbe)
		case <-ctx.Done():
			return Chunk{}, eris.Wrapf(ctx.Err(), "backend server %s: read the stream", s.client.id)
		}
	}
}

func (s *Stream) fits(chunk Chunk) bool {
	if chunk.Attempt != s.attempt || chunk.Index != s.next {
		return false
	}
	if chunk.Usage == nil {
		s.next++
	}
	return true
}

// Close ends the stream. An engine cancels the work of a stream that is closed
// early.
func (s *Stream) Close() {
	s.cancel()
	go func() {
		for range s.chunks {
			continue
		}
	}()
	s.wait.Wait()
}

// Probe asks an engine how far an attempt is.
func (c *Client) Probe(ctx context.Context, attempt string) (AttemptState, error) {
	state := AttemptState{}
	err := c.get(ctx, "/v1/attempts/"+url.PathEscape(attempt), probeTimeout, &state)
	return state, err
}

// Load asks a server for its load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	load := Load{}
	err := c.get(ctx, "/v1/load", probeTimeout, &load)
	return load, err
}

// CacheEvents asks an engine for the events of its prefix cache.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	events := CacheEvents{}
	err := c.get(ctx, "/v1/cache/events?after="+strconv.FormatUint(after, 10), probeTimeout, &events)
	return events, err
}

// Loaded asks an engine what it has loaded.
func (c *Client) Loaded(ctx context.Context) (Loaded, error) {
	loaded := Loaded{}
	err := c.get(ctx, "/v1/loaded", probeTimeout, &loaded)
	return loaded, err
}

func (c *Client) get(ctx context.Context, path string, timeout time.Duration, value any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return eris.Wrapf(err, "backend server %s: get %s", c.id, path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "backend server %s: get %s", c.id, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("backend server %s: get %s: status %d", c.id, path, response.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(value), "backend server %s: get %s: decode", c.id, path)
}

// SendOrder sends an order to an engine. It reports false where the engine refuses the
// fence as old.
func (c *Client) SendOrder(ctx context.Context, order Order, timeout time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return false, eris.Wrapf(err, "backend server %s: encode an order", c.id)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return false, eris.Wrapf(err, "backend server %s: order", c.id)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, eris.Wrapf(err, "backend server %s: order", c.id)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusConflict:
		return false, nil
	}
	return false, eris.Errorf("backend server %s: order: status %d", c.id, response.StatusCode)
}

// Call is one call of a plain service.
type Call struct {
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	RequestID   fleet.RequestID
	Idempotent  bool
}

// Answer is a plain service's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do makes a call. ErrNotRun, ErrBusy and ErrLeaving mean that it was certainly not
// run; any other error leaves that open.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	track := &sent{}
	target := c.base + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(track.trace(ctx), call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, eris.Wrapf(ErrNotRun, "backend server %s: %v", c.id, err)
	}
	request.Header.Set("Content-Type", call.ContentType)
	// The transport takes a canonical Idempotency-Key as leave to send a
	// request again on its own. Written in lower case the header says the same
	// to the server and nothing to the transport.
	request.Header["idempotency-key"] = []string{call.RequestID.String()}
	client := c.once
	if call.Idempotent {
		client = c.http
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, c.fail("call", track, err)
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		return Answer{}, c.refusal("call", response)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, eris.Wrapf(ErrInterrupted, "backend server %s: read the answer: %v", c.id, err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, eris.Wrapf(ErrInterrupted, "backend server %s: the answer exceeds %d bytes", c.id, maxAnswerBytes)
	}
	return Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
