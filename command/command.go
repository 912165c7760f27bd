// Package command implements the subcommands of the waxwingreel program.
//
// Exit codes: 0 for success, 1 for an operation that failed or was refused, 2 for an
// error in the command line or the settings.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/settings"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Version is the program's version. The Makefile sets it with a linker flag.
var Version = "development"

// environment holds the output streams that the subcommands share.
type environment struct {
	out  io.Writer
	errs io.Writer
}

// usageError marks an error in the command line or the settings.
type usageError struct {
	err error
}

// Error implements the error interface.
func (u usageError) Error() string {
	return u.err.Error()
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	env := &environment{
		out:  out,
		errs: errs,
	}
	if len(args) == 1 && args[0] == "--version" {
		_, _ = fmt.Fprintf(out, "waxwingreel %s\n", Version)
		return ExitOK
	}
	parser := flags.NewNamedParser("waxwingreel", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Routes model requests for prepaid token budgets. Run 'waxwingreel COMMAND --help' for one command, 'waxwingreel --version' for the version."
	addCommands(parser, env)
	_, err := parser.ParseArgs(args)
	return env.exitCode(err)
}

func (e *environment) exitCode(err error) int {
	parse := (*flags.Error)(nil)
	usage := usageError{}
	problems := settings.Problems{}
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &parse):
		if parse.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(e.out, parse.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintf(e.errs, "waxwingreel: %s\nhint: see waxwingreel --help\n", parse.Message)
		return ExitUsage
	case errors.As(err, &problems):
		_, _ = fmt.Fprintln(e.errs, problems.Error())
		return ExitUsage
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(e.errs, "waxwingreel: %s\n", usage.Error())
		return ExitUsage
	}
	_, _ = fmt.Fprintf(e.errs, "waxwingreel: %s\n", eris.ToString(err, false))
	return ExitFailed
}

// subcommand is a command of the parser.
type subcommand struct {
	name  string
	short string
	long  string
	data  any
}

func addCommands(parser *flags.Parser, env *environment) {
	add(parser, subcommand{
		name:  "serve",
		short: "Run one node",
		long:  "Runs one node until it receives SIGINT or SIGTERM. The node then drains: it completes the requests in flight before it stops. A second signal aborts the remaining requests.",
		data:  &serveCommand{env: env},
	})
	add(parser, subcommand{
		name:  "check",
		short: "Check a settings file",
		long:  "Checks a settings file without starting the node, and reports every problem with its position.",
		data:  &checkCommand{env: env},
	})
	add(parser, subcommand{
		name:  "explain",
		short: "Explain from logs how a request ended",
		long:  "Reads the logs of one or more nodes and explains how a routed request ended, why, and which state its node was in at that time.",
		data:  &explainCommand{env: env},
	})
	ticket := add(parser, subcommand{
		name:  "ticket",
		short: "Apply and read change tickets",
		data:  &struct{}{},
	})
	add(ticket, subcommand{
		name:  "apply",
		short: "Apply a numbered ticket",
		data:  &ticketApplyCommand{env: env},
	})
	add(ticket, subcommand{
		name:  "show",
		short: "Show the outcome of a ticket",
		data:  &ticketShowCommand{env: env},
	})
	add(ticket, subcommand{
		name:  "list",
		short: "List the newest tickets",
		data:  &ticketListCommand{env: env},
	})
	add(parser, subcommand{
		name:  "status",
		short: "Show the control replicas and the nodes",
		data:  &statusCommand{env: env},
	})
	evacuate := add(parser, subcommand{
		name:  "evacuate",
		short: "Start and stop the evacuation of a data centre",
		long:  "While a data centre is evacuated, its backend servers get no new requests. What runs there goes on.",
		data:  &struct{}{},
	})
	add(evacuate, subcommand{
		name:  "start",
		short: "Evacuate a data centre",
		data:  &evacuateStartCommand{evacuateCommand{env: env}},
	})
	add(evacuate, subcommand{
		name:  "stop",
		short: "Take the evacuation of a data centre back",
		data:  &evacuateStopCommand{evacuateCommand{env: env}},
	})
	budget := add(parser, subcommand{
		name:  "budget",
		short: "Read budgets",
		data:  &struct{}{},
	})
	add(budget, subcommand{
		name:  "show",
		short: "Show one budget with its leases",
		data:  &budgetShowCommand{env: env},
	})
	add(parser, subcommand{
		name:  "entries",
		short: "List the entry nodes to use",
		data:  &entriesCommand{env: env},
	})
	add(parser, subcommand{
		name:  "request",
		short: "Send one chat request and stream its output",
		data:  &requestCommand{env: env},
	})
	report := add(parser, subcommand{
		name:  "report",
		short: "Reports",
		data:  &struct{}{},
	})
	add(report, subcommand{
		name:  "burn",
		short: "Show the service-level burn",
		data:  &burnCommand{env: env},
	})
	add(parser, subcommand{
		name:  "key",
		short: "Generate a key and its SHA-256 sum",
		data:  &keyCommand{env: env},
	})
	add(parser, subcommand{
		name:  "fleet",
		short: "Run a small demo fleet in one process",
		long:  "Starts the nodes of the settings files and stand-ins for the backend servers in one process, applies a ticket, sends paying and trial requests, and prints the responses, the bills and the burn report.",
		data:  &fleetCommand{env: env},
	})
}

type commandParent interface {
	AddCommand(command, short, long string, data any) (*flags.Command, error)
}

func add(parent commandParent, s subcommand) *flags.Command {
	long := s.long
	if long == "" {
		long = s.short + "."
	}
	c, err := parent.AddCommand(s.name, s.short, long, s.data)
	if err != nil {
		panic(err)
	}
	return c
}

// readFile reads a file, or standard input for "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		text, err := io.ReadAll(os.Stdin)
		return text, eris.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err: err}
	}
	return text, nil
}
