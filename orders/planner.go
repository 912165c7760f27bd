// Package orders has model engines load what the configuration says: models,
// adapters and their versions.
//
// # One issuer at a time
//
// Only the control group's leader gives orders, and only while it holds its lease.
// Each order carries a fence: the leader's term and a sequence number. An engine
// that checks fences refuses an order that an earlier leader sent and that arrives
// late. An engine that does not check would obey it, and undo the new leader's
// order. So for such an engine a new leader waits: when it has its lease the old
// one's has run out, so that the old leader starts no further order, and after
// orderTimeout none that it started is under way any more. flightMargin allows for
// what the network may still hold by then.
//
//	old leader   ...lease ends |
//	its order         sent-----+-----timeout |  margin |
//	new leader            lease begins | waits         | first order
//
// Planner is a pure state machine; times are on the clock of the caller.
package orders

import (
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Times of an order.
const (
	// Timeout is how long an order may be under way.
	Timeout = 2 * time.Second
	// flightMargin is how long the network may hold an order beyond that.
	flightMargin = 3 * time.Second
	// UnfencedWait is how long a new leader waits before it gives an order to
	// an engine that checks no fences.
	UnfencedWait = Timeout + flightMargin
	// againAfter is the wait before an order that failed is given again.
	againAfter = 2 * time.Second
)

// Item is one thing that an engine is to have loaded.
type Item struct {
	Model   fleet.ModelID
	Adapter fleet.AdapterID
	Version string
}

// name is how engines name the item.
func (i Item) name() string {
	if i.Adapter == "" {
		return string(i.Model)
	}
	return string(i.Model) + ":" + string(i.Adapter)
}

// Target is an engine and what it is to have loaded.
type Target struct {
	Server catalog.BackendServer
	Items  []Item
}

// Dispatch is an order to send.
type Dispatch struct {
	Server catalog.BackendServer
	Order  backend.Order
}

// Config sets up a Planner.
type Config struct {
	// LoadsPerMinute bounds the orders that make engines fetch weights, over
	// the whole fleet.
	LoadsPerMinute int
}

// Planner decides which orders a leader gives.
type Planner struct {
	cfg      Config
	term     uint64
	sequence uint64
	leads    bool
	since    time.Duration
	// allowance is how many loads may be ordered now.
	allowance float64
	filledAt  time.Duration
	busy      map[fleet.BackendServerID]time.Duration
	loaded    map[fleet.BackendServerID]backend.Loaded
}

// New returns a planner that does not lead.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:    cfg,
		busy:   map[fleet.BackendServerID]time.Duration{},
		loaded: map[fleet.BackendServerID]backend.Loaded{},
	}
}

// SetLease tells whether this replica holds the leader's lease, and for which term.
func (p *Planner) SetLease(holds bool, term uint64, now time.Duration) {
	if !holds {
		p.leads = false
		return
	}
	if p.leads && p.term == term {
		return
	}
	p.leads = true
	p.term = term
	p.sequence = 0
	p.since = now
	// The leader before may just have used the weight store's whole rate.
	p.allowance = 0
	p.filledAt = now
	p.busy = map[fleet.BackendServerID]time.Duration{}
	p.loaded = map[fleet.BackendServerID]backend.Loaded{}
}

// Observe takes in what an engine has loaded.
func (p *Planner) Observe(server fleet.BackendServerID, loaded backend.Loaded) {
	p.loaded[server] = loaded
}

// OrderEnded tells that an order has ended, and whether the engine has carried it out. An
// order that failed may still arrive, so that an engine that checks no fences gets
// no other until then.
func (p *Planner) OrderEnded(server catalog.BackendServer, carriedOut bool, now time.Duration) {
	delete(p.loaded, server.ID)
	switch {
	case carriedOut:
		delete(p.busy, server.ID)
	case server.ChecksOrders:
		p.busy[server.ID] = now + againAfter
	default:
		p.busy[server.ID] = now + UnfencedWait
	}
}

