package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/faultproxy"
	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	restartReplicas = 5
	// stormInterval is the time between two changes of a storm.
	stormInterval = 150 * time.Millisecond
	// restartDown is how long the killed control group is down, restartPause the time between two kills.
	restartDown  = time.Second
	restartPause = 5 * time.Second
	restartCount = 3
	// ackTimeout limits one attempt to make a change.
	ackTimeout = 4 * time.Second
)

// lastMoment is the time before a kill in which an acknowledged change may not have reached the entry
// nodes: they cannot learn of it before the group is back.
const lastMoment = 100 * time.Millisecond

// Restarts measures the time from the acknowledgement of a change until it is in force on the last
// entry node, in a storm of changes while the whole control group is killed again and again.
func Restarts() (Group, error) {
	g := Group{
		Name:    "restarts",
		Setting: "Five control nodes and entry nodes' links to them, all in one process over real QUIC connections on loopback, 1 ms one way; a change each 150 ms; the control group is killed three times, without a word to its peers, and starts again a second later.",
	}
	for _, n := range []int{10, 30, 100, 300} {
		if err := measureRestarts(&g, n); err != nil {
			return g, err
		}
	}
	return g, nil
}

func measureRestarts(g *Group, n int) error {
	f, err := startFleet(fleetConfig{
		nodes:   restartReplicas,
		control: restartReplicas,
		delay:   time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer f.close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if err := f.apply(ctx, 1, []catalog.Change{modelChange("model-00", "1")}); err != nil {
		return err
	}
	var clients []*testClient
	defer func() {
		for _, c := range clients {
			c.close()
		}
	}()
	for i := range n {
		c, err := newClient(f, i)
		if err != nil {
			return err
		}
		clients = append(clients, c)
	}
	if err := awaitVersion(ctx, clients, 1); err != nil {
		return err
	}
	time.Sleep(settleDelay)
	s := &changeStorm{
		f:       f,
		clients: clients,
		number:  1,
	}
	if err := s.run(ctx); err != nil {
		return err
	}
	bound := millis(control.ConfigurationBound)
	g.add(fmt.Sprintf("%d nodes: changes that were acknowledged", n), float64(len(s.times)+len(s.lastTimes)), "")
	g.add(fmt.Sprintf("%d nodes: a change in force on all, median", n), millis(percentile(s.times, 500)), "ms")
	g.addWithBound(fmt.Sprintf("%d nodes: a change in force on all, slowest", n), millis(percentile(s.times, 1000)), "ms", bound)
	if len(s.lastTimes) > 0 {
		g.addWithBound(fmt.Sprintf("%d nodes: one acknowledged within 100 ms of a kill in force on all, slowest of %d", n, len(s.lastTimes)), millis(percentile(s.lastTimes, 1000)), "ms", bound)
	}
	return nil
}

// changeStorm makes changes and observes when they are in force.
type changeStorm struct {
	f       *testFleet
	clients []*testClient
	number  fleet.TicketNumber

	mu sync.Mutex
	// open are the acknowledged changes that are not in force on all nodes yet.
	open map[fleet.Version]time.Time
	// lastTimes are the times of the changes that were acknowledged in the last moment before a kill,
	// times those of all others.
	times, lastTimes []time.Duration
	killedAt         []time.Time
}

// run kills the control group restartCount times during a storm.
func (s *changeStorm) run(ctx context.Context) error {
	s.open = map[fleet.Version]time.Time{}
	ctx, cancel := context.WithCancel(ctx)
	stormCtx, endStorm := context.WithCancel(ctx)
	workers := sync.WaitGroup{}
	workers.Go(func() { s.observe(ctx) })
	storm := sync.WaitGroup{}
	storm.Go(func() { s.makeChanges(stormCtx) })
	err := error(nil)
	for range restartCount {
		time.Sleep(restartPause)
		if err = s.restartControl(); err != nil {
			break
		}
	}
	time.Sleep(restartPause)
	endStorm()
	storm.Wait()
	for deadline := time.Now().Add(restartPause); s.openChanges() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	workers.Wait()
	if left := s.openChanges(); err == nil && left > 0 {
		err = eris.Errorf("measure: %d changes did not reach all control clients", left)
	}
	return err
}

func (s *changeStorm) openChanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// makeChanges sends a change each stormInterval, to any control node that is up.
func (s *changeStorm) makeChanges(ctx context.Context) {
	for ctx.Err() == nil {
		s.number++
		for i := int(s.number); ctx.Err() == nil; i++ {
			attempt, cancel := context.WithTimeout(ctx, ackTimeout)
			changes := []catalog.Change{modelChange("model-00", fmt.Sprint(s.number))}
			s.mu.Lock()
			n := s.f.nodes[i%len(s.f.nodes)]
			s.mu.Unlock()
			result, err := n.Submit(attempt, ticketCommand(s.number, changes))
			cancel()
			if err == nil {
				s.mu.Lock()
				s.open[result.Outcome.Version] = time.Now()
				s.mu.Unlock()
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(stormInterval)
	}
}

// observe records when changes are in force on all nodes.
func (s *changeStorm) observe(ctx context.Context) {
	for ctx.Err() == nil {
		oldest := s.clients[0].client.View().Version
		for _, c := range s.clients {
			oldest = min(oldest, c.client.View().Version)
		}
		s.mu.Lock()
		for version, acked := range s.open {
			if version <= oldest {
				s.record(acked)
				delete(s.open, version)
			}
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// record records that a change is in force on all nodes. The caller holds mu.
func (s *changeStorm) record(acked time.Time) {
	took := time.Since(acked)
	for _, killed := range s.killedAt {
		if before := killed.Sub(acked); before >= 0 && before < lastMoment {
			s.lastTimes = append(s.lastTimes, took)
			return
		}
	}
	s.times = append(s.times, took)
}

// restartControl kills all control nodes and starts them again. Nothing that they send while they are
// closed reaches their peers.
func (s *changeStorm) restartControl() error {
	s.mu.Lock()
	s.killedAt = append(s.killedAt, time.Now())
	s.mu.Unlock()
	s.f.network.SetDefaultFaults(faultproxy.Faults{Cut: true})
	killed := sync.WaitGroup{}
	for _, n := range s.f.nodes {
		killed.Go(n.Kill)
	}
	killed.Wait()
	time.Sleep(restartDown)
	s.f.network.SetDefaultFaults(faultproxy.Faults{Delay: s.f.cfg.delay})
	for i := range s.f.nodes {
		n, err := s.f.startNode(i)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.f.nodes[i] = n
		s.mu.Unlock()
	}
	return nil
}
