package orders

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Periods and limits of the issuer.
const (
	issuePeriod   = 500 * time.Millisecond
	observePeriod = 5 * time.Second
	// maxObservedPerTick limits the engines that are asked at the same time what they
	// have loaded.
	maxObservedPerTick = 64
)

// Leadership is the part of the control replica that the issuer needs.
type Leadership interface {
	// OrderState returns whether the replica holds the leader's lease now, its term,
	// and what the engines should have loaded.
	OrderState() (holds bool, term uint64, targets []Target)
	// HoldsLease reports whether the replica still holds the leader's lease of a
	// term.
	HoldsLease(term uint64) bool
}

// IssuerConfig configures an Issuer.
type IssuerConfig struct {
	Planner    Config
	Leadership Leadership
	Log        *event.Log
}

// Issuer sends the orders that its Planner decides on.
type Issuer struct {
	cfg        IssuerConfig
	mu         sync.Mutex
	planner    *Planner
	observed   map[fleet.BackendServerID]time.Duration
	clients    map[fleet.BackendServerID]*engineClient
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

type engineClient struct {
	address string
	client  *backend.Client
}

// NewIssuer starts an issuer.
func NewIssuer(cfg IssuerConfig) *Issuer {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Issuer{
		cfg:      cfg,
		planner:  New(cfg.Planner),
		observed: map[fleet.BackendServerID]time.Duration{},
		clients:  map[fleet.BackendServerID]*engineClient{},
		ctx:      ctx,
		cancel:   cancel,
	}
	i.background.Go(func() {
		ticker := time.NewTicker(issuePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				i.tick()
			}
		}
	})
	return i
}

// Close stops the issuer and waits for its requests in flight.
func (i *Issuer) Close() {
	i.cancel()
	i.background.Wait()
}

// tick sends the orders that are due, and asks engines what they have loaded.
func (i *Issuer) tick() {
	holds, term, targets := i.cfg.Leadership.OrderState()
	now := clock.SinceBoot()
	i.mu.Lock()
	i.planner.SetLease(holds, term, now)
	dispatches := i.planner.Next(targets, now, clock.Wall())
	toObserve := i.enginesToObserve(holds, targets, now)
	i.mu.Unlock()
	for _, d := range dispatches {
		i.background.Go(func() { i.sendOrder(term, d) })
	}
	for _, t := range toObserve {
		i.background.Go(func() { i.observe(t) })
	}
}

// enginesToObserve returns the engines to ask now what they have loaded. An engine whose
// state is known is asked every observePeriod, any other every issuePeriod.
func (i *Issuer) enginesToObserve(holds bool, targets []Target, now time.Duration) []Target {
	var engines []Target
	for _, t := range targets {
		observedAt, ok := i.observed[t.Server.ID]
		_, known := i.planner.loaded[t.Server.ID]
		recent := ok && (now-observedAt < observePeriod && known || now-observedAt < issuePeriod)
		if !holds || recent || len(engines) >= maxObservedPerTick {
			continue
		}
		i.observed[t.Server.ID] = now
		engines = append(engines, t)
	}
	return engines
}

// client returns the client of an engine. It creates a new one if the address has changed.
func (i *Issuer) client(id fleet.BackendServerID, address string, newClient func() *backend.Client) *backend.Client {
	i.mu.Lock()
	defer i.mu.Unlock()
	c, ok := i.clients[id]
	if !ok || c.address != address {
		c = &engineClient{
			address: address,
			client:  newClient(),
		}
		i.clients[id] = c
	}
	return c.client
}

func (i *Issuer) observe(t Target) {
	client := i.client(t.Server.ID, t.Server.Address, func() *backend.Client { return backend.NewClient(t.Server) })
	loaded, err := client.Loaded(i.ctx)
	if err != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.planner.Observe(t.Server.ID, loaded)
}

// sendOrder sends one order. It checks the lease again first, since the lease may have
// expired after the order was planned.
func (i *Issuer) sendOrder(term uint64, d Dispatch) {
	client := i.client(d.Server.ID, d.Server.Address, func() *backend.Client { return backend.NewClient(d.Server) })
	executed := false
	if i.cfg.Leadership.HoldsLease(term) {
		ok, err := client.SendOrder(i.ctx, d.Order, Timeout)
		executed = ok && err == nil
		i.logOutcome(d, ok, err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.planner.OrderEnded(d.Server, executed, clock.SinceBoot())
}

func (i *Issuer) logOutcome(d Dispatch, accepted bool, err error) {
	if err == nil && accepted {
		i.cfg.Log.Info(event.OrderGiven).
			Str("backendServer", string(d.Server.ID)).
			Str("action", string(d.Order.Action)).
			Str("model", string(d.Order.Model)).
			Str("version", d.Order.Version).
			Uint64("term", d.Order.Fence.Term).
			Uint64("sequence", d.Order.Fence.Sequence).
			Msg("order executed")
		return
	}
	i.cfg.Log.Warn(event.OrderRefused).
		Str("backendServer", string(d.Server.ID)).
		Str("action", string(d.Order.Action)).
		Err(err).
		Msg("order failed or was refused by the engine; retrying")
}
