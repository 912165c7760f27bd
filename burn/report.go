package burn

import (
	"github.com/waxwingreel/waxwingreel/fleet"
)

// defaultAnsweredPerMille is the objective of classes and tiers for which the settings
// define none.
const defaultAnsweredPerMille = 990

// NodeCounts holds the counts of one node.
type NodeCounts struct {
	Node   fleet.NodeID `json:"node"`
	Counts []Count      `json:"counts"`
}

// Report is the burn report of the fleet. Asked lists the nodes whose requests are counted.
// Missing lists the nodes that did not respond; their requests are not counted.
type Report struct {
	Lines   []Line         `json:"lines"`
	Asked   []fleet.NodeID `json:"asked"`
	Missing []fleet.NodeID `json:"missing"`
}

// Line holds the burn rates of one series.
type Line struct {
	Series            Series      `json:"series"`
	ObjectivePerMille int64       `json:"objectivePerMille"`
	Short             WindowCount `json:"short"`
	Long              WindowCount `json:"long"`
	// ShortBurn and LongBurn are the share of bad requests divided by the share
	// that the objective allows.
	ShortBurn float64 `json:"shortBurn"`
	LongBurn  float64 `json:"longBurn"`
	// LeftPerMille is the remaining part of the long window's error budget. It is
	// negative if more than the whole error budget was used.
	LeftPerMille int64        `json:"leftPerMille"`
	Causes       []CauseCount `json:"causes,omitempty"`
}

// Merge adds up the nodes' counts and computes the burn rates.
func Merge(nodes []NodeCounts, missing []fleet.NodeID, objectives []Objective) Report {
	report := Report{
		Lines:   []Line{},
		Asked:   []fleet.NodeID{},
		Missing: missing,
	}
	sums := map[Series]*Count{}
	for _, node := range nodes {
		report.Asked = append(report.Asked, node.Node)
		for _, count := range node.Counts {
			addCount(sums, count)
		}
	}
	var counts []Count
	for _, count := range sums {
		counts = append(counts, *count)
	}
	sortCounts(counts)
	for _, count := range counts {
		report.Lines = append(report.Lines, newLine(count, objectives))
	}
	return report
}

func addCount(sums map[Series]*Count, count Count) {
	sum, ok := sums[count.Series]
	if !ok {
		sums[count.Series] = &count
		return
	}
	sum.Short.add(count.Short.Total, count.Short.Bad)
	sum.Long.add(count.Long.Total, count.Long.Bad)
	causes := map[Cause]int{}
	for _, c := range append(sum.Causes, count.Causes...) {
		causes[c.Cause] += c.Count
	}
	sum.Causes = sortCauses(causes)
}

func newLine(count Count, objectives []Objective) Line {
	objective := int64(defaultAnsweredPerMille)
	for _, o := range objectives {
		if o.Class == count.Series.Class && o.Tier == count.Series.Tier {
			objective = o.AnsweredPerMille
		}
	}
	l := Line{
		Series:            count.Series,
		ObjectivePerMille: objective,
		Short:             count.Short,
		Long:              count.Long,
		ShortBurn:         burnRate(count.Short, objective),
		LongBurn:          burnRate(count.Long, objective),
		Causes:            count.Causes,
	}
	l.LeftPerMille = int64(1000 * (1 - l.LongBurn))
	return l
}

func burnRate(w WindowCount, objective int64) float64 {
	if w.Total == 0 {
		return 0
	}
	allowed := float64(1000-objective) / 1000
	return float64(w.Bad) / float64(w.Total) / allowed
}
