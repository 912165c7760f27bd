package discovery

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/routing"
)

// countingLister counts the reads of the list.
type countingLister struct {
	reads atomic.Int64
}

// List implements Lister.
func (l *countingLister) List(context.Context) ([]routing.Instance, int, error) {
	l.reads.Add(1)
	return nil, 0, nil
}

// TestNewLeaderReadsAtOnce makes a node the leader after a restart of all nodes, which have no list
// until it reads one. It must read soon, and as often as the bound on draining demands from then on.
func TestNewLeaderReadsAtOnce(t *testing.T) {
	const drain = 4 * time.Second
	lister, leads := &countingLister{}, atomic.Bool{}
	r := New(Config{
		Lister:   lister,
		Interval: func() time.Duration { return LeaderInterval(leads.Load(), drain) },
		Due:      leads.Load,
		Deliver:  func([]routing.Instance, time.Duration) {},
		Log:      event.New(io.Discard, "c1"),
	})
	defer r.Close()
	time.Sleep(2 * leadCheckInterval)
	if got := lister.reads.Load(); got != 0 {
		t.Errorf("got %d reads of a node that does not lead, want none", got)
	}
	leads.Store(true)
	time.Sleep(3 * leadCheckInterval)
	if got, want := lister.reads.Load(), int64(1); got != want {
		t.Errorf("got %d reads %s after the node has become the leader, want %d", got, 3*leadCheckInterval, want)
	}
}

// TestInterval checks the time between reads against the bound on draining.
func TestInterval(t *testing.T) {
	for drain, want := range map[time.Duration]time.Duration{
		500 * time.Millisecond: 250 * time.Millisecond,
		3 * time.Second:        750 * time.Millisecond,
		4 * time.Second:        time.Second,
		time.Minute:            time.Second,
	} {
		if got := Interval(drain); got != want {
			t.Errorf("got %s between reads for a bound of %s, want %s", got, drain, want)
		}
	}
}
