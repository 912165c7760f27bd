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

// maxResponseBytes limits the response body of a plain service.
const maxResponseBytes = 1 << 20

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	id        fleet.BackendServerID
	base      string
	transport *http.Transport
	http      *http.Client
	// noReuseHTTP opens a new connection for each call. It is used for calls that
	// are not idempotent: an idle connection may be broken unnoticed, and a call
	// sent over it would have an unknown outcome.
	noReuseHTTP *http.Client
}

// NewClient returns a client for the server. Each client has its own connection pool,
// so that all idle connections to one server can be closed together.
func NewClient(server catalog.BackendServer) *Client {
	transport := &http.Transport{
		DialContext:            newDialer().DialContext,
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: DefaultLimits.HeadBytes,
	}
	noReuse := transport.Clone()
	noReuse.DisableKeepAlives = true
	return &Client{
		id:          server.ID,
		base:        "http://" + server.Address,
		transport:   transport,
		http:        &http.Client{Transport: transport},
		noReuseHTTP: &http.Client{Transport: noReuse},
	}
}

// newDialer returns the dialer of a Client.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     2 * time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: TCPUserTimeout(clientUserTimeout),
	}
}

// TCPUserTimeout returns a socket control function that sets TCP_USER_TIMEOUT: the
// kernel closes the connection when sent data stays unacknowledged for longer than
// limit. By default the kernel retransmits for about 15 minutes, for instance when a
// device on the path has lost its state of the connection.
func TCPUserTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// CloseIdle closes the idle connections. It is called when a connection to the same
// server has stopped responding, since the idle ones may be broken as well.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}

// sendTracker records whether a request got a connection, so that part of it may have
// been sent.
type sendTracker struct {
	connected atomic.Bool
	// reused is set if the connection had another request before.
	reused atomic.Bool
}

func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.connected.Store(true)
			s.reused.Store(info.Reused)
		},
	})
}

// owns reports whether a refusal is that of the request with an id, which the header name repeats. A
// server may write an earlier refusal once more on a connection that is used again.
func (s *sendTracker) owns(response *http.Response, name, id string) bool {
	echoed := response.Header.Get(name)
	return echoed == id || echoed == "" && !s.reused.Load()
}

// requestError wraps the error of a request that got no response. Only a request that
// got no connection is known not to have run.
func (c *Client) requestError(step string, tracker *sendTracker, err error) error {
	kind := interrupted(err)
	if !tracker.connected.Load() {
		kind = ErrNotRun
	}
	return eris.Wrapf(kind, "backend server %s: %s: %v", c.id, step, err)
}

// statusError returns the error for a response that refuses the request, classified by
// its headers and status, with the start of its body as the cause. If the refusal may be another
// request's, owned is false, and the request may run.
func (c *Client) statusError(step string, response *http.Response, owned bool) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	_ = response.Body.Close()
	kind := ErrInterrupted
	switch {
	case !owned:
	case response.Header.Get(HeaderDraining) == "true":
		kind = ErrDraining
	case response.Header.Get(HeaderNotRun) == "true":
		kind = ErrBusy
	case response.StatusCode >= 400 && response.StatusCode < 500:
		kind = ErrRejected
	}
	return eris.Wrapf(kind, "backend server %s: %s: status %d: %s", c.id, step, response.StatusCode, strings.TrimSpace(string(body)))
}

// Stream is the streamed response of an engine.
type Stream struct {
	client    *Client
	attempt   string
	cancel    context.CancelFunc
	body      io.ReadCloser
	chunks    chan Chunk
	err       error
	nextIndex int
	wait      sync.WaitGroup
}

// Counters of dropped chunks and of streams that stopped responding.
var (
	// lateChunks counts dropped chunks: of another attempt, or delivered already.
	lateChunks          = expvar.NewInt("waxwingreel.backend.lateChunks")
	unresponsiveStreams = expvar.NewInt("waxwingreel.backend.silentStreams")
)

