// Package measure runs fleets in this process, compares their performance with the project's
// targets and with simple baselines, and writes the measurements to docs/MEASURES.md.
package measure

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Measurement is a measured value.
type Measurement struct {
	Name  string
	Value float64
	Unit  string
	// Target is the users' target, "" for a measurement without one.
	Target string
	// TargetMissed is true if the target is not met.
	TargetMissed bool
}

// Group holds measurements that were taken under the same conditions.
type Group struct {
	Name string
	// Setting describes these conditions.
	Setting      string
	Measurements []Measurement
}

func (g *Group) add(name string, value float64, unit string) {
	g.Measurements = append(g.Measurements, Measurement{
		Name:  name,
		Value: value,
		Unit:  unit,
	})
}

// addWithBound adds a measurement whose target is an upper bound.
func (g *Group) addWithBound(name string, value float64, unit string, bound float64) {
	g.Measurements = append(g.Measurements, Measurement{
		Name:         name,
		Value:        value,
		Unit:         unit,
		Target:       fmt.Sprintf("at most %g", bound),
		TargetMissed: value > bound,
	})
}

// Line formats a measurement as name, value, unit and target, separated by tabs.
func (m Measurement) Line() string {
	target := m.Target
	if target == "" {
		target = "-"
	}
	if m.TargetMissed {
		target += " MISSED"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s", m.Name, number(m.Value), m.Unit, target)
}

func number(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Print writes one line per measurement.
func (g Group) Print(w io.Writer) {
	for _, m := range g.Measurements {
		_, _ = fmt.Fprintln(w, m.Line())
	}
}

// table formats the group as Markdown.
func (g Group) table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\n| figure | value | unit | target |\n|---|---|---|---|\n", g.Setting)
	for _, m := range g.Measurements {
		target := m.Target
		if m.TargetMissed {
			target = "**missed**: " + target
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", m.Name, number(m.Value), m.Unit, target)
	}
	return b.String()
}

// WriteInto replaces the group's table in a page. The table is between the lines
// "<!-- measure NAME -->" and "<!-- end -->".
func (g Group) WriteInto(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "measure: read the page")
	}
	begin := "<!-- measure " + g.Name + " -->\n"
	before, rest, ok := strings.Cut(string(text), begin)
	if !ok {
		return eris.Errorf("measure: %s has no line %q", path, strings.TrimSpace(begin))
	}
	_, after, ok := strings.Cut(rest, "<!-- end -->")
	if !ok {
		return eris.Errorf("measure: %s: the table of %s has no line <!-- end -->", path, g.Name)
	}
	page := before + begin + g.table() + "<!-- end -->" + after
	return eris.Wrap(os.WriteFile(path, []byte(page), 0o644), "measure: write the page")
}

func percentile(d []time.Duration, perMille int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[min(len(sorted)*perMille/1000, len(sorted)-1)]
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
