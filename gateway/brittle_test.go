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
	"github.com/waxwingreel/waxwingreel/routing"
)

// A service of brittle instances. Each has room for brittleSlots requests, takes brittleWork for one of them, falls
// over once it has turned away more than brittleTurnsAway in a second, and is back after brittleDown.
const (
	brittleInstances = 4
	brittleSlots     = 4
	brittleWork      = 200 * time.Millisecond
	brittleTurnsAway = 3
	brittleDown      = 2 * time.Second
	// brittleOverload is the load as a multiple of what fits.
	brittleOverload = 1.5
)

// brittleFleet sends requests through the nodes of a mesh to a service of brittle instances.
type brittleFleet struct {
	servers []*Server

	mu        sync.Mutex
	instances map[fleet.BackendServerID]*brittleInstance
	// waiting is the number of requests that each instance lets wait.
	waiting int
	next    int
	served  int
	refused int
}

type brittleInstance struct {
	running    int
	falls      int
	downUntil  time.Duration
	turnedAway []time.Duration
}

func newBrittleFleet(servers []*Server) *brittleFleet {
	f := &brittleFleet{
		servers:   servers,
		instances: map[fleet.BackendServerID]*brittleInstance{},
	}
	var list []routing.Instance
	for i := range brittleInstances {
		id := fleet.BackendServerID(fmt.Sprint("brittle", i))
		f.instances[id] = &brittleInstance{}
		list = append(list, routing.Instance{
			ID:      id,
			Service: "s",
			Slots:   brittleSlots,
		})
	}
	for _, s := range servers {
		s.SetInstances(list)
	}
	return f
}

// arrive handles the arrival of a request at an instance and reports whether it runs. If not, turnedAway is
// set unless the instance is down.
func (f *brittleFleet) arrive(id fleet.BackendServerID) (runs, turnedAway bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in, now := f.instances[id], clock.SinceBoot()
	if now < in.downUntil {
		return false, false
	}
	if in.running < brittleSlots+f.waiting {
		in.running++
		return true, false
	}
	in.turnedAway = append(in.turnedAway, now)
	for now-in.turnedAway[0] > time.Second {
		in.turnedAway = in.turnedAway[1:]
	}
	if len(in.turnedAway) > brittleTurnsAway {
		in.falls++
		in.downUntil = now + brittleDown
		in.turnedAway = nil
	}
	return false, true
}

// send sends one request through a node.
func (f *brittleFleet) send(s *Server) {
	f.mu.Lock()
	f.next++
	x := newPromptExchange(s, fmt.Sprint(f.next))
	f.mu.Unlock()
	x.service = &routing.Service{ID: "s"}
	placed, _, ok := x.chooseInstance(placement.ForecastRequest{})
	if !ok {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused++
		return
	}
	runs, turnedAway := f.arrive(placed.Instance.ID)
	if !runs && !turnedAway {
		x.attemptEnded(placed, placement.OutcomeFailed)
		return
	}
	if runs {
		time.Sleep(brittleWork)
		f.mu.Lock()
		f.instances[placed.Instance.ID].running--
		f.served++
		f.mu.Unlock()
	}
	brittle := brittleTurnsAway
	s.dispatch.responseRead("s", placed, Response{
		NotRun:  !runs,
		Brittle: &brittle,
	})
	outcome := placement.OutcomeOK
	if !runs {
		outcome = placement.OutcomeBusy
	}
	x.attemptEnded(placed, outcome)
}

// run sends more requests than fit for a time, through random nodes.
func (f *brittleFleet) run(took time.Duration) {
	sending := sync.WaitGroup{}
	defer sending.Wait()
	perSecond := brittleOverload * brittleInstances * brittleSlots / brittleWork.Seconds()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(took); time.Now().Before(end); <-ticker.C {
		s := f.servers[rand.IntN(len(f.servers))]
		sending.Go(func() { f.send(s) })
	}
}

// counts returns the falls of all instances and the requests served since the last call.
func (f *brittleFleet) counts() (falls, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range f.instances {
		falls += in.falls
		in.falls = 0
	}
	served, f.served = f.served, 0
	return falls, served
}

// TestBrittleInstancesFallOver guards against nodes that together send brittle instances more than they have
// room for, until one after the other falls over. What fits must be served.
func TestBrittleInstancesFallOver(t *testing.T) {
	const (
		settling = 3 * time.Second
		measured = 5 * time.Second
	)
	for _, nodes := range []int{1, 6, 300} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			m, servers := newMesh(t, nodes)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go m.passOnLimits(ctx)
			f := newBrittleFleet(servers)
			f.waiting = 4 * brittleSlots
			f.run(settling)
			f.counts()
			f.mu.Lock()
			f.waiting = 0
			f.mu.Unlock()
			f.run(measured)
			falls, served := f.counts()
			if most := 2 + brittleInstances/10; falls > most {
				t.Errorf("got %d falls in %s, want at most %d", falls, measured, most)
			}
			fits := int(brittleInstances * brittleSlots * measured / brittleWork)
			if least := fits * 8 / 10; served < least {
				t.Errorf("got %d requests served in %s, want %d at least of %d that fit", served, measured, least, fits)
			}
			t.Logf("%d falls, %d of %d served", falls, served, fits)
		})
	}
}
