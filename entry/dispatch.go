package entry

import (
	"context"
	"time"

	"github.com/waxwingreel/waxwingreel/admission"
	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/loop"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/retry"
)

const (
	dispatchTick = 20 * time.Millisecond
	// subsetSize is how many servers of one model or service a node uses.
	subsetSize = 32
)

// Retries allowed for each workspace.
const (
	retryRatio = 0.2
	retryBurst = 20
)

// poolKey names the servers of one model or one service.
type poolKey struct {
	model   fleet.ModelID
	service fleet.ServiceID
}

// job is a request as the dispatcher sees it.
type job struct {
	key       poolKey
	workspace fleet.WorkspaceID
	weight    int
	tier      fleet.Tier
	class     fleet.Class
	cost      fleet.Tokens
	deadline  time.Duration
	placement placement.Request
}

// grant is a place on a backend server.
type grant struct {
	key     poolKey
	server  catalog.BackendServer
	client  *backend.Client
	request placement.Request
}

// dispatcher owns the queues and the placement tables. Their state belongs to one
// goroutine.
type dispatcher struct {
	*loop.Loop
	node        fleet.NodeID
	queueLength int
	policy      placement.Policy
	admission   admission.Policy
	pools       map[poolKey]*dispatchPool
	retries     map[fleet.WorkspaceID]*retry.Budget
	clients     *clientSet
	next        uint64
	nodes       []fleet.NodeID
	view        *catalog.View
}

type dispatchPool struct {
	queue   *admission.Queue
	table   *placement.Table
	waiting map[uint64]*jobWaiter
}

type jobWaiter struct {
	job    job
	answer chan dispatchAnswer
}

type dispatchAnswer struct {
	grant   grant
	refusal *admission.Refusal
}

type dispatchConfig struct {
	node        fleet.NodeID
	queueLength int
	policy      placement.Policy
	admission   admission.Policy
	clients     *clientSet
}

func newDispatcher(cfg dispatchConfig) *dispatcher {
	d := &dispatcher{
		Loop:        loop.New(),
		node:        cfg.node,
		queueLength: cfg.queueLength,
		policy:      cfg.policy,
		admission:   cfg.admission,
		pools:       map[poolKey]*dispatchPool{},
		retries:     map[fleet.WorkspaceID]*retry.Budget{},
		clients:     cfg.clients,
		view:        catalog.NewView(),
	}
	d.Start(dispatchTick, d.expire, d.startWaiting)
	return d
}

// configure puts a configuration and a set of live nodes in force.
func (d *dispatcher) configure(view *catalog.View, nodes []fleet.NodeID) {
	d.Do(func() {
		d.view = view
		d.nodes = nodes
		for key, pool := range d.pools {
			pool.table.SetServers(d.subset(key))
		}
	})
}

func (d *dispatcher) subset(key poolKey) []catalog.BackendServer {
	servers := d.view.Engines(key.model)
	if key.service != "" {
		servers = d.view.ServiceServers(key.service)
	}
	return placement.Subset(d.node, d.nodes, servers, subsetSize)
}

func (d *dispatcher) pool(key poolKey) *dispatchPool {
	pool, ok := d.pools[key]
	if !ok {
		pool = &dispatchPool{
			queue: admission.New(admission.Config{
				Policy: d.admission,
				Length: d.queueLength,
			}),
			table: placement.New(placement.Config{
				Policy: d.policy,
				Seed:   uint64(len(d.pools)) + 1,
				Nodes:  max(len(d.nodes), 1),
			}),
			waiting: map[uint64]*jobWaiter{},
		}
		pool.table.SetServers(d.subset(key))
		d.pools[key] = pool
	}
	return pool
}

// acquire waits for a place on a backend server, or returns why there will be
// none.
func (d *dispatcher) acquire(ctx context.Context, j job) (grant, *admission.Refusal) {
	w := &jobWaiter{
		job:    j,
		answer: make(chan dispatchAnswer, 1),
	}
	id := uint64(0)
	d.Do(func() { id = d.offer(w) })
	select {
	case a := <-w.answer:
		return a.grant, a.refusal
	case <-ctx.Done():
	case <-d.Context().Done():
	}
	d.Do(func() { d.abandon(id, w) })
	return grant{}, &admission.Refusal{Reason: admission.ReasonDeadline}
}

func (d *dispatcher) offer(w *jobWaiter) uint64 {
	d.next++
	pool := d.pool(w.job.key)
	refused, displaced := pool.queue.Offer(&admission.Request{
		ID:        d.next,
		Workspace: w.job.workspace,
		Weight:    w.job.weight,
		Tier:      w.job.tier,
		Class:     w.job.class,
		Cost:      w.job.cost,
		Deadline:  w.job.deadline,
	}, clock.Boot())
	if refused != nil {
		w.answer <- dispatchAnswer{refusal: refused}
		return 0
	}
	pool.waiting[d.next] = w
	if displaced != nil {
		pool.refuse(displaced, admission.Refusal{
			Reason:     admission.ReasonDisplaced,
			RetryAfter: time.Second,
		})
	}
	return d.next
}

