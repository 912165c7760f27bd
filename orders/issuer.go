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

// Times of the issuer.
const (
	issuePeriod   = 500 * time.Millisecond
	observePeriod = 5 * time.Second
	// observeAtOnce bounds the engines that are asked at the same time.
	observeAtOnce = 64
)

// Leadership is what the issuer asks of the control replica.
type Leadership interface {
	// OrderState returns whether the replica holds the leader's lease now, its
	// term, and what the engines are to have loaded.
	OrderState() (holds bool, term uint64, targets []Target)
	// HoldsLease reports whether the lease of a term still holds.
	HoldsLease(term uint64) bool
}

// IssuerConfig sets up an Issuer.
type IssuerConfig struct {
	Planner    Config
	Leadership Leadership
	Log        *event.Log
}

// Issuer gives the orders that its Planner decides on.
type Issuer struct {
	cfg      IssuerConfig
	mu       sync.Mutex
	planner  *Planner
	observed map[fleet.BackendServerID]time.Duration
	clients  map[fleet.BackendServerID]*engineClient
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
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
	i.wait.Go(func() {
		ticker := time.NewTicker(issuePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				i.work()
			}
		}
	})
	return i
}

// Close stops the issuer and waits for the orders under way.
func (i *Issuer) Close() {
	i.cancel()
	i.wait.Wait()
}

func (i *Issuer) work() {
	holds, term, targets := i.cfg.Leadership.OrderState()
	now := clock.Boot()
	i.mu.Lock()
	i.planner.SetLease(holds, term, now)
	given := i.planner.Next(targets, now, clock.Wall())
	due := i.due(holds, targets, now)
	i.mu.Unlock()
	for _, g := range given {
		i.wait.Go(func() { i.give(term, g) })
	}
	for _, t := range due {
		i.wait.Go(func() { i.observe(t) })
	}
}

// due returns the engines to ask what they have loaded.
func (i *Issuer) due(holds bool, targets []Target, now time.Duration) []Target {
	var due []Target
	for _, t := range targets {
		asked, ok := i.observed[t.Server.ID]
		_, known := i.planner.loaded[t.Server.ID]
		fresh := ok && (now-asked < observePeriod && known || now-asked < issuePeriod)
		if !holds || fresh || len(due) >= observeAtOnce {
			continue
		}
		i.observed[t.Server.ID] = now
		due = append(due, t)
	}
	return due
}

func (i *Issuer) client(t fleet.BackendServerID, address string, make func() *backend.Client) *backend.Client {
	i.mu.Lock()
	defer i.mu.Unlock()
	c, ok := i.clients[t]
	if !ok || c.address != address {
		c = &engineClient{
			address: address,
			client:  make(),
		}
		i.clients[t] = c
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

// give sends one order. The lease is checked once more just before.
func (i *Issuer) give(term uint64, g Dispatch) {
	client := i.client(g.Server.ID, g.Server.Address, func() *backend.Client { return backend.NewClient(g.Server) })
	carriedOut := false
	if i.cfg.Leadership.HoldsLease(term) {
		ok, err := client.SendOrder(i.ctx, g.Order, Timeout)
		carriedOut = ok && err == nil
		i.log(g, ok, err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.planner.OrderEnded(g.Server, carriedOut, clock.Boot())
}

func (i *Issuer) log(g Dispatch, accepted bool, err error) {
	if err == nil && accepted {
		i.cfg.Log.Info(event.OrderGiven).
			Str("backendServer", string(g.Server.ID)).
			Str("action", string(g.Order.Action)).
			Str("model", string(g.Order.Model)).
			Str("version", g.Order.Version).
			Uint64("term", g.Order.Fence.Term).
			Uint64("sequence", g.Order.Fence.Sequence).
			Msg("order carried out")
		return
	}
	i.cfg.Log.Warn(event.OrderRefused).
		Str("backendServer", string(g.Server.ID)).
		Str("action", string(g.Order.Action)).
		Err(err).
		Msg("order failed or was refused; it is given again")
}
