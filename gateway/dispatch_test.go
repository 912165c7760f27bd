package gateway

import (
	"io"
	"testing"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// TestRetryBudgetFollowsTheNumberOfNodes starts many nodes at once, each of which hears of
// the others one by one. Each must keep to its part of the slack that all share: a node
// that took the first count it heard for the last used the whole of it.
func TestRetryBudgetFollowsTheNumberOfNodes(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard []int
		want  int
	}{
		{
			name: "not yet known",
			want: 0,
		},
		{
			name:  "alone",
			heard: []int{1},
			want:  80,
		},
		{
			name:  "all at once",
			heard: []int{10},
			want:  8,
		},
		{
			name:  "one after the other",
			heard: []int{1, 4, 10},
			want:  8,
		},
		{
			name:  "one has left",
			heard: []int{10, 9},
			want:  8,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := backend.NewConnPool()
			d := newDispatcher(dispatchConfig{
				slack: 100,
				keep:  func(fleet.ServiceID) int { return 1 },
				conns: conns,
				log:   event.New(io.Discard, "n1"),
			})
			defer d.Close()
			// The budget exists before its size is known.
			d.mayRetry("s")
			for _, nodes := range c.heard {
				d.share(nodes)
			}
			got := 0
			for d.mayRetry("s") {
				got++
			}
			if got != c.want {
				t.Errorf("got %d retries, want %d of 80 that all nodes share", got, c.want)
			}
		})
	}
}
