package gateway

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
)

// TestRollingRestartMessagesNoOwners restarts all nodes of a large fleet one after the other, as
// an update of the fleet does. Each of the changes reaches every node, so a node may send messages
// only to owners that are new to it, not to all of them at each change.
func TestRollingRestartMessagesNoOwners(t *testing.T) {
	const nodes = 291
	m, servers := newMesh(t, nodes)
	observer := servers[0]
	m.sends.Store(0)
	change := func(i int, state roster.State) {
		m.reports = slices.Clone(m.reports)
		m.reports[i].State = state
		observer.HandleEntryNodes(nodes)
	}
	for i := 1; i < nodes; i++ {
		change(i, roster.StateStopping)
		change(i, roster.StateUp)
	}
	// Each restart of an owner makes one other node an owner for its time.
	owners := len(observer.peers.ownerSet().All())
	if got, limit := m.sends.Load(), int64(2*owners+2); got > limit {
		t.Errorf("got %d messages to owners in %d restarts, want at most %d", got, nodes-1, limit)
	}
}

// TestPartitionedFleetReadsListOnce cuts a large fleet off from the control group for some time.
// All nodes must get a recent list of instances, but the platform may be called as often as by a
// single node.
func TestPartitionedFleetReadsListOnce(t *testing.T) {
	const nodes, rounds = 96, 6
	m, servers := newMesh(t, nodes)
	list := []routing.Instance{{
		ID:      "i1",
		Service: "s",
	}}
	for _, s := range servers {
		s.SetInstances(list)
	}
	reads := 0
	for range rounds {
		for _, s := range servers {
			s.listMu.Lock()
			s.listReadAt -= 3 * time.Second
			s.listMu.Unlock()
		}
		m.calls.Store(0)
		// The second pass stands for the next poll: the reader has read by then.
		for range 2 {
			for _, s := range servers {
				if s.ListDue() {
					reads++
					s.SetInstances(list)
				}
			}
		}
		for i, s := range servers {
			if age := s.ListAge(); age > time.Second {
				t.Fatalf("got a list that is %s old at node %d, want that of the last read", age, i)
			}
		}
		if got, limit := m.calls.Load(), int64(2*nodes); got > limit {
			t.Errorf("got %d calls among %d nodes, want at most one each and poll", got, nodes)
		}
	}
	if got, want := reads, rounds; got != want {
		t.Errorf("got %d reads of the platform's list, want %d", got, want)
	}
}

// TestListOfLongAgoIsNotUsed gives a node that has just started a list from long ago, as a replica
// that lags would. It has servers that left since, so the node must wait for a recent one.
func TestListOfLongAgoIsNotUsed(t *testing.T) {
	_, servers := newMesh(t, 1)
	s := servers[0]
	list := control.InstanceList{
		AgeMillis: (30 * time.Second).Milliseconds(),
		Instances: []routing.Instance{{
			ID:      "left",
			Service: "s",
			Address: netip.MustParseAddrPort("127.0.0.1:9"),
			Slots:   1,
		}},
	}
	s.HandleInstances(list)
	if _, _, ok := s.dispatch.pick("s", placement.ForecastRequest{}, true); ok {
		t.Error("got an instance of a list that is 30 s old, want none")
	}
	list.AgeMillis = 100
	s.HandleInstances(list)
	if _, _, ok := s.dispatch.pick("s", placement.ForecastRequest{}, true); !ok {
		t.Error("got no instance of a recent list, want one")
	}
}

// TestNodeWithoutListIsNotReady starts a node that has a configuration and quota before it has a list
// of instances, as after a restart of the whole fleet. It could only refuse requests, so callers
// must not be led to it yet.
func TestNodeWithoutListIsNotReady(t *testing.T) {
	_, servers := newMesh(t, 1)
	s := servers[0]
	s.HandleRouting(routing.NewView(routing.Config{Version: 1}))
	s.StartQuota()
	if s.Ready() {
		t.Error("got a node ready without a list of instances, want it not ready")
	}
	s.SetInstances(nil)
	if !s.Ready() {
		t.Error("got a node not ready with a list, want it ready")
	}
}
