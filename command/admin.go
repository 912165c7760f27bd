package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/operator"
)

// requestTimeout limits one request to the operators' interface. It is longer than the
// minute for which a node waits for a ticket to be in force.
const requestTimeout = 90 * time.Second

// adminOptions are the options of commands that use a node's operators' interface.
type adminOptions struct {
	Node string `long:"node" value-name:"ADDRESS" env:"WAXWINGREEL_NODE" default:"127.0.0.1:9101" description:"Operators' address of any node"`
	Key  string `long:"key" value-name:"KEY" env:"WAXWINGREEL_OPERATOR_KEY" required:"true" description:"Operator's key"`
	JSON bool   `long:"json" description:"Print JSON"`
}

// call sends a request to the operators' interface and returns the body and the status
// of the response. A status of 4xx or 5xx is not an error here.
func (o adminOptions) call(method, path string, body []byte) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.Node+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, usageError{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+o.Key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, eris.Wrapf(err, "call node %s", o.Node)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return responseBody, response.StatusCode, eris.Wrapf(err, "read the response of node %s", o.Node)
}

// get decodes the response to a GET request into value. With --json it prints the
// response unchanged instead and returns printed true.
func (o adminOptions) get(env *environment, path string, value any) (printed bool, err error) {
	response, status, err := o.call(http.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	if status != http.StatusOK {
		return false, o.responseError(status, response)
	}
	if o.JSON {
		_, err := env.out.Write(response)
		return true, err
	}
	return false, eris.Wrap(json.Unmarshal(response, value), "decode the response")
}

// responseError returns an error that describes an unsuccessful response.
func (o adminOptions) responseError(status int, response []byte) error {
	problem := operator.Problem{}
	if json.Unmarshal(response, &problem) != nil || problem.Error == "" {
		return eris.Errorf("node %s: status %d: %s", o.Node, status, strings.TrimSpace(string(response)))
	}
	text := fmt.Sprintf("node %s: %s", o.Node, problem.Error)
	if problem.Applied != "" {
		text += "; applied: " + problem.Applied
	}
	if problem.Hint != "" {
		text += "\nhint: " + problem.Hint
	}
	return eris.New(text)
}

type ticketApplyCommand struct {
	adminOptions
	Number uint64        `long:"number" short:"n" required:"true" description:"The ticket's number"`
	File   string        `long:"file" short:"f" required:"true" description:"The ticket, JSON with comments; - for standard input"`
	Wait   time.Duration `long:"wait" default:"0s" description:"Wait until the change is in force on every live node"`
	env    *environment
}

// Execute implements flags.Commander.
func (c *ticketApplyCommand) Execute([]string) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/v1/tickets/%d?waitMillis=%d", c.Number, c.Wait.Milliseconds())
	body, status, err := c.call(http.MethodPut, path, text)
	if err != nil {
		return err
	}
	response := operator.TicketResponse{}
	if json.Unmarshal(body, &response) != nil || response.Outcome.Number == 0 {
		return c.responseError(status, body)
	}
	if c.JSON {
		if _, err := c.env.out.Write(body); err != nil {
			return err
		}
	} else if err := printTicket(c.env.out, response); err != nil {
		return err
	}
	if !response.Outcome.Accepted {
		return eris.Errorf("ticket %d was refused", c.Number)
	}
	if c.Wait > 0 && !response.InForce {
		return eris.Errorf("ticket %d is accepted but not yet in force on: %v", c.Number, response.Lagging)
	}
	return nil
}

