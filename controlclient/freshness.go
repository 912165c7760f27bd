package controlclient

import (
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
)

// NeverConfirmed is what Unconfirmed returns before the first confirmation.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Unconfirmed returns the time since the latest moment for which a replica has confirmed that this
// node has all configurations that were acknowledged before it. Later ones may be missing.
func (c *Client) Unconfirmed() time.Duration {
	at := c.confirmedAt.Load()
	if at == 0 {
		return NeverConfirmed
	}
	return max(clock.SinceBoot()-time.Duration(at), 0)
}

// confirm records that this node has all configurations that were acknowledged before a time.
func (c *Client) confirm(at time.Duration) {
	for {
		before := c.confirmedAt.Load()
		if int64(at) <= before || c.confirmedAt.CompareAndSwap(before, int64(at)) {
			return
		}
	}
}
