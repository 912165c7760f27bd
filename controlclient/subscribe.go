package controlclient

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/wire"
)

// subscription is an open channel to a replica. A goroutine receives its updates.
type subscription struct {
	address netip.AddrPort
	ch      *wire.Channel
	updates chan control.Update
	// received are the updates of the search that found the replica. Only the last one is fresh.
	received []control.Update
	// ended receives the error that ended the channel.
	ended  chan error
	cancel context.CancelFunc
}

// openSubscription opens a channel to a replica, until ctx ends, and sends it a probe.
//
// An open channel is no sign of life: a connection to a process that was killed counts as open for
// some time. Only an update is.
func (c *Client) openSubscription(ctx context.Context, address netip.AddrPort) (*subscription, error) {
	openCtx, cancelOpen := context.WithTimeout(ctx, attemptTimeout)
	defer cancelOpen()
	ch, err := c.cfg.Endpoint.Open(openCtx, address, control.MethodSubscribe)
	if err != nil {
		return nil, err
	}
	if err := ch.Send(c.heartbeat(true)); err != nil {
		ch.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	s := &subscription{
		address: address,
		ch:      ch,
		updates: make(chan control.Update),
		ended:   make(chan error, 1),
		cancel:  cancel,
	}
	context.AfterFunc(ctx, ch.Close)
	c.wait.Go(func() {
		for {
			update := control.Update{}
			if err := ch.Receive(&update); err != nil {
				s.ended <- err
				return
			}
			select {
			case s.updates <- update:
			case <-ctx.Done():
				s.ended <- ctx.Err()
				return
			}
		}
	})
	return s, nil
}

// close closes the channel. It may be called more than once.
func (s *subscription) close() {
	s.cancel()
}

// runSubscriptions keeps the node subscribed to a control replica that is up to date.
func (c *Client) runSubscriptions() {
	next := c.startSearch(netip.AddrPort{}, nil)
	for {
		select {
		case <-c.ctx.Done():
			next.stop()
			return
		case s := <-next.found:
			next = c.follow(s)
		}
	}
}

// follow processes the updates of a replica. While the replica is stale or silent, it already
// searches another one, and changes to that as soon as it is found: by the time that a replica counts
// as stale, the bound on how long a configuration takes is half used up. It returns that search.
func (c *Client) follow(s *subscription) *search {
	ctx, cancel := context.WithCancel(c.ctx)
	heartbeats := sync.WaitGroup{}
	defer heartbeats.Wait()
	defer cancel()
	defer s.close()
	c.followed.Store(&s.address)
	wholeSince := clock.SinceBoot()
	heartbeats.Go(func() {
		c.sendHeartbeats(ctx, s.ch)
		s.ch.Close()
	})
	f := &follower{
		c:          c,
		s:          s,
		started:    time.Now(),
		wholeSince: wholeSince,
		known:      c.carryRoster(clock.SinceBoot()),
	}
	for _, update := range s.received {
		f.apply(update)
	}
	return f.run()
}

// follower is the state of one subscription while the node follows it.
type follower struct {
	c       *Client
	s       *subscription
	started time.Time
	// wholeSince is the boot clock before the first heartbeat that was no probe.
	wholeSince time.Duration
	known      map[fleet.NodeID]roster.Report
	// staleSince is when the replica became stale, zero while it is up to date.
	staleSince time.Time
	// incomparable is set if the replica's digest of a whole configuration is not the node's: its build knows other
	// fields.
	incomparable bool
	// next is the search for another replica, nil while this one is up to date.
	next *search
}

// run processes updates until the subscription ends or another replica has been found.
func (f *follower) run() *search {
	silence := time.NewTimer(searchDelay)
	defer silence.Stop()
	silent := false
	for {
		select {
		case <-f.c.ctx.Done():
			f.search()
			return f.next
		case update := <-f.s.updates:
			silent = false
			silence.Reset(searchDelay)
			f.apply(update)
		case err := <-f.s.ended:
			return f.end(eris.Wrapf(err, "replica %s", f.s.address))
		case <-silence.C:
			if silent {
				return f.end(eris.Errorf("controlclient: replica %s: no update for %s", f.s.address, updateTimeout))
			}
			silent = true
			silence.Reset(updateTimeout - searchDelay)
			f.search()
		case found := <-f.found():
			f.c.logLost(f.s.address, f.started, eris.Wrapf(errReplaced, "replica %s", f.s.address))
			f.next.found <- found
			return f.next
		}
	}
}

// apply applies an update and searches another replica while this one is stale.
func (f *follower) apply(update control.Update) {
	f.compareDigests(&update)
	f.c.applyUpdate(f.s.address, update, f.known)
	f.c.confirm(update, f.wholeSince)
	if !update.Stale {
		f.staleSince = time.Time{}
		if f.next != nil {
			f.next.discard()
			f.next = nil
		}
		return
	}
	if f.staleSince.IsZero() {
		f.staleSince = time.Now()
	}
	if time.Since(f.staleSince) > staleGracePeriod {
		f.c.controlReachable.Store(false)
	}
	f.search()
}

// compareDigests removes the digest from an update if it says nothing: that of a whole configuration must be the node's.
func (f *follower) compareDigests(update *control.Update) {
	if update.Versions == nil {
		return
	}
	if update.Routing != nil && update.Versions.Routing == update.Routing.Version {
		digest := update.Versions.RoutingDigest
		f.incomparable = digest != 0 && digest != update.Routing.Digest()
	}
	if f.incomparable {
		versions := *update.Versions
		versions.RoutingDigest = 0
		update.Versions = &versions
	}
}

// search starts a search for another replica unless one is under way.
func (f *follower) search() {
	if f.next == nil {
		f.next = f.c.startSearch(f.s.address, f.s)
	}
}

// found returns the channel of the search, nil if there is none.
func (f *follower) found() chan *subscription {
	if f.next == nil {
		return nil
	}
	return f.next.found
}

// end logs the end of the subscription and returns the search for the next replica.
func (f *follower) end(err error) *search {
	if f.c.ctx.Err() == nil {
		f.c.logLost(f.s.address, f.started, err)
	}
	f.c.controlReachable.Store(false)
	f.search()
	f.next.include()
	return f.next
}

// logLost logs the end of a subscription with what tells its causes apart.
func (c *Client) logLost(address netip.AddrPort, started time.Time, err error) {
	c.withAge(c.cfg.Log.Warn(event.ControlLost)).
		Str("replica", address.String()).
		Int64("lastedMillis", time.Since(started).Milliseconds()).
		Err(err).
		Msg("subscription ended")
}

// heartbeat returns a heartbeat without what is sent only to the replica that the node follows.
func (c *Client) heartbeat(probe bool) control.Heartbeat {
	// Before the holder is read: an update that repeats a time is about the holder of then or a later one.
	sent := clock.SinceBoot()
	versions := c.knowledge.Load().versions()
	report := c.cfg.Report()
	report.Version = versions.Catalog
	report.Holder = c.Holder()
	return control.Heartbeat{
		Report:      report,
		Routing:     versions.Routing,
		Evacuations: versions.Evacuations,
		Probe:       probe,

		RoutingDeltas: true,
		RoutingForm:   control.RoutingForm,
		WholeRouting:  c.wholeWanted.Load(),
		Sent:          int64(sent),
	}
}

// sendHeartbeats sends a heartbeat every roster.HeartbeatInterval, and at once when
// SendHeartbeat requests it.
func (c *Client) sendHeartbeats(ctx context.Context, ch *wire.Channel) {
	ticker := time.NewTicker(roster.HeartbeatInterval)
	defer ticker.Stop()
	for first := true; ; first = false {
		heartbeat := c.heartbeat(false)
		if q := c.quarantine.Load(); q != nil {
			heartbeat.Evidence, heartbeat.Suspended = (*q).TakeEvidence(first, clock.SinceBoot())
		}
		if watcher := c.watcher.Load(); watcher != nil {
			heartbeat.Limits = (*watcher).TakeLimits(first)
			heartbeat.Origins, heartbeat.Versions = (*watcher).TakeOrigins(first)
		}
		if ch.Send(heartbeat) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.heartbeatRequested:
		}
	}
}
