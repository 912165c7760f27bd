package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// maxResponseBytes limits the response body of a plain service.
const maxResponseBytes = 1 << 20

// maxIdlePerServer limits the idle connections of a Client.
const maxIdlePerServer = 256

// Client sends requests to one backend server. It is safe for concurrent use.
//
// It uses the connections of routed requests, which read nothing once a request could not be sent whole. http.Transport sends and
// reads at the same time: the send takes the error of a connection that the server resets, and the read then sees an ordinary end,
// which makes a part of a response without a length look whole.
type Client struct {
	instance Instance
	conns    *ConnPool
}

// NewClient returns a client for the server, whose address is valid. Each client has its own connection pool,
// so that all idle connections to one server can be closed together.
func NewClient(server catalog.BackendServer) *Client {
	address, _ := netip.ParseAddrPort(server.Address)
	c := &Client{
		instance: Instance{
			ID:      server.ID,
			Address: address,
		},
		conns: NewConnPool(Limits{}),
	}
	c.conns.dialer = newDialer(dialTimeout, clientIdleProbe, clientUserTimeout)
	c.conns.SetIdleLimits(map[Instance]int{c.instance: maxIdlePerServer})
	return c
}

// clientRequest is one request of a Client.
type clientRequest struct {
	method string
	target string
	header http.Header
	body   []byte
	// once is set if the request needs a connection of its own: an idle one may be broken unnoticed, and a request
	// sent over it would have an unknown outcome.
	once bool
}

// send sends a request and reads the head of its response. An error is a *SendError.
func (c *Client) send(ctx context.Context, r clientRequest) (*Incoming, error) {
	if r.header == nil {
		r.header = http.Header{}
	}
	if len(r.body) > 0 || r.method != http.MethodGet {
		r.header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	return c.conns.Do(ctx, Outgoing{
		Instance:   c.instance,
		Method:     r.method,
		Target:     r.target,
		Host:       c.instance.Address.String(),
		Header:     r.header,
		Body:       r.body,
		AtMostOnce: r.once,
		NoReuse:    r.once,
		Match:      func(int, http.Header) Match { return MatchOwn },
	})
}

// finish ends an exchange whose body may have a rest that is not needed.
func finish(in *Incoming) {
	const maxRest = 4 << 10
	n, err := io.CopyN(io.Discard, in.Body, maxRest)
	in.Finish(err == io.EOF && n < maxRest)
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
	c.CloseIdle()
}

// CloseIdle closes the idle connections, and those in use when their requests end. It is called when a connection to the same
// server has stopped responding, since the others may be broken as well.
func (c *Client) CloseIdle() {
	c.conns.Retire(c.instance)
}

// owns reports whether a refusal is that of the request with an id, which the header name repeats. A
// server may write an earlier refusal once more on a connection that is used again.
func owns(in *Incoming, name, id string) bool {
	echoed := in.Header.Get(name)
	return echoed == id || echoed == "" && !in.Reused
}

// requestError wraps the error of a request that got no response. Only a request of which nothing was sent is known not to
// have run.
func (c *Client) requestError(step string, err error) error {
	kind := interrupted(err)
	if sendErr := (*SendError)(nil); errors.As(err, &sendErr) && !sendErr.Sent {
		kind = ErrNotRun
	}
	return eris.Wrapf(kind, "backend server %s: %s: %v", c.instance.ID, step, err)
}

// statusError returns the error for a response that refuses the request, classified by
// its headers and status, with the start of its body as the cause. If the refusal may be another
// request's, owned is false, and the request may run.
func (c *Client) statusError(step string, response *Incoming, owned bool) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	finish(response)
	kind := ErrInterrupted
	switch {
	case !owned:
	case response.Header.Get(HeaderDraining) == "true":
		kind = ErrDraining
	case response.Header.Get(HeaderNotRun) == "true":
		kind = ErrBusy
	case response.Status >= 400 && response.Status < 500:
		kind = ErrRejected
	}
	return eris.Wrapf(kind, "backend server %s: %s: status %d: %s", c.instance.ID, step, response.Status, strings.TrimSpace(string(body)))
}

