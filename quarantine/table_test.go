package quarantine_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestVerdicts plays the cases of testdata/verdicts.txt.
func TestVerdicts(t *testing.T) {
	text, err := os.ReadFile("testdata/verdicts.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, cases, _ := strings.Cut(string(text), "\ncase ")
	for _, c := range strings.Split(cases, "\ncase ") {
		name, script, _ := strings.Cut(c, "\n")
		t.Run(name, func(t *testing.T) {
			table := quarantine.Table{}
			for line := range strings.Lines(script) {
				if fields := strings.Fields(line); len(fields) > 0 {
					playLine(t, &table, fields)
				}
			}
		})
	}
}

func playLine(t *testing.T, table *quarantine.Table, fields []string) {
	t.Helper()
	now := parseDuration(t, fields[0])
	key := quarantine.Key{
		Service: "s",
		Part:    routing.PartID(fields[2]),
	}
	table.Advance(now)
	switch fields[1] {
	case "crash":
		e := quarantine.Evidence{
			Service: "s",
			Engine:  fleet.BackendServerID(fields[3]),
			Begun:   true,
		}
		sound := int64(-1)
		for i, field := range fields {
			switch field {
			case "unbegun":
				e.Begun = false
			case "gone":
				e.Begun, e.Gone = false, true
			case "sound":
				sound = parseDuration(t, fields[i+1]).Milliseconds()
			case "ago":
				e.AgeMillis = parseDuration(t, fields[i+1]).Milliseconds()
			}
		}
		for _, part := range strings.Split(fields[2], ",") {
			e.Parts = append(e.Parts, quarantine.Suspect{
				Part:           routing.PartID(part),
				SoundAgeMillis: sound,
			})
		}
		table.Add(e, now)
	case "request":
		e := quarantine.Evidence{
			Service: "s",
			Engine:  fleet.BackendServerID(fields[3]),
			Identity: &quarantine.Suspect{
				Part:           key.Part,
				SoundAgeMillis: -1,
			},
		}
		for i, field := range fields {
			switch field {
			case "gone":
				e.Gone = true
			case "sound":
				if i > 3 {
					e.Identity.SoundAgeMillis = parseDuration(t, fields[i+1]).Milliseconds()
				}
			}
		}
		table.Add(e, now)
	case "sound":
		table.Add(quarantine.Evidence{
			Service: "s",
			Parts:   []quarantine.Suspect{{Part: key.Part}},
		}, now)
	case "expect":
		got := "none"
		for _, n := range table.Notices(now) {
			if n.Key == key {
				got = string(n.State)
			}
		}
		if want := fields[3]; got != want {
			t.Errorf("at %s: got %s for %s, want %s", fields[0], got, key.Part, want)
		}
	default:
		t.Fatalf("unknown line %q", fields)
	}
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestTableIsBounded reports crashes on far more parts than a table holds. It must keep the ones
// that are suspended, and its messages must stay small.
func TestTableIsBounded(t *testing.T) {
	table := quarantine.Table{}
	crash := func(part string, engine fleet.BackendServerID, at time.Duration) {
		table.Add(quarantine.Evidence{
			Service: "s",
			Parts: []quarantine.Suspect{{
				Part:           routing.PartID(part),
				SoundAgeMillis: -1,
			}},
			Engine: engine,
			Begun:  true,
		}, at)
	}
	for i := range 3 {
		crash("deadly", fleet.BackendServerID("e"+strconv.Itoa(i)), time.Duration(i+1)*time.Second)
	}
	for i := range 20000 {
		crash("p"+strconv.Itoa(i), "e1", 4*time.Second)
		crash("p"+strconv.Itoa(i), "e2", 5*time.Second)
	}
	notices := table.Notices(5 * time.Second)
	if got, limit := len(notices), 128; got > limit {
		t.Errorf("got %d notices, want at most %d", got, limit)
	}
	if got := notices[0]; got.Part != "deadly" || got.State != quarantine.StateSuspended {
		t.Errorf("got %+v first, want the suspended part", got)
	}
}

// TestSuspensionIsAdoptedAfterLongSoundPart guards against a replica that drops the suspension of a
// part which it has seen work before the crashes.
func TestSuspensionIsAdoptedAfterLongSoundPart(t *testing.T) {
	table, now := quarantine.Table{}, time.Hour
	table.Add(quarantine.Evidence{
		Service: "s",
		Parts:   []quarantine.Suspect{{Part: "deadly"}},
	}, now)
	notice := suspension(20 * time.Second).Notices[0]
	table.Adopt(notice, now+time.Second)
	notices := table.Notices(now + time.Second)
	if len(notices) != 1 || notices[0].State != quarantine.StateSuspended {
		t.Errorf("got %+v, want the suspension", notices)
	}
}
