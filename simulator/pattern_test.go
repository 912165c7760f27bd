package simulator

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func readFile(t *testing.T, path string) *Pattern {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	pattern, err := ReadPattern(filepath.Base(path), file)
	if err != nil {
		t.Fatal(err)
	}
	return pattern
}

func mustPlay(t *testing.T, pattern *Pattern, policy Policy) *Report {
	t.Helper()
	report, err := Simulate(pattern, policy)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// inTime is how many requests of all classes began in time.
func inTime(r *Report) int {
	n := 0
	for _, c := range r.Classes {
		n += c.InAim
	}
	return n
}

// TestPatterns plays each pattern of testdata with several seeds. The product's placement
// must meet what the pattern wants and serve no fewer requests in time than any
// alternative.
func TestPatterns(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d patterns: %v", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			pattern := readFile(t, path)
			served := map[string]int{}
			figures := map[Want]float64{}
			const seeds = 4
			for seed := range uint64(seeds) {
				pattern.Seed = seed + 1
				for _, policy := range Policies {
					report := mustPlay(t, pattern, policy)
					served[policy.Name] += inTime(report)
					if policy.Name != Policies[0].Name {
						continue
					}
					for _, want := range pattern.Wants {
						got, err := report.Figure(want.Figure, want.Class)
						if err != nil {
							t.Fatal(err)
						}
						figures[want] += got / seeds
					}
				}
			}
			t.Logf("served in time: %v", served)
			for _, policy := range Policies[1:] {
				if got, least := served[Policies[0].Name], served[policy.Name]; got < least {
					t.Errorf("got %d requests in time, want at least the %d of %s", got, least, policy.Name)
				}
			}
			for want, got := range figures {
				if want.Least && got < want.Value || !want.Least && got > want.Value {
					t.Errorf("got %s %s of %.3f, want %+v", want.Figure, want.Class, got, want)
				}
			}
		})
	}
}

// TestNodesDoNotHerd spreads the same traffic over 1, 8 and 65 entry nodes. They decide by
// what they know of one another, and must not all turn to the engine that was free a
// moment ago.
func TestNodesDoNotHerd(t *testing.T) {
	pattern := readFile(t, "testdata/calm.txt")
	alone := mustPlay(t, pattern, Policies[1])
	for _, nodes := range []int{1, 8, 65} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			pattern.Nodes = nodes
			report := mustPlay(t, pattern, Policies[0])
			t.Logf("busiest engine %.2f of the mean, %d in time", report.Imbalance, inTime(report))
			if got, least := inTime(report), inTime(alone)*95/100; got < least {
				t.Errorf("got %d requests in time, want at least 95%% of the %d of a single node", got, inTime(alone))
			}
		})
	}
}

// TestSamePatternSameReport plays a pattern twice.
func TestSamePatternSameReport(t *testing.T) {
	pattern := readFile(t, "testdata/storm-and-crash.txt")
	first, second := strings.Builder{}, strings.Builder{}
	mustPlay(t, pattern, Policies[0]).Write(&first)
	mustPlay(t, pattern, Policies[0]).Write(&second)
	if got, want := second.String(), first.String(); got != want {
		t.Errorf("got another report the second time:\n%s\nwant:\n%s", got, want)
	}
}

func TestPatternErrorsNameTheLine(t *testing.T) {
	for text, want := range map[string]string{
		"fleet nodes=x":     "p:1: nodes=x is no number",
		"class name=a\nbad": "p:2: unknown word",
	} {
		if _, err := ReadPattern("p", strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want an error with %q", err, want)
		}
	}
}
