package admission

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/rapidseed"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 500))
}

func alwaysRoom(fleet.Tier, fleet.Class) bool { return true }

var (
	allTiers   = []fleet.Tier{fleet.TierPaying, fleet.TierTrial}
	allClasses = []fleet.Class{fleet.ClassLookup, fleet.ClassInteractive, fleet.ClassLong}
)

// TestEveryRequestEndsOnce offers, starts, removes and expires requests at random. Each
// request must end in exactly one way, a paying request must never be displaced, and a
// trial request must never start while a paying one could.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Length: rapid.IntRange(1, 12).Draw(t, "length")})
		waiting := map[uint64]*Request{}
		now := time.Duration(0)
		next := uint64(0)
		end := func(id uint64, how string) {
			if waiting[id] == nil {
				t.Fatalf("request %d ended by %s but was not queued", id, how)
			}
			delete(waiting, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				r := &Request{
					ID:        next,
					Workspace: fleet.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")),
					Tier:      rapid.SampledFrom(allTiers).Draw(t, "tier"),
					Class:     rapid.SampledFrom(allClasses).Draw(t, "class"),
					Cost:      fleet.Tokens(rapid.IntRange(1, 1000).Draw(t, "cost")),
					Deadline:  now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline"))*time.Millisecond,
				}
				refused, displaced := q.Offer(r, now)
				if displaced != nil {
					if displaced.Tier == fleet.TierPaying || r.Tier == fleet.TierTrial {
						t.Fatalf("%s request displaced a %s one", r.Tier, displaced.Tier)
					}
					end(displaced.ID, "displacement")
				}
				if refused == nil {
					waiting[r.ID] = r
				}
			},
			"start": func(t *rapid.T) {
				fullClass := rapid.SampledFrom(allClasses).Draw(t, "closed")
				hasRoom := func(_ fleet.Tier, c fleet.Class) bool { return c != fullClass }
				r := q.Next(now, hasRoom)
				if r == nil {
					for _, w := range waiting {
						if w.Class != fullClass {
							t.Fatalf("no request started although request %d could start", w.ID)
						}
					}
					return
				}
				end(r.ID, "start")
				for _, w := range waiting {
					if r.Tier == fleet.TierTrial && w.Tier == fleet.TierPaying && w.Class != fullClass {
						t.Fatalf("a trial request started although paying request %d could start", w.ID)
					}
				}
			},
			"remove": func(t *rapid.T) {
				id := uint64(rapid.IntRange(0, int(next)).Draw(t, "id"))
				if q.Remove(id) {
					end(id, "removal")
				}
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				for _, r := range q.Expire(now) {
					end(r.ID, "deadline")
				}
				for _, w := range waiting {
					if w.Deadline <= now {
						t.Fatalf("request %d is still queued after its deadline", w.ID)
					}
				}
			},
			"": func(t *rapid.T) {
				if got, want := q.Len(), len(waiting); got != want {
					t.Fatalf("got length %d, want %d", got, want)
				}
			},
		})
	})
}

// TestWorkspacesShareByWeight queues 400 requests for each of several workspaces with random
// weights. The number of starts of each workspace must differ from its share by at most the
// number of workspaces.
func TestWorkspacesShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Length: 1_000_000})
		weights := map[fleet.WorkspaceID]int{}
		cost := fleet.Tokens(100)
		id := uint64(0)
		total := 0
		for i := range rapid.IntRange(2, 5).Draw(t, "workspaces") {
			workspace := fleet.WorkspaceID(fmt.Sprintf("w%d", i))
			weights[workspace] = rapid.IntRange(1, 5).Draw(t, "weight")
			total += weights[workspace]
			for range 400 {
				id++
				q.Offer(&Request{
					ID:        id,
					Workspace: workspace,
					Weight:    weights[workspace],
					Tier:      fleet.TierPaying,
					Class:     fleet.ClassInteractive,
					Cost:      cost,
					Deadline:  time.Hour,
				}, 0)
			}
		}
		started := map[fleet.WorkspaceID]int{}
		n := rapid.IntRange(50, 300).Draw(t, "starts")
		for range n {
			started[q.Next(0, alwaysRoom).Workspace]++
		}
		for workspace, weight := range weights {
			share := float64(n*weight) / float64(total)
			if got := float64(started[workspace]); got < share-float64(len(weights)) || got > share+float64(len(weights)) {
				t.Errorf("workspace %s of weight %d got %v of %d starts, want about %.1f", workspace, weight, got, n, share)
			}
		}
	})
}

