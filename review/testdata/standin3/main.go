// Command standin3 plays the cases of the third review: it starts the system's processes on loopback addresses, is the
// platform, the operator, the runners and the requesters, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*scene) (broken bool, err error){
	"longPrompt": longPrompt,
	"firstEvent": firstEvent,
	"upgrades":   upgrades,
	"sameEngine": sameEngine,
	"longIDs":    longIDs,
}

// scene is what all cases share.
type scene struct {
	log      *record
	trouble  bool
	platform *platform
	fleet    *fleet
	// keepID makes runners start again under the ids that they had.
	keepID bool
}

func main() {
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", ".", "the folder of record.txt")
	flag.Parse()
	os.Exit(play(*name, *folder))
}

func play(name, folder string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	s := &scene{
		log:     log,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	defer func() {
		if s.fleet != nil {
			s.fleet.close()
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run(s)
		done <- outcome{broken, err}
	}()
	select {
	case <-stopped:
		return exitNotRun
	case o := <-done:
		switch {
		case o.err != nil:
			log.result("the case could not run: %v", o.err)
			return exitNotRun
		case o.broken:
			log.result("BROKEN")
			return exitBroken
		}
		log.result("held")
		return exitHeld
	}
}

// open starts the platform, runners of each service and the fleet, and applies a manifest.
func (s *scene) open(size fleetSize, runners []*runner, manifest map[string]any) (err error) {
	if s.platform, err = newPlatform(); err != nil {
		return err
	}
	for _, r := range runners {
		s.platform.add(r)
	}
	if s.fleet, err = newFleet(s.log, s.platform.address(), size); err != nil {
		return err
	}
	if err := s.fleet.configure(manifest); err != nil {
		return err
	}
	return s.fleet.awaitReady()
}
