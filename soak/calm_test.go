package soak

import (
	"fmt"
	"sync"
	"time"
)

// allVMs is the place of faults that touch all VMs, controlGroup that of faults of the
// control group, which touch all VMs as well.
const (
	allVMs       = "everywhere"
	controlGroup = "core"
)

func instanceName(index int) string { return fmt.Sprintf("instance-%d", index) }

// faultLog remembers where and when there were unplanned faults: bounds in time hold only
// away from them. It is safe for concurrent use.
type faultLog struct {
	mu        sync.Mutex
	intervals map[string][]interval
}

// interval is the time of a fault. An open one has no end.
type interval struct {
	from time.Time
	to   time.Time
}

func newFaultLog() *faultLog {
	return &faultLog{intervals: map[string][]interval{}}
}

// record takes note of a fault and returns what ends it.
func (c *faultLog) record(places ...string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := map[string]int{}
	for _, place := range places {
		at[place] = len(c.intervals[place])
		c.intervals[place] = append(c.intervals[place], interval{from: time.Now()})
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for place, i := range at {
			c.intervals[place][i].to = time.Now()
		}
	}
}

// faultFree reports whether a place was without faults.
func (c *faultLog) faultFree(place string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, where := range []string{place, allVMs, controlGroup} {
		for _, f := range c.intervals[where] {
			if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
				return false
			}
		}
	}
	return true
}
