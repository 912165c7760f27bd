package soak

import (
	"fmt"
	"sync"
	"time"
)

// everywhere is the place of faults that touch all VMs, core that of faults of the
// control group, which touch all VMs as well.
const (
	everywhere = "everywhere"
	core       = "core"
)

func instancePlace(index int) string { return fmt.Sprintf("instance-%d", index) }

// calm remembers where and when there were unplanned faults: bounds in time hold only
// away from them. It is safe for concurrent use.
type calm struct {
	mu     sync.Mutex
	faults map[string][]interval
}

// interval is the time of a fault. An open one has no end.
type interval struct {
	from time.Time
	to   time.Time
}

func newCalm() *calm {
	return &calm{faults: map[string][]interval{}}
}

// begin takes note of a fault and returns what ends it.
func (c *calm) begin(places ...string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := map[string]int{}
	for _, place := range places {
		at[place] = len(c.faults[place])
		c.faults[place] = append(c.faults[place], interval{from: time.Now()})
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for place, i := range at {
			c.faults[place][i].to = time.Now()
		}
	}
}

// between reports whether a place was without faults.
func (c *calm) between(place string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, where := range []string{place, everywhere, core} {
		for _, f := range c.faults[where] {
			if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
				return false
			}
		}
	}
	return true
}
