package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/routing"
)

// The users' rule on limits: from settleTime after an instance first named its limit it may get, in
// any limitWindow, one and a half times what the limit allows and five requests more, from the nodes
// that were told at least toldBefore earlier.
const (
	settleTime  = 3 * time.Second
	limitWindow = 4 * time.Second
	toldBefore  = 500 * time.Millisecond
)

func mostAllowed(limit routing.Rate) int {
	return int(1.5*float64(limit)*limitWindow.Seconds()) + 5
}

const limitedInstance = fleet.BackendServerID("limited")

// limitedFleet sends requests through the nodes of a mesh to a service of which one instance names
// a limit in all of its responses.
type limitedFleet struct {
	t       *testing.T
	servers []*Server
	engine  *routing.Engine

	mu sync.Mutex
	// limit is nil while the instance names none.
	limit    *routing.Rate
	namedAt  time.Duration
	told     map[*Server]time.Duration
	arrivals []limitedArrival
	refused  int
	// withoutWait counts the refused for which no time to return is known.
	withoutWait int
	next        int
}

// limitedArrival is a request that has reached the limited instance.
type limitedArrival struct {
	at time.Duration
	// counts is set if the rule counts it.
	counts bool
}

func newLimitedFleet(t *testing.T, servers []*Server, limit routing.Rate, others int) *limitedFleet {
	f := &limitedFleet{
		t:       t,
		servers: servers,
		limit:   &limit,
		told:    map[*Server]time.Duration{},
	}
	list := []routing.Instance{{
		ID:      limitedInstance,
		Service: "s",
		Slots:   64,
	}}
	for i := range others {
		list = append(list, routing.Instance{
			ID:      fleet.BackendServerID(fmt.Sprint("free", i)),
			Service: "s",
			Slots:   64,
		})
	}
	for _, s := range servers {
		s.SetInstances(list)
	}
	return f
}