// Stream is the streamed response of an engine.
type Stream struct {
	client    *Client
	attempt   string
	cancel    context.CancelFunc
	response  *Incoming
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
		return nil, eris.Wrapf(ErrNotRun, "backend server %s: encode the chat: %v", c.instance.ID, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.sendWithProbe(ctx, cancel, attempt, clientRequest{
		method: http.MethodPost,
		target: "/v1/chat/completions",
		header: http.Header{
			"Content-Type": {"application/json"},
			HeaderAttempt:  {attempt},
			HeaderPriority: {strconv.Itoa(priority)},
		},
		body: body,
	})
	if err != nil {
		cancel()
		return nil, c.requestError("start the stream", err)
	}
	if response.Status != http.StatusOK {
		defer cancel()
		return nil, c.statusError("start the stream", response, c.ownsRefusal(ctx, response, attempt))
	}
	s := &Stream{
		client:   c,
		attempt:  attempt,
		cancel:   cancel,
		response: response,
		chunks:   make(chan Chunk, 16),
	}
	if chat.Resume != nil {
		s.nextIndex = chat.Resume.Tokens
	}
	s.wait.Go(s.read)
	return s, nil
}

// ownsRefusal reports whether a refusal is that of an attempt. If the refusal does not say so, the engine
// is asked whether it knows the attempt.
func (c *Client) ownsRefusal(ctx context.Context, response *Incoming, attempt string) bool {
	if owns(response, HeaderAttempt, attempt) {
		return true
	}
	state, err := c.Probe(ctx, attempt)
	return err == nil && !state.Known
}

// sendWithProbe sends a request. Until the response header arrives, it probes the server
// at an interval over other connections. It cancels the request if the probe fails, if
// the server does not know the attempt, since then the request was lost on the way, or
// if the server has produced tokens already, since then the response was lost.
func (c *Client) sendWithProbe(ctx context.Context, cancel context.CancelFunc, attempt string, request clientRequest) (*Incoming, error) {
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
				state, err := c.Probe(ctx, attempt)
				if err != nil || !state.Known || state.Tokens > 0 {
					c.CloseIdle()
					cancel()
					return
				}
			}
		}
	}()
	return c.send(ctx, request)
}

// read parses the server-sent events until the stream ends.
func (s *Stream) read() {
	defer close(s.chunks)
	defer s.response.Finish(false)
	reader := bufio.NewReaderSize(s.response.Body, 8<<10)
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
				return Chunk{}, eris.Wrapf(interrupted(s.err), "backend server %s: read the stream: %v", s.client.instance.ID, s.err)
			}
			if s.accept(chunk) {
				return chunk, nil
			}
			if chunk.Attempt == s.attempt && chunk.Index > s.nextIndex {
				return Chunk{}, eris.Wrapf(ErrInterrupted, "backend server %s: read the stream: token %d is missing", s.client.instance.ID, s.nextIndex)
			}
			lateChunks.Add(1)
		case <-timer.C:
			state, err := s.client.Probe(ctx, s.attempt)
			if err != nil || !state.Known || state.Finished || state.Tokens > s.nextIndex {
				unresponsiveStreams.Add(1)
				s.client.CloseIdle()
				return Chunk{}, eris.Wrapf(ErrInterrupted, "backend server %s: read the stream: stalled, and the probe did not confirm that the attempt waits for its next token", s.client.instance.ID)
			}
			timer.Reset(stallProbeInterval)
		case <-ctx.Done():
			return Chunk{}, eris.Wrapf(ctx.Err(), "backend server %s: read the stream", s.client.instance.ID)
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
	response, err := c.send(ctx, clientRequest{
		method: http.MethodGet,
		target: path,
	})
	if err != nil {
		return eris.Wrapf(err, "backend server %s: get %s", c.instance.ID, path)
	}
	defer finish(response)
	if response.Status != http.StatusOK {
		return eris.Errorf("backend server %s: get %s: status %d", c.instance.ID, path, response.Status)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value), "backend server %s: get %s: decode", c.instance.ID, path)
}

// SendOrder sends an order to an engine. It returns false if the engine refuses the
// order because its fence is outdated.
func (c *Client) SendOrder(ctx context.Context, order Order, timeout time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return false, eris.Wrapf(err, "backend server %s: encode the order", c.instance.ID)
	}
	response, err := c.send(ctx, clientRequest{
		method: http.MethodPost,
		target: "/v1/orders",
		body:   body,
	})
	if err != nil {
		return false, eris.Wrapf(err, "backend server %s: send the order", c.instance.ID)
	}
	defer finish(response)
	switch response.Status {
	case http.StatusOK:
		return true, nil
	case http.StatusConflict:
		return false, nil
	}
	return false, eris.Errorf("backend server %s: send the order: status %d", c.instance.ID, response.Status)
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
	target := (&url.URL{Path: call.Path}).EscapedPath()
	if call.Query != "" {
		target += "?" + call.Query
	}
	response, err := c.send(ctx, clientRequest{
		method: call.Method,
		target: target,
		header: http.Header{
			"Content-Type":  {call.ContentType},
			headerRequestID: {call.RequestID.String()},
		},
		body: call.Body,
		once: !call.Idempotent,
	})
	if err != nil {
		return CallResponse{}, c.requestError("call", err)
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		return CallResponse{}, c.statusError("call", response, owns(response, headerRequestID, call.RequestID.String()))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	response.Finish(err == nil && len(body) <= maxResponseBytes)
	if err != nil {
		return CallResponse{}, eris.Wrapf(interrupted(err), "backend server %s: read the response: %v", c.instance.ID, err)
	}
	if len(body) > maxResponseBytes {
		return CallResponse{}, eris.Wrapf(ErrInterrupted, "backend server %s: read the response: body exceeds %d bytes", c.instance.ID, maxResponseBytes)
	}
	return CallResponse{
		Status:      response.Status,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