// StartStream sends a chat to an engine and returns the streamed response. If the chat
// has a Resume, the stream starts after the output that was delivered already.
func (c *Client) StartStream(ctx context.Context, attempt string, priority int, chat Chat) (*Stream, error) {
	chat.Stream = true
	body, err := json.Marshal(chat)
	if err != nil {
		return nil, eris.Wrapf(ErrNotRun, "backend server %s: encode the chat: %v", c.id, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	tracker := &sendTracker{}
	request, err := http.NewRequestWithContext(tracker.trace(ctx), http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, eris.Wrapf(ErrNotRun, "backend server %s: create the chat request: %v", c.id, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderAttempt, attempt)
	request.Header.Set(HeaderPriority, strconv.Itoa(priority))
	response, err := c.doWithProbe(request, attempt, cancel)
	if err != nil {
		cancel()
		return nil, c.requestError("start the stream", tracker, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, c.statusError("start the stream", response, c.ownsRefusal(ctx, tracker, response, attempt))
	}
	s := &Stream{
		client:  c,
		attempt: attempt,
		cancel:  cancel,
		body:    response.Body,
		chunks:  make(chan Chunk, 16),
	}
	if chat.Resume != nil {
		s.nextIndex = chat.Resume.Tokens
	}
	s.wait.Go(s.read)
	return s, nil
}

// ownsRefusal reports whether a refusal is that of an attempt. If the refusal does not say so, the engine
// is asked whether it knows the attempt.
func (c *Client) ownsRefusal(ctx context.Context, tracker *sendTracker, response *http.Response, attempt string) bool {
	if tracker.owns(response, HeaderAttempt, attempt) {
		return true
	}
	state, err := c.Probe(ctx, attempt)
	return err == nil && !state.Known
}

// doWithProbe sends a request. Until the response header arrives, it probes the server
// at an interval over other connections. It cancels the request if the probe fails, if
// the server does not know the attempt, since then the request was lost on the way, or
// if the server has produced tokens already, since then the response was lost.
func (c *Client) doWithProbe(request *http.Request, attempt string, cancel context.CancelFunc) (*http.Response, error) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		ticker := time.NewTicker(stallProbeInterval)
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

// read parses the server-sent events until the stream ends.
func (s *Stream) read() {
	defer close(s.chunks)
	defer func() { _ = s.body.Close() }()
	reader := bufio.NewReaderSize(s.body, 8<<10)
	for {
		line, err := readLine(reader)
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
			s.err = eris.Wrap(err, "decode a chunk of the stream")
			return
		}
		s.chunks <- chunk
		if chunk.Usage != nil {
			return
		}
	}
}

// readLine reads a line of at most the size of an event.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case int64(len(line)) > DefaultLimits.EventBytes:
			return nil, &OversizeError{
				Part:  PartEvent,
				Limit: DefaultLimits.EventBytes,
			}
		}
	}
}

// Next returns the next chunk in order. It drops chunks of other attempts and chunks
// that were delivered already. If nothing arrives, it probes the engine over another
// connection and keeps waiting only while the engine reports the attempt as unfinished
// with no more tokens than were received.
func (s *Stream) Next(ctx context.Context) (Chunk, error) {
	timer := time.NewTimer(stallProbeInterval)
	defer timer.Stop()
	for {
		select {
		case chunk, ok := <-s.chunks:
			if !ok {
				return Chunk{}, eris.Wrapf(interrupted(s.err), "backend server %s: read the stream: %v", s.client.id, s.err)
			}
			if s.accept(chunk) {
				return chunk, nil
			}
			if chunk.Attempt == s.attempt && chunk.Index > s.nextIndex {
				return Chunk{}, eris.Wrapf(ErrInterrupted, "backend server %s: read the stream: token %d is missing", s.client.id, s.nextIndex)
			}
			lateChunks.Add(1)
		case <-timer.C:
			state, err := s.client.Probe(ctx, s.attempt)
			if err != nil || !state.Known || state.Finished || state.Tokens > s.nextIndex {
				unresponsiveStreams.Add(1)
				s.client.CloseIdle()
				return Chunk{}, eris.Wrapf(ErrInterrupted, "backend server %s: read the stream: stalled, and the probe did not confirm that the attempt waits for its next token", s.client.id)
			}
			timer.Reset(stallProbeInterval)
		case <-ctx.Done():
			return Chunk{}, eris.Wrapf(ctx.Err(), "backend server %s: read the stream", s.client.id)
		}
	}
}

