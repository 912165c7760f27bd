package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// RefreshInterval is how often nodes report a limit that has not changed.
	RefreshInterval = 10 * time.Second
	// reportTTL is how long a report is passed on that no node repeats.
	reportTTL = 3 * RefreshInterval
	// maxReports bounds the reports in a table.
	maxReports = 1024
)

// Table holds the latest report on each instance. Its zero value is ready for use. It is not safe
// for concurrent use.
type Table struct {
	rows    map[fleet.BackendServerID]*row
	changes uint64
}

type row struct {
	report    Report
	knownAt   time.Duration
	refreshed time.Duration
}

// List has the reports on all instances that have a limit or had one until a short time ago.
type List struct {
	Reports []Report `json:"reports,omitempty"`
}

// Changes counts the changes that are worth a message.
func (t *Table) Changes() uint64 {
	return t.changes
}

// Apply records a report unless a later one is known.
func (t *Table) Apply(r Report, now time.Duration) {
	if t.rows == nil {
		t.rows = map[fleet.BackendServerID]*row{}
	}
	// A cold instance is for each node to learn: it would stay cold for as long as reports go round.
	r.Cold = nil
	known, ok := t.rows[r.Instance]
	at := r.KnownAt(now)
	switch {
	case ok && at <= known.knownAt:
		return
	case !ok && (now-at > reportTTL || len(t.rows) >= maxReports):
		return
	}
	if !ok || known.report.Born != r.Born || known.report.Differs(r) {
		t.changes++
	}
	t.rows[r.Instance] = &row{
		report:    r,
		knownAt:   at,
		refreshed: now,
	}
}

// Advance removes the reports that were not repeated. Nodes that hold such a limit keep it: they
// learn of its end by themselves.
func (t *Table) Advance(now time.Duration) {
	for id, known := range t.rows {
		if now-known.refreshed > reportTTL {
			delete(t.rows, id)
		}
	}
}

// Reports returns all reports, sorted by instance.
func (t *Table) Reports(now time.Duration) []Report {
	reports := make([]Report, 0, len(t.rows))
	for _, known := range t.rows {
		reports = append(reports, known.report.aged(known.knownAt, now))
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Instance, b.Instance) })
	return reports
}
