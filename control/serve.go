package control

import (
	"context"
	"slices"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/orders"
	"github.com/waxwingreel/waxwingreel/routing"
	"github.com/waxwingreel/waxwingreel/wire"
)

// submitTimeout bounds how long a replica works on one command.
const submitTimeout = 5 * time.Second

// updateInterval is the longest time between updates to a subscriber; each also
// says that the replica is alive.
const updateInterval = 500 * time.Millisecond

func (r *Replica) handle(endpoint *wire.Endpoint) {
	endpoint.HandleMessage(MethodConsensus, func(_ fleet.NodeID, body []byte) {
		m := consensus.Message{}
		if wire.Decode(body, &m) != nil {
			return
		}
		select {
		case r.messages <- m:
		case <-r.ctx.Done():
		}
	})
	endpoint.HandleMessage(MethodAnnounce, func(_ fleet.NodeID, body []byte) {
		a := Announcement{}
		if wire.Decode(body, &a) == nil {
			r.do(func() { r.hearAnnouncement(a) })
		}
	})
	endpoint.HandleMessage(MethodInstances, func(_ fleet.NodeID, body []byte) {
		list := InstanceList{}
		if wire.Decode(body, &list) == nil {
			r.do(func() { r.takeInstances(list) })
		}
	})
	endpoint.HandleCall(MethodSubmit, func(ctx context.Context, _ fleet.NodeID, body []byte) (any, error) {
		command := Command{}
		if err := wire.Decode(body, &command); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		return r.Submit(ctx, command), nil
	})
	endpoint.HandleCall(MethodQuery, func(_ context.Context, _ fleet.NodeID, body []byte) (any, error) {
		query := Query{}
		if err := wire.Decode(body, &query); err != nil {
			return nil, err
		}
		return r.Query(query), nil
	})
	endpoint.HandleChannel(MethodSubscribe, r.serveSubscriber)
}

// Query answers a query from this replica's state.
func (r *Replica) Query(query Query) QueryAnswer {
	answer := QueryAnswer{
		Status: SubmitUnavailable,
	}
	r.do(func() { answer = r.query(query) })
	return answer
}

func (r *Replica) query(query Query) QueryAnswer {
	answer := QueryAnswer{
		Status: SubmitDone,
		Found:  true,
		Leader: r.leaderAddress(),
	}
	if query.Status {
		status := r.status()
		answer.Replica = &status
		return answer
	}
	if !r.mayAnswer() {
		answer.Status = SubmitNotLeader
		return answer
	}
	switch {
	case query.Budget != "":
		view, ok := r.machine.ledger.Budget(query.Budget)
		answer.Budget = &view
		answer.Found = ok
	case query.Ticket != 0:
		outcome, digest, ok := r.machine.catalog.Outcome(query.Ticket)
		answer.Outcomes = []catalog.Outcome{outcome}
		answer.Digest = digest
		answer.Found = ok
	case query.Routing:
		answer.Document = r.machine.routing.Document
		answer.Version = r.machine.routing.Config.Version
		answer.Found = answer.Version > 0
	case query.Tickets > 0:
		answer.Outcomes = r.machine.catalog.Outcomes(query.Tickets)
	}
	return answer
}

// mayAnswer reports whether this replica's state is the newest that was acknowledged: it
// holds the leader's lease and has carried out all that is committed. A message that
// commits entries and a question may come in one round of the loop, in which the question
// is answered before the entries are carried out; after an election these are all that
// the last leader acknowledged.
func (r *Replica) mayAnswer() bool {
	return r.failed == nil && r.core.HoldsLease(clock.Boot()) && r.core.AppliedAll()
}

func (r *Replica) status() ReplicaStatus {
	now := clock.Boot()
	status := ReplicaStatus{
		Node:      r.cfg.Node,
		Consensus: r.core.Status(),
		HasLease:  r.failed == nil && r.core.HoldsLease(now),
		Open:      r.open(),
		Version:   r.machine.catalog.Version(),
		Ledger:    r.machine.ledger.Stats(),
		LogBytes:  r.journal.LogBytes(),
		Nodes:     r.table.Reports(now),
		NowMillis: clock.Wall(),
	}
	if r.failed != nil {
		status.Failed = r.failed.Error()
	}
	return status
}

// subscriber is one entry node's channel. Its fields after notify belong to its
// own goroutine.
type subscriber struct {
	holder  fleet.Holder
	notify  chan struct{}
	version fleet.Version
	routing routing.Version
	// list is the number of the last instance list that was sent.
	list    uint64
	roster  uint64
	recalls chan []ledger.Recall
	full    bool
}

// serveSubscriber receives an entry node's heartbeats and sends it updates.
func (r *Replica) serveSubscriber(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
	first := Heartbeat{}
	if ch.Receive(&first) != nil {
		return
	}
	s := &subscriber{
		holder:  first.Report.Holder,
		notify:  make(chan struct{}, 1),
		version: first.Report.Version,
		routing: first.Routing,
		recalls: make(chan []ledger.Recall, 64),
		full:    true,
	}
	r.hear(first)
	r.subscribersMu.Lock()
	r.subscribers[s] = struct{}{}
	r.subscribersMu.Unlock()
	defer func() {
		r.subscribersMu.Lock()
		delete(r.subscribers, s)
		r.subscribersMu.Unlock()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		r.receiveHeartbeats(ch)
	}()
	r.sendUpdates(ctx, s, ch)
	ch.Close()
}

func (r *Replica) receiveHeartbeats(ch *wire.Channel) {
	for {
		heartbeat := Heartbeat{}
		if ch.Receive(&heartbeat) != nil || !r.hear(heartbeat) {
			return
		}
	}
}

