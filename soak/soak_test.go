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

// variable names what a run may be asked for in the environment.
const (
	// seedsVariable is how many fresh seeds to run, or "seed=N" for one of them.
	seedsVariable = "WAXWINGREEL_SOAK"
	// sizeVariable is "wide" for more entry VMs than hold a budget, "large" for a fleet
	// up to the limits of a test machine.
	sizeVariable = "WAXWINGREEL_SOAK_SIZE"
)

// seedShift keeps seeds short enough to be copied by hand.
const seedShift = 24

var sizes = map[string]size{
	"": {
		entries: 3,
		control: 3,
		callers: 12,
	},
	// More entry VMs than hold a budget, so that some draw.
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

// TestSeeds runs what failed before, and one seed more.
func TestSeeds(t *testing.T) {
	if os.Getenv(seedsVariable) != "" {
		t.Skip("fresh seeds are asked for")
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
			soak(t, seed)
		})
	}
}

// TestFresh runs as many fresh seeds as WAXWINGREEL_SOAK says, or the one it names.
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
		soak(t, seed)
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
			soak(t, seed)
		})
	}
}

// soak plays one seed.
func soak(t *testing.T, seed uint64) {
	t.Logf("seed %d", seed)
	w := newWorld(t, seed, sizes[os.Getenv(sizeVariable)])
	for _, v := range w.vms {
		w.start(v)
	}
	if !w.operator.send(w.operator.next(false), startLimit) {
		t.Fatalf("seed %d: the first configuration was not taken in %s", seed, startLimit)
	}
	w.awaitReady()
	for _, v := range w.controls() {
		v.settings.Control.Bootstrap = false
		w.writeSettings(v)
	}
	w.began = time.Now()
	for i := range sizes[os.Getenv(sizeVariable)].callers {
		w.wait.Go(func() { w.call(i) })
	}
	w.wait.Go(w.operator.change)
	w.wait.Go(w.operator.check)
	w.wait.Go(w.watch)
	w.suffer(w.faults())
	mended := time.Now()
	t.Logf("seed %d: mended at %s", seed, w.now())
	time.Sleep(recoverBound + 2*time.Second)
	close(w.ended)
	w.wait.Wait()
	w.audit.finish(mended)
	w.final()
}

// watch looks for processes that end by themselves.
func (w *world) watch() {
	for !w.over(200 * time.Millisecond) {
		for _, v := range w.vms {
			if v.Exited() && w.calm.between(v.name, time.Now().Add(-calmBefore), time.Now()) {
				w.violate("processes", "%s ended by itself", v.name)
				v.Stop(0, 0)
			}
		}
	}
}

// final reads the configuration back once more, which must be the newest that was
// acknowledged.
func (w *world) final() {
	deadline := time.Now().Add(recoverBound)
	for _, v := range w.controls() {
		for !w.operator.read(v) {
			if time.Now().After(deadline) {
				w.violate("configuration", "%s does not tell it at the end", v.name)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
