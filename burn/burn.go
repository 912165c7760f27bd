// Package burn works out how fast each workspace's error budget is used up.
//
// An objective of 990 per mille answered leaves an error budget of 10 per mille. A
// window in which 50 per mille of the requests were bad has a burn of 5: at that
// rate a month's error budget is gone in six days.
package burn

import (
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Windows and their resolution.
const (
	bucketTime  = 10 * time.Second
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
	bucketCount = int(LongWindow / bucketTime)
)

// Cause tells why a request was bad for its objective.
type Cause string

// The causes.
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

// Objective is the service level of a class and tier.
type Objective struct {
	Class            fleet.Class
	Tier             fleet.Tier
	AnsweredPerMille int64
	FirstToken       time.Duration
	BetweenTokens    time.Duration
}

// Observation is one ended request.
type Observation struct {
	Series Series
	// Cause is empty for a request that was answered.
	Cause Cause
	// FirstToken is the time to the first token, BetweenTokens the 95th
	// percentile of the gaps; 0 where there was none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Recorder counts one node's requests over the windows. It is not safe for
// concurrent use.
type Recorder struct {
	objectives []Objective
	series     map[Series]*[bucketCount]bucket
}

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

func epoch(now time.Duration) int64 {
	return int64(now / bucketTime)
}

// Observe counts one request.
func (r *Recorder) Observe(o Observation, now time.Duration) {
	ring, ok := r.series[o.Series]
	if !ok {
		ring = &[bucketCount]bucket{}
		r.series[o.Series] = ring
	}
	e := epoch(now)
	b := &ring[e%int64(bucketCount)]
	if b.epoch != e || b.causes == nil {
		*b = bucket{
			epoch:  e,
			causes: map[Cause]int{},
		}
	}
	b.total++
	if cause := r.judge(o); cause != "" {
		b.causes[cause]++
	}
}

// judge returns why a request is bad for its objective, if it is.
func (r *Recorder) judge(o Observation) Cause {
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

// Count is a window's sums for one series.
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

// Counts returns the sums of all series with requests in the long window.
func (r *Recorder) Counts(now time.Duration) []Count {
	var counts []Count
	for series, ring := range r.series {
		count := sum(series, ring, epoch(now))
		if count.Long.Total == 0 {
			delete(r.series, series)
			continue
		}
		counts = append(counts, count)
	}
	sortCounts(counts)
	return counts
}

func sum(series Series, ring *[bucketCount]bucket, now int64) Count {
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
		if age < int64(ShortWindow/bucketTime) {
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
