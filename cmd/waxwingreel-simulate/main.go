// Command waxwingreel-simulate runs arrival patterns against the fleet's placement policy
// and alternative policies on a simulated clock, and prints the results.
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
	Policy string `long:"policy" value-name:"NAME" description:"Simulate only this policy; all if absent"`
	Nodes  int    `long:"nodes" value-name:"N" description:"Number of entry nodes, instead of the pattern's"`
	Seed   uint64 `long:"seed" value-name:"N" description:"Random seed, instead of the pattern's"`
	Plot   string `long:"plot" value-name:"FILE" description:"Write an SVG plot of the share of requests answered in time, by second"`
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
		report, err := simulator.Simulate(pattern, policy)
		if err != nil {
			return nil, err
		}
		report.Write(os.Stdout)
		reports = append(reports, report)
	}
	return reports, nil
}
