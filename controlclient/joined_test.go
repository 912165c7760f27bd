package controlclient

import (
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
)

// TestUpdateOfEarlierNumberEndsNode guards against a node that takes itself for ended by an update which a replica sent before it
// knew the number that the ledger has given the node.
func TestUpdateOfEarlierNumberEndsNode(t *testing.T) {
	for name, test := range map[string]struct {
		echo time.Duration
		want bool
	}{
		"about the number that was asked for": {echo: time.Second},
		"about the number that was given": {
			echo: 3 * time.Second,
			want: true,
		},
		"of a replica that repeats no times": {want: true},
	} {
		c := newTestClient(t)
		c.joinedAt.Store(int64(2 * time.Second))
		c.joined.Store(true)
		c.applyUpdate(netip.AddrPort{}, control.Update{
			Ended: true,
			Echo:  int64(test.echo),
		}, map[fleet.NodeID]roster.Report{})
		if got := c.Rejected(); got != test.want {
			t.Errorf("%s: got the node ended %t, want %t", name, got, test.want)
		}
	}
}
