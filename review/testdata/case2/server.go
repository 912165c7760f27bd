package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend server of a service. It keeps the platform's protocol.
type server struct {
	id      string
	address string
	record  *recorder
	// handle answers a request that the server has run.
	handle func(w http.ResponseWriter, r *http.Request, body []byte)
	http   *http.Server

	mu  sync.Mutex
	ran []run
}

// run is a request that a server has run.
type run struct {
	id     string
	tenant string
	prompt int
	output int
}

// startServer starts a server at an address.
func startServer(s *server) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	w.Header().Set("Instance-Load", "0,0,64")
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, output := tokens(r)
	s.mu.Lock()
	s.ran = append(s.ran, run{
		id:     id,
		tenant: r.Header.Get("Tenant"),
		prompt: prompt,
		output: output,
	})
	s.mu.Unlock()
	s.record.line("server %s runs request %s, tenant %q, %d + %d tokens", s.id, id, r.Header.Get("Tenant"), prompt, output)
	w.Header().Set("Instance-Signature", "sig-"+s.id+"-"+id)
	s.handle(w, r, body)
}

// crash ends the server as a crash of its process does: it closes its connections and its listener. The server starts
// again after a time, and calls back.
func (s *server) crash(downFor time.Duration, back func()) {
	ended := s.http
	time.AfterFunc(downFor, func() {
		_ = startServer(s)
		back()
	})
	_ = ended.Close()
	panic(http.ErrAbortHandler)
}

// tokens returns the prompt tokens and the maximum of the output tokens of a request.
func tokens(r *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// runs returns the requests that the server has run.
func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}

// answer writes a whole answer.
func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// words returns a text of n tokens.
func words(n int) string {
	return strings.TrimSpace(strings.Repeat("tok ", n))
}

// caller sends requests, each on a new connection.
type caller struct {
	record *recorder
	count  int
	mu     sync.Mutex
}

// reply is what a caller has received.
type reply struct {
	id        string
	status    int
	body      string
	signature string
	err       error
}

// send sends a request to an entry VM.
func (c *caller) send(address, method, path string, header map[string]string, body string) reply {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("%016x", 0xa000000+c.count)
	c.mu.Unlock()
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = "host.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		c.record.line("request %s %s %s: no answer: %v", id, method, path, err)
		return reply{
			id:  id,
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	got := reply{
		id:        id,
		status:    response.StatusCode,
		body:      string(text),
		signature: response.Header.Get("Instance-Signature"),
		err:       err,
	}
	c.record.line("request %s %s %s: answered %d, %d bytes, signature %q, %.60s", id, method, path, got.status, len(text), got.signature, strings.TrimSpace(got.body))
	return got
}
