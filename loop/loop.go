// Package loop runs the one goroutine that owns a part's control state.
package loop

import (
	"context"
	"sync"
	"time"
)

// Loop is the goroutine that owns a part's control state.
type Loop struct {
	work   chan func()
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// queueLength is how many functions wait for the loop before Do blocks.
const queueLength = 1024

// New returns a loop that does not run yet.
func New() *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loop{
		work:   make(chan func(), queueLength),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Start begins the goroutine: it runs tick now and then, and after whatever it did.
func (l *Loop) Start(period time.Duration, tick, after func()) {
	l.wait.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-l.ctx.Done():
				return
			case f := <-l.work:
				f()
			case <-ticker.C:
				tick()
			}
			after()
		}
	})
}

// Close ends the goroutine, and waits for it and all others of the part.
func (l *Loop) Close() {
	l.cancel()
	l.wait.Wait()
}

// Do runs f on the loop's goroutine, later.
func (l *Loop) Do(f func()) {
	select {
	case l.work <- f:
	case <-l.ctx.Done():
	}
}

// DoAndWait runs f on the loop's goroutine and waits for it.
func (l *Loop) DoAndWait(f func()) {
	done := make(chan struct{})
	l.Do(func() {
		f()
		close(done)
	})
	select {
	case <-done:
	case <-l.ctx.Done():
	}
}

// Go runs f on a goroutine of its own, which Close waits for.
func (l *Loop) Go(f func()) {
	l.wait.Go(f)
}

// Context ends when the loop closes.
func (l *Loop) Context() context.Context {
	return l.ctx
}
