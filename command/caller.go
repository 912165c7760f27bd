package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/caller"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// callerOptions are the options of commands that use the callers' interface.
type callerOptions struct {
	Entry string `long:"entry" value-name:"ADDRESS" env:"WAXWINGREEL_ENTRY" default:"127.0.0.1:8101" description:"Callers' address of any node"`
	Key   string `long:"key" value-name:"KEY" env:"WAXWINGREEL_KEY" required:"true" description:"Workspace's key"`
}

type entriesCommand struct {
	callerOptions
	env *environment
}

// Execute implements flags.Commander.
func (c *entriesCommand) Execute([]string) error {
	client := caller.New(caller.Config{
		Seeds: []string{c.Entry},
		Key:   c.Key,
	})
	entries, err := client.Entries(context.Background())
	if err != nil {
		return err
	}
	table := newTable(c.env.out, "NODE", "ADDRESS", "DATA CENTRE")
	for _, e := range entries {
		table.row(e.Node, e.Address, e.DataCentre)
	}
	return table.flush()
}

type requestCommand struct {
	callerOptions
	Model     string `long:"model" required:"true" description:"Model to use"`
	MaxTokens int64  `long:"max-tokens" default:"200" description:"Maximum number of output tokens"`
	Class     string `long:"class" description:"Request class: lookup, interactive or long"`
	ID        string `long:"id" description:"Request id, a UUID of version 7; a new one is generated if absent"`
	Args      struct {
		Prompt []string `positional-arg-name:"PROMPT" required:"true"`
	} `positional-args:"true"`
	env *environment
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	id := fleet.NewRequestID()
	if c.ID != "" {
		parsed, err := fleet.ParseRequestID(c.ID)
		if err != nil {
			return usageError{err: err}
		}
		id = parsed
	}
	client := caller.New(caller.Config{
		Seeds: []string{c.Entry},
		Key:   c.Key,
	})
	response, err := client.Chat(context.Background(), caller.Chat{
		ID:        id,
		Model:     c.Model,
		Prompt:    strings.Join(c.Args.Prompt, " "),
		MaxTokens: fleet.Tokens(c.MaxTokens),
		Class:     fleet.Class(c.Class),
		OnToken:   func(text string) { _, _ = fmt.Fprint(c.env.out, text) },
	})
	if err != nil {
		return eris.Wrapf(err, "request %s", id)
	}
	_, err = fmt.Fprintf(c.env.out, "\n[request %s, node %s, billed %d tokens]\n", id, response.Entry, response.Billed)
	return err
}
