package control

import (
	"context"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/consensus"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/quarantine"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/wire"
)

// submitTimeout is the time limit of one command from another process.
const submitTimeout = 5 * time.Second

const (
	// updateInterval is the longest time between two updates to a subscriber. An update
	// also serves as a heartbeat of the replica.
	updateInterval = 500 * time.Millisecond
	// minUpdateInterval is the shortest time between two updates to a subscriber. While
	// hundreds of nodes restart, the roster changes more often than a replica can tell all its
	// subscribers.
	minUpdateInterval = 25 * time.Millisecond
	// echoInterval is the least age of the last update for which a heartbeat is followed by another
	// one. Nodes send heartbeats of their own accord, and further ones whenever they have something
	// to tell.
	echoInterval = 400 * time.Millisecond
)

// handle registers the replica's handlers with the endpoint.
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
			r.do(func() { r.handleAnnouncement(a) })
		}
	})
	endpoint.HandleMessage(MethodInstances, func(_ fleet.NodeID, body []byte) {
		list := InstanceList{}
		if wire.Decode(body, &list) == nil {
			r.do(func() { r.receiveInstances(list) })
		}
	})
	endpoint.HandleMessage(MethodEvidence, func(_ fleet.NodeID, body []byte) {
		var evidence []quarantine.Evidence
		if wire.Decode(body, &evidence) == nil {
			r.do(func() { r.applyEvidence(evidence, nil) })
		}
	})
	endpoint.HandleMessage(MethodLimits, func(_ fleet.NodeID, body []byte) {
		var reports []ratelimit.Report
		if wire.Decode(body, &reports) == nil {
			r.do(func() { r.applyLimits(reports) })
		}
	})
	r.handleOrigins(endpoint)
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

// Query responds to a query from this replica's state.
func (r *Replica) Query(query Query) QueryResponse {
	response := QueryResponse{
		Status: SubmitUnavailable,
	}
	r.do(func() { response = r.query(query) })
	return response
}

func (r *Replica) query(query Query) QueryResponse {
	response := QueryResponse{
		Status: SubmitDone,
		Found:  true,
		Leader: r.leaderAddress(),
	}
	if query.Status {
		status := r.status()
		response.Replica = &status
		return response
	}
	if !r.canServeReads() {
		response.Status = SubmitNotLeader
		return response
	}
	switch {
	case query.Budget != "":
		view, ok := r.machine.ledger.Budget(query.Budget)
		response.Budget = &view
		response.Found = ok
	case query.Ticket != 0:
		outcome, digest, ok := r.machine.catalog.Outcome(query.Ticket)
		response.Outcomes = []catalog.Outcome{outcome}
		response.Digest = digest
		response.Found = ok
	case query.Routing:
		response.Document = r.machine.routing.Document
		response.Version = r.machine.routing.Config.Version
		response.Found = response.Version > 0
	case query.Evacuations:
		list := r.machine.evacuations.List
		response.Evacuated = &list
	case query.Tickets > 0:
		response.Outcomes = r.machine.catalog.Outcomes(query.Tickets)
	}
	return response
}

// canServeReads reports whether this replica's state includes everything acknowledged: it
// holds the leader's lease and has applied all committed entries. Holding the lease is not
// enough: a message that commits entries and a query may arrive in the same iteration of
// loop, which responds to the query before it applies the entries. Directly after an election,
// those entries include all that the previous leader acknowledged and this replica has not
// applied yet.
func (r *Replica) canServeReads() bool {
	return r.failed == nil && r.core.HoldsLease(clock.SinceBoot()) && r.core.AppliedAll()
}

func (r *Replica) status() ReplicaStatus {
	now := clock.SinceBoot()
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
		Evacuated: r.machine.evacuations.List.DataCentres,
	}
	if r.failed != nil {
		status.Failed = r.failed.Error()
	}
	return status
}

