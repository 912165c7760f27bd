package entry

import (
	"context"
	"sync"
	"time"
)

// owner runs the one goroutine that owns a part's control state.
type owner struct {
	work   chan func()
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func newOwner() *owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &owner{
		work:   make(chan func(), 1024),
		ctx:    ctx,
		cancel: cancel,
	}
}

// start begins the goroutine: it runs tick now and then, and after whatever it did.
func (o *owner) start(period time.Duration, tick, after func()) {
	o.wait.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-o.ctx.Done():
				return
			case f := <-o.work:
				f()
			case <-ticker.C:
				tick()
			}
			after()
		}
	})
}

// close ends the goroutine, and waits for it and all others of the part.
func (o *owner) close() {
	o.cancel()
	o.wait.Wait()
}

// do runs f on the owner's goroutine, later.
func (o *owner) do(f func()) {
	select {
	case o.work <- f:
	case <-o.ctx.Done():
	}
}

// ask runs f on the owner's goroutine and waits for it.
func (o *owner) ask(f func()) {
	done := make(chan struct{})
	o.do(func() {
		f()
		close(done)
	})
	select {
	case <-done:
	case <-o.ctx.Done():
	}
}
