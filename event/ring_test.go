package event

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a reader of the log that never reads until it is let go.
type stuck struct {
	mu   sync.Mutex
	text strings.Builder
	gate chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestStuckReaderHoldsNothingUp writes four times what the queue holds while nobody
// reads: no line waits, memory stays bounded, warnings outlast ordinary lines, and the
// drops are told once the reader is back.
func TestStuckReaderHoldsNothingUp(t *testing.T) {
	reader := &stuck{gate: make(chan struct{})}
	l := NewBounded(reader, "n1")
	line := strings.Repeat("x", 200)
	started := time.Now()
	slowest := time.Duration(0)
	for range 4 * ringBytes / 250 {
		before := time.Now()
		l.Info(RequestEnded).Str("filling", line).Msg("ordinary")
		slowest = max(slowest, time.Since(before))
	}
	l.Warn(AttemptFailed).Msg("notable")
	if took := time.Since(started); took > 2*time.Second || slowest > 200*time.Millisecond {
		t.Errorf("got %v for all lines and %v for the slowest, want no wait for the reader", took, slowest)
	}
	l.ring.mu.Lock()
	waiting := len(l.ring.waiting)
	l.ring.mu.Unlock()
	if waiting > ringBytes {
		t.Errorf("got %d bytes waiting, want at most %d", waiting, ringBytes)
	}
	close(reader.gate)
	deadline := time.Now().Add(3 * time.Second)
	for !strings.Contains(reader.String(), `"event":409`) && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	l.Close()
	for _, want := range []string{`"event":409`, `"notable"`} {
		if !strings.Contains(reader.String(), want) {
			t.Errorf("got no line with %s", want)
		}
	}
}
