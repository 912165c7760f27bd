package load

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Evidence is what was observed of the fleet other than its responses to callers.
type Evidence struct {
	// Budgets holds the ledger's state of each budget after the run.
	Budgets []BudgetEvidence
	// Runs is the number of executions of each at-most-once call, by request id.
	Runs map[string]int
}

// BudgetEvidence is the ledger's state of a budget.
type BudgetEvidence struct {
	ID      fleet.BudgetID
	Prepaid fleet.Tokens
	Settled fleet.Tokens
	Leased  fleet.Tokens
	// Keys are the callers' keys that are charged to the budget.
	Keys []string
	// CallPrice is the price of each at-most-once call.
	CallPrice fleet.Tokens
}

// Report is the result of an audit.
type Report struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Retried  int `json:"retried"`
	// Refusals counts the requests without a complete response by the type of the last
	// refusal.
	Refusals map[string]int `json:"refusals"`
	// FalseRefusals counts refusals for lack of quota or capacity although prepaid
	// budget was left.
	FalseRefusals int          `json:"falseRefusals"`
	Overspend     fleet.Tokens `json:"overspend"`
	// Violations describes each violated guarantee.
	Violations []string `json:"brokenPromises"`
	Kinds      []KindReport
}

// KindReport holds the counts and latencies of one kind of request.
type KindReport struct {
	Name     string        `json:"name"`
	Sent     int           `json:"sent"`
	Answered int           `json:"answered"`
	FirstP50 time.Duration `json:"firstTokenP50"`
	FirstP95 time.Duration `json:"firstTokenP95"`
	FirstP99 time.Duration `json:"firstTokenP99"`
	TotalP50 time.Duration `json:"totalP50"`
	TotalP95 time.Duration `json:"totalP95"`
	TotalP99 time.Duration `json:"totalP99"`
}

// legitimateRefusals are the refusals that do not depend on the load: errors of the caller
// and an exhausted budget.
var legitimateRefusals = []string{"budgetExhausted", "badRequest", "unauthorized", "notFound", "tooLarge", "requestIdTooOld", "requestIdUsedWithOtherBody"}

// Audit compares the responses to callers with the evidence.
func Audit(outcomes []Outcome, evidence Evidence) Report {
	report := Report{
		Sent:     len(outcomes),
		Refusals: map[string]int{},
	}
	for _, o := range outcomes {
		report.count(o)
		report.checkRuns(o, evidence.Runs)
	}
	for _, b := range evidence.Budgets {
		report.checkBudget(b, outcomes)
	}
	report.Kinds = kindReports(outcomes)
	return report
}

func (r *Report) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func (r *Report) count(o Outcome) {
	if o.Attempts > 1 {
		r.Retried++
	}
	if o.WrongAnswer != "" {
		r.violate("request %s (%s): %s", o.ID, o.Kind, o.WrongAnswer)
	}
	if o.Answered {
		r.Answered++
		return
	}
	r.Refusals[o.Refusal]++
	if !slices.Contains(legitimateRefusals, o.Refusal) {
		r.FalseRefusals++
	}
}

// checkRuns checks that an at-most-once call ran at most once, that a call with a
// response ran, and that a call refused as not run did not run.
func (r *Report) checkRuns(o Outcome, runs map[string]int) {
	if !o.Service || runs == nil {
		return
	}
	n := runs[o.ID.String()]
	switch {
	case n > 1 && o.AtMostOnce:
		r.violate("call %s (%s) ran %d times", o.ID, o.Kind, n)
	case o.Answered && n == 0:
		r.violate("call %s (%s) got a response but never ran", o.ID, o.Kind)
	case o.NotRun && n > 0:
		r.violate("call %s (%s) was refused as not run, but ran: %s", o.ID, o.Kind, o.Message)
	}
}

// checkBudget compares the tokens settled for a budget with those billed to its callers. A
// request without a complete response may have been billed anything from nothing to its
// maximum price, unless it was refused as not run.
func (r *Report) checkBudget(b BudgetEvidence, outcomes []Outcome) {
	if excess := b.Settled + b.Leased - b.Prepaid; excess > 0 {
		r.Overspend += excess
		r.violate("budget %s: settled %d and leased %d exceed prepaid %d", b.ID, b.Settled, b.Leased, b.Prepaid)
	}
	minBilled, maxBilled := fleet.Tokens(0), fleet.Tokens(0)
	for _, o := range outcomes {
		if !slices.Contains(b.Keys, o.Key) {
			continue
		}
		price := o.Billed
		if o.Service {
			price = b.CallPrice
		}
		switch {
		case o.Answered:
			minBilled += price
			maxBilled += price
		case !o.NotRun:
			minBilled += o.Billed
			maxBilled += max(o.MaxPrice, price)
		}
	}
	if b.Settled < minBilled || b.Settled > maxBilled {
		r.violate("budget %s: settled %d, but its callers were billed at least %d and at most %d", b.ID, b.Settled, minBilled, maxBilled)
	}
}

func kindReports(outcomes []Outcome) []KindReport {
	byName := map[string][]Outcome{}
	for _, o := range outcomes {
		byName[o.Kind] = append(byName[o.Kind], o)
	}
	var reports []KindReport
	for name, ofKind := range byName {
		k := KindReport{
			Name: name,
			Sent: len(ofKind),
		}
		var firstTokens, totals []time.Duration
		for _, o := range ofKind {
			if !o.Answered {
				continue
			}
			k.Answered++
			firstTokens = append(firstTokens, o.FirstToken)
			totals = append(totals, o.Total)
		}
		k.FirstP50, k.FirstP95, k.FirstP99 = percentiles(firstTokens)
		k.TotalP50, k.TotalP95, k.TotalP99 = percentiles(totals)
		reports = append(reports, k)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Name < reports[j].Name })
	return reports
}

func percentiles(d []time.Duration) (p50, p95, p99 time.Duration) {
	if len(d) == 0 {
		return 0, 0, 0
	}
	slices.Sort(d)
	at := func(perMille int) time.Duration { return d[min(len(d)*perMille/1000, len(d)-1)] }
	return at(500), at(950), at(990)
}

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "sent %d, answered %d, retried %d\n", r.Sent, r.Answered, r.Retried)
	var types []string
	for t := range r.Refusals {
		types = append(types, t)
	}
	slices.Sort(types)
	for _, t := range types {
		_, _ = fmt.Fprintf(w, "  ended as %s: %d\n", t, r.Refusals[t])
	}
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(w, "  %-22s sent %5d answered %5d  first token p50 %s p95 %s p99 %s  total p50 %s p95 %s p99 %s\n", k.Name, k.Sent, k.Answered, formatMillis(k.FirstP50), formatMillis(k.FirstP95), formatMillis(k.FirstP99), formatMillis(k.TotalP50), formatMillis(k.TotalP95), formatMillis(k.TotalP99))
	}
	_, _ = fmt.Fprintf(w, "overspend %d tokens, false refusals %d of %d\n", r.Overspend, r.FalseRefusals, r.Sent)
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(w, "VIOLATED GUARANTEE: %s\n", v)
	}
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000)
}
