// Package roster tells which nodes of the fleet are alive.
//
// Each entry node sends heartbeats to one control replica. The replicas tell one
// another what they heard, so that a node counts as alive while any replica hears
// it, and pass on to their entry nodes only what has changed. No node hears from
// more than its replica, whatever the size of the fleet.
//
// The package is a pure state machine; times are on the clock of the caller.
package roster

import (
	"net/netip"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Times of the roster.
const (
	// HeartbeatInterval is the time between an entry node's heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// DeadAfter is the silence after which a node counts as dead. One slow
	// heartbeat is less than that, and a dead node is out of the directory
	// within 3 s.
	DeadAfter = 2200 * time.Millisecond
	// forgetAfter is the silence after which a node is no longer listed.
	forgetAfter = 10 * time.Minute
)

// State is what a node says of itself, or what is said of a silent one.
type State string

// The states of a node.
const (
	StateUp       State = "up"
	StateStopping State = "stopping"
	StateDead     State = "dead"
)

// Report is what is known of one node.
type Report struct {
	Holder fleet.Holder `json:"holder"`
	// Seq numbers the node's own reports; State dead is not the node's own.
	Seq        uint64           `json:"seq"`
	State      State            `json:"state"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
	// CallerAddress is the address that callers use, Wire the one between the
	// fleet's processes.
	CallerAddress netip.AddrPort `json:"callers"`
	WireAddress   netip.AddrPort `json:"wire"`
	Control       bool           `json:"control,omitempty"`
	// Version is the configuration that is in force on the node.
	Version fleet.Version `json:"version"`
	// LoadPerMille is the part of the node's capacity that is in use.
	LoadPerMille int `json:"loadPerMille"`
	// AgeMillis is how long ago the node was heard, when the report was
	// passed on.
	AgeMillis int64 `json:"ageMillis"`
}

// TakesCallers reports whether callers may be sent to the node.
func (r Report) TakesCallers() bool {
	return r.State == StateUp && r.CallerAddress.IsValid()
}

// Table is a replica's view of the fleet. It is not safe for concurrent use.
type Table struct {
	rows map[fleet.NodeID]*row
	// changes counts what subscribers must hear of.
	changes uint64
}

type row struct {
	report Report
	heard  time.Duration
	// changed numbers the latest change that subscribers must hear of.
	changed uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[fleet.NodeID]*row{}}
}

// Merge takes in a report that was fresh AgeMillis before now. Older reports than
// the one held are dropped. It reports whether subscribers must hear of it.
func (t *Table) Merge(report Report, now time.Duration) bool {
	heard := now - time.Duration(report.AgeMillis)*time.Millisecond
	held, ok := t.rows[report.Holder.Node]
	if !ok {
		held = &row{
			report: report,
			heard:  heard,
		}
		t.rows[report.Holder.Node] = held
		t.note(held)
		return true
	}
	if older(report, held.report) {
		return false
	}
	changed := differs(report, held.report)
	held.report = report
	held.heard = max(held.heard, heard)
	if changed {
		t.note(held)
	}
	return changed
}

func (t *Table) note(r *row) {
	t.changes++
	r.changed = t.changes
}

func older(a, b Report) bool {
	if a.Holder.Incarnation != b.Holder.Incarnation {
		return a.Holder.Incarnation < b.Holder.Incarnation
	}
	return a.Seq <= b.Seq
}

// Loads at which a node's place in the directory changes, per mille of its
// capacity. Only the passing of one of them is told to other nodes: with hundreds
// of nodes, telling every change would cost each more than all else.
const (
	BusyLoad     = 600
	OverloadLoad = 950
)

func band(load int) int {
	switch {
	case load >= OverloadLoad:
		return 2
	case load >= BusyLoad:
		return 1
	}
	return 0
}

// differs reports whether subscribers must hear of a change.
func differs(a, b Report) bool {
	return band(a.LoadPerMille) != band(b.LoadPerMille) || a.State != b.State || a.Holder != b.Holder || a.CallerAddress != b.CallerAddress || a.WireAddress != b.WireAddress
}

// MarkDead turns silent nodes dead and forgets those long dead. It reports whether
// subscribers must hear of it.
func (t *Table) MarkDead(now time.Duration) bool {
	changed := false
	for node, r := range t.rows {
		silence := now - r.heard
		if silence > DeadAfter && r.report.State != StateDead {
			r.report.State = StateDead
			t.note(r)
			changed = true
		}
		if silence > forgetAfter {
			delete(t.rows, node)
		}
	}
	return changed
}

// Reports returns all rows, in order of node, with their age.
func (t *Table) Reports(now time.Duration) []Report {
	reports := make([]Report, 0, len(t.rows))
	for _, r := range t.rows {
		report := r.report
		report.AgeMillis = (now - r.heard).Milliseconds()
		reports = append(reports, report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Holder.Node < reports[j].Holder.Node })
	return reports
}

// Since returns the rows that have changed after a number that an earlier call
// returned, 0 for all, and the number to ask with next.
func (t *Table) Since(number uint64) ([]Report, uint64) {
	if number == t.changes {
		return nil, number
	}
	var reports []Report
	for _, r := range t.rows {
		if r.changed > number {
			reports = append(reports, r.report)
		}
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Holder.Node < reports[j].Holder.Node })
	return reports, t.changes
}