// TestLateWorkspaceIsNotBehindABacklog checks the example in the package comment: a
// workspace that arrives late does not wait for the whole backlog of another.
func TestLateWorkspaceIsNotBehindABacklog(t *testing.T) {
	q := New(Config{Length: 100})
	offer := func(id uint64, workspace fleet.WorkspaceID) {
		q.Offer(&Request{
			ID:        id,
			Workspace: workspace,
			Tier:      fleet.TierPaying,
			Class:     fleet.ClassInteractive,
			Cost:      100,
			Deadline:  time.Hour,
		}, 0)
	}
	for id := range uint64(10) {
		offer(id, "a")
	}
	q.Next(0, alwaysRoom)
	offer(100, "b")
	if got, want := q.Next(0, alwaysRoom).Workspace, fleet.WorkspaceID("b"); got != want {
		t.Errorf("got a request of %s, want one of %s", got, want)
	}
}

// TestLongRequestsDoNotHoldUpLookups queues lookups behind 500 long requests. Nearly all of
// the next starts must be lookups, but long requests must not starve.
func TestLongRequestsDoNotHoldUpLookups(t *testing.T) {
	q := New(Config{Length: 1000})
	offer := func(id uint64, class fleet.Class) {
		q.Offer(&Request{
			ID:        id,
			Workspace: "w",
			Tier:      fleet.TierPaying,
			Class:     class,
			Cost:      1000,
			Deadline:  time.Hour,
		}, 0)
	}
	for id := range uint64(500) {
		offer(id, fleet.ClassLong)
	}
	for range 10 {
		q.Next(0, alwaysRoom)
	}
	lookups := 0
	for id := range uint64(40) {
		offer(1000+id, fleet.ClassLookup)
	}
	long := 0
	for range 45 {
		if q.Next(0, alwaysRoom).Class == fleet.ClassLookup {
			lookups++
		} else {
			long++
		}
	}
	if lookups < 39 || long == 0 {
		t.Errorf("got %d lookups and %d long requests among 45 starts, want at least 39 lookups and at least 1 long request", lookups, long)
	}
}

// TestRefusalRestsOnRate checks that a request is refused only if, at the observed rate of
// starts, it would start after its deadline. Until a rate is known none is refused.
func TestRefusalRestsOnRate(t *testing.T) {
	q := New(Config{Length: 10_000})
	now := time.Duration(0)
	id := uint64(0)
	offer := func(deadline time.Duration) *Refusal {
		id++
		refused, _ := q.Offer(&Request{
			ID:        id,
			Workspace: "w",
			Tier:      fleet.TierPaying,
			Class:     fleet.ClassInteractive,
			Cost:      1,
			Deadline:  now + deadline,
		}, now)
		return refused
	}
	for range 200 {
		if refused := offer(time.Hour); refused != nil {
			t.Fatalf("got refusal %+v before a rate was known, want none", refused)
		}
	}
	for range 100 {
		now += 100 * time.Millisecond
		q.Next(now, alwaysRoom)
	}
	// 100 requests are queued and about 10 start per second.
	if refused := offer(5 * time.Second); refused == nil || refused.Reason != ReasonTooSlow {
		t.Errorf("deadline of 5 s: got refusal %+v, want %s", refused, ReasonTooSlow)
	}
	if refused := offer(20 * time.Second); refused != nil {
		t.Errorf("deadline of 20 s: got refusal %+v, want none", refused)
	}
}
