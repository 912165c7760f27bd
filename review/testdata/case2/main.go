// Program case2 runs one case of the review: it starts a small deployment with stand-ins for callers, backend
// servers and the platform, causes the case's disruption unless TROUBLE is 0, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the longest time that a script may take.
const timeLimit = 118 * time.Second

// Exit statuses.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule is broken")

// caseFunc is given the fleet's parts and whether the disruption is to be caused. It returns errBroken, or another error
// if the case could not be run.
type caseFunc func(f *fleet, record *recorder, trouble bool) error

var cases = map[string]caseFunc{
	"budget":  budgetCase,
	"tenants": tenantsCase,
	"refused": refusedCase,
	"prepaid": prepaidCase,
	"poison":  poisonCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case2 CASE REPOSITORY RECORD")
		os.Exit(couldNot)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(c caseFunc, root, path string) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("trouble: %t", trouble)
	f, err := newFleet(root, record)
	if err != nil {
		record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ended := make(chan error, 1)
	go func() { ended <- c(f, record, trouble) }()
	select {
	case err = <-ended:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(timeLimit):
		err = errors.New("the time limit has passed")
	}
	switch {
	case err == nil:
		record.line("held")
		fmt.Println("held")
		return held
	case errors.Is(err, errBroken):
		record.line("broken: %v", err)
		fmt.Println(err)
		return broken
	default:
		record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
}
