package entry

import (
	"context"
	"time"

	"github.com/waxwingreel/waxwingreel/admission"
	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/loop"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/retry"
)

const (
	// dispatchTick is the interval at which expired requests are refused.
	dispatchTick = 20 * time.Millisecond
	// subsetSize is the maximum number of servers of one model or service that a node
	// uses.
	subsetSize = 32
)

// Retry budget of each workspace.
const (
	retryRatio = 0.2
	retryBurst = 20
)

// poolKey identifies the pool of servers of one model or one service.
type poolKey struct {
	model   fleet.ModelID
	service fleet.ServiceID
}

// dispatchRequest is a request for a backend server.
type dispatchRequest struct {
	key       poolKey
	workspace fleet.WorkspaceID
	weight    int
	tier      fleet.Tier
	class     fleet.Class
	cost      fleet.Tokens
	deadline  time.Duration
	placement placement.Request
}

// assignment is the assignment of a request to a backend server.
type assignment struct {
	key     poolKey
	server  catalog.BackendServer
	client  *backend.Client
	request placement.Request
}

// dispatcher manages the queues and the placement tables. Only the goroutine of its Loop
// accesses their state.
type dispatcher struct {
	*loop.Loop
	node        fleet.NodeID
	queueLength int
	policy      placement.Policy
	admission   admission.Policy
	pools       map[poolKey]*dispatchPool
	retries     map[fleet.WorkspaceID]*retry.Budget
	clients     *clientSet
	nextID      uint64
	nodes       []fleet.NodeID
	view        *catalog.View
	evacuated   evacuation.List
}

type dispatchPool struct {
	queue   *admission.Queue
	table   *placement.Table
	waiting map[uint64]*pendingRequest
}

// pendingRequest is a queued request. The dispatcher sends its result on the result channel.
type pendingRequest struct {
	request dispatchRequest
	result  chan dispatchResult
}

type dispatchResult struct {
	assigned assignment
	refusal  *admission.Refusal
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
	d.Start(dispatchTick, d.expire, d.dispatchWaiting)
	return d
}

// configure applies a configuration, a set of live nodes and the evacuated data centres.
func (d *dispatcher) configure(view *catalog.View, nodes []fleet.NodeID, evacuated evacuation.List) {
	d.Do(func() {
		d.view = view
		d.evacuated = evacuated
		d.nodes = nodes
		for key, pool := range d.pools {
			pool.table.SetServers(d.subset(key))
		}
	})
}

// subset returns the servers of the pool that this node uses. None of them is in an evacuated data centre.
func (d *dispatcher) subset(key poolKey) []catalog.BackendServer {
	servers := d.view.Engines(key.model)
	if key.service != "" {
		servers = d.view.ServiceServers(key.service)
	}
	return placement.Subset(d.node, d.nodes, outsideOf(d.evacuated, servers), subsetSize)
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
			waiting: map[uint64]*pendingRequest{},
		}
		pool.table.SetServers(d.subset(key))
		d.pools[key] = pool
	}
	return pool
}

// acquire waits until the request is assigned to a backend server, or returns the reason
// why it is refused.
func (d *dispatcher) acquire(ctx context.Context, request dispatchRequest) (assignment, *admission.Refusal) {
	pending := &pendingRequest{
		request: request,
		result:  make(chan dispatchResult, 1),
	}
	id := uint64(0)
	d.Do(func() { id = d.enqueue(pending) })
	select {
	case result := <-pending.result:
		return result.assigned, result.refusal
	case <-ctx.Done():
	case <-d.Context().Done():
	}
	d.Do(func() { d.cancelRequest(id, pending) })
	return assignment{}, &admission.Refusal{Reason: admission.ReasonDeadline}
}

// enqueue queues a request and returns its id in the queue, or refuses it.
func (d *dispatcher) enqueue(pending *pendingRequest) uint64 {
	d.nextID++
	pool := d.pool(pending.request.key)
	refused, displaced := pool.queue.Offer(&admission.Request{
		ID:        d.nextID,
		Workspace: pending.request.workspace,
		Weight:    pending.request.weight,
		Tier:      pending.request.tier,
		Class:     pending.request.class,
		Cost:      pending.request.cost,
		Deadline:  pending.request.deadline,
	}, clock.SinceBoot())
	if refused != nil {
		pending.result <- dispatchResult{refusal: refused}
		return 0
	}
	pool.waiting[d.nextID] = pending
	if displaced != nil {
		pool.refuse(displaced, admission.Refusal{
			Reason:     admission.ReasonDisplaced,
			RetryAfter: time.Second,
		})
	}
	return d.nextID
}

