package catalog

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// TestScripts runs the scripts in testdata. A block starts with the line "ticket N" and
// the ticket's text, followed by lines with the expected outcome:
//
//	=> accepted V           accepted as version V
//	=> refused TEXT         refused, with TEXT in a problem
//	=> winner               refused, since a different ticket has the number
//	=> object KIND ID TEXT  afterwards the object contains TEXT, or is absent for "-"
//
// The line "restart" saves the state as an image and restores it.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("list the scripts in testdata: got %d, error %v; want at least one", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			r := &scriptRunner{
				t:     t,
				state: New(),
			}
			for i, line := range strings.Split(string(text), "\n") {
				r.position = fmt.Sprintf("%s:%d", file, i+1)
				r.runLine(line)
			}
		})
	}
}

type scriptRunner struct {
	t        *testing.T
	state    *State
	position string
	number   fleet.TicketNumber
	body     strings.Builder
	applied  bool
	outcome  Outcome
}

func (r *scriptRunner) runLine(line string) {
	words := strings.Fields(line)
	switch {
	case strings.HasPrefix(line, "#"):
	case strings.HasPrefix(line, "ticket "):
		n, err := strconv.Atoi(words[1])
		if err != nil {
			r.t.Fatalf("%s: %v", r.position, err)
		}
		r.number = fleet.TicketNumber(n)
		r.body.Reset()
		r.applied = false
	case line == "restart":
		r.state = FromImage(r.state.Image())
	case strings.HasPrefix(line, "=> "):
		r.expect(words[1], words[2:])
	default:
		r.body.WriteString(line + "\n")
	}
}

func (r *scriptRunner) apply() {
	if r.applied {
		return
	}
	r.applied = true
	ticket, err := ParseTicket(r.number, []byte(r.body.String()))
	if err != nil {
		r.outcome = Outcome{Problems: []Problem{{Reason: err.Error()}}}
		return
	}
	r.outcome = r.state.Apply(ticket, 0, nil)
}

func (r *scriptRunner) expect(kind string, words []string) {
	r.apply()
	got := fmt.Sprint(r.outcome.Problems)
	switch kind {
	case "accepted":
		if got, want := fmt.Sprint(r.outcome.Accepted, " ", r.outcome.Version), "true "+words[0]; got != want {
			r.t.Errorf("%s: got %s, want %s; problems %v", r.position, got, want, r.outcome.Problems)
		}
	case "refused":
		if want := strings.Join(words, " "); r.outcome.Accepted || !strings.Contains(got, want) {
			r.t.Errorf("%s: got accepted %v, problems %s, want %q", r.position, r.outcome.Accepted, got, want)
		}
	case "winner":
		if r.outcome.Accepted || r.outcome.AcceptedDigest == "" {
			r.t.Errorf("%s: got %+v, want it refused with the digest of the accepted ticket", r.position, r.outcome)
		}
	case "object":
		r.expectObject(words)
	default:
		r.t.Fatalf("%s: unknown expectation %s", r.position, kind)
	}
}

func (r *scriptRunner) expectObject(words []string) {
	object, ok := r.state.Object(Key{
		Kind: Kind(words[0]),
		ID:   words[1],
	})
	body, err := json.Marshal(object.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	got, want := string(body), words[2]
	if !ok {
		got = "-"
	}
	if !strings.Contains(got, want) {
		r.t.Errorf("%s: got %s, want %s", r.position, got, want)
	}
}

// TestDeltas keeps a view up to date by deltas from different versions and across
// restarts. A stale delta must not take the view back to an earlier version.
func TestDeltas(t *testing.T) {
	state := New()
	view := NewView()
	stale := state.Since(0)
	for n := 1; n <= 300; n++ {
		change := fmt.Sprintf(`{"changes":[{"model":{"id":"m%d","version":"%d","maxOutput":1,"maxPrompt":1}}]}`, n%7, n)
		if n%5 == 0 {
			change = fmt.Sprintf(`{"changes":[{"remove":{"kind":"model","id":"m%d"}}]}`, (n-1)%7)
		}
		ticket, err := ParseTicket(fleet.TicketNumber(n), []byte(change))
		if err != nil {
			t.Fatal(err)
		}
		if outcome := state.Apply(ticket, 0, nil); !outcome.Accepted {
			t.Fatalf("ticket %d: %v", n, outcome.Problems)
		}
		if n%3 != 0 {
			continue
		}
		if n == 150 {
			stale = state.Since(0)
			state = FromImage(state.Image())
		}
		next, ok := view.With(state.Since(view.Version))
		if !ok {
			t.Fatalf("the delta to version %d does not apply to version %d", state.Version(), view.Version)
		}
		view = next
		assertViewMatches(t, state, view)
	}
	if _, ok := view.With(stale); ok {
		t.Errorf("the view went back from version %d to %d", view.Version, stale.To)
	}
	full, ok := NewView().With(state.Since(0))
	if !ok {
		t.Fatal("a new view refused the full configuration")
	}
	assertViewMatches(t, state, full)
}

func assertViewMatches(t *testing.T, state *State, view *View) {
	t.Helper()
	want := 0
	state.Each(KindModel, func(o Object) {
		want++
		got, _, ok := view.Model(o.Key.ID)
		if !ok || got.Version != o.Body.Model.Version {
			t.Fatalf("version %d: model %s: got %+v, want %+v", view.Version, o.Key.ID, got, *o.Body.Model)
		}
	})
	if got := len(view.Objects()); got != want {
		t.Fatalf("version %d: got %d objects, want %d", view.Version, got, want)
	}
}

func FuzzParseTicket(f *testing.F) {
	f.Add([]byte(`{"changes":[{"budget":{"id":"b","workspace":"w","tier":"paying","prepaid":5}}]} // x`))
	f.Add([]byte(`{"changes":[{"remove":{"kind":"model","id":"m"}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		ticket, err := ParseTicket(7, text)
		if err != nil {
			return
		}
		state := New()
		first := state.Apply(ticket, 0, nil)
		second := state.Apply(ticket, 1, nil)
		if first.Accepted != second.Accepted || first.Version != second.Version {
			t.Errorf("the same ticket got %+v and then %+v", first, second)
		}
	})
}
