package gateway

import (
	"io"
	"testing"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// TestRetryBudgetFollowsNodeCount starts many nodes at once, each of which learns of the
// others one by one. Each node must keep to its share of the slack. The test guards
// against a node that treats the first node count it receives as final and uses the whole
// slack.
func TestRetryBudgetFollowsNodeCount(t *testing.T) {
	for _, c := range []struct {
		name       string
		nodeCounts []int
		want       int
	}{
		{
			name: "not yet known",
			want: 0,
		},
		{
			name:       "alone",
			nodeCounts: []int{1},
			want:       80,
		},
		{
			name:       "all at once",
			nodeCounts: []int{10},
			want:       8,
		},
		{
			name:       "one after the other",
			nodeCounts: []int{1, 4, 10},
			want:       8,
		},
		{
			name:       "one has left",
			nodeCounts: []int{10, 9},
			want:       8,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := backend.NewConnPool(backend.Limits{})
			d := newDispatcher(dispatchConfig{
				retrySlack:    100,
				idleConnLimit: func(fleet.ServiceID) int { return 1 },
				conns:         conns,
				log:           event.New(io.Discard, "n1"),
			})
			defer d.Close()
			// Creates the budget before the number of nodes is known.
			d.takeRetry("s")
			for _, nodes := range c.nodeCounts {
				d.setEntryNodes(nodes)
			}
			got := 0
			for d.takeRetry("s") {
				got++
			}
			if got != c.want {
				t.Errorf("got %d retries, want %d of the 80 that all nodes share", got, c.want)
			}
		})
	}
}
