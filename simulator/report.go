package simulator

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Report holds the results of a simulation.
type Report struct {
	Pattern string
	Policy  string
	Classes []ClassReport
	// Imbalance is the number of requests at the busiest engine divided by the mean.
	Imbalance float64
	// Prefilled is the number of prompt tokens that engines computed, Recomputed those of
	// shared parts that an engine had computed before but no longer cached, PromptTokens
	// the number of all prompt tokens.
	Prefilled    int64
	Recomputed   int64
	PromptTokens int64
	// Remote is the number of requests sent to another data centre, Sent that of all.
	Remote int
	Sent   int
	// WorstWorkspace is the share of requests that began in time, in per mille, in the
	// tenth of workspaces where it is lowest.
	WorstWorkspace float64
	// Seconds holds the counts per second of arrival.
	Seconds []Counts
	// Credit is the share of the credit owed that was earned, in per mille; WorstSeconds that of
	// the two seconds of arrival where it is lowest, LeastWorkspace that of the workspace where it
	// is lowest as a share of Credit.
	Credit         float64
	WorstSeconds   float64
	LeastWorkspace float64
}

// Counts holds the number of requests that arrived in a second or belong to a workspace, and of
// those among them that began in time.
type Counts struct {
	Requests int
	InTime   int
	// Owed is the credit of all, Earned that of those that began, in time or late.
	Owed   float64
	Earned float64
}

// ClassReport holds the results of a class of requests.
type ClassReport struct {
	Class    string
	Requests int
	// InTime counts the requests that began in time, Late those that began later. The
	// others did not begin before their deadline or did not complete.
	InTime int
	Late   int
	P50    time.Duration
	P99    time.Duration
}

func (s *simulation) report(policy string) *Report {
	r := &Report{
		Pattern: s.pattern.Name,
		Policy:  policy,
		Remote:  s.remote,
		Sent:    s.sent,
		Seconds: make([]Counts, int(s.pattern.Length/time.Second)+1),
	}
	byWorkspace := make([]Counts, max(s.pattern.Workspaces, 1))
	for i := range s.pattern.Classes {
		c := &s.pattern.Classes[i]
		report := ClassReport{Class: c.Name}
		var firstTokenTimes []time.Duration
		for _, q := range s.requests {
			if q.class != c || q.gone {
				continue
			}
			report.Requests++
			r.PromptTokens += int64(q.prompt)
			second, workspace := &r.Seconds[int(q.arrivedAt/time.Second)], &byWorkspace[q.workspace]
			second.Requests++
			workspace.Requests++
			earned := q.earned()
			second.Owed += c.Worth
			second.Earned += earned
			workspace.Owed += c.Worth
			workspace.Earned += earned
			switch {
			case !q.completed || q.firstTokenTime > c.Deadline:
				continue
			case q.firstTokenTime <= c.Target:
				report.InTime++
				second.InTime++
				workspace.InTime++
			default:
				report.Late++
			}
			firstTokenTimes = append(firstTokenTimes, q.firstTokenTime)
		}
		slices.Sort(firstTokenTimes)
		if n := len(firstTokenTimes); n > 0 {
			report.P50, report.P99 = firstTokenTimes[n/2], firstTokenTimes[n*99/100]
		}
		r.Classes = append(r.Classes, report)
	}
	r.countCredit(byWorkspace)
	r.WorstWorkspace = worstTenth(byWorkspace)
	s.engineReport(r)
	return r
}

// earned returns the credit that the request has earned.
func (r *request) earned() float64 {
	switch {
	case !r.completed || r.firstTokenTime > r.class.Deadline:
		return 0
	case r.firstTokenTime <= r.class.Target:
		return r.class.Worth
	}
	return r.class.LateWorth
}

// countCredit fills in the report's figures of credit.
func (r *Report) countCredit(byWorkspace []Counts) {
	owed, earned := 0.0, 0.0
	for _, w := range byWorkspace {
		owed += w.Owed
		earned += w.Earned
	}
	r.Credit = 1000 * earned / max(owed, 1)
	least := 1.0
	for _, w := range byWorkspace {
		if w.Requests >= minCounted {
			least = min(least, w.Earned/w.Owed*owed/max(earned, 1))
		}
	}
	r.LeastWorkspace = 1000 * least
	var shares []float64
	for _, second := range r.Seconds {
		if second.Requests >= minCounted {
			shares = append(shares, second.Earned/second.Owed)
		}
	}
	slices.Sort(shares)
	for _, share := range shares[:min(len(shares), 2)] {
		r.WorstSeconds += 1000 * share / 2
	}
}

// minCounted is the least number of requests for a share of them to mean something.
const minCounted = 20

