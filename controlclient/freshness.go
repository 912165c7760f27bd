package controlclient

import (
	"math"
	"net/netip"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
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

// versions returns the versions of the configuration that the node uses.
func (c *Client) versions() control.Versions {
	return control.Versions{
		Catalog:     c.View().Version,
		Routing:     c.routingVersion(),
		Evacuations: c.Evacuations().Number,
	}
}

// compareVersions logs when an update shows that the node lacks a configuration that its replica has.
func (c *Client) compareVersions(address netip.AddrPort, update control.Update) {
	if update.Versions == nil {
		return
	}
	own := c.versions()
	if own.Reach(*update.Versions) {
		c.behindSince = 0
		return
	}
	if c.behindSince != 0 {
		return
	}
	c.behindSince = clock.SinceBoot()
	line := c.cfg.Log.Info(event.ConfigBehind).Str("replica", address.String())
	if age := c.Unconfirmed(); age != NeverConfirmed {
		line = line.Int64("unconfirmedMillis", age.Milliseconds())
	}
	line.Uint64("version", uint64(own.Routing)).
		Uint64("provenVersion", uint64(update.Versions.Routing)).
		Msg("the replica has a newer configuration than this node")
}
