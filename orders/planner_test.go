package orders

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/rapidseed"
)

func TestMain(m *testing.M) {
	os.Exit(rapidseed.Main(m, 2000))
}

// flight is an order on its way; it arrives at some time before its limit.
type flight struct {
	given   Dispatch
	arrives time.Duration
}

// TestNoOrderOfAnOldLeaderComesLate lets leaders follow one another with orders of
// each under way. An engine must never carry out an order of an earlier term after
// one of a later term, whether it checks fences or not.
func TestNoOrderOfAnOldLeaderComesLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []catalog.BackendServer{
			{
				ID:           "checks",
				ChecksOrders: true,
			},
			{
				ID: "obeys",
			},
		}
		now := time.Duration(0)
		term := uint64(0)
		planners := []*Planner{New(Config{LoadsPerMinute: 6000}), New(Config{LoadsPerMinute: 6000})}
		leader := 0
		latest := map[fleet.BackendServerID]backend.Fence{}
		var under []flight
		version := 0
		change := func() []Target {
			version++
			var targets []Target
			for _, s := range servers {
				targets = append(targets, Target{
					Server: s,
					Items: []Item{{
						Model:   "m",
						Version: string(rune('a' + version%26)),
					}},
				})
			}
			return targets
		}
		arrive := func() {
			for i := 0; i < len(under); {
				f := under[i]
				if f.arrives > now {
					i++
					continue
				}
				under = append(under[:i], under[i+1:]...)
				id, fence := f.given.Server.ID, f.given.Order.Fence
				old := fence.Less(latest[id])
				if f.given.Server.ChecksOrders && old {
					continue
				}
				if old {
					t.Fatalf("%s carried out %+v after %+v", id, fence, latest[id])
				}
				latest[id] = fence
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"elect": func(*rapid.T) {
				planners[leader].SetLease(false, term, now)
				leader = 1 - leader
				term++
				planners[leader].SetLease(true, term, now)
			},
			"give": func(t *rapid.T) {
				p := planners[leader]
				for _, s := range servers {
					p.Observe(s.ID, backend.Loaded{})
				}
				for _, g := range p.Next(change(), now, 0) {
					f := flight{
						given:   g,
						arrives: now,
					}
					answered := rapid.Bool().Draw(t, "answered")
					if !answered {
						f.arrives += rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second, UnfencedWait - 1}).Draw(t, "flight")
					}
					under = append(under, f)
					arrive()
					if answered || rapid.Bool().Draw(t, "timedOut") {
						p.OrderEnded(g.Server, answered, now)
					}
				}
			},
			"wait": func(t *rapid.T) {
				now += rapid.SampledFrom([]time.Duration{1, time.Second, 2100 * time.Millisecond, 4 * time.Second}).Draw(t, "wait")
				arrive()
			},
		})
	})
}

func TestLoadsKeepToTheWeightStoresRate(t *testing.T) {
	p := New(Config{LoadsPerMinute: 6})
	p.SetLease(true, 1, 0)
	var targets []Target
	for i := range 100 {
		server := catalog.BackendServer{
			ID:           fleet.BackendServerID(rune('a' + i)),
			ChecksOrders: true,
		}
		targets = append(targets, Target{
			Server: server,
			Items: []Item{{
				Model:   "m",
				Version: "1",
			}},
		})
	}
	given := 0
	for now := time.Duration(0); now < 5*time.Minute; now += time.Second {
		for _, target := range targets {
			p.Observe(target.Server.ID, backend.Loaded{})
		}
		given += len(p.Next(targets, now, 0))
	}
	if got, most := given, 6*5; got > most || got < most-2 {
		t.Errorf("got %d loads in 5 minutes, want %d at 6 a minute", got, most)
	}
}

func TestEngineIsBroughtToWhatIsConfigured(t *testing.T) {
	p := New(Config{LoadsPerMinute: 6000})
	p.SetLease(true, 1, 0)
	server := catalog.BackendServer{
		ID:           "e",
		ChecksOrders: true,
	}
	target := Target{
		Server: server,
		Items: []Item{
			{
				Model:   "m",
				Version: "2",
			},
			{
				Model:   "m",
				Adapter: "a",
				Version: "1",
			},
		},
	}
	loaded := map[string]string{
		"m":   "1",
		"old": "7",
	}
	now := time.Second
	for range 5 {
		p.Observe("e", report(loaded))
		for _, g := range p.Next([]Target{target}, now, 0) {
			name := string(g.Order.Model)
			if g.Order.Adapter != "" {
				name += ":" + string(g.Order.Adapter)
			}
			loaded[name] = g.Order.Version
			if g.Order.Action == backend.ActionUnload {
				delete(loaded, name)
			}
			p.OrderEnded(server, true, now)
		}
		now += time.Second
	}
	if len(loaded) != 2 || loaded["m"] != "2" || loaded["m:a"] != "1" {
		t.Errorf("got %v, want m in version 2 and m:a in version 1", loaded)
	}
}

func report(loaded map[string]string) backend.Loaded {
	r := backend.Loaded{}
	for name, version := range loaded {
		r.Versions = append(r.Versions, backend.LoadedVersion{
			Name:    name,
			Version: version,
		})
	}
	return r
}
