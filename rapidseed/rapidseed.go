// Package rapidseed fixes the seed and the number of checks of a package's random
// tests, so that they give the same verdict every time. Both can be set on the
// command line to search further: -rapid.seed and -rapid.checks.
package rapidseed

import (
	"flag"
	"strconv"
	"testing"
)

const seed = "20261204"

// Main runs a package's tests. It is for TestMain.
func Main(m *testing.M, checks int) int {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() != "0" {
		return m.Run()
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		if err := flag.Set("rapid.checks", strconv.Itoa(checks)); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
