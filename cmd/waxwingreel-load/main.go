// Command waxwingreel-load is an open-loop load generator: it sends the requests of a mix
// to a running fleet at their scheduled times, whether or not earlier ones have ended.
// Then it audits from outside whether the fleet kept its guarantees, and exits with 1 if
// one was violated.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/load"
	"github.com/waxwingreel/waxwingreel/operator"
)

type options struct {
	Mix         string        `long:"mix" value-name:"FILE" required:"true" description:"Request mix, JSON with comments; see examples/mixes"`
	Entries     []string      `long:"entry" value-name:"ADDRESS" default:"127.0.0.1:8101" description:"Callers' address of a node; may be repeated"`
	For         time.Duration `long:"for" default:"10s" description:"How long to send requests"`
	Rate        float64       `long:"rate" description:"Requests per second, instead of the mix's rate"`
	Seed        uint64        `long:"seed" default:"1" description:"Random seed for the arrival times and kinds of the requests"`
	Attempts    int           `long:"attempts" default:"6" description:"Maximum number of attempts per request"`
	Node        string        `long:"node" value-name:"ADDRESS" description:"Operators' address of a node, to audit budgets"`
	OperatorKey string        `long:"operator-key" env:"WAXWINGREEL_OPERATOR_KEY" description:"Operator's key"`
	Budgets     []string      `long:"budget" value-name:"ID=KEY" description:"Budget to audit, and the caller's key that draws on it; may be repeated"`
	CallPrice   int64         `long:"call-price" description:"Price of the mix's service calls"`
	Services    []string      `long:"service" value-name:"ADDRESS" description:"Stand-in service whose at-most-once calls to audit; may be repeated"`
	JSON        bool          `long:"json" description:"Print the outcomes and the report as JSON lines"`
}

func main() {
	opts := options{}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	violated, err := run(opts)
	if err != nil {
		fmt.Fprintf(os.Stderr, "waxwingreel-load: %s\n", eris.ToString(err, false))
		os.Exit(2)
	}
	if violated {
		os.Exit(1)
	}
}

// run reports whether a guarantee was violated.
func run(opts options) (bool, error) {
	mix, err := load.ReadMix(opts.Mix)
	if err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	before, err := readBudgets(opts)
	if err != nil {
		return false, err
	}
	outcomes := load.Run(ctx, load.Config{
		Mix:        mix,
		Seeds:      opts.Entries,
		Duration:   opts.For,
		Rate:       opts.Rate,
		Seed:       opts.Seed,
		Attempts:   opts.Attempts,
		OnProgress: printProgress,
	})
	evidence, err := gatherEvidence(opts, before)
	if err != nil {
		return false, err
	}
	report := load.Audit(outcomes, evidence)
	if opts.JSON {
		return len(report.Violations) > 0, printJSON(outcomes, report)
	}
	report.Print(os.Stdout)
	return len(report.Violations) > 0, nil
}

func printProgress(sent, ended int) {
	fmt.Fprintf(os.Stderr, "\rsent %d, ended %d   ", sent, ended)
}

func printJSON(outcomes []load.Outcome, report load.Report) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, o := range outcomes {
		if err := encoder.Encode(o); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	return eris.Wrap(encoder.Encode(report), "print")
}

// gatherEvidence collects the evidence after the run. It subtracts the tokens that were
// settled before the run.
func gatherEvidence(opts options, before []load.BudgetEvidence) (load.Evidence, error) {
	after, err := readBudgets(opts)
	if err != nil {
		return load.Evidence{}, err
	}
	for i := range after {
		after[i].Settled -= before[i].Settled
		after[i].Prepaid -= before[i].Settled
	}
	evidence := load.Evidence{Budgets: after}
	for _, address := range opts.Services {
		runs := map[string]int{}
		if err := getJSON("http://"+address+"/standin/runs", "", &runs); err != nil {
			return evidence, err
		}
		if evidence.Runs == nil {
			evidence.Runs = map[string]int{}
		}
		for id, n := range runs {
			evidence.Runs[id] += n
		}
	}
	return evidence, nil
}

func readBudgets(opts options) ([]load.BudgetEvidence, error) {
	var list []load.BudgetEvidence
	for _, pair := range opts.Budgets {
		id, key, _ := strings.Cut(pair, "=")
		response := operator.BudgetResponse{}
		if err := getJSON("http://"+opts.Node+"/v1/budgets/"+id, opts.OperatorKey, &response); err != nil {
			return nil, err
		}
		list = append(list, load.BudgetEvidence{
			ID:        response.ID,
			Prepaid:   response.Prepaid,
			Settled:   response.Settled,
			Leased:    response.Leased,
			Keys:      []string{key},
			CallPrice: fleet.Tokens(opts.CallPrice),
		})
	}
	return list, nil
}

func getJSON(url, key string, value any) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: status %d", url, response.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(value), "get %s: decode", url)
}
