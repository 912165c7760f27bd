// Command waxwingreel-measure runs the benchmarks of a fleet in this process, prints one
// line for each measurement, and updates the tables of a page such as docs/MEASURES.md.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/measure"
)

type options struct {
	Page string `long:"page" value-name:"FILE" description:"Page whose tables to replace; none if absent"`
	Only string `long:"only" value-name:"NAME" description:"Run only the subjects whose name contains this"`
}

func main() {
	opts := options{}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintf(os.Stderr, "waxwingreel-measure: %s\n", eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(opts options) error {
	for _, subject := range measure.Subjects() {
		if !strings.Contains(subject.Name, opts.Only) {
			continue
		}
		groups, err := subject.Run()
		if err != nil {
			return eris.Wrap(err, subject.Name)
		}
		for _, g := range groups {
			g.Print(os.Stdout)
			if opts.Page == "" {
				continue
			}
			if err := g.WriteInto(opts.Page); err != nil {
				return err
			}
		}
	}
	return nil
}
