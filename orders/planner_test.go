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

// inFlightOrder is an order that was sent and arrives later, within UnfencedWait.
type inFlightOrder struct {
	dispatch Dispatch
	arrives  time.Duration
}

// TestStaleOrderIsNotExecuted elects new leaders while orders of earlier ones are in
// flight. Whether it checks fences or not, an engine must never execute an order of an
// earlier term after one of a later term.
func TestStaleOrderIsNotExecuted(t *testing.T) {
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
		lastExecuted := map[fleet.BackendServerID]backend.Fence{}
		var inFlight []inFlightOrder
		version := 0
		nextTargets := func() []Target {
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
		deliver := func() {
			for i := 0; i < len(inFlight); {
				f := inFlight[i]
				if f.arrives > now {
					i++
					continue
				}
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				id, fence := f.dispatch.Server.ID, f.dispatch.Order.Fence
				stale := fence.Less(lastExecuted[id])
				if f.dispatch.Server.ChecksOrders && stale {
					continue
				}
				if stale {
					t.Fatalf("%s executed an order with fence %+v after one with %+v", id, fence, lastExecuted[id])
				}
				lastExecuted[id] = fence
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
				for _, d := range p.Next(nextTargets(), now, 0) {
					f := inFlightOrder{
						dispatch: d,
						arrives:  now,
					}
					responded := rapid.Bool().Draw(t, "answered")
					if !responded {
						f.arrives += rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second, UnfencedWait - 1}).Draw(t, "flight")
					}
					inFlight = append(inFlight, f)
					deliver()
					if responded || rapid.Bool().Draw(t, "timedOut") {
						p.OrderEnded(d.Server, responded, now)
					}
				}
			},
			"wait": func(t *rapid.T) {
				now += rapid.SampledFrom([]time.Duration{1, time.Second, 2100 * time.Millisecond, 4 * time.Second}).Draw(t, "wait")
				deliver()
			},
		})
	})
}

// TestLoadRateLimit checks that load orders to all engines together keep to
// LoadsPerMinute, so that a new leader does not overload the weight store.
func TestLoadRateLimit(t *testing.T) {
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
	loads := 0
	for now := time.Duration(0); now < 5*time.Minute; now += time.Second {
		for _, target := range targets {
			p.Observe(target.Server.ID, backend.Loaded{})
		}
		loads += len(p.Next(targets, now, 0))
	}
	if got, limit := loads, 6*5; got > limit || got < limit-2 {
		t.Errorf("got %d loads in 5 minutes, want %d or up to 2 fewer at 6 loads per minute", got, limit)
	}
}

// TestEngineConvergesToTarget starts with an outdated version, an item to unload and a
// missing adapter. The orders must bring the engine to exactly the target's items.
func TestEngineConvergesToTarget(t *testing.T) {
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
		for _, d := range p.Next([]Target{target}, now, 0) {
			name := string(d.Order.Model)
			if d.Order.Adapter != "" {
				name += ":" + string(d.Order.Adapter)
			}
			loaded[name] = d.Order.Version
			if d.Order.Action == backend.ActionUnload {
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

// report returns what an engine reports as loaded.
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