// send sends one request through a node.
func (f *limitedFleet) send(s *Server) {
	f.mu.Lock()
	f.next++
	x := newPromptExchange(s, fmt.Sprint(f.next))
	f.mu.Unlock()
	x.service = &routing.Service{
		ID:     "s",
		Engine: f.engine,
	}
	request := placement.ForecastRequest{}
	if f.engine != nil {
		request = longPrompt
	}
	placed, _, ok := x.chooseInstance(request)
	response := Response{}
	wait, _ := s.dispatch.fullFor("s", nil)
	f.mu.Lock()
	now := clock.SinceBoot()
	switch {
	case !ok:
		f.refused++
		if wait <= 0 || wait > 2*time.Second {
			f.withoutWait++
		}
	case placed.Instance.ID == limitedInstance:
		toldAt, told := f.told[s]
		f.arrivals = append(f.arrivals, limitedArrival{
			at:     now,
			counts: told && now-toldAt >= toldBefore,
		})
		response.Limit = f.limit
		if f.namedAt == 0 {
			f.namedAt = now
		}
		if !told {
			f.told[s] = now
		}
	}
	f.mu.Unlock()
	if !ok {
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.dispatch.responseRead("s", placed, response)
	x.attemptEnded(placed, placement.OutcomeOK)
}

// run sends requests at a rate through random nodes for a time.
func (f *limitedFleet) run(perSecond int, took time.Duration) {
	sending := sync.WaitGroup{}
	defer sending.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(took); time.Now().Before(end); <-ticker.C {
		s := f.servers[rand.IntN(len(f.servers))]
		sending.Go(func() { f.send(s) })
	}
}

// most returns the largest number of arrivals in a window. It considers those from a time on, and
// only those that the rule counts unless all is set.
func (f *limitedFleet) most(from time.Duration, all bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Duration
	for _, a := range f.arrivals {
		if a.at >= from && (all || a.counts) {
			times = append(times, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestServerLimitHoldsForAllNodesTogether guards against instances that get more requests than they
// said they take: an engine that named 1.4 a second got 18 in 4 s.
func TestServerLimitHoldsForAllNodesTogether(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{1, 6, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			const limit = routing.Rate(1.3)
			_, servers := newMesh(t, nodes)
			f := newLimitedFleet(t, servers, limit, 3)
			f.run(48, settleTime+limitWindow+time.Second)
			if got, most := f.most(f.namedAt+settleTime, false), mostAllowed(limit); got > most {
				t.Errorf("got %d requests in %s at an instance that takes %.1f a second, want at most %d", got, limitWindow, limit, most)
			}
		})
	}
}

// atLimited returns the number of requests at the limited instance since a time.
func (f *limitedFleet) atLimited(since time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.arrivals {
		if a.at >= since {
			n++
		}
	}
	return n
}

// passOnLimits lets what one node reads of limits reach all others, until the test ends.
func (f *limitedFleet) passOnLimits(m *mesh) {
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go m.passOnLimits(ctx)
}

// TestLimitIsNeitherExceededNorIdle guards against nodes that have to be told of a limit one by one,
// each by a request too many, and against a limited instance that is left idle: shares of 1.3 a
// second among 300 nodes would let each send one request in four minutes. The other instances must
// serve the rest.
func TestLimitIsNeitherExceededNorIdle(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		nodes  int
		limit  routing.Rate
		engine *routing.Engine
	}{
		{
			name:  "plain service, 6 nodes",
			nodes: 6,
			limit: 1.3,
		},
		{
			name:  "plain service, 300 nodes",
			nodes: 300,
			limit: 1.3,
		},
		{
			name:   "engines, 300 nodes",
			nodes:  300,
			limit:  4,
			engine: &routing.Engine{},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m, servers := newMesh(t, c.nodes)
			f := newLimitedFleet(t, servers, c.limit, 3)
			f.engine = c.engine
			f.passOnLimits(m)
			f.run(100, settleTime+limitWindow)
			if got, most := f.most(f.namedAt+settleTime, true), mostAllowed(c.limit); got > most {
				t.Errorf("got %d requests in %s from told and untold nodes, want at most %d", got, limitWindow, most)
			}
			if got, least := f.atLimited(f.namedAt+settleTime), int(float64(c.limit)*limitWindow.Seconds()*0.6); got < least {
				t.Errorf("got %d requests in %s at the limited instance, want at least %d", got, limitWindow, least)
			}
			if f.refused > 0 {
				t.Errorf("got %d requests refused, want 0 with three other instances", f.refused)
			}
		})
	}
}

// TestLimitKnownBeforeInstanceIsListed tells a node that has just started of a limit before it has a
// list of instances. Its first request to the instance must need a permit.
func TestLimitKnownBeforeInstanceIsListed(t *testing.T) {
	_, servers := newMesh(t, 1)
	s := servers[0]
	limit := routing.Rate(1)
	s.HandleLimits(ratelimit.List{Reports: []ratelimit.Report{{
		Service:  "s",
		Instance: limitedInstance,
		Limit:    &limit,
	}}})
	f := newLimitedFleet(t, servers, limit, 0)
	f.send(s)
	f.send(s)
	if got := f.atLimited(0); got > 1 {
		t.Errorf("got %d requests at once at an instance that takes one a second, want at most 1", got)
	}
}

// TestLimitEnds lets an instance stop naming its limit: it must soon get its part of the requests
// again, from all nodes.
func TestLimitEnds(t *testing.T) {
	t.Parallel()
	m, servers := newMesh(t, 40)
	f := newLimitedFleet(t, servers, 2, 3)
	f.passOnLimits(m)
	f.run(80, 2*time.Second)
	f.mu.Lock()
	f.limit = nil
	f.mu.Unlock()
	f.run(80, 3*time.Second)
	ended := clock.SinceBoot()
	f.run(80, time.Second)
	if got, least := f.atLimited(ended), 10; got < least {
		t.Errorf("got %d of 80 requests at the instance 3 s after its limit ended, want at least %d", got, least)
	}
}

// TestLimitOfAllInstances limits the only instance of a service. Requests beyond the limit must be
// refused at once, with a time to return, and those within it served.
func TestLimitOfAllInstances(t *testing.T) {
	t.Parallel()
	_, servers := newMesh(t, 2)
	f := newLimitedFleet(t, servers, 5, 0)
	f.run(40, 4*time.Second)
	if got, least := f.atLimited(f.namedAt+time.Second), 10; got < least {
		t.Errorf("got %d requests served in 3 s, want at least %d", got, least)
	}
	if f.refused == 0 {
		t.Fatal("got no request refused, want those beyond the limit")
	}
	if f.withoutWait > f.refused/10 {
		t.Errorf("got %d of %d refused without the time until there may be a permit", f.withoutWait, f.refused)
	}
}

// TestLimitWithoutOwner makes the owner of a limited instance unreachable, or lets all nodes lose the
// control group. The rule must hold all the same, and the instance must not be left idle.
func TestLimitWithoutOwner(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"owner unreachable", "partition"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			const limit = routing.Rate(6)
			m, servers := newMesh(t, 6)
			f := newLimitedFleet(t, servers, limit, 3)
			f.run(60, 2*time.Second)
			if fault == "partition" {
				m.mu.Lock()
				m.partitioned = true
				m.mu.Unlock()
			} else {
				_, address, _ := servers[0].claims.owner(limitedInstance, "")
				m.setUnreachable(address)
			}
			lost := clock.SinceBoot()
			f.run(60, 5*time.Second)
			if got, most := f.most(f.namedAt+settleTime, true), mostAllowed(limit); got > most {
				t.Errorf("got %d requests in %s, want at most %d", got, limitWindow, most)
			}
			if got, least := f.atLimited(lost), 8; got < least {
				t.Errorf("got %d requests in 5 s at a limit of %.0f a second, want at least %d", got, limit, least)
			}
		})
	}
}

