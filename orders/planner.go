// Package orders makes model engines load the models, adapters and versions that the
// configuration assigns to them.
//
// # One issuer at a time
//
// Only the leader of the control group sends orders, and only while it holds its lease.
// Each order carries a fencing token: the leader's term and a sequence number. An engine
// that checks fences refuses a delayed order of an earlier leader. An engine that does
// not check them would execute it and undo the new leader's order.
//
// So a new leader waits for UnfencedWait before it sends orders to an engine that does
// not check fences. When the new leader gets its lease, the old leader's lease has
// expired, so the old leader starts no further order. After Timeout, none of its orders
// is in flight on its side, and networkMargin covers packets that the network delays
// beyond that.
//
//	old leader   ...lease ends |
//	its order         sent-----+-----timeout |  margin |
//	new leader            lease begins | waits         | first order
//
// Planner is a pure state machine: the current time is passed in.
package orders

import (
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Timing of orders.
const (
	// Timeout limits the request that carries an order.
	Timeout = 2 * time.Second
	// networkMargin is how long the network may delay an order beyond Timeout.
	networkMargin = 3 * time.Second
	// UnfencedWait is how long a new leader waits before it sends an order to an
	// engine that does not check fences.
	UnfencedWait = Timeout + networkMargin
	// retryDelay is the delay before a failed order is sent again.
	retryDelay = 2 * time.Second
)

// Item is a model or adapter that an engine should have loaded.
type Item struct {
	Model   fleet.ModelID
	Adapter fleet.AdapterID
	Version string
}

// name returns the name that engines use for the item: "model" or "model:adapter".
func (i Item) name() string {
	if i.Adapter == "" {
		return string(i.Model)
	}
	return string(i.Model) + ":" + string(i.Adapter)
}

// Target is an engine and the items that it should have loaded.
type Target struct {
	Server catalog.BackendServer
	Items  []Item
}

// Dispatch is an order and the engine to send it to.
type Dispatch struct {
	Server catalog.BackendServer
	Order  backend.Order
}

// Config configures a Planner.
type Config struct {
	// LoadsPerMinute limits the rate of load orders over the whole fleet, since each
	// of them makes an engine fetch weights from the weight store.
	LoadsPerMinute int
}

// Planner decides which orders a leader sends.
type Planner struct {
	cfg        Config
	term       uint64
	sequence   uint64
	leading    bool
	leaseSince time.Duration
	// availableLoads is the token bucket for LoadsPerMinute: how many loads may be
	// ordered now.
	availableLoads float64
	refilledAt     time.Duration
	// blockedUntil is the time until which an engine gets no further order.
	blockedUntil map[fleet.BackendServerID]time.Duration
	loaded       map[fleet.BackendServerID]backend.Loaded
}

// New returns a planner without a leader's lease.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:          cfg,
		blockedUntil: map[fleet.BackendServerID]time.Duration{},
		loaded:       map[fleet.BackendServerID]backend.Loaded{},
	}
}

// SetLease sets whether this replica holds the leader's lease, and for which term.
func (p *Planner) SetLease(holds bool, term uint64, now time.Duration) {
	if !holds {
		p.leading = false
		return
	}
	if p.leading && p.term == term {
		return
	}
	p.leading = true
	p.term = term
	p.sequence = 0
	p.leaseSince = now
	// The previous leader may just have used up the weight store's rate, so the
	// bucket starts empty.
	p.availableLoads = 0
	p.refilledAt = now
	p.blockedUntil = map[fleet.BackendServerID]time.Duration{}
	p.loaded = map[fleet.BackendServerID]backend.Loaded{}
}

// Observe records what an engine has loaded.
func (p *Planner) Observe(server fleet.BackendServerID, loaded backend.Loaded) {
	p.loaded[server] = loaded
}

// OrderEnded records that an order has ended, and whether the engine executed it. A
// failed order may still arrive, so an engine that does not check fences gets no other
// order until UnfencedWait has passed.
func (p *Planner) OrderEnded(server catalog.BackendServer, executed bool, now time.Duration) {
	delete(p.loaded, server.ID)
	switch {
	case executed:
		delete(p.blockedUntil, server.ID)
	case server.ChecksOrders:
		p.blockedUntil[server.ID] = now + retryDelay
	default:
		p.blockedUntil[server.ID] = now + UnfencedWait
	}
}

// Next returns the orders to send now, at most one per engine. now is the time on the
// caller's clock, wall the wall-clock time for the orders' NotAfter.
func (p *Planner) Next(targets []Target, now time.Duration, wall fleet.UnixMillis) []Dispatch {
	if !p.leading {
		return nil
	}
	p.refillLoads(now)
	var dispatches []Dispatch
	for _, t := range targets {
		if !p.mayOrder(t.Server, now) {
			continue
		}
		order, ok := p.nextOrder(t)
		if !ok {
			continue
		}
		if order.Action != backend.ActionUnload {
			if p.availableLoads < 1 {
				continue
			}
			p.availableLoads--
		}
		p.sequence++
		order.Fence = backend.Fence{
			Term:     p.term,
			Sequence: p.sequence,
		}
		order.NotAfter = wall.Add(Timeout)
		p.blockedUntil[t.Server.ID] = now + UnfencedWait
		dispatches = append(dispatches, Dispatch{
			Server: t.Server,
			Order:  order,
		})
	}
	return dispatches
}

// refillLoads adds to the token bucket. Its capacity is the loads of one minute, at least
// 1.
func (p *Planner) refillLoads(now time.Duration) {
	perMinute := float64(p.cfg.LoadsPerMinute)
	p.availableLoads = min(p.availableLoads+perMinute*(now-p.refilledAt).Minutes(), max(perMinute, 1))
	p.refilledAt = now
}

func (p *Planner) mayOrder(s catalog.BackendServer, now time.Duration) bool {
	if until, blocked := p.blockedUntil[s.ID]; blocked && now < until {
		return false
	}
	return s.ChecksOrders || now >= p.leaseSince+UnfencedWait
}

// nextOrder returns the next order for an engine: unload what it should not have loaded
// first, then load what is missing. It returns false if there is nothing to do, or what
// the engine has loaded is not known.
func (p *Planner) nextOrder(t Target) (backend.Order, bool) {
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

// Targets returns what each engine should have loaded according to the configuration:
// its models, and all adapters of those models. Draining engines are left out.
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
