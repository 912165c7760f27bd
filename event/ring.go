package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringBytes bounds the lines that wait for their writer: about two thousand.
	ringBytes = 1 << 20
	// ordinaryBytes is the part that lines of the ordinary course may fill, so
	// that there is room for warnings when the reader is slow.
	ordinaryBytes = ringBytes * 3 / 4
	// droppedInterval is the least time between two lines that tell of drops.
	droppedInterval = time.Second
	// closeTimeout bounds the writing of what waits at the end.
	closeTimeout = 300 * time.Millisecond
	// batchDelay lets lines gather, since each write has a price of its own.
	batchDelay = 50 * time.Millisecond
	// batchBytes is about what is written at once.
	batchBytes = 32 << 10
)

// ring is a bounded queue of lines with a goroutine that writes them in batches.
type ring struct {
	w       io.Writer
	mu      sync.Mutex
	waiting []byte
	wake    chan struct{}
	done    chan struct{}
	ended   chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

func newRing(w io.Writer) *ring {
	return &ring{
		w:     w,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		ended: make(chan struct{}),
	}
}

// ringWriter adds lines to a ring up to a limit of its own.
type ringWriter struct {
	ring  *ring
	limit int
}

// Write implements io.Writer. It never waits for the log's reader.
func (w ringWriter) Write(line []byte) (int, error) {
	r := w.ring
	r.mu.Lock()
	fits := len(r.waiting)+len(line) <= w.limit
	if fits {
		r.waiting = append(r.waiting, line...)
	}
	r.mu.Unlock()
	if !fits {
		r.dropped.Add(1)
		return len(line), nil
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// start begins to write. Report is called with the number of lines dropped, now and
// then.
func (r *ring) start(report func(dropped int64)) {
	go func() {
		defer close(r.ended)
		reported := time.Time{}
		spare := make([]byte, 0, batchBytes)
		for {
			select {
			case <-r.wake:
			case <-r.done:
				r.flush(&spare)
				return
			}
			select {
			case <-time.After(batchDelay):
			case <-r.done:
			}
			r.flush(&spare)
			if n := r.dropped.Load(); n > 0 && time.Since(reported) > droppedInterval {
				reported = time.Now()
				r.dropped.Add(-n)
				report(n)
			}
		}
	}()
}

// flush writes all that waits.
func (r *ring) flush(spare *[]byte) {
	r.mu.Lock()
	batch := r.waiting
	r.waiting = (*spare)[:0]
	r.mu.Unlock()
	if len(batch) > 0 {
		// A log that cannot be written has nowhere to say so.
		_, _ = r.w.Write(batch)
	}
	if cap(batch) <= 2*batchBytes {
		*spare = batch
	} else {
		*spare = make([]byte, 0, batchBytes)
	}
}

func (r *ring) close() {
	r.once.Do(func() { close(r.done) })
	select {
	case <-r.ended:
	case <-time.After(closeTimeout):
	}
}
