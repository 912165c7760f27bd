package controlclient

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/wire"
)

const (
	// maxProbes is the number of replicas that a search asks at the same time.
	maxProbes = 3
	// maxStagger limits the time between the starts of two probes, and from the failure of one to the
	// start of the next.
	maxStagger = 600 * time.Millisecond
)

// Errors of subscriptions and probes.
var (
	errStale    = eris.New("controlclient: the control replica is stale: it is not up to date with a leader")
	errReplaced = eris.New("controlclient: another replica is up to date, this one is not")
)

// search finds a replica that is up to date. It asks several at once, since the timeouts of those that
// do not respond, and the patience with those that are stale, would add up.
type search struct {
	c     *Client
	found chan *subscription
	ctx   context.Context
	stop  context.CancelFunc
	// ended is closed when no more can be found.
	ended chan struct{}

	mu sync.Mutex
	// excluded is the replica that the node still follows, the zero value if there is none.
	excluded netip.AddrPort
}

// probeResult is the end of a probe: a subscription whose latest update is fresh, or an error. While
// a probe of a stale replica goes on, it sends one with stillStale set.
type probeResult struct {
	address    netip.AddrPort
	s          *subscription
	err        error
	stillStale bool
	// leaderless is set if the stale replica does not know a leader.
	leaderless bool
}

// startSearch starts a search that begins with the replica after last. While the node still follows a
// subscription, its replica is not asked.
func (c *Client) startSearch(last netip.AddrPort, followed *subscription) *search {
	ctx, cancel := context.WithCancel(c.ctx)
	s := &search{
		c:     c,
		found: make(chan *subscription, 1),
		ended: make(chan struct{}),
		ctx:   ctx,
		stop:  cancel,
	}
	if followed != nil {
		s.excluded = followed.address
	}
	c.wait.Go(func() { s.run(last) })
	return s
}

// discard stops the search and closes what it has found.
func (s *search) discard() {
	s.stop()
	s.c.wait.Go(func() {
		<-s.ended
		select {
		case sub := <-s.found:
			sub.close()
		default:
		}
	})
}

// include ends the exclusion of the replica that the node followed.
func (s *search) include() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excluded = netip.AddrPort{}
}

// next returns the replica after last that may be asked and is not in active.
func (s *search) next(last netip.AddrPort, active map[netip.AddrPort]bool) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replicas := s.c.Replicas()
	first := slices.Index(replicas, last) + 1
	for i := range replicas {
		address := replicas[(first+i)%len(replicas)]
		if address != s.excluded && !active[address] {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// run probes replicas until one is found. It starts a second probe dialStagger after the first, and
// each further one twice as late: after a restart of the whole group, hundreds of nodes search at the
// same time, and responses are late because of them. A probe that has shown its replica to be behind its
// leader is followed by the next one at once, one that has failed after retryInterval, and later in a
// long partition.
func (s *search) run(last netip.AddrPort) {
	defer close(s.ended)
	defer s.stop()
	stagger, retry := dialStagger, retryInterval
	active := map[netip.AddrPort]bool{}
	results := make(chan probeResult)
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-due.C:
			if address, ok := s.next(last, active); ok && len(active) < maxProbes {
				last = address
				active[address] = true
				s.c.wait.Go(func() { s.probe(address, results) })
			}
			due.Reset(stagger)
			stagger = min(2*stagger, maxStagger)
		case result := <-results:
			switch {
			case result.s != nil:
				s.found <- result.s
				return
			case result.stillStale && result.leaderless:
				// The others are likely to have no leader either. As soon as there is one, all tell so.
				due.Reset(dialStagger)
			case result.stillStale:
				due.Reset(0)
			default:
				delete(active, result.address)
				s.c.logProbe(result)
				due.Reset(retry)
				retry = min(2*retry, maxStagger)
			}
		}
	}
}

// probe asks a replica and reports what comes of it. If only the process to which the node had a connection is
// gone, it asks the one that has taken its place.
func (s *search) probe(address netip.AddrPort, results chan<- probeResult) {
	sub, err := s.ask(address, results)
	if wire.PeerRestarted(err) {
		sub, err = s.ask(address, results)
	}
	result := probeResult{
		address: address,
		s:       sub,
		err:     err,
	}
	if !s.report(results, result) && sub != nil {
		sub.close()
	}
}

// ask opens a subscription and returns it once the replica is up to date. It gives a replica up
// that sends nothing for updateTimeout or stays stale for stalePatience.
func (s *search) ask(address netip.AddrPort, results chan<- probeResult) (*subscription, error) {
	sub, err := s.c.openSubscription(s.ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(s.ctx, sub.close)
	err = s.awaitFresh(sub, results)
	// The subscription that is found outlives the search.
	if err != nil || !stop() {
		sub.close()
		return nil, err
	}
	return sub, nil
}

// report passes a result to run and reports whether the search still goes on.
func (s *search) report(results chan<- probeResult, result probeResult) bool {
	select {
	case results <- result:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// awaitFresh waits until the replica is up to date.
func (s *search) awaitFresh(sub *subscription, results chan<- probeResult) error {
	timeout := time.NewTimer(updateTimeout)
	defer timeout.Stop()
	repeat := time.NewTicker(probeInterval)
	defer repeat.Stop()
	for {
		select {
		case <-repeat.C:
			if err := sub.ch.Send(s.c.heartbeat(true)); err != nil {
				return err
			}
		case <-s.ctx.Done():
			return s.ctx.Err()
		case err := <-sub.ended:
			return err
		case <-timeout.C:
			if len(sub.received) > 0 {
				return errStale
			}
			return eris.Errorf("controlclient: no update for %s after the subscription", updateTimeout)
		case update := <-sub.updates:
			sub.received = append(sub.received, update)
			if !update.Stale {
				return nil
			}
			if len(sub.received) > 1 {
				continue
			}
			repeat.Stop()
			timeout.Reset(stalePatience)
			s.report(results, probeResult{
				address:    sub.address,
				stillStale: true,
				leaderless: !update.Leader.IsValid(),
			})
		}
	}
}

// logProbe logs a probe that found no replica that is up to date.
func (c *Client) logProbe(result probeResult) {
	if c.ctx.Err() != nil {
		return
	}
	c.cfg.Log.Info(event.ReplicaUnfit).
		Str("replica", result.address.String()).
		Err(result.err).
		Msg("a control replica cannot be followed")
}