// Next returns the orders to give now, at most one for each engine. Wall is the
// wall-clock time.
func (p *Planner) Next(targets []Target, now time.Duration, wall fleet.UnixMillis) []Dispatch {
	if !p.leads {
		return nil
	}
	p.fill(now)
	var given []Dispatch
	for _, t := range targets {
		if !p.mayOrder(t.Server, now) {
			continue
		}
		order, ok := p.order(t)
		if !ok {
			continue
		}
		if order.Action != backend.ActionUnload {
			if p.allowance < 1 {
				continue
			}
			p.allowance--
		}
		p.sequence++
		order.Fence = backend.Fence{
			Term:     p.term,
			Sequence: p.sequence,
		}
		order.NotAfter = wall.Add(Timeout)
		p.busy[t.Server.ID] = now + UnfencedWait
		given = append(given, Dispatch{
			Server: t.Server,
			Order:  order,
		})
	}
	return given
}

func (p *Planner) fill(now time.Duration) {
	perMinute := float64(p.cfg.LoadsPerMinute)
	p.allowance = min(p.allowance+perMinute*(now-p.filledAt).Minutes(), max(perMinute, 1))
	p.filledAt = now
}

func (p *Planner) mayOrder(s catalog.BackendServer, now time.Duration) bool {
	if until, busy := p.busy[s.ID]; busy && now < until {
		return false
	}
	return s.ChecksOrders || now >= p.since+UnfencedWait
}

// order returns what an engine is to do next: unload what it should not have, then
// load what it lacks.
func (p *Planner) order(t Target) (backend.Order, bool) {
	loaded, known := p.loaded[t.Server.ID]
	if !known {
		return backend.Order{}, false
	}
	for _, have := range loaded.Versions {
		wanted := slices.ContainsFunc(t.Items, func(i Item) bool { return i.name() == have.Name })
		if !wanted {
			return backend.Order{
				Action:  backend.ActionUnload,
				Model:   fleet.ModelID(have.Name),
				Version: have.Version,
			}, true
		}
	}
	for _, want := range t.Items {
		has := slices.Contains(loaded.Versions, backend.LoadedVersion{
			Name:    want.name(),
			Version: want.Version,
		})
		if !has {
			return loadOrder(want), true
		}
	}
	return backend.Order{}, false
}

func loadOrder(item Item) backend.Order {
	order := backend.Order{
		Action:  backend.ActionLoadModel,
		Model:   item.Model,
		Adapter: item.Adapter,
		Version: item.Version,
	}
	if item.Adapter != "" {
		order.Action = backend.ActionLoadAdapter
	}
	return order
}

// Targets works out from the configuration what each engine is to have loaded: its
// models, and all adapters of those models.
func Targets(state *catalog.State) []Target {
	models := map[fleet.ModelID]catalog.Model{}
	adapters := map[fleet.ModelID][]catalog.Adapter{}
	state.Each(catalog.KindModel, func(o catalog.Object) { models[o.Body.Model.ID] = *o.Body.Model })
	state.Each(catalog.KindAdapter, func(o catalog.Object) {
		a := *o.Body.Adapter
		adapters[a.Model] = append(adapters[a.Model], a)
	})
	var targets []Target
	state.Each(catalog.KindBackendServer, func(o catalog.Object) {
		server := *o.Body.BackendServer
		if server.Service != "" || server.Draining {
			return
		}
		t := Target{Server: server}
		for _, id := range server.Models {
			t.Items = append(t.Items, Item{
				Model:   id,
				Version: models[id].Version,
			})
			for _, a := range adapters[id] {
				t.Items = append(t.Items, Item{
					Model:   id,
					Adapter: a.ID,
					Version: a.Version,
				})
			}
		}
		targets = append(targets, t)
	})
	slices.SortFunc(targets, func(a, b Target) int {
		if a.Server.ID < b.Server.ID {
			return -1
		}
		return 1
	})
	return targets
}
