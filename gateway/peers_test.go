package gateway

import (
	"slices"
	"testing"

	"github.com/waxwingreel/waxwingreel/roster"
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