// accept reports whether the chunk is the next of this attempt, and advances the
// expected index if it holds a token.
func (s *Stream) accept(chunk Chunk) bool {
	if chunk.Attempt != s.attempt || chunk.Index != s.nextIndex {
		return false
	}
	if chunk.Usage == nil {
		s.nextIndex++
	}
	return true
}

// Close closes the stream. If it has not ended yet, the engine cancels the attempt.
func (s *Stream) Close() {
	s.cancel()
	go func() {
		for range s.chunks {
			continue
		}
	}()
	s.wait.Wait()
}

// Probe asks an engine for the progress of an attempt.
func (c *Client) Probe(ctx context.Context, attempt string) (AttemptState, error) {
	state := AttemptState{}
	err := c.get(ctx, "/v1/attempts/"+url.PathEscape(attempt), probeTimeout, &state)
	return state, err
}

// Load asks a server for its load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	load := Load{}
	err := c.get(ctx, "/v1/load", probeTimeout, &load)
	return load, err
}

// CacheEvents asks an engine for the events of its prefix cache that follow the first after
// events. Pass the Next of the previous batch, or 0 at first.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	events := CacheEvents{}
	err := c.get(ctx, "/v1/cache/events?after="+strconv.FormatUint(after, 10), probeTimeout, &events)
	return events, err
}

// Loaded asks an engine which models and adapters it has loaded.
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
	return eris.Wrapf(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value), "backend server %s: get %s: decode", c.id, path)
}

// SendOrder sends an order to an engine. It returns false if the engine refuses the
// order because its fence is outdated.
func (c *Client) SendOrder(ctx context.Context, order Order, timeout time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return false, eris.Wrapf(err, "backend server %s: encode the order", c.id)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return false, eris.Wrapf(err, "backend server %s: send the order", c.id)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, eris.Wrapf(err, "backend server %s: send the order", c.id)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusConflict:
		return false, nil
	}
	return false, eris.Errorf("backend server %s: send the order: status %d", c.id, response.StatusCode)
}

// Call is a call of a plain service.
type Call struct {
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	RequestID   fleet.RequestID
	Idempotent  bool
}

// CallResponse is the response of a plain service.
type CallResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do makes a call. ErrNotRun, ErrBusy and ErrDraining mean that the call did not run.
// After any other error it may have run.
func (c *Client) Do(ctx context.Context, call Call) (CallResponse, error) {
	tracker := &sendTracker{}
	target := c.base + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(tracker.trace(ctx), call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return CallResponse{}, eris.Wrapf(ErrNotRun, "backend server %s: create the call: %v", c.id, err)
	}
	request.Header.Set("Content-Type", call.ContentType)
	// http.Transport retries a request that has an Idempotency-Key header on its
	// own. It looks for the canonical spelling only, so the lower-case name prevents
	// the retry, while servers ignore the case.
	request.Header[headerRequestID] = []string{call.RequestID.String()}
	client := c.noReuseHTTP
	if call.Idempotent {
		client = c.http
	}
	response, err := client.Do(request)
	if err != nil {
		return CallResponse{}, c.requestError("call", tracker, err)
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		return CallResponse{}, c.statusError("call", response, tracker.owns(response, headerRequestID, call.RequestID.String()))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return CallResponse{}, eris.Wrapf(interrupted(err), "backend server %s: read the response: %v", c.id, err)
	}
	if len(body) > maxResponseBytes {
		return CallResponse{}, eris.Wrapf(ErrInterrupted, "backend server %s: read the response: body exceeds %d bytes", c.id, maxResponseBytes)
	}
	return CallResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