func (p *dispatchPool) refuse(r *admission.Request, refusal admission.Refusal) {
	p.waiting[r.ID].answer <- dispatchAnswer{refusal: &refusal}
	delete(p.waiting, r.ID)
}

// abandon takes out a request whose caller has gone, or frees the place that it
// was given in the meantime.
func (d *dispatcher) abandon(id uint64, w *jobWaiter) {
	pool := d.pool(w.job.key)
	if pool.queue.Remove(id) {
		delete(pool.waiting, id)
		return
	}
	select {
	case a := <-w.answer:
		if a.refusal == nil {
			pool.table.Finish(a.grant.server.ID, a.grant.request, placement.OutcomeNeutral, clock.Boot())
		}
	default:
	}
}

func (d *dispatcher) expire() {
	now := clock.Boot()
	for _, pool := range d.pools {
		if pool.queue.Len() == 0 {
			continue
		}
		for _, r := range pool.queue.Expire(now) {
			pool.refuse(r, admission.Refusal{
				Reason:     admission.ReasonDeadline,
				RetryAfter: time.Second,
			})
		}
	}
}

// startWaiting starts all requests for which there is room.
func (d *dispatcher) startWaiting() {
	now := clock.Boot()
	for key, pool := range d.pools {
		if pool.queue.Len() == 0 {
			continue
		}
		d.startPool(key, pool, now)
	}
}

func (d *dispatcher) startPool(key poolKey, pool *dispatchPool, now time.Duration) {
	room := func(tier fleet.Tier, class fleet.Class) bool {
		return pool.table.HasRoom(tier, class, now)
	}
	for {
		r := pool.queue.Next(now, room)
		if r == nil {
			return
		}
		w := pool.waiting[r.ID]
		delete(pool.waiting, r.ID)
		server, ok := pool.table.Pick(w.job.placement, now)
		if !ok {
			w.answer <- dispatchAnswer{refusal: &admission.Refusal{
				Reason:     admission.ReasonDeadline,
				RetryAfter: time.Second,
			}}
			continue
		}
		w.answer <- dispatchAnswer{grant: grant{
			key:     key,
			server:  server,
			client:  d.clients.get(server),
			request: w.job.placement,
		}}
	}
}

// finish frees a place.
func (d *dispatcher) finish(g grant, outcome placement.Outcome) {
	d.Do(func() {
		d.pool(g.key).table.Finish(g.server.ID, g.request, outcome, clock.Boot())
	})
}

// missed takes note that a server's cache did not hold what was expected.
func (d *dispatcher) missed(g grant) {
	d.Do(func() { d.pool(g.key).table.CacheMiss(g.server.ID, g.request.Prefixes) })
}

// report takes in a server's load.
func (d *dispatcher) report(id fleet.BackendServerID, load backend.Load) {
	d.Do(func() {
		for _, pool := range d.pools {
			pool.table.Report(id, placement.LoadReport{
				Active:   load.Active,
				Queued:   load.Queued,
				Age:      time.Duration(load.AgeMillis) * time.Millisecond,
				Draining: load.Draining,
			}, clock.Boot())
		}
	})
}

func (d *dispatcher) cacheEvents(id fleet.BackendServerID, events []backend.CacheEvent) {
	d.Do(func() {
		for _, pool := range d.pools {
			for _, e := range events {
				pool.table.CacheEvent(id, placement.PrefixHash(e.Prefix), e.Kept, clock.Boot())
			}
		}
	})
}

// request counts a first attempt of a workspace.
func (d *dispatcher) request(workspace fleet.WorkspaceID) {
	d.Do(func() { d.retryBudget(workspace).Request() })
}

// mayRetry reports whether a workspace has a retry left.
func (d *dispatcher) mayRetry(workspace fleet.WorkspaceID) bool {
	allowed := false
	d.DoAndWait(func() { allowed = d.retryBudget(workspace).Retry() })
	return allowed
}

func (d *dispatcher) retryBudget(workspace fleet.WorkspaceID) *retry.Budget {
	b, ok := d.retries[workspace]
	if !ok {
		b = retry.New(retry.Config{
			Ratio: retryRatio,
			Burst: retryBurst,
		})
		d.retries[workspace] = b
	}
	return b
}

// PoolView is the queue and the servers of one model or service as operators see
// them.
type PoolView struct {
	Model   fleet.ModelID          `json:"model,omitempty"`
	Service fleet.ServiceID        `json:"service,omitempty"`
	Waiting int                    `json:"waiting"`
	Servers []placement.ServerView `json:"servers"`
}

func (d *dispatcher) poolViews() []PoolView {
	var views []PoolView
	d.DoAndWait(func() {
		for key, pool := range d.pools {
			views = append(views, PoolView{
				Model:   key.model,
				Service: key.service,
				Waiting: pool.queue.Len(),
				Servers: pool.table.Servers(clock.Boot()),
			})
		}
	})
	return views
}
