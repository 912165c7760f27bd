package placement

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/rapidseed"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 300))
}

func servers(n, slots int) []catalog.BackendServer {
	var list []catalog.BackendServer
	for i := range n {
		list = append(list, catalog.BackendServer{
			ID:      fleet.BackendServerID(fmt.Sprintf("s%04d", i)),
			Address: "127.0.0.1:1",
			Slots:   slots,
		})
	}
	return list
}

func nodes(n int) []fleet.NodeID {
	var list []fleet.NodeID
	for i := range n {
		list = append(list, fleet.NodeID(fmt.Sprintf("n%04d", i)))
	}
	return list
}

func ids(list []catalog.BackendServer) map[fleet.BackendServerID]bool {
	set := map[fleet.BackendServerID]bool{}
	for _, s := range list {
		set[s.ID] = true
	}
	return set
}

// TestSubsetsCoverEvenly checks for fleets of different sizes that every server is used by
// an even share of the nodes, plus or minus two.
func TestSubsetsCoverEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := servers(rapid.IntRange(2, 300).Draw(t, "servers"), 1)
		fleetNodes := nodes(rapid.IntRange(1, 120).Draw(t, "nodes"))
		size := rapid.IntRange(1, len(all)).Draw(t, "size")
		used := map[fleet.BackendServerID]int{}
		for _, n := range fleetNodes {
			subset := Subset(n, fleetNodes, all, size)
			if got, want := len(ids(subset)), size; got != want {
				t.Fatalf("node %s uses %d servers, want %d", n, got, want)
			}
			for _, s := range subset {
				used[s.ID]++
			}
		}
		share := len(fleetNodes) * size / len(all)
		for _, s := range all {
			if got := used[s.ID]; got < share-2 || got > share+3 {
				t.Errorf("server %s is used by %d nodes, want about %d", s.ID, got, share)
			}
		}
	})
}

// TestSubsetsChangeLittleWhenANodeLeaves guards against a node that leaves causing the other
// nodes to replace many of their servers.
func TestSubsetsChangeLittleWhenANodeLeaves(t *testing.T) {
	all := servers(2800, 1)
	before := nodes(660)
	after := append(append([]fleet.NodeID{}, before[:100]...), before[101:]...)
	moved := 0
	for _, n := range after {
		old := ids(Subset(n, before, all, 38))
		for id := range ids(Subset(n, after, all, 38)) {
			if !old[id] {
				moved++
			}
		}
	}
	// The first server moves by at most 2800/660 ranks, and by half of that on average.
	if got, most := float64(moved)/float64(len(after)), 2800.0/660+1; got > most {
		t.Errorf("each node took %.2f new servers, want at most %.2f", got, most)
	}
}

// TestDrainingServerGetsNoRequests checks that a server gets no new requests once the node has
// learned that it is draining, from a rejection, a load report, a ticket or its removal from
// the list, whatever the order of events.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := servers(4, 4)
		table := New(Config{Nodes: 1})
		table.SetServers(all)
		now := time.Duration(0)
		draining := map[fleet.BackendServerID]bool{}
		listed := all
		var running []fleet.BackendServerID
		request := Request{
			Class: fleet.ClassLookup,
			Tier:  fleet.TierPaying,
			Cost:  10,
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(*rapid.T) {
				if s, ok := table.Pick(request, now); ok {
					if draining[s.ID] {
						t.Fatalf("draining server %s got a new request", s.ID)
					}
					running = append(running, s.ID)
				}
			},
			"finish": func(t *rapid.T) {
				if len(running) > 0 {
					table.Finish(running[0], request, rapid.SampledFrom([]Outcome{OutcomeOK, OutcomeBusy, OutcomeSlow, OutcomeNeutral}).Draw(t, "outcome"), now)
					running = running[1:]
				}
			},
			"rejectsAsDraining": func(*rapid.T) {
				if len(running) > 0 {
					draining[running[0]] = true
					table.Finish(running[0], request, OutcomeDraining, now)
					running = running[1:]
				}
			},
			"reportsDraining": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "server")
				draining[all[i].ID] = true
				table.Report(all[i].ID, LoadReport{Draining: true}, now)
			},
			"ticket": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "server")
				all[i].Draining = true
				draining[all[i].ID] = true
				table.SetServers(listed)
			},
			"removed": func(*rapid.T) {
				draining[all[3].ID] = true
				listed = all[:3]
				table.SetServers(listed)
			},
			"staleReport": func(t *rapid.T) {
				// Load reports lag: this one was taken before the server
				// started draining.
				i := rapid.IntRange(0, 3).Draw(t, "server")
				table.Report(all[i].ID, LoadReport{Age: 5 * time.Second}, now)
			},
			"wait": func(*rapid.T) { now += 100 * time.Millisecond },
		})
	})
}

