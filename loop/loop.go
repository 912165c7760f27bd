// Package loop runs functions one after another on a single goroutine, which owns the
// state of a component and makes locks unnecessary.
package loop

import (
	"context"
	"runtime/debug"
	"sync"
	"time"
)

// Loop is an event loop: a goroutine that owns the state of a component.
type Loop struct {
	// Panicked is called with the value and the stack of a panic in a queued function, which
	// then counts as having run. It is set before Start; if it is nil, a panic ends the
	// process.
	Panicked func(value any, stack []byte)

	work   chan func()
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// queueLength is the number of queued functions above which Do blocks.
const queueLength = 1024

// New returns a loop that has not started.
func New() *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loop{
		work:   make(chan func(), queueLength),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Start starts the goroutine. It runs the queued functions, calls tick once per period, and
// calls after whenever a queued function or tick has returned.
func (l *Loop) Start(period time.Duration, tick, after func()) {
	l.wait.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-l.ctx.Done():
				return
			case f := <-l.work:
				l.run(f)
			case <-ticker.C:
				tick()
			}
			after()
		}
	})
}

// run runs a queued function. One that meets state or input that it does not expect must not end
// all requests of the process.
func (l *Loop) run(f func()) {
	defer func() {
		if l.Panicked == nil {
			return
		}
		if value := recover(); value != nil {
			l.Panicked(value, debug.Stack())
		}
	}()
	f()
}

// Close stops the loop and waits for its goroutine and those started with Go.
func (l *Loop) Close() {
	l.cancel()
	l.wait.Wait()
}

// Do queues f to run on the loop's goroutine. After Close, f is not guaranteed to run.
func (l *Loop) Do(f func()) {
	select {
	case l.work <- f:
	case <-l.ctx.Done():
	}
}

// DoAndWait runs f on the loop's goroutine and waits until it has run or the loop is closed.
func (l *Loop) DoAndWait(f func()) {
	done := make(chan struct{})
	l.Do(func() {
		defer close(done)
		f()
	})
	select {
	case <-done:
	case <-l.ctx.Done():
	}
}

// Go runs f on a separate goroutine, for which Close waits.
func (l *Loop) Go(f func()) {
	l.wait.Go(f)
}

// Context returns a context that is cancelled when the loop is closed.
func (l *Loop) Context() context.Context {
	return l.ctx
}
