package soak

import (
	"fmt"
	"sync"
	"time"
)

// allVMs is the location of faults that affect all VMs. controlGroup is that of faults of
// the control group, which affect all VMs as well.
const (
	allVMs       = "everywhere"
	controlGroup = "core"
)

func instanceName(index int) string { return fmt.Sprintf("instance-%d", index) }

// faultLog records where and when there were unplanned faults: time limits are checked only
// at locations and times without faults. It is safe for concurrent use.
type faultLog struct {
	mu        sync.Mutex
	intervals map[string][]interval
}

// interval is the time of a fault. Its end is zero while the fault lasts.
type interval struct {
	from time.Time
	to   time.Time
}

func newFaultLog() *faultLog {
	return &faultLog{intervals: map[string][]interval{}}
}

// record records the beginning of a fault at some locations and returns the function that
// records its end.
func (l *faultLog) record(locations ...string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := map[string]int{}
	for _, location := range locations {
		at[location] = len(l.intervals[location])
		l.intervals[location] = append(l.intervals[location], interval{from: time.Now()})
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for location, i := range at {
			l.intervals[location][i].to = time.Now()
		}
	}
}

// faultFree reports whether a location was without faults in a period.
func (l *faultLog) faultFree(location string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, where := range []string{location, allVMs, controlGroup} {
		for _, f := range l.intervals[where] {
			if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
				return false
			}
		}
	}
	return true
}
