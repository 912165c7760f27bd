// Package burn computes the burn rate of each workspace's error budget.
//
// An objective of 990 per mille completed requests leaves an error budget of 10 per mille. A
// window in which 50 per mille of the requests were bad has a burn rate of 5: at that
// rate a month's error budget is used up in six days.
package burn

import (
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// The windows over which burn rates are computed, and the resolution of the counts.
const (
	bucketDuration = 10 * time.Second
	ShortWindow    = 5 * time.Minute
	LongWindow     = time.Hour
	bucketCount    = int(LongWindow / bucketDuration)
)

// Cause is the reason why a request missed its objective.
type Cause string

// The causes of bad requests.
const (
	CauseRefusedBudget      Cause = "refusedBudget"
	CauseRefusedCapacity    Cause = "refusedCapacity"
	CauseControlUnreachable Cause = "controlUnreachable"
	CauseBackend            Cause = "backendFailed"
	CauseUnknownOutcome     Cause = "unknownOutcome"
	CauseSlowFirstToken     Cause = "slowFirstToken"
	CauseSlowTokens         Cause = "slowTokens"
)

// Series identifies one line of the report.
type Series struct {
	Workspace fleet.WorkspaceID `json:"workspace"`
	Class     fleet.Class       `json:"class"`
	Tier      fleet.Tier        `json:"tier"`
}

// Objective is the service-level objective of a class and tier.
type Objective struct {
	Class            fleet.Class
	Tier             fleet.Tier
	AnsweredPerMille int64
	FirstToken       time.Duration
	BetweenTokens    time.Duration
}

// Observation describes one ended request.
type Observation struct {
	Series Series
	// Cause is empty for a request that was completed.
	Cause Cause
	// FirstToken is the time to the first token, and BetweenTokens the 95th
	// percentile of the time between tokens. They are 0 if there were none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Recorder counts one node's requests in the windows. It is not safe for concurrent
// use.
type Recorder struct {
	objectives []Objective
	series     map[Series]*[bucketCount]bucket
}

// bucket counts the requests of one bucketDuration.
type bucket struct {
	epoch  int64
	total  int
	causes map[Cause]int
}

// New returns an empty recorder.
func New(objectives []Objective) *Recorder {
	return &Recorder{
		objectives: objectives,
		series:     map[Series]*[bucketCount]bucket{},
	}
}

// bucketEpoch returns the number of the bucket that contains a time.
func bucketEpoch(now time.Duration) int64 {
	return int64(now / bucketDuration)
}

// Observe counts one request.
func (r *Recorder) Observe(o Observation, now time.Duration) {
	ring, ok := r.series[o.Series]
	if !ok {
		ring = &[bucketCount]bucket{}
		r.series[o.Series] = ring
	}
	e := bucketEpoch(now)
	b := &ring[e%int64(bucketCount)]
	if b.epoch != e || b.causes == nil {
		*b = bucket{
			epoch:  e,
			causes: map[Cause]int{},
		}
	}
	b.total++
	if cause := r.badCause(o); cause != "" {
		b.causes[cause]++
	}
}

// badCause returns why a request missed its objective, or "" if it met it.
func (r *Recorder) badCause(o Observation) Cause {
	if o.Cause != "" {
		return o.Cause
	}
	for _, objective := range r.objectives {
		if objective.Class != o.Series.Class || objective.Tier != o.Series.Tier {
			continue
		}
		if objective.FirstToken > 0 && o.FirstToken > objective.FirstToken {
			return CauseSlowFirstToken
		}
		if objective.BetweenTokens > 0 && o.BetweenTokens > objective.BetweenTokens {
			return CauseSlowTokens
		}
	}
	return ""
}

// Count holds the counts of one series in both windows.
type Count struct {
	Series Series       `json:"series"`
	Short  WindowCount  `json:"short"`
	Long   WindowCount  `json:"long"`
	Causes []CauseCount `json:"causes,omitempty"`
}

// WindowCount counts the requests of one window.
type WindowCount struct {
	Total int `json:"total"`
	Bad   int `json:"bad"`
}

// CauseCount counts one cause over the long window.
type CauseCount struct {
	Cause Cause `json:"cause"`
	Count int   `json:"count"`
}

// Counts returns the counts of all series with requests in the long window, and drops
// the other series.
func (r *Recorder) Counts(now time.Duration) []Count {
	var counts []Count
	for series, ring := range r.series {
		count := sumBuckets(series, ring, bucketEpoch(now))
		if count.Long.Total == 0 {
			delete(r.series, series)
			continue
		}
		counts = append(counts, count)
	}
	sortCounts(counts)
	return counts
}

func sumBuckets(series Series, ring *[bucketCount]bucket, now int64) Count {
	count := Count{Series: series}
	causes := map[Cause]int{}
	for i := range ring {
		b := &ring[i]
		age := now - b.epoch
		if b.total == 0 || age < 0 || age >= int64(bucketCount) {
			continue
		}
		bad := 0
		for cause, n := range b.causes {
			causes[cause] += n
			bad += n
		}
		count.Long.add(b.total, bad)
		if age < int64(ShortWindow/bucketDuration) {
			count.Short.add(b.total, bad)
		}
	}
	count.Causes = sortCauses(causes)
	return count
}

func (w *WindowCount) add(total, bad int) {
	w.Total += total
	w.Bad += bad
}

func sortCauses(causes map[Cause]int) []CauseCount {
	var sorted []CauseCount
	for cause, n := range causes {
		sorted = append(sorted, CauseCount{
			Cause: cause,
			Count: n,
		})
	}
	sort.Slice(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		return a.Count > b.Count || a.Count == b.Count && a.Cause < b.Cause
	})
	return sorted
}

func sortCounts(counts []Count) {
	sort.Slice(counts, func(i, j int) bool {
		a, b := counts[i].Series, counts[j].Series
		if a.Workspace != b.Workspace {
			return a.Workspace < b.Workspace
		}
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		return a.Tier < b.Tier
	})
}