func (p *dispatchPool) refuse(r *admission.Request, refusal admission.Refusal) {
	p.waiting[r.ID].result <- dispatchResult{refusal: &refusal}
	delete(p.waiting, r.ID)
}

// cancelRequest removes a request whose caller has disconnected. If the request has been
// assigned in the meantime, it releases the slot on the server.
func (d *dispatcher) cancelRequest(id uint64, pending *pendingRequest) {
	pool := d.pool(pending.request.key)
	if pool.queue.Remove(id) {
		delete(pool.waiting, id)
		return
	}
	select {
	case result := <-pending.result:
		if result.refusal == nil {
			pool.table.Finish(result.assigned.server.ID, result.assigned.request, placement.OutcomeNeutral, clock.SinceBoot())
		}
	default:
	}
}

// expire refuses the queued requests whose deadline has passed.
func (d *dispatcher) expire() {
	now := clock.SinceBoot()
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

// dispatchWaiting assigns as many queued requests as the backend servers have room for.
func (d *dispatcher) dispatchWaiting() {
	now := clock.SinceBoot()
	for key, pool := range d.pools {
		if pool.queue.Len() == 0 {
			continue
		}
		d.dispatchFrom(key, pool, now)
	}
}

func (d *dispatcher) dispatchFrom(key poolKey, pool *dispatchPool, now time.Duration) {
	hasRoom := func(tier fleet.Tier, class fleet.Class) bool {
		return pool.table.HasRoom(tier, class, now)
	}
	for {
		r := pool.queue.Next(now, hasRoom)
		if r == nil {
			return
		}
		pending := pool.waiting[r.ID]
		delete(pool.waiting, r.ID)
		server, ok := pool.table.Pick(pending.request.placement, now)
		if !ok {
			pending.result <- dispatchResult{refusal: &admission.Refusal{
				Reason:     admission.ReasonDeadline,
				RetryAfter: time.Second,
			}}
			continue
		}
		pending.result <- dispatchResult{assigned: assignment{
			key:     key,
			server:  server,
			client:  d.clients.get(server),
			request: pending.request.placement,
		}}
	}
}

// finish releases the slot of an assignment and records its outcome.
func (d *dispatcher) finish(assigned assignment, outcome placement.Outcome) {
	d.Do(func() {
		d.pool(assigned.key).table.Finish(assigned.server.ID, assigned.request, outcome, clock.SinceBoot())
	})
}

// reportCacheMiss records that a server's cache did not have the expected prompt prefix.
func (d *dispatcher) reportCacheMiss(assigned assignment) {
	d.Do(func() { d.pool(assigned.key).table.CacheMiss(assigned.server.ID, assigned.request.Prefixes) })
}

// reportLoad updates a server's load.
func (d *dispatcher) reportLoad(id fleet.BackendServerID, load backend.Load) {
	d.Do(func() {
		for _, pool := range d.pools {
			pool.table.Report(id, placement.LoadReport{
				Active:   load.Active,
				Queued:   load.Queued,
				Age:      time.Duration(load.AgeMillis) * time.Millisecond,
				Draining: load.Draining,
			}, clock.SinceBoot())
		}
	})
}

func (d *dispatcher) reportCacheEvents(id fleet.BackendServerID, events []backend.CacheEvent) {
	d.Do(func() {
		for _, pool := range d.pools {
			for _, e := range events {
				pool.table.CacheEvent(id, placement.PrefixHash(e.Prefix), e.Kept, clock.SinceBoot())
			}
		}
	})
}

// countRequest counts a first attempt, which adds to the workspace's retry budget.
func (d *dispatcher) countRequest(workspace fleet.WorkspaceID) {
	d.Do(func() { d.retryBudget(workspace).Request() })
}

// mayRetry reports whether the workspace's retry budget allows a retry, and if so uses it.
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

// PoolView is the state of the queue and the servers of one model or service, for
// operators.
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
				Servers: pool.table.Servers(clock.SinceBoot()),
			})
		}
	})
	return views
}
