package prove

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestRandom injects faults drawn from a seed at random times; they may overlap and repeat.
// It runs with WAXWINGREEL_PROVE=all for three seeds, or for the one that WAXWINGREEL_SEED
// names.
func TestRandom(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if text := os.Getenv("WAXWINGREEL_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = []uint64{seed}
	} else if os.Getenv("WAXWINGREEL_PROVE") != "all" {
		t.Skip("runs with WAXWINGREEL_PROVE=all or WAXWINGREEL_SEED=n")
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			c := randomCase(t, seed)
			for _, s := range c.steps {
				t.Logf("at %s %s", s.time, strings.Join(s.words, " "))
			}
			c.run(t)
		})
	}
}

const (
	randomDuration   = 16 * time.Second
	randomFaultCount = 6
)

// randomCase returns a case with six random faults, each with the command that ends it.
func randomCase(t *testing.T, seed uint64) *proveCase {
	c := readCase(t, "testdata/00-quiet.txt")
	c.seed = seed
	c.config.nodes = 5
	c.rate = 50
	c.length = randomDuration
	c.limits = nil
	rng := rand.New(rand.NewPCG(seed, seed))
	for range randomFaultCount {
		begin := time.Second + time.Duration(rng.Int64N(int64(randomDuration-6*time.Second)))
		end := begin + time.Duration(rng.Int64N(int64(5*time.Second)))
		first, last := randomFault(rng)
		c.steps = append(c.steps, step{
			time:  begin,
			words: strings.Fields(first),
		})
		if last != "" {
			c.steps = append(c.steps, step{
				time:  end,
				words: strings.Fields(last),
			})
		}
	}
	sort.SliceStable(c.steps, func(i, j int) bool { return c.steps[i].time < c.steps[j].time })
	return c
}

// randomFault returns the commands that begin and end one fault. last may be empty.
func randomFault(rng *rand.Rand) (first, last string) {
	node := fmt.Sprintf("n%d", 1+rng.IntN(5))
	other := fmt.Sprintf("n%d", 1+rng.IntN(5))
	server := []string{"engine-1", "engine-2", "service-1", "service-2"}[rng.IntN(4)]
	switch rng.IntN(8) {
	case 0:
		return "kill " + node, "start " + node
	case 1:
		return "freeze " + node, "thaw " + node
	case 2:
		return "cut " + node + " | n1 n2 n3 n4 n5", "mend"
	case 3:
		return "cutOneWay " + node + " " + other, "mend"
	case 4:
		return "lossy 30", "mend"
	case 5:
		return "silence " + server, ""
	case 6:
		return "reset " + server, "reset " + node
	}
	return "silence " + node, ""
}