// serveSubscriber receives an entry node's heartbeats and sends updates to it.
func (r *Replica) serveSubscriber(ctx context.Context, _ fleet.NodeID, ch *wire.Channel) {
	first := Heartbeat{}
	if ch.Receive(&first) != nil {
		return
	}
	s := &subscriber{
		holder:         first.Report.Holder,
		notify:         make(chan struct{}, 1),
		catalogVersion: first.Report.Version,
		routingVersion: first.Routing,
		routingDeltas:  first.RoutingDeltas,
		routingForm:    first.RoutingForm,
		evacuations:    first.Evacuations,
		recalls:        make(chan []ledger.Recall, 64),
		sendFull:       true,
	}
	r.handleHeartbeat(s, first)
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
		r.receiveHeartbeats(s, ch)
	}()
	r.sendUpdates(ctx, s, ch)
	ch.Close()
}

// receiveHeartbeats handles heartbeats. They are followed by updates, which show the node how long
// ago its configuration was the newest.
func (r *Replica) receiveHeartbeats(s *subscriber, ch *wire.Channel) {
	probed := true
	for {
		heartbeat := Heartbeat{}
		if ch.Receive(&heartbeat) != nil || !r.handleHeartbeat(s, heartbeat) {
			return
		}
		due := s.updateDue(heartbeat, probed, clock.SinceBoot())
		probed = heartbeat.Probe
		if !due {
			continue
		}
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
}

// handleHeartbeat records an entry node's report. It returns false if the replica is
// stopping.
func (r *Replica) handleHeartbeat(s *subscriber, heartbeat Heartbeat) bool {
	return r.do(func() {
		s.probes, s.echo = heartbeat.Probe, heartbeat.Sent
		if heartbeat.Probe {
			return
		}
		s.wholeRouting = s.wholeRouting || heartbeat.WholeRouting
		s.setHolder(heartbeat.Report.Holder)
		now := clock.SinceBoot()
		node := heartbeat.Report.Holder.Node
		heartbeat.Report.AgeMillis = 0
		r.directReports[node] = heartbeat.Report
		r.directReportAt[node] = now
		if r.table.Merge(heartbeat.Report, now) {
			r.notify(effects{nodes: true})
			r.announceSoon = true
		}
		if len(heartbeat.Evidence) > 0 || len(heartbeat.Suspended) > 0 {
			r.applyEvidence(heartbeat.Evidence, heartbeat.Suspended)
			r.passOnEvidence(heartbeat.Evidence)
		}
		if len(heartbeat.Limits) > 0 {
			r.applyLimits(heartbeat.Limits)
			r.passOnLimits(heartbeat.Limits)
		}
		r.newOrigins = append(r.newOrigins, r.applyOrigins(heartbeat.Origins)...)
		if heartbeat.Versions != nil {
			r.versions.Merge(*heartbeat.Versions, now)
		}
	})
}

// applyEvidence judges the evidence of an entry node and the suspensions that it knows.
func (r *Replica) applyEvidence(evidence []quarantine.Evidence, suspended []quarantine.Notice) {
	now, before := clock.SinceBoot(), r.quarantine.Changes()
	for _, n := range suspended {
		r.quarantine.Adopt(n, now)
	}
	for _, e := range evidence {
		r.quarantine.Add(e, now)
	}
	if r.quarantine.Changes() != before {
		r.notify(effects{nodes: true})
	}
}

// passOnEvidence sends evidence to the other replicas, each of which judges for its own entry
// nodes.
func (r *Replica) passOnEvidence(evidence []quarantine.Evidence) {
	if len(evidence) == 0 {
		return
	}
	for _, a := range r.peers {
		r.cfg.Endpoint.Send(a.Address, MethodEvidence, evidence)
	}
}

// applyLimits records what an entry node knows of limits.
func (r *Replica) applyLimits(reports []ratelimit.Report) {
	now, before := clock.SinceBoot(), r.limits.Changes()
	for _, report := range reports {
		r.limits.Apply(report, now)
	}
	if r.limits.Changes() != before {
		r.notify(effects{nodes: true})
	}
}

// passOnLimits sends reports of limits to the other replicas, each for its own entry nodes.
func (r *Replica) passOnLimits(reports []ratelimit.Report) {
	for _, a := range r.peers {
		r.cfg.Endpoint.Send(a.Address, MethodLimits, reports)
	}
}

func (r *Replica) sendUpdates(ctx context.Context, s *subscriber, ch *wire.Channel) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		update := Update{}
		if !r.do(func() { update = r.update(s) }) || ch.Send(update) != nil {
			return
		}
		ticker.Reset(updateInterval)
		if update.Delta != nil {
			s.catalogVersion = update.Delta.To
		}
		if update.Routing != nil {
			s.routingVersion = update.Routing.Version
		}
		if update.RoutingDelta != nil {
			s.routingVersion = update.RoutingDelta.To
		}
		if update.Evacuations != nil {
			s.evacuations = update.Evacuations.Number
		}
		if !r.awaitChange(ctx, s, ticker.C) {
			return
		}
	}
}

