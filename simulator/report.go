package simulator

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Report is what became of a pattern's requests.
type Report struct {
	Pattern string
	Policy  string
	Classes []ClassReport
	// Imbalance is how many requests arrived at the busiest engine, over the mean.
	Imbalance float64
	// Read counts the prompt tokens that were read, Again those of shared parts that
	// an engine had read before and no longer held, Prompts all that was sent.
	Read    int64
	Again   int64
	Prompts int64
	// Far counts the requests that were sent to another data centre, Sent all.
	Far  int
	Sent int
	// WorstWorkspace is the part of the worst-served tenth of workspaces' requests
	// that began in time, in per mille.
	WorstWorkspace float64
	// Seconds are, for each second of arrivals, those asked and those in time.
	Seconds []Second
}

// Second is one second of arrivals.
type Second struct {
	Asked int
	InAim int
}

// ClassReport is what became of one class's requests.
type ClassReport struct {
	Class string
	Asked int
	// InAim began in time, Late began later, the rest never did or broke off.
	InAim int
	Late  int
	P50   time.Duration
	P99   time.Duration
}

func (p *play) report(policy string) *Report {
	r := &Report{
		Pattern: p.pattern.Name,
		Policy:  policy,
		Far:     p.far,
		Sent:    p.sent,
		Seconds: make([]Second, int(p.pattern.Length/time.Second)+1),
	}
	byWorkspace := make([]Second, max(p.pattern.Workspaces, 1))
	for i := range p.pattern.Classes {
		c := &p.pattern.Classes[i]
		report := ClassReport{Class: c.Name}
		var firsts []time.Duration
		for _, q := range p.requests {
			if q.class != c {
				continue
			}
			report.Asked++
			r.Prompts += int64(q.prompt)
			second, workspace := &r.Seconds[int(q.at/time.Second)], &byWorkspace[q.workspace]
			second.Asked++
			workspace.Asked++
			switch {
			case !q.ended || q.first > c.Deadline:
				continue
			case q.first <= c.Aim:
				report.InAim++
				second.InAim++
				workspace.InAim++
			default:
				report.Late++
			}
			firsts = append(firsts, q.first)
		}
		slices.Sort(firsts)
		if n := len(firsts); n > 0 {
			report.P50, report.P99 = firsts[n/2], firsts[n*99/100]
		}
		r.Classes = append(r.Classes, report)
	}
	r.WorstWorkspace = worstTenth(byWorkspace)
	p.engineReport(r)
	return r
}

func worstTenth(workspaces []Second) float64 {
	slices.SortFunc(workspaces, func(a, b Second) int { return a.InAim*b.Asked - b.InAim*a.Asked })
	asked, inAim := 0, 0
	for _, w := range workspaces[:(len(workspaces)+9)/10] {
		asked += w.Asked
		inAim += w.InAim
	}
	return perMille(inAim, asked)
}

func perMille(part, whole int) float64 {
	if whole == 0 {
		return 1000
	}
	return 1000 * float64(part) / float64(whole)
}

func (p *play) engineReport(r *Report) {
	total, most := 0.0, 0.0
	for _, e := range p.engines {
		r.Read += int64(e.read)
		r.Again += int64(e.readAgain)
		total += float64(e.arrivals)
		most = max(most, float64(e.arrivals))
	}
	if total > 0 {
		r.Imbalance = most * float64(len(p.engines)) / total
	}
}

// Figure returns one figure of the report by its name, and of a class where one is named.
func (r *Report) Figure(name, class string) (float64, error) {
	switch name {
	case "imbalance":
		return r.Imbalance, nil
	case "far":
		return r.far(), nil
	case "worstWorkspace":
		return r.WorstWorkspace, nil
	case "cached":
		return r.cached(), nil
	case "again":
		return r.again(), nil
	}
	for _, c := range r.Classes {
		if c.Class != class {
			continue
		}
		switch name {
		case "inAim":
			return perMille(c.InAim, c.Asked), nil
		case "late":
			return perMille(c.Late, c.Asked), nil
		case "lost":
			return perMille(c.Asked-c.InAim-c.Late, c.Asked), nil
		case "p99Millis":
			return float64(c.P99.Milliseconds()), nil
		}
	}
	return 0, eris.Errorf("no figure %q of class %q; hint: inAim, late, lost or p99Millis of a class, imbalance, cached, again, far, worstWorkspace", name, class)
}

// Write writes the report as a table.
func (r *Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s, placed by %s: busiest engine %.2f of the mean, %.0f per mille of prompts cached, %.0f per mille of what was read had been before, %.0f per mille sent far, worst tenth of workspaces %.0f per mille in time\n",
		r.Pattern, r.Policy, r.Imbalance, r.cached(), r.again(), r.far(), r.WorstWorkspace)
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(w, "  %-12s asked %6d  in time %6d  late %5d  lost %5d  p50 %6s  p99 %6s\n",
			c.Class, c.Asked, c.InAim, c.Late, c.Asked-c.InAim-c.Late, c.P50.Round(time.Millisecond), c.P99.Round(time.Millisecond))
	}
}

// cached is the part of all prompts that engines held, in per mille.
func (r *Report) cached() float64 {
	return 1000 - 1000*float64(r.Read)/float64(max(r.Prompts, 1))
}

// again is the part of what was read that an engine had read before, in per mille.
func (r *Report) again() float64 {
	return 1000 * float64(r.Again) / float64(max(r.Read, 1))
}

// far is the part of the requests that were sent to another data centre, in per mille.
func (r *Report) far() float64 {
	return perMille(r.Far, r.Sent)
}

// Sizes of a plot, in pixels.
const (
	plotWidth  = 640
	plotHeight = 240
)

var plotColours = []string{"#1b6ca8", "#c44536", "#5a8f29", "#7a5195"}

// Plot draws the part of each second's arrivals that began in time, one line for each
// report, as SVG.
func Plot(w io.Writer, reports []*Report) error {
	b := strings.Builder{}
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="-40 -20 %d %d" font-family="sans-serif" font-size="11">`+"\n", plotWidth+60, plotHeight+60)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="none" stroke="#999"/>`+"\n", plotWidth, plotHeight)
	for i, r := range reports {
		n := max(len(r.Seconds)-1, 1)
		var points []string
		for at, s := range r.Seconds {
			points = append(points, fmt.Sprintf("%d,%.0f", at*plotWidth/n, plotHeight*(1-perMille(s.InAim, s.Asked)/1000)))
		}
		colour := plotColours[i%len(plotColours)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", colour, strings.Join(points, " "))
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s, %s</text>`+"\n", 8+i*plotWidth/4, plotHeight+30, colour, r.Pattern, r.Policy)
	}
	fmt.Fprintf(&b, `<text x="-36" y="8">100%%</text><text x="-24" y="%d">0%%</text><text x="%d" y="%d">seconds</text>`+"\n", plotHeight, plotWidth-40, plotHeight+14)
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "simulator: write the plot")
}