// TestLimitWhileNodesJoinAndLeave replaces half of the nodes, and with them the owner, while requests
// go on.
func TestLimitWhileNodesJoinAndLeave(t *testing.T) {
	t.Parallel()
	const limit = routing.Rate(4)
	m, servers := newMesh(t, 12)
	f := newLimitedFleet(t, servers, limit, 3)
	f.passOnLimits(m)
	f.servers = servers[:6]
	m.setRoster(0, 6)
	f.run(60, 2*time.Second)
	m.setRoster(3, 9)
	f.servers = servers[3:9]
	f.run(60, 1500*time.Millisecond)
	m.setRoster(6, 12)
	f.servers = servers[6:]
	f.run(60, 4*time.Second)
	if got, most := f.most(f.namedAt+settleTime, true), mostAllowed(limit); got > most {
		t.Errorf("got %d requests in %s while nodes joined and left, want at most %d", got, limitWindow, most)
	}
}

// TestUnreadableLimitKeepsTheLast has responses name a limit and then values that are no number. The
// limit must stay in force.
func TestUnreadableLimitKeepsTheLast(t *testing.T) {
	_, servers := newMesh(t, 1)
	s := servers[0]
	f := newLimitedFleet(t, servers, 1, 0)
	f.send(s)
	x := newPromptExchange(s, "unreadable")
	x.service = &routing.Service{ID: "s"}
	placed, _, ok := s.dispatch.pick("s", placement.ForecastRequest{}, true)
	if !ok {
		t.Fatal("got no instance")
	}
	s.dispatch.responseRead("s", placed, Response{LimitUnreadable: true})
	x.attemptEnded(placed, placement.OutcomeOK)
	if got := s.dispatch.maySend("s", placed, false); got {
		t.Error("got a request without a permit allowed after an unreadable limit, want the last limit in force")
	}
}
