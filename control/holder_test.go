package control

import (
	"testing"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
)

// TestNodeWithClockBehindCountsAsEnded starts a node whose clock is behind that of its last start, so that the ledger gives it
// another number than it asked for. Guards against a node that leaves the fleet for good, as its subscription goes on under the
// number of its first heartbeat.
func TestNodeWithClockBehindCountsAsEnded(t *testing.T) {
	r := newQuarantineReplica(t)
	asked := fleet.Holder{
		Node:        "n",
		Incarnation: 5,
	}
	r.machine.ledger.AssignIncarnation(ledger.Join{
		Holder: fleet.Holder{
			Node:        "n",
			Incarnation: 100,
		},
		Nonce: 1,
	})
	s := &subscriber{holder: asked}
	number, _ := r.machine.ledger.AssignIncarnation(ledger.Join{
		Holder: asked,
		Nonce:  2,
	})
	s.setHolder(fleet.Holder{
		Node:        "n",
		Incarnation: number,
	})
	if update := r.update(s); update.Ended {
		t.Errorf("got incarnation %d ended, want it to go on", number)
	}
	r.machine.ledger.AssignIncarnation(ledger.Join{
		Holder: asked,
		Nonce:  3,
	})
	if update := r.update(s); !update.Ended {
		t.Errorf("got incarnation %d not ended, want it ended by the next one", number)
	}
}
