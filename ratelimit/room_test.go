package ratelimit_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ratelimit"
)

// TestRooms runs the cases in testdata/rooms.txt.
func TestRooms(t *testing.T) {
	text, err := os.ReadFile("testdata/rooms.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, block := range strings.Split(string(text), "\ncase ")[1:] {
		name, steps, _ := strings.Cut(block, "\n")
		t.Run(name, func(t *testing.T) {
			issuer := ratelimit.NewIssuer(1)
			for line := range strings.Lines(steps) {
				if line = strings.TrimSpace(line); line != "" {
					runRoomStep(t, issuer, line)
				}
			}
		})
	}
}

func runRoomStep(t *testing.T, issuer *ratelimit.Issuer, line string) {
	t.Helper()
	step, want, _ := strings.Cut(line, " = ")
	fields := strings.Fields(step)
	number := func(i int) int {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	now, node, turnsAway := time.Duration(number(1))*time.Millisecond, fleet.NodeID(fields[2]), 2
	load := ratelimit.Load{
		Slots:          4,
		ReportedMillis: -1,
		KnownMillis:    1000,
	}
	switch fields[0] {
	case "end", "away":
		issuer.Ended(node, "i", fields[0] == "away", now)
		return
	case "old":
		load.KnownMillis = 60_000
	case "load":
		load.KnownMillis = 60_000
		load.Reported, load.ReportedMillis = number(4), 0
	}
	load.Running = number(3)
	report := ratelimit.Report{
		Service:  "s",
		Instance: "i",
		Brittle:  &turnsAway,
	}
	got := "no"
	if issuer.Ask(node, report, load, now).Granted {
		got = "yes"
	}
	if got != want {
		t.Errorf("%s: got %s", line, got)
	}
}
