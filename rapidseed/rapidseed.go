// Package rapidseed fixes the seed and the number of checks of a package's property
// tests, so that their result is the same in every run. The flags -rapid.seed and
// -rapid.checks override them, to search further.
package rapidseed

import (
	"flag"
	"strconv"
	"testing"
)

const seed = "20261204"

// Main runs a package's tests with the fixed seed and the given number of checks, and
// returns the exit code. It is called by TestMain. If -rapid.seed is set, neither is
// changed; if -rapid.checks is set to another value than its default of 100, the number of
// checks is not changed.
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
