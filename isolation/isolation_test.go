package isolation

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestRounds runs the cases in testdata/rounds.txt.
func TestRounds(t *testing.T) {
	text, err := os.ReadFile("testdata/rounds.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, block := range strings.Split(string(text), "\ncase ")[1:] {
		name, steps, _ := strings.Cut(block, "\n")
		t.Run(name, func(t *testing.T) {
			d := Detector{}
			for line := range strings.Lines(steps) {
				if line = strings.TrimSpace(line); line != "" {
					runStep(t, &d, line)
				}
			}
		})
	}
}

func runStep(t *testing.T, d *Detector, line string) {
	t.Helper()
	step, want, _ := strings.Cut(line, " = ")
	fields := strings.Fields(step)
	var numbers []int
	round := Round{}
	for ; ; fields = fields[:len(fields)-1] {
		word := fields[len(fields)-1]
		if word != "alone" && word != "untried" {
			break
		}
		round.Alone, round.Untried = round.Alone || word == "alone", round.Untried || word == "untried"
	}
	for _, text := range fields[1:] {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		numbers = append(numbers, n)
	}
	now, got := time.Duration(numbers[0])*time.Millisecond, ""
	switch fields[0] {
	case "connected":
		d.Connected(now)
	case "start":
		got = map[bool]string{true: "yes", false: "no"}[d.StartRound(now)]
	case "end":
		round.Connected, round.Failed = numbers[1], numbers[2]
		d.EndRound(round, now)
		got = map[bool]string{true: "isolated", false: "reached"}[d.Isolated()]
	case "reset":
		got = map[bool]string{true: "ended", false: "unchanged"}[d.Reset()]
	default:
		t.Fatalf("unknown step %q", line)
	}
	if got != want {
		t.Errorf("%s: got %s", line, got)
	}
}
