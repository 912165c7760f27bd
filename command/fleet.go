package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/caller"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/demo"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/operator"
	"github.com/waxwingreel/waxwingreel/settings"
)

// demoTimeout limits the demo's requests, from the ticket to the burn report.
const demoTimeout = 60 * time.Second

// demoTicketNumber is the number of the ticket that the demo applies.
const demoTicketNumber fleet.TicketNumber = 1

type fleetCommand struct {
	Settings    []string `long:"settings" short:"s" value-name:"FILE" required:"true" description:"Settings file of one node; repeat it for each node"`
	Ticket      string   `long:"ticket" value-name:"FILE" required:"true" description:"Ticket to apply; a stand-in is started for each backend server in it"`
	OperatorKey string   `long:"operator-key" default:"demo-operator-key" description:"Operator's key"`
	PayingKey   string   `long:"paying-key" default:"demo-paying-key" description:"Key of paying callers"`
	TrialKey    string   `long:"trial-key" default:"demo-trial-key" description:"Key of trial callers"`
	Log         string   `long:"log" value-name:"FILE" description:"File to write the nodes' logs to; discarded if absent"`
	Keep        bool     `long:"keep" description:"Keep running until interrupted"`
	env         *environment
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	f, err := demo.Start(cfg)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	admin := adminOptions{
		Node: cfg.Nodes[0].Listen.Operators.String(),
		Key:  c.OperatorKey,
	}
	if err := c.run(ctx, f, cfg, admin); err != nil {
		return err
	}
	if c.Keep {
		c.waitForInterrupt(cfg)
	}
	return nil
}

func (c *fleetCommand) config() (demo.Config, error) {
	cfg := demo.Config{
		Log:     io.Discard,
		Version: Version,
	}
	for _, path := range c.Settings {
		s, err := settings.Load(path)
		if err != nil {
			return cfg, err
		}
		cfg.Nodes = append(cfg.Nodes, s)
	}
	text, err := readFile(c.Ticket)
	if err != nil {
		return cfg, err
	}
	cfg.Ticket, err = catalog.ParseTicket(demoTicketNumber, text)
	if err != nil {
		return cfg, usageError{err: err}
	}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return cfg, usageError{err: err}
		}
		cfg.Log = file
	}
	return cfg, nil
}

func (c *fleetCommand) run(ctx context.Context, f *demo.Fleet, cfg demo.Config, admin adminOptions) error {
	out := c.env.out
	_, _ = fmt.Fprintf(out, "%d nodes started; applying ticket %d\n", len(cfg.Nodes), demoTicketNumber)
	if err := applyTicket(ctx, out, admin, cfg.Ticket); err != nil {
		return err
	}
	if err := f.AwaitReady(ctx); err != nil {
		return err
	}
	if err := f.SendRequests(ctx, out, c.demoRequests(cfg.Ticket)); err != nil {
		return err
	}
	for _, change := range cfg.Ticket.Changes {
		if change.Budget == nil {
			continue
		}
		show := &budgetShowCommand{
			adminOptions: admin,
			env:          c.env,
		}
		show.Args.ID = string(change.Budget.ID)
		if err := show.Execute(nil); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintln(out)
	return printBurn(out, f.BurnReport(ctx))
}

// applyTicket retries the ticket until the control group has formed and accepts it.
func applyTicket(ctx context.Context, out io.Writer, admin adminOptions, ticket catalog.Ticket) error {
	text, err := json.Marshal(ticket)
	if err != nil {
		return eris.Wrap(err, "encode the ticket")
	}
	path := fmt.Sprintf("/v1/tickets/%d?waitMillis=5000", ticket.Number)
	for {
		body, status, err := admin.call(http.MethodPut, path, text)
		switch {
		case err == nil && status == http.StatusOK:
			response := operator.TicketResponse{}
			if err := json.Unmarshal(bytes.TrimSpace(body), &response); err != nil {
				return eris.Wrap(err, "decode the outcome of the ticket")
			}
			return printTicket(out, response)
		case err == nil && status != http.StatusServiceUnavailable:
			return admin.responseError(status, body)
		}
		select {
		case <-ctx.Done():
			return eris.New("apply the ticket: the control group did not form in time")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// demoRequests returns the demo's requests. They cover paying and trial callers, model
// engines and plain services, a refusal, and retries under the same request id.
func (c *fleetCommand) demoRequests(ticket catalog.Ticket) []demo.Request {
	model, service := "", fleet.ServiceID("")
	path := ""
	for _, change := range ticket.Changes {
		if change.Model != nil {
			model = string(change.Model.ID)
		}
		if change.Service == nil {
			continue
		}
		service = change.Service.ID
		for _, call := range change.Service.Calls {
			if !call.Idempotent {
				path = call.Path
			}
		}
	}
	payingChat := caller.Chat{
		ID:        fleet.NewRequestID(),
		Model:     model,
		Prompt:    "Will there be frost at the Inari station tonight? length=12",
		MaxTokens: 40,
	}
	trialChat := caller.Chat{
		ID:        fleet.NewRequestID(),
		Model:     model,
		Prompt:    "Which neighbours report hail? length=8",
		MaxTokens: 20,
		Class:     fleet.ClassLookup,
	}
	oversizedChat := caller.Chat{
		ID:        fleet.NewRequestID(),
		Model:     model,
		Prompt:    "A digest of the whole coast. length=1500",
		MaxTokens: 1500,
	}
	atMostOnceCall := caller.Call{
		ID:      fleet.NewRequestID(),
		Service: service,
		Path:    path,
		Body:    []byte(`{"sensor":"rain gauge","note":"recalibrated"}`),
	}
	return []demo.Request{
		{
			Title: "A paying caller asks:",
			Key:   c.PayingKey,
			Chat:  &payingChat,
		},
		{
			Title: "The same request again, under the same id, is not billed again:",
			Key:   c.PayingKey,
			Chat:  &payingChat,
		},
		{
			Title: "A trial caller asks:",
			Key:   c.TrialKey,
			Chat:  &trialChat,
		},
		{
			Title:       "A trial caller asks for more than the trial allowance:",
			Key:         c.TrialKey,
			Chat:        &oversizedChat,
			WantRefusal: true,
		},
		{
			Title: "A call that runs at most once:",
			Key:   c.PayingKey,
			Call:  &atMostOnceCall,
		},
		{
			Title: "The same call again gets the stored response:",
			Key:   c.PayingKey,
			Call:  &atMostOnceCall,
		},
	}
}

func (c *fleetCommand) waitForInterrupt(cfg demo.Config) {
	for _, s := range cfg.Nodes {
		_, _ = fmt.Fprintf(c.env.out, "node %s: callers %s, operators %s\n", s.Node, s.Listen.Callers, s.Listen.Operators)
	}
	_, _ = fmt.Fprintln(c.env.out, "running until interrupted")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt)
	<-signals
}
