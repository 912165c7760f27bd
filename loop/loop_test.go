package loop

import (
	"testing"
	"time"
)

// TestPanicIsContained queues a function that panics among others. The others must run, and the
// caller that waits for it must not wait for ever.
func TestPanicIsContained(t *testing.T) {
	l := New()
	reported := make(chan any, 1)
	l.Panicked = func(value any, _ []byte) { reported <- value }
	l.Start(time.Hour, func() {}, func() {})
	defer l.Close()
	l.DoAndWait(func() { panic("unexpected") })
	ran := false
	l.DoAndWait(func() { ran = true })
	if !ran {
		t.Error("got a loop that stopped after a panic, want it to go on")
	}
	if got, want := <-reported, "unexpected"; got != want {
		t.Errorf("got panic %v reported, want %q", got, want)
	}
}
