// Command waxwingreel-simulate plays arrival patterns against the placement of the product
// and of its alternatives, on a simulated clock, and prints what became of the requests.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/simulator"
)

type options struct {
	Policy string `long:"policy" value-name:"NAME" description:"Play only this policy; all where absent"`
	Nodes  int    `long:"nodes" value-name:"N" description:"Entry nodes, instead of the pattern's number"`
	Seed   uint64 `long:"seed" value-name:"N" description:"Seed, instead of the pattern's"`
	Plot   string `long:"plot" value-name:"FILE" description:"Draw the share of requests in time over the seconds, as SVG"`
	Args   struct {
		Patterns []string `positional-arg-name:"PATTERN" required:"1"`
	} `positional-args:"yes"`
}

func main() {
	opts := options{}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintf(os.Stderr, "waxwingreel-simulate: %s\n", eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(opts options) error {
	var reports []*simulator.Report
	for _, path := range opts.Args.Patterns {
		played, err := simulate(opts, path)
		if err != nil {
			return err
		}
		reports = append(reports, played...)
	}
	if opts.Plot == "" {
		return nil
	}
	file, err := os.Create(opts.Plot)
	if err != nil {
		return eris.Wrap(err, "create the plot")
	}
	if err := simulator.Plot(file, reports); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "close the plot")
}

func simulate(opts options, path string) ([]*simulator.Report, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open the pattern")
	}
	defer func() { _ = file.Close() }()
	pattern, err := simulator.ReadPattern(filepath.Base(path), file)
	if err != nil {
		return nil, err
	}
	if opts.Nodes > 0 {
		pattern.Nodes = opts.Nodes
	}
	if opts.Seed > 0 {
		pattern.Seed = opts.Seed
	}
	var reports []*simulator.Report
	for _, policy := range simulator.Policies {
		if opts.Policy != "" && opts.Policy != policy.Name {
			continue
		}
		report, err := simulator.Play(pattern, policy)
		if err != nil {
			return nil, err
		}
		report.Write(os.Stdout)
		reports = append(reports, report)
	}
	return reports, nil
}
