package controlclient

import (
	"math"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
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

// freshAt returns the time, on this node's boot clock, before which nothing was acknowledged that an
// update and those before it lack. The replica sent the update after the heartbeat that it repeats,
// however long it was on its way. Replicas of versions that repeat none count by its arrival.
func freshAt(update control.Update, now time.Duration) time.Duration {
	if update.Echo == 0 {
		return now
	}
	return min(time.Duration(update.Echo), now) - time.Duration(update.FreshMicros)*time.Microsecond
}
