// Package roster implements failure detection for the nodes of the fleet.
//
// Each entry node sends heartbeats to one control replica. The replicas exchange the
// reports that they receive, so that a node counts as up while any replica receives
// its heartbeats. They send their entry nodes only what has changed. An entry node
// receives the roster from its own replica only, whatever the size of the fleet.
//
// The package is a pure state machine. All times are on the caller's clock.
package roster

import (
	"net/netip"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Timeouts and intervals of the roster.
const (
	// HeartbeatInterval is the time between an entry node's heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// DeadAfter is the time without a heartbeat after which a node counts as dead.
	// It tolerates one late heartbeat and still removes a dead node from the
	// directory within 3 s.
	DeadAfter = 2200 * time.Millisecond
	// removeAfter is the time without a heartbeat after which a node is removed
	// from the table.
	removeAfter = 10 * time.Minute
)

// State is the state of a node. A node reports StateUp or StateStopping itself; replicas
// set StateDead for a node without a heartbeat for DeadAfter.
type State string

// The states of a node.
const (
	StateUp       State = "up"
	StateStopping State = "stopping"
	StateDead     State = "dead"
)

// Report is the latest known status of one node.
type Report struct {
	Holder fleet.Holder `json:"holder"`
	// Seq numbers the reports that the node itself sends. A change to StateDead
	// does not increase it.
	Seq        uint64           `json:"seq"`
	State      State            `json:"state"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
	// CallerAddress is the address for callers, WireAddress the one for other
	// processes of the fleet.
	CallerAddress netip.AddrPort `json:"callers"`
	WireAddress   netip.AddrPort `json:"wire"`
	Control       bool           `json:"control,omitempty"`
	// Version is the version of the configuration in use on the node.
	Version fleet.Version `json:"version"`
	// LoadPerMille is the share of the node's capacity that is in use.
	LoadPerMille int `json:"loadPerMille"`
	// Isolated is set while the node is cut off from the backend servers. It serves callers through
	// other nodes.
	Isolated bool `json:"isolated,omitempty"`
	// AgeMillis is the time between the node's latest heartbeat and the sending of
	// this report.
	AgeMillis int64 `json:"ageMillis"`
}

// TakesCallers reports whether callers may be directed to the node.
func (r Report) TakesCallers() bool {
	return r.State == StateUp && r.CallerAddress.IsValid()
}

// Table holds the latest report of each node. It is not safe for concurrent use.
type Table struct {
	rows map[fleet.NodeID]*row
	// changes counts the changes that subscribers are notified of.
	changes uint64
}

type row struct {
	report        Report
	lastHeartbeat time.Duration
	// changeNumber is the number of the row's latest change that subscribers are
	// notified of.
	changeNumber uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[fleet.NodeID]*row{}}
}

// Merge stores a report that was AgeMillis old at time now, unless it is older than the
// stored one. It reports whether subscribers must be notified.
func (t *Table) Merge(report Report, now time.Duration) bool {
	received := now - time.Duration(report.AgeMillis)*time.Millisecond
	stored, ok := t.rows[report.Holder.Node]
	if !ok {
		stored = &row{
			report:        report,
			lastHeartbeat: received,
		}
		t.rows[report.Holder.Node] = stored
		t.recordChange(stored)
		return true
	}
	if isOlder(report, stored.report) {
		return false
	}
	changed := needsNotification(report, stored.report)
	stored.report = report
	stored.lastHeartbeat = max(stored.lastHeartbeat, received)
	if changed {
		t.recordChange(stored)
	}
	return changed
}

// recordChange gives a row the next change number.
func (t *Table) recordChange(r *row) {
	t.changes++
	r.changeNumber = t.changes
}

// isOlder reports whether a was sent no later than b.
func isOlder(a, b Report) bool {
	if a.Holder.Incarnation != b.Holder.Incarnation {
		return a.Holder.Incarnation < b.Holder.Incarnation
	}
	return a.Seq <= b.Seq
}

// Loads at which a node's place in the directory changes, per mille of its capacity.
// Other nodes are notified only when a load crosses one of them. With hundreds of nodes,
// notifying them of every change would cost each node more than all its other work.
const (
	BusyLoad     = 600
	OverloadLoad = 950
)

// loadBand returns which of the ranges bounded by BusyLoad and OverloadLoad a load is in.
func loadBand(load int) int {
	switch {
	case load >= OverloadLoad:
		return 2
	case load >= BusyLoad:
		return 1
	}
	return 0
}

// needsNotification reports whether subscribers must be notified of the difference
// between two reports of a node.
func needsNotification(a, b Report) bool {
	return loadBand(a.LoadPerMille) != loadBand(b.LoadPerMille) || a.State != b.State || a.Isolated != b.Isolated || a.Holder != b.Holder || a.CallerAddress != b.CallerAddress || a.WireAddress != b.WireAddress
}

// MarkDead sets StateDead for nodes without a heartbeat for DeadAfter and removes those
// without a heartbeat for removeAfter. It reports whether subscribers must be notified.
func (t *Table) MarkDead(now time.Duration) bool {
	changed := false
	for node, r := range t.rows {
		elapsed := now - r.lastHeartbeat
		if elapsed > DeadAfter && r.report.State != StateDead {
			r.report.State = StateDead
			t.recordChange(r)
			changed = true
		}
		if elapsed > removeAfter {
			delete(t.rows, node)
		}
	}
	return changed
}

// Reports returns the reports of all nodes, sorted by node, with their age.
func (t *Table) Reports(now time.Duration) []Report {
	reports := make([]Report, 0, len(t.rows))
	for _, r := range t.rows {
		report := r.report
		report.AgeMillis = (now - r.lastHeartbeat).Milliseconds()
		reports = append(reports, report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Holder.Node < reports[j].Holder.Node })
	return reports
}

// Since returns the reports that changed after the given change number, sorted by node,
// and the number to pass to the next call. Number 0 returns all reports.
func (t *Table) Since(number uint64) ([]Report, uint64) {
	if number == t.changes {
		return nil, number
	}
	var reports []Report
	for _, r := range t.rows {
		if r.changeNumber > number {
			reports = append(reports, r.report)
		}
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Holder.Node < reports[j].Holder.Node })
	return reports, t.changes
}
