// Command waxwingreel runs the nodes of a router fleet for prepaid token budgets,
// and the tools of its operators and callers.
package main

import (
	"os"

	"github.com/waxwingreel/waxwingreel/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