// TestServerIsUsedAgainAfterDraining checks that a fresh load report ends the exclusion of a
// server that is no longer draining.
func TestServerIsUsedAgainAfterDraining(t *testing.T) {
	table := New(Config{Nodes: 1})
	table.SetServers(servers(1, 4))
	table.Report("s0000", LoadReport{Draining: true}, time.Second)
	if got := table.Usable(time.Second); got != 0 {
		t.Errorf("got %d usable servers while the only one is draining, want 0", got)
	}
	table.Report("s0000", LoadReport{}, 2*time.Second+drainingHold)
	if got := table.Usable(2*time.Second + drainingHold); got != 1 {
		t.Errorf("got %d usable servers after a fresh report that it is not draining, want 1", got)
	}
}

// TestCapacityIsReservedForPayingAndShort checks that trial requests leave capacity for paying
// ones and long requests for short ones.
func TestCapacityIsReservedForPayingAndShort(t *testing.T) {
	check := func(name string, flood, reserved Request) {
		t.Run(name, func(t *testing.T) {
			table := New(Config{Nodes: 1})
			table.SetServers(servers(1, 10))
			for {
				if _, ok := table.Pick(flood, 0); !ok {
					break
				}
			}
			if _, ok := table.Pick(reserved, 0); !ok {
				t.Errorf("got no server, want capacity left by the other requests")
			}
		})
	}
	check("trial", Request{
		Tier:  fleet.TierTrial,
		Class: fleet.ClassInteractive,
	}, Request{
		Tier:  fleet.TierPaying,
		Class: fleet.ClassInteractive,
	})
	check("long", Request{
		Tier:  fleet.TierPaying,
		Class: fleet.ClassLong,
	}, Request{
		Tier:  fleet.TierPaying,
		Class: fleet.ClassLookup,
	})
}

// TestWrongHintsAreRemoved checks that a hint is used, that a cache miss or an eviction removes
// it, and that a later cache event does not replace a fresh one.
func TestWrongHintsAreRemoved(t *testing.T) {
	table := New(Config{Nodes: 1})
	table.SetServers(servers(2, 100))
	request := Request{
		Tier:        fleet.TierPaying,
		Class:       fleet.ClassInteractive,
		Cost:        1000,
		Prefixes:    []PrefixHash{1, 2, 3},
		BlockTokens: 200,
	}
	first, _ := table.Pick(request, 0)
	for range 5 {
		again, _ := table.Pick(request, 0)
		if again.ID != first.ID {
			t.Fatalf("got server %s, want %s, which has the prefix cached", again.ID, first.ID)
		}
		table.Finish(again.ID, request, OutcomeOK, 0)
	}
	table.CacheMiss(first.ID, request.Prefixes)
	table.CacheEvent("s0001", 3, true, 0)
	table.CacheEvent("s0000", 3, true, 0)
	if got := table.hints[3].server; got != "s0001" {
		t.Errorf("got hint for %s, want the first cache event to take precedence while it is fresh", got)
	}
	table.CacheEvent("s0001", 3, false, 0)
	if _, ok := table.hints[3]; ok {
		t.Errorf("got a hint for an evicted prefix, want none")
	}
}

// TestOldReportsCountLess guards against a server staying excluded because of an old report
// that it was busy.
func TestOldReportsCountLess(t *testing.T) {
	table := New(Config{Nodes: 1})
	table.SetServers(servers(1, 10))
	table.Report("s0000", LoadReport{Active: 30}, 0)
	request := Request{
		Tier:  fleet.TierPaying,
		Class: fleet.ClassLookup,
	}
	if _, ok := table.Pick(request, 0); ok {
		t.Errorf("a server that reports 30 requests for 10 slots got another one")
	}
	if _, ok := table.Pick(request, 5*time.Second); !ok {
		t.Errorf("a load report from 5 s ago still excludes the server")
	}
}
