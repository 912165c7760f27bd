package load

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Evidence is what was seen outside the fleet's answers to callers.
type Evidence struct {
	// Budgets are the ledger's figures after the run.
	Budgets []BudgetEvidence
	// Runs counts how often each at-most-once call was run, by request id.
	Runs map[string]int
}

// BudgetEvidence is one budget.
type BudgetEvidence struct {
	ID      fleet.BudgetID
	Prepaid fleet.Tokens
	Settled fleet.Tokens
	Leased  fleet.Tokens
	// Keys are the callers' keys that draw on it.
	Keys []string
	// CallPrice is the price of each at-most-once call.
	CallPrice fleet.Tokens
}

// Report is the result of an audit.
type Report struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Retried  int `json:"retried"`
	// Refusals counts the last refusals by type.
	Refusals map[string]int `json:"refusals"`
	// FalseRefusals are refusals while prepaid budget was left, for want of
	// quota or of capacity.
	FalseRefusals int          `json:"falseRefusals"`
	Overspend     fleet.Tokens `json:"overspend"`
	// Violations lists the promises that were broken.
	Violations []string `json:"brokenPromises"`
	Kinds      []KindReport
}

// KindReport holds the times of one kind of request.
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

// Refusals that are true whatever the load: the caller's own fault, or a budget
// that is spent.
var trueRefusals = []string{"budgetExhausted", "badRequest", "unauthorized", "notFound", "tooLarge", "requestIdTooOld", "requestIdUsedWithOtherBody"}

// Audit compares what callers were told with what was seen elsewhere.
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
	report.Kinds = kinds(outcomes)
	return report
}

func (r *Report) broke(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func (r *Report) count(o Outcome) {
	if o.Attempts > 1 {
		r.Retried++
	}
	if o.WrongAnswer != "" {
		r.broke("request %s (%s): %s", o.ID, o.Kind, o.WrongAnswer)
	}
	if o.Answered {
		r.Answered++
		return
	}
	r.Refusals[o.Refusal]++
	if !slices.Contains(trueRefusals, o.Refusal) {
		r.FalseRefusals++
	}
}

// checkRuns checks that a call ran at most once, that one that was answered ran, and
// that one that was said not to have run did not.
func (r *Report) checkRuns(o Outcome, runs map[string]int) {
	if !o.Service || runs == nil {
		return
	}
	n := runs[o.ID.String()]
	switch {
	case n > 1 && o.AtMostOnce:
		r.broke("call %s (%s) ran %d times", o.ID, o.Kind, n)
	case o.Answered && n == 0:
		r.broke("call %s (%s) was answered but never ran", o.ID, o.Kind)
	case o.NotRun && n > 0:
		r.broke("call %s (%s) was refused as not run, but ran: %s", o.ID, o.Kind, o.Message)
	}
}

// checkBudget compares a budget with what its callers were told. The bill of a
// request that ended without an answer may be anything from nothing to its highest
// price.
func (r *Report) checkBudget(b BudgetEvidence, outcomes []Outcome) {
	if over := b.Settled + b.Leased - b.Prepaid; over > 0 {
		r.Overspend += over
		r.broke("budget %s: settled %d and leased %d exceed prepaid %d", b.ID, b.Settled, b.Leased, b.Prepaid)
	}
	least, most := fleet.Tokens(0), fleet.Tokens(0)
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
			least += price
			most += price
		case !o.NotRun:
			least += o.Billed
			most += max(o.MaxPrice, price)
		}
	}
	if b.Settled < least || b.Settled > most {
		r.broke("budget %s: settled %d, but its callers were told of at least %d and at most %d", b.ID, b.Settled, least, most)
	}
}

func kinds(outcomes []Outcome) []KindReport {
	byName := map[string][]Outcome{}
	for _, o := range outcomes {
		byName[o.Kind] = append(byName[o.Kind], o)
	}
	var reports []KindReport
	for name, list := range byName {
		k := KindReport{
			Name: name,
			Sent: len(list),
		}
		var first, total []time.Duration
		for _, o := range list {
			if !o.Answered {
				continue
			}
			k.Answered++
			first = append(first, o.FirstToken)
			total = append(total, o.Total)
		}
		k.FirstP50, k.FirstP95, k.FirstP99 = percentiles(first)
		k.TotalP50, k.TotalP95, k.TotalP99 = percentiles(total)
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

// Print writes the report for people.
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
		_, _ = fmt.Fprintf(w, "  %-22s sent %5d answered %5d  first token p50 %s p95 %s p99 %s  total p50 %s p95 %s p99 %s\n", k.Name, k.Sent, k.Answered, ms(k.FirstP50), ms(k.FirstP95), ms(k.FirstP99), ms(k.TotalP50), ms(k.TotalP95), ms(k.TotalP99))
	}
	_, _ = fmt.Fprintf(w, "overspend %d tokens, false refusals %d of %d\n", r.Overspend, r.FalseRefusals, r.Sent)
	for _, b := range r.Violations {
		_, _ = fmt.Fprintf(w, "BROKEN PROMISE: %s\n", b)
	}
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000)
}