func printTicket(w io.Writer, response operator.TicketResponse) error {
	var b strings.Builder
	o := response.Outcome
	if o.Accepted {
		fmt.Fprintf(&b, "ticket %d: accepted as version %d at %s\n", o.Number, o.Version, acceptedAt(o))
		if response.InForce {
			b.WriteString("in force on every live node\n")
		} else {
			fmt.Fprintf(&b, "not yet in force on: %v\n", response.Lagging)
		}
	} else {
		fmt.Fprintf(&b, "ticket %d: refused\n", o.Number)
	}
	for _, problem := range o.Problems {
		fmt.Fprintf(&b, "  %s\n", problem)
	}
	if o.AcceptedDigest != "" {
		fmt.Fprintf(&b, "  the ticket accepted under this number has digest %s\n", o.AcceptedDigest)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func acceptedAt(o catalog.Outcome) string {
	return time.UnixMilli(int64(o.At)).UTC().Format(time.RFC3339)
}

type ticketShowCommand struct {
	adminOptions
	Args struct {
		Number uint64 `positional-arg-name:"NUMBER" required:"true"`
	} `positional-args:"true"`
	env *environment
}

// Execute implements flags.Commander.
func (c *ticketShowCommand) Execute([]string) error {
	response := operator.TicketResponse{}
	printed, err := c.get(c.env, fmt.Sprintf("/v1/tickets/%d", c.Args.Number), &response)
	if err != nil || printed {
		return err
	}
	return printTicket(c.env.out, response)
}

type ticketListCommand struct {
	adminOptions
	env *environment
}

// Execute implements flags.Commander.
func (c *ticketListCommand) Execute([]string) error {
	var outcomes []catalog.Outcome
	printed, err := c.get(c.env, "/v1/tickets", &outcomes)
	if err != nil || printed {
		return err
	}
	table := newTable(c.env.out, "TICKET", "VERSION", "ACCEPTED AT")
	for _, o := range outcomes {
		table.row(o.Number, o.Version, acceptedAt(o))
	}
	return table.flush()
}

type statusCommand struct {
	adminOptions
	env *environment
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	status := operator.Status{}
	printed, err := c.get(c.env, "/v1/status", &status)
	if err != nil || printed {
		return err
	}
	table := newTable(c.env.out, "REPLICA", "ROLE", "TERM", "APPLIED", "VERSION", "LEASE", "OPEN", "BUDGETS", "FAULT")
	for _, r := range status.Replicas {
		table.row(r.Node, r.Consensus.Role, r.Consensus.Term, r.Consensus.Applied, r.Version, r.HasLease, r.Open, r.Ledger.Budgets, r.Failed)
	}
	for _, address := range status.Unreachable {
		table.row(address, "unreachable")
	}
	if err := table.flush(); err != nil {
		return err
	}
	table = newTable(c.env.out, "\nNODE", "STATE", "DATA CENTRE", "CALLERS", "VERSION", "LOAD")
	for _, r := range status.Roster {
		table.row(r.Holder.Node, r.State, r.DataCentre, r.CallerAddress, r.Version, fmt.Sprintf("%d‰", r.LoadPerMille))
	}
	if err := table.flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.env.out, "\n"+evacuatedText(status.Evacuated))
	return eris.Wrap(err, "print")
}

type budgetShowCommand struct {
	adminOptions
	Args struct {
		ID string `positional-arg-name:"BUDGET" required:"true"`
	} `positional-args:"true"`
	env *environment
}

// Execute implements flags.Commander.
func (c *budgetShowCommand) Execute([]string) error {
	response := operator.BudgetResponse{}
	printed, err := c.get(c.env, "/v1/budgets/"+c.Args.ID, &response)
	if err != nil || printed {
		return err
	}
	table := newTable(c.env.out, "BUDGET", "PREPAID", "SETTLED", "LEASED", "FREE")
	table.row(response.ID, response.Prepaid, response.Settled, response.Leased, response.Free)
	for _, l := range response.Leases {
		if l.Outstanding == 0 {
			continue
		}
		note := ""
		if l.Ended {
			note = "ended, waiting for confirmation by the other nodes"
		}
		table.row("  lease of "+string(l.Holder.Node), "", "", l.Outstanding, "", note)
	}
	return table.flush()
}

type burnCommand struct {
	adminOptions
	HTML bool `long:"html" description:"Print a self-contained HTML page"`
	env  *environment
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	if c.HTML {
		response, status, err := c.call(http.MethodGet, "/v1/report/burn.html", nil)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return c.responseError(status, response)
		}
		_, err = c.env.out.Write(response)
		return err
	}
	report := burn.Report{}
	printed, err := c.get(c.env, "/v1/report/burn", &report)
	if err != nil || printed {
		return err
	}
	return printBurn(c.env.out, report)
}

func printBurn(w io.Writer, report burn.Report) error {
	if len(report.Missing) > 0 {
		if _, err := fmt.Fprintf(w, "not counted, because they did not respond: %v\n", report.Missing); err != nil {
			return err
		}
	}
	table := newTable(w, "WORKSPACE", "CLASS", "TIER", "OBJECTIVE", "REQUESTS 1H", "BAD", "BURN 5M", "BURN 1H", "LEFT", "CAUSES")
	for _, l := range report.Lines {
		var causes []string
		for _, cause := range l.Causes {
			causes = append(causes, fmt.Sprintf("%s %d", cause.Cause, cause.Count))
		}
		table.row(l.Series.Workspace, l.Series.Class, l.Series.Tier, fmt.Sprintf("%d‰", l.ObjectivePerMille), l.Long.Total, l.Long.Bad, fmt.Sprintf("%.2f", l.ShortBurn), fmt.Sprintf("%.2f", l.LongBurn), fmt.Sprintf("%d‰", l.LeftPerMille), strings.Join(causes, ", "))
	}
	return table.flush()
}

// table prints rows in aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, headings ...any) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	t.row(headings...)
	return t
}

func (t *table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.w, "\t")
		}
		_, _ = fmt.Fprint(t.w, cell)
	}
	_, _ = fmt.Fprintln(t.w)
}

func (t *table) flush() error {
	return eris.Wrap(t.w.Flush(), "print")
}