func worstTenth(workspaces []Counts) float64 {
	slices.SortFunc(workspaces, func(a, b Counts) int { return a.InTime*b.Requests - b.InTime*a.Requests })
	requests, inTime := 0, 0
	for _, w := range workspaces[:(len(workspaces)+9)/10] {
		requests += w.Requests
		inTime += w.InTime
	}
	return perMille(inTime, requests)
}

func perMille(part, whole int) float64 {
	if whole == 0 {
		return 1000
	}
	return 1000 * float64(part) / float64(whole)
}

func (s *simulation) engineReport(r *Report) {
	total, most := 0.0, 0.0
	for _, e := range s.engines {
		r.Prefilled += int64(e.prefilledTokens)
		r.Recomputed += int64(e.recomputedTokens)
		total += float64(e.arrivals)
		most = max(most, float64(e.arrivals))
	}
	if total > 0 {
		r.Imbalance = most * float64(len(s.engines)) / total
	}
}

// Metric returns a metric of the report by its name and, if it is a metric of a class, by its
// class.
func (r *Report) Metric(name, class string) (float64, error) {
	switch name {
	case "imbalance":
		return r.Imbalance, nil
	case "far":
		return r.remotePerMille(), nil
	case "credit":
		return r.Credit, nil
	case "worstSeconds":
		return r.WorstSeconds, nil
	case "leastWorkspace":
		return r.LeastWorkspace, nil
	case "worstWorkspace":
		return r.WorstWorkspace, nil
	case "cached":
		return r.cachedPerMille(), nil
	case "again":
		return r.recomputedPerMille(), nil
	}
	for _, c := range r.Classes {
		if c.Class != class {
			continue
		}
		switch name {
		case "inAim":
			return perMille(c.InTime, c.Requests), nil
		case "late":
			return perMille(c.Late, c.Requests), nil
		case "lost":
			return perMille(c.Requests-c.InTime-c.Late, c.Requests), nil
		case "p99Millis":
			return float64(c.P99.Milliseconds()), nil
		}
	}
	return 0, eris.Errorf("unknown metric %q of class %q; hint: inAim, late, lost or p99Millis of a class, imbalance, cached, again, far, worstWorkspace, credit, worstSeconds, leastWorkspace", name, class)
}

// Write writes the report as a table.
func (r *Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s, placed by %s: busiest engine %.2f of the mean, %.0f per mille of prompts cached, %.0f per mille of prefilled tokens recomputed, %.0f per mille of requests sent to another data centre, worst tenth of workspaces %.0f per mille in time, credit %.0f, in the worst two seconds %.0f, of the least workspace %.0f of the mean\n",
		r.Pattern, r.Policy, r.Imbalance, r.cachedPerMille(), r.recomputedPerMille(), r.remotePerMille(), r.WorstWorkspace, r.Credit, r.WorstSeconds, r.LeastWorkspace)
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(w, "  %-12s asked %6d  in time %6d  late %5d  lost %5d  p50 %6s  p99 %6s\n",
			c.Class, c.Requests, c.InTime, c.Late, c.Requests-c.InTime-c.Late, c.P50.Round(time.Millisecond), c.P99.Round(time.Millisecond))
	}
}

// cachedPerMille is the share of all prompt tokens that were cached.
func (r *Report) cachedPerMille() float64 {
	return 1000 - 1000*float64(r.Prefilled)/float64(max(r.PromptTokens, 1))
}

// recomputedPerMille is the share of prefilled tokens that an engine had computed before.
func (r *Report) recomputedPerMille() float64 {
	return 1000 * float64(r.Recomputed) / float64(max(r.Prefilled, 1))
}

// remotePerMille is the share of requests that were sent to another data centre.
func (r *Report) remotePerMille() float64 {
	return perMille(r.Remote, r.Sent)
}

// The size of a plot in SVG units.
const (
	plotWidth  = 640
	plotHeight = 240
)

var plotColours = []string{"#1b6ca8", "#c44536", "#5a8f29", "#7a5195"}

// Plot draws the share of requests that began in time over the second of their arrival, as SVG
// with one line per report.
func Plot(w io.Writer, reports []*Report) error {
	b := strings.Builder{}
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="-40 -20 %d %d" font-family="sans-serif" font-size="11">`+"\n", plotWidth+60, plotHeight+60)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="none" stroke="#999"/>`+"\n", plotWidth, plotHeight)
	for i, r := range reports {
		n := max(len(r.Seconds)-1, 1)
		var points []string
		for at, second := range r.Seconds {
			points = append(points, fmt.Sprintf("%d,%.0f", at*plotWidth/n, plotHeight*(1-perMille(second.InTime, second.Requests)/1000)))
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
