package event

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter is a writer whose writes block until gate is closed.
type stuckWriter struct {
	mu   sync.Mutex
	text strings.Builder
	gate chan struct{}
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stuckWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestBlockedWriterDoesNotBlockLogging logs four times the capacity of the queue while the
// writer blocks. Logging must not wait, the queue must stay bounded, warnings must be kept
// rather than lines of Info, and dropped lines must be reported once the writer continues.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	writer := &stuckWriter{gate: make(chan struct{})}
	l := NewBounded(writer, "n1")
	line := strings.Repeat("x", 200)
	started := time.Now()
	slowest := time.Duration(0)
	for range 4 * maxQueueBytes / 250 {
		before := time.Now()
		l.Info(RequestEnded).Str("filling", line).Msg("ordinary")
		slowest = max(slowest, time.Since(before))
	}
	l.Warn(AttemptFailed).Msg("notable")
	if took := time.Since(started); took > 2*time.Second || slowest > 200*time.Millisecond {
		t.Errorf("got %v for all lines and %v for the slowest, want no wait for the writer", took, slowest)
	}
	l.queue.mu.Lock()
	waiting := len(l.queue.waiting)
	l.queue.mu.Unlock()
	if waiting > maxQueueBytes {
		t.Errorf("got %d bytes waiting, want at most %d", waiting, maxQueueBytes)
	}
	close(writer.gate)
	deadline := time.Now().Add(3 * time.Second)
	for !strings.Contains(writer.String(), `"event":409`) && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	l.Close()
	for _, want := range []string{`"event":409`, `"notable"`} {
		if !strings.Contains(writer.String(), want) {
			t.Errorf("got no line with %s", want)
		}
	}
}
