package controlclient

import (
	"math"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
)

// NeverConfirmed is what Unconfirmed returns before the first confirmation.
const NeverConfirmed = time.Duration(math.MaxInt64)

// confirm takes the proof in an update of the followed replica, whose parts are in use already.
func (c *Client) confirm(update control.Update, wholeSince time.Duration) {
	own := c.knowledge.Load().versions()
	if p, ok := proofIn(update, own, wholeSince, clock.SinceBoot()); ok {
		c.change(func(k *knowledge) { *k = k.confirm(p) })
	}
}

// compareVersions logs when an update shows that the node lacks a configuration that its replica has.
func (c *Client) compareVersions(address netip.AddrPort, update control.Update) {
	if update.Versions == nil {
		return
	}
	own := c.knowledge.Load().versions()
	if own.Differ(*update.Versions) {
		c.requestWhole(address, own, *update.Versions)
		return
	}
	if own.Reach(*update.Versions) {
		c.behindSince = 0
		return
	}
	if c.behindSince != 0 {
		return
	}
	c.behindSince = clock.SinceBoot()
	c.withAge(c.cfg.Log.Info(event.ConfigBehind)).
		Str("replica", address.String()).
		Uint64("version", uint64(own.Routing)).
		Uint64("provenVersion", uint64(update.Versions.Routing)).
		Msg("the replica has a newer configuration than this node")
}

// requestWhole asks the replica for the whole routing configuration, as the node's differs at the same version.
func (c *Client) requestWhole(address netip.AddrPort, own, replica control.Versions) {
	if c.wholeWanted.Swap(true) {
		return
	}
	c.withAge(c.cfg.Log.Error(event.ConfigDiffers)).
		Str("replica", address.String()).
		Uint64("version", uint64(own.Routing)).
		Str("digest", own.RoutingDigest.String()).
		Str("replicaDigest", replica.RoutingDigest.String()).
		Msg("the configuration differs from the replica's at the same version; the node asks for the whole one")
	c.SendHeartbeat()
}

// withAge adds to a log line for how long the configuration has been unconfirmed.
func (c *Client) withAge(line *log.Entry) *log.Entry {
	if age := c.Unconfirmed(); age != NeverConfirmed {
		return line.Int64("unconfirmedMillis", age.Milliseconds())
	}
	return line
}
