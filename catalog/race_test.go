package catalog

import (
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/rapidseed"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 1000))
}

// TestConcurrentTickets applies random tickets with few different numbers and contents,
// as operators send them concurrently, and restarts in between. A number belongs to the
// first content accepted under it, a resent ticket gets its original outcome, and an
// object changes only by tickets of ascending numbers.
func TestConcurrentTickets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New()
		accepted := map[fleet.TicketNumber]fleet.Digest{}
		outcomes := map[fleet.TicketNumber]Outcome{}
		last := map[string]fleet.TicketNumber{}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				number := fleet.TicketNumber(rapid.IntRange(1, 6).Draw(t, "number"))
				id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "object")
				version := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
				text := fmt.Sprintf(`{"changes":[{"model":{"id":%q,"version":%q,"maxOutput":1,"maxPrompt":1}}]}`, id, version)
				ticket, err := ParseTicket(number, []byte(text))
				if err != nil {
					t.Fatal(err)
				}
				before := state.Version()
				got := state.Apply(ticket, fleet.UnixMillis(rapid.IntRange(0, 9).Draw(t, "at")), nil)
				digest, taken := accepted[number]
				switch {
				case taken && digest == ticket.Digest():
					if got.Version != outcomes[number].Version || got.At != outcomes[number].At || !got.Accepted || state.Version() != before {
						t.Fatalf("resent ticket %d: got %+v, want the original outcome %+v", number, got, outcomes[number])
					}
				case taken:
					if got.Accepted || got.AcceptedDigest != digest.String() || state.Version() != before {
						t.Fatalf("different ticket with number %d: got %+v, want it refused in favour of %s", number, got, digest)
					}
				case last[id] > number:
					if got.Accepted || state.Version() != before {
						t.Fatalf("ticket %d was accepted for %s, which ticket %d has changed last", number, id, last[id])
					}
				default:
					if !got.Accepted || got.Version != before+1 {
						t.Fatalf("ticket %d: got %+v, want it accepted as version %d", number, got, before+1)
					}
					accepted[number] = ticket.Digest()
					outcomes[number] = got
					last[id] = number
				}
			},
			"restart": func(*rapid.T) { state = FromImage(state.Image()) },
		})
	})
}
