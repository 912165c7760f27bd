package quarantine_test

import (
	"os"
	"strings"
	"testing"
)

// TestRepeatedRequestOfAPlainService plays the patterns of testdata/repeated.txt with several seeds.
// A request that crashes each instance that runs it, and comes again at any node, must soon reach
// none, and the others must be served.
func TestRepeatedRequestOfAPlainService(t *testing.T) {
	text, err := os.ReadFile("testdata/repeated.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(strings.TrimSpace(line), " | ")
		if len(fields) != 6 {
			continue
		}
		t.Run(fields[0], func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				playRepeated(t, fields, seed)
			}
		})
	}
}

func playRepeated(t *testing.T, fields []string, seed uint64) {
	numbers := parseNumbers(t, fields)
	s := newSimulation(t, int(numbers[1]), int(numbers[2]), seed)
	s.plain = true
	s.run(numbers[3], numbers[4], 1, fields[5])
	if got := s.arrivalsTooLate(3); got > maxArrivals {
		t.Errorf("seed %d: got the request at %d instances later than %s after the third of %d crashes, want at most %d", seed, got, grace, len(s.deadlyCrashes), maxArrivals)
	}
	if numbers[4] > 0 && len(s.deadlyCrashes) < 3 {
		t.Errorf("seed %d: got %d crashes, want at least 3 before the request is suspended", seed, len(s.deadlyCrashes))
	}
	if limit := s.soundSent / 200; s.soundRefused > limit {
		t.Errorf("seed %d: got %d of %d sound requests refused, want at most %d", seed, s.soundRefused, s.soundSent, limit)
	}
}
