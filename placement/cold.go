package placement

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// coldCost is the cost of a cold instance: a round trip for its permit, which may be refused.
	coldCost = 30 * time.Millisecond
	// homecoming is the time over which the shared parts of prompts come back to an engine that has turned
	// cold, each at its own time. All at once would be prefilled at once.
	homecoming = 6 * time.Second
)

// ColdSource is how a node knows that an instance is cold.
type ColdSource string

// The sources.
const (
	ColdListed     ColdSource = "list"
	ColdStarted    ColdSource = "start"
	ColdSaid       ColdSource = "response"
	ColdRecovering ColdSource = "failures"
	ColdReturned   ColdSource = "evacuation"
)

// coldState is what a node knows of the cold phases of an instance.
type coldState struct {
	// since and until are the beginning and the end of the latest phase.
	since time.Duration
	until time.Duration
	// listed is set while the latest list has the instance as cold.
	listed bool
}

// ColdMark says that an instance has turned cold.
type ColdMark struct {
	Instance routing.Instance
	Source   ColdSource
	For      time.Duration
}

// SetColdStart sets how instances start, nil if they bear their full load at once. No instance is cold then.
func (f *Forecast) SetColdStart(c *routing.ColdStart, now time.Duration) {
	known := f.coldStart != nil
	f.coldStart = c
	for _, id := range f.instanceIDs {
		if s := f.instances[id]; !known && s.instance.Cold {
			s.cold.listed = true
			f.markCold(s, 0, ColdListed, now)
		}
	}
}

// MarkCold records that an instance is cold for a time, or as long as after a start if that is 0.
func (f *Forecast) MarkCold(id fleet.BackendServerID, d time.Duration, source ColdSource, now time.Duration) {
	if s, ok := f.instances[id]; ok {
		f.markCold(s, d, source, now)
	}
}

// MarkDataCentreCold records that all instances of a data centre are cold for a time, or as long as after a
// start if that is 0.
func (f *Forecast) MarkDataCentreCold(dataCentre fleet.DataCentre, d time.Duration, now time.Duration) {
	for _, id := range f.instanceIDs {
		if s := f.instances[id]; s.instance.DataCentre == dataCentre {
			f.markCold(s, d, ColdReturned, now)
		}
	}
}

// markCold records that an instance is cold for a time, or as long as after a start if that is 0. What says
// longer than that is odd: a server that is still cold then says so again.
func (f *Forecast) markCold(s *instanceState, d time.Duration, source ColdSource, now time.Duration) {
	if f.coldStart == nil {
		return
	}
	if longest := f.coldStart.Duration(); d <= 0 || d > longest && source != ColdRecovering {
		d = longest
	}
	if !f.cold(s, now) {
		s.cold.since = now
		if len(f.coldMarks) < maxColdMarks {
			f.coldMarks = append(f.coldMarks, ColdMark{
				Instance: s.instance,
				Source:   source,
				For:      d,
			})
		}
	}
	s.cold.until = max(s.cold.until, now+d)
}

// maxColdMarks bounds the marks that wait to be taken.
const maxColdMarks = 1024

// TakeColdMarks returns the instances that have turned cold since the last call.
func (f *Forecast) TakeColdMarks() []ColdMark {
	marks := f.coldMarks
	f.coldMarks = nil
	return marks
}

// ColdCount returns the number of cold instances.
func (f *Forecast) ColdCount(now time.Duration) int {
	n := 0
	for _, s := range f.instances {
		if f.cold(s, now) {
			n++
		}
	}
	return n
}

// cold reports whether an instance is cold.
func (f *Forecast) cold(s *instanceState, now time.Duration) bool {
	return f.coldStart != nil && now < s.cold.until
}

// observeStart applies the entry of an instance in a new list. The previous entry is nil if it had none.
func (f *Forecast) observeStart(s *instanceState, previous *routing.Instance, now time.Duration) {
	if f.coldStart == nil {
		return
	}
	listed := s.instance
	restarted := previous != nil && (previous.Address != listed.Address || previous.Born != 0 && listed.Born != 0 && previous.Born != listed.Born)
	switch {
	case restarted:
		clear(s.cachedParts)
		f.markCold(s, 0, ColdStarted, now)
	case previous == nil && f.listed:
		f.markCold(s, 0, ColdStarted, now)
	case listed.Cold:
		f.markCold(s, 0, ColdListed, now)
	case s.cold.listed:
		s.cold.until = min(s.cold.until, now)
	}
	s.cold.listed = listed.Cold
}

// observeSuspicion applies that an instance is suspected of failure until some time: it may start anew
// meanwhile, and lists tell late.
func (f *Forecast) observeSuspicion(s *instanceState, now time.Duration) {
	if f.coldStart != nil {
		f.markCold(s, s.suspectUntil-now+f.coldStart.Duration(), ColdRecovering, now)
	}
}

// ranks reports whether an engine is among those that a shared part is sent to, given a hash of both: the part
// has come back to it since it last turned cold.
func (f *Forecast) ranks(s *instanceState, hash uint64, now time.Duration) bool {
	if f.coldStart == nil || s.cold.until == 0 {
		return true
	}
	// The rank depends on the high bits of the hash.
	const span = 1 << 16
	back := time.Duration(hash % span * uint64(homecoming) / span)
	return now >= s.cold.since+back
}

// coldOf returns what is to be told of a cold instance, nil for any other.
func (f *Forecast) coldOf(id fleet.BackendServerID, now time.Duration) *ratelimit.Cold {
	s, ok := f.instances[id]
	if !ok || !f.cold(s, now) {
		return nil
	}
	return &ratelimit.Cold{
		Rate:      f.coldStart.Rate,
		ForMillis: max((s.cold.until - now).Milliseconds(), 1),
	}
}
