package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requestSpec is one attempt of a requester.
type requestSpec struct {
	address  string
	path     string
	key      string
	usage    string
	prefix   string
	body     string
	deadline time.Duration
	// patience is how long the requester waits for the next event before it leaves, 0 for its deadline.
	patience time.Duration
	label    string
}

// answer is what a requester got.
type answer struct {
	id       string
	sent     time.Time
	status   int
	events   int
	data     []string
	complete bool
	left     bool
	err      error
}

var attemptNumber atomic.Int64

var requester = &http.Client{Transport: &http.Transport{
	DisableKeepAlives:  true,
	DisableCompression: true,
}}

// send sends one attempt over a channel of its own and reads the answer.
func send(log *record, spec requestSpec) answer {
	a := answer{
		id:   fmt.Sprintf("%016x", 0x5a00000000000000+attemptNumber.Add(1)),
		sent: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), spec.deadline)
	defer cancel()
	defer func() {
		log.line("answer %s %s status=%d events=%d complete=%v left=%v err=%v", spec.label, a.id, a.status, a.events, a.complete, a.left, a.err)
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+spec.address+spec.path, strings.NewReader(spec.body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = "app.example"
	for name, value := range map[string]string{
		"Attempt-Id":    a.id,
		"Model":         "m",
		"Token-Usage":   spec.usage,
		"Prompt-Prefix": spec.prefix,
		"Deadline-Ms":   fmt.Sprint(spec.deadline.Milliseconds()),
		"Authorization": "Token " + spec.key,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	log.line("sent %s %s to %s", spec.label, a.id, spec.address)
	patience := spec.patience
	if patience == 0 {
		patience = spec.deadline
	}
	leave := time.AfterFunc(patience, func() {
		a.left = true
		cancel()
	})
	defer leave.Stop()
	response, err := requester.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			a.events++
			a.data = append(a.data, strings.TrimSpace(line))
			leave.Reset(patience)
		}
		if err == io.EOF {
			a.complete = response.StatusCode/100 == 2
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}
