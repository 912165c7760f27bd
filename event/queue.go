package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueueBytes is the maximum size of the queue, about two thousand lines.
	maxQueueBytes = 1 << 20
	// maxInfoBytes is the queue size above which lines of Info are dropped. The rest
	// is reserved for warnings and errors.
	maxInfoBytes = maxQueueBytes * 3 / 4
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
	// closeTimeout is the maximum time that Close waits for queued lines.
	closeTimeout = 300 * time.Millisecond
	// batchDelay is the time to collect lines before a write, because each write has
	// a fixed cost.
	batchDelay = 50 * time.Millisecond
	// batchCapacity is the initial capacity of a batch in bytes, about the size of
	// a usual write.
	batchCapacity = 32 << 10
)

// lineQueue is a bounded queue of log lines with a goroutine that writes them in batches.
type lineQueue struct {
	w       io.Writer
	mu      sync.Mutex
	waiting []byte
	ready   chan struct{}
	closing chan struct{}
	stopped chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

func newLineQueue(w io.Writer) *lineQueue {
	return &lineQueue{
		w:       w,
		ready:   make(chan struct{}, 1),
		closing: make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

// queueWriter appends lines to a queue as long as the queue does not exceed limit bytes.
type queueWriter struct {
	queue *lineQueue
	limit int
}

// Write implements io.Writer. It never waits for the reader of the log, but drops the line
// if the queue is full.
func (w queueWriter) Write(line []byte) (int, error) {
	q := w.queue
	q.mu.Lock()
	fits := len(q.waiting)+len(line) <= w.limit
	if fits {
		q.waiting = append(q.waiting, line...)
	}
	q.mu.Unlock()
	if !fits {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// start starts the goroutine that writes. If lines were dropped, it calls report with their
// number, at most once per dropReportInterval.
func (q *lineQueue) start(report func(dropped int64)) {
	go func() {
		defer close(q.stopped)
		reported := time.Time{}
		spare := make([]byte, 0, batchCapacity)
		for {
			select {
			case <-q.ready:
			case <-q.closing:
				q.flush(&spare)
				return
			}
			select {
			case <-time.After(batchDelay):
			case <-q.closing:
			}
			q.flush(&spare)
			if n := q.dropped.Load(); n > 0 && time.Since(reported) > dropReportInterval {
				reported = time.Now()
				q.dropped.Add(-n)
				report(n)
			}
		}
	}()
}

// flush replaces the queue's buffer by spare and writes the queued lines. The old buffer is
// the next spare unless it has grown too large to keep.
func (q *lineQueue) flush(spare *[]byte) {
	q.mu.Lock()
	batch := q.waiting
	q.waiting = (*spare)[:0]
	q.mu.Unlock()
	if len(batch) > 0 {
		// There is no other place to report that the log cannot be written.
		_, _ = q.w.Write(batch)
	}
	if cap(batch) <= 2*batchCapacity {
		*spare = batch
	} else {
		*spare = make([]byte, 0, batchCapacity)
	}
}

// close stops the goroutine once it has written the queued lines, and waits for that for at
// most closeTimeout.
func (q *lineQueue) close() {
	q.once.Do(func() { close(q.closing) })
	select {
	case <-q.stopped:
	case <-time.After(closeTimeout):
	}
}