// awaitChange waits until there is something to send to a subscriber, but at least for
// minUpdateInterval, so that changes that come together are sent together. It returns false if the
// subscription ends.
func (r *Replica) awaitChange(ctx context.Context, s *subscriber, tick <-chan time.Time) bool {
	pause := time.NewTimer(minUpdateInterval)
	defer pause.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.ctx.Done():
		return false
	case <-tick:
	case <-s.notify:
	}
	select {
	case <-ctx.Done():
		return false
	case <-pause.C:
	}
	return true
}

// update returns what has changed since the last update to a subscriber.
func (r *Replica) update(s *subscriber) Update {
	now := clock.SinceBoot()
	s.updatedAt.Store(int64(now))
	update := Update{
		Stale:       r.staleFor(s, now),
		Echo:        s.echo,
		FreshMicros: (now - r.core.FreshAt(now)).Microseconds(),
		Leader:      r.leaderAddress(),
	}
	if !update.Stale {
		versions := r.machine.versions()
		update.Versions = &versions
	}
	if s.probes {
		return update
	}
	update.EndedHolders = r.machine.ledger.UnconfirmedBy(s.holder.Node)
	update.Ended = r.holderEnded(s.holder)
	if !update.Stale && r.machine.catalog.Version() > s.catalogVersion {
		delta := r.machine.catalog.Since(s.catalogVersion)
		update.Delta = &delta
	}
	if !update.Stale {
		update.Routing, update.RoutingDelta = r.newerRouting(s)
		update.Evacuations = r.newerEvacuations(s)
	}
	update.Instances, s.instancesNumber = r.instancesSince(s.instancesNumber, now)
	update.Roster, s.rosterNumber = r.table.Since(s.rosterNumber)
	if number := r.quarantine.Changes(); s.quarantineNumber != number {
		update.Quarantine = &quarantine.List{Notices: r.quarantine.Notices(now)}
		s.quarantineNumber = number
	}
	if number := r.limits.Changes(); s.limitsNumber != number {
		update.Limits = &ratelimit.List{Reports: r.limits.Reports(now)}
		s.limitsNumber = number
	}
	update.Recalls = s.drainRecalls()
	if s.sendFull {
		s.sendFull = false
		update.Recalls = r.machine.ledger.Recalls(s.holder)
	}
	return update
}

// staleFor reports whether this replica's configuration may be outdated. It certainly is if
// another replica has sent the subscriber a later one.
func (r *Replica) staleFor(s *subscriber, now time.Duration) bool {
	behind := s.catalogVersion > r.machine.catalog.Version() || s.routingVersion > r.machine.routing.Config.Version ||
		s.evacuations > r.machine.evacuations.List.Number
	return behind || r.failed != nil || !r.core.UpToDate(now, leaderTimeout)
}

// holderEnded reports whether an incarnation of a node has ended.
func (r *Replica) holderEnded(holder fleet.Holder) bool {
	object, ok := r.machine.catalog.Object(catalog.Key{
		Kind: catalog.KindNode,
		ID:   string(holder.Node),
	})
	destroyed := ok && object.Body.Node.Destroyed
	return destroyed || r.machine.ledger.Incarnation(holder.Node) > holder.Incarnation
}

// notify queues recalls for the subscribers that hold the leases and wakes the subscribers
// that the effects concern. If a queue is full, the next update lists all open recalls.
func (r *Replica) notify(e effects) {
	r.subscribersMu.Lock()
	defer r.subscribersMu.Unlock()
	for s := range r.subscribers {
		var own []ledger.Recall
		for _, recall := range e.recalls {
			if recall.Holder == s.holder {
				own = append(own, recall)
			}
		}
		if len(own) == 0 && !e.catalog && !e.routing && !e.evacuations && !e.nodes {
			continue
		}
		if len(own) > 0 {
			select {
			case s.recalls <- own:
			default:
				s.sendFull = true
			}
		}
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
}