// hear takes in a heartbeat.
func (r *Replica) hear(heartbeat Heartbeat) bool {
	return r.do(func() {
		now := clock.Boot()
		node := heartbeat.Report.Holder.Node
		heartbeat.Report.AgeMillis = 0
		r.direct[node] = heartbeat.Report
		r.directAt[node] = now
		if r.table.Merge(heartbeat.Report, now) {
			r.notify(effects{ending: true})
			// The other replicas hear of the change at once.
			r.announced = now - announceInterval
		}
	})
}

func (r *Replica) sendUpdates(ctx context.Context, s *subscriber, ch *wire.Channel) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		update := Update{}
		if !r.do(func() { update = r.update(s) }) || ch.Send(update) != nil {
			return
		}
		if update.Delta != nil {
			s.version = update.Delta.To
		}
		if update.Routing != nil {
			s.routing = update.Routing.Version
		}
		select {
		case <-ctx.Done():
			return
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		case <-s.notify:
		}
	}
}

// update gathers what a subscriber has not been sent.
func (r *Replica) update(s *subscriber) Update {
	now := clock.Boot()
	update := Update{
		Stale:        r.failed != nil || !r.core.Fresh(now, freshWithin),
		Leader:       r.leaderAddress(),
		EndedHolders: r.machine.ledger.UnconfirmedBy(s.holder.Node),
		Ended:        r.ended(s.holder),
	}
	if !update.Stale && r.machine.catalog.Version() > s.version {
		delta := r.machine.catalog.Since(s.version)
		update.Delta = &delta
	}
	if c := r.machine.routing.Config; !update.Stale && c.Version > s.routing {
		update.Routing = &c
	}
	update.Instances, s.list = r.instancesSince(s.list, now)
	update.Roster, s.roster = r.table.Since(s.roster)
	update.Recalls = s.takeRecalls()
	if s.full {
		s.full = false
		update.Recalls = r.machine.ledger.Recalls(s.holder)
	}
	return update
}

// instancesSince returns the instance list that this replica read or was told last,
// if it is newer than the one with the given number.
func (r *Replica) instancesSince(number uint64, now time.Duration) (*InstanceList, uint64) {
	if r.listNumber == number || r.listNumber == 0 {
		return nil, number
	}
	list := r.list
	list.AgeMillis = (now - r.listAt).Milliseconds()
	if number >= r.listChange {
		list.Unchanged = true
		list.Instances = nil
	}
	return &list, r.listNumber
}

// SetInstances hands a new reading of the instance list to the replica, which passes
// it on to the other replicas and to its subscribers.
func (r *Replica) SetInstances(instances []routing.Instance) {
	r.do(func() {
		list := InstanceList{
			Reader:    r.cfg.Node,
			Number:    r.listNumber + 1,
			Instances: instances,
		}
		r.takeInstances(list)
		for _, a := range r.peers {
			r.cfg.Endpoint.Send(a.Address, MethodInstances, list)
		}
	})
}

// takeInstances takes in a reading of this replica or of another.
func (r *Replica) takeInstances(list InstanceList) {
	r.listNumber++
	if r.listNumber == 1 || !slices.Equal(r.list.Instances, list.Instances) {
		r.listChange = r.listNumber
	}
	r.list = list
	r.listAt = clock.Boot()
	r.notify(effects{routing: true})
}

// ended reports whether a life of a node has ended.
func (r *Replica) ended(holder fleet.Holder) bool {
	object, ok := r.machine.catalog.Object(catalog.Key{
		Kind: catalog.KindNode,
		ID:   string(holder.Node),
	})
	gone := ok && object.Body.Node.Gone
	return gone || r.machine.ledger.Incarnation(holder.Node) > holder.Incarnation
}

func (s *subscriber) takeRecalls() []ledger.Recall {
	var recalls []ledger.Recall
	for {
		select {
		case more := <-s.recalls:
			recalls = append(recalls, more...)
		default:
			return recalls
		}
	}
}

// notify wakes the subscribers that an effect concerns.
func (r *Replica) notify(e effects) {
	r.subscribersMu.Lock()
	defer r.subscribersMu.Unlock()
	for s := range r.subscribers {
		var mine []ledger.Recall
		for _, recall := range e.recalls {
			if recall.Holder == s.holder {
				mine = append(mine, recall)
			}
		}
		if len(mine) == 0 && !e.catalog && !e.routing && !e.ending {
			continue
		}
		if len(mine) > 0 {
			select {
			case s.recalls <- mine:
			default:
				s.full = true
			}
		}
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
}

// OrderState implements orders.Leadership.
func (r *Replica) OrderState() (holds bool, term uint64, targets []orders.Target) {
	r.do(func() {
		holds = r.failed == nil && r.core.HoldsLease(clock.Boot())
		term = uint64(r.core.Term())
		if holds {
			targets = r.orderTargets()
		}
	})
	return holds, term, targets
}

// orderTargets works the targets out again only when the configuration has changed.
func (r *Replica) orderTargets() []orders.Target {
	if version := r.machine.catalog.Version(); r.targets == nil || r.targetsVersion != version {
		r.targets = orders.Targets(r.machine.catalog)
		r.targetsVersion = version
	}
	return r.targets
}

// HoldsLease implements orders.Leadership.
func (r *Replica) HoldsLease(term uint64) bool {
	holds := false
	r.do(func() {
		holds = r.failed == nil && r.core.HoldsLease(clock.Boot()) && uint64(r.core.Term()) == term
	})
	return holds
}
