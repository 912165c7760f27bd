package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Environment variables that configure a run.
const (
	// seedsVariable is the number of new random seeds to run, or "seed=N" for one given seed.
	seedsVariable = "WAXWINGREEL_SOAK"
	// oldVariable is the path of the program as an earlier revision built it. If it is set, VMs of
	// the two builds run side by side.
	oldVariable = "WAXWINGREEL_SOAK_OLD"
	// sizeVariable is "wide" for more entry VMs than hold a budget, or "large" for a fleet at the
	// limits of a test machine.
	sizeVariable = "WAXWINGREEL_SOAK_SIZE"
)

// seedShift shortens random seeds, in bits, so that they can be copied by hand.
const seedShift = 24

var sizes = map[string]size{
	"": {
		entries: 3,
		control: 3,
		callers: 12,
	},
	// More entry VMs than hold a budget, so that some have to draw from the holders.
	"wide": {
		entries: 12,
		control: 3,
		callers: 30,
	},
	"large": {
		entries: 60,
		control: 5,
		callers: 120,
	},
}

// TestSeeds runs the seeds of testdata/seeds.txt: those that failed before, and one that never
// did.
func TestSeeds(t *testing.T) {
	if os.Getenv(seedsVariable) != "" {
		t.Skip("new random seeds are requested")
	}
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text, cause, ok := strings.Cut(lines.Text(), " | ")
		if !ok {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			runSeed(t, seed)
		})
	}
}

// TestFresh runs the number of new random seeds in WAXWINGREEL_SOAK, or the seed given there.
func TestFresh(t *testing.T) {
	text := os.Getenv(seedsVariable)
	if text == "" {
		t.Skip("set " + seedsVariable + " to a number of seeds, or to seed=N")
	}
	if text, ok := strings.CutPrefix(text, "seed="); ok {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		runSeed(t, seed)
		return
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	for range n {
		seed := rand.Uint64() >> seedShift
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

// runSeed runs the fleet with the faults of one seed.
func runSeed(t *testing.T, seed uint64) {
	t.Logf("seed %d", seed)
	h := newHarness(t, seed, sizes[os.Getenv(sizeVariable)])
	h.chooseBuilds()
	for _, v := range h.vms {
		h.start(v)
	}
	if !h.operator.send(h.operator.nextChange(false), startLimit) {
		t.Fatalf("seed %d: the first configuration was not acknowledged within %s", seed, startLimit)
	}
	h.awaitReady()
	for _, v := range h.controls() {
		v.settings.Control.Bootstrap = false
		h.writeSettings(v)
	}
	h.startedAt = time.Now()
	for i := range sizes[os.Getenv(sizeVariable)].callers {
		h.workers.Go(func() { h.runCaller(i) })
	}
	h.workers.Go(h.operator.changeUntilEnded)
	h.workers.Go(h.operator.readUntilEnded)
	h.workers.Go(h.watchProcesses)
	h.workers.Go(h.limitInstance)
	h.workers.Go(h.repeatDeadly)
	h.workers.Go(h.sendUnfinished)
	h.workers.Go(h.replaceBuilds)
	h.injectFaults(append(h.drawFaults(), h.drawTroubles()...))
	faultsCleared := time.Now()
	t.Logf("seed %d: all faults removed at %s", seed, h.elapsed())
	time.Sleep(recoverBound + 2*time.Second)
	close(h.ended)
	h.workers.Wait()
	h.audit.checkTotals(faultsCleared)
	h.checkFinalConfiguration()
	h.checkContents()
}

// watchProcesses reports processes that exit by themselves.
func (h *harness) watchProcesses() {
	for !h.endedWithin(200 * time.Millisecond) {
		for _, v := range h.vms {
			if v.Exited() && h.faultLog.faultFree(v.name, time.Now().Add(-settleTime), time.Now()) {
				h.reportViolation("processes", "%s exited by itself", v.name)
				v.Stop(0, 0)
			}
		}
	}
}

// checkFinalConfiguration reads the configuration from all control VMs. Each must return the
// newest that was acknowledged.
func (h *harness) checkFinalConfiguration() {
	deadline := time.Now().Add(recoverBound)
	for _, v := range h.controls() {
		for !h.operator.readBack(v) {
			if time.Now().After(deadline) {
				h.reportViolation("configuration", "%s did not return the configuration at the end of the run", v.name)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
