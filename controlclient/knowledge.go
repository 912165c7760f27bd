package controlclient

import (
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/evacuation"
	"github.com/waxwingreel/waxwingreel/routing"
)

// knowledge is the configuration that the node uses, with the latest moment for which that is proved to
// be the newest. It is replaced as a whole, so that no moment is read beside a configuration that it is not about.
type knowledge struct {
	catalog *catalog.View
	// routing is nil before the first configuration.
	routing     *routing.View
	evacuations evacuation.List
	// confirmedAt is a time of the boot clock, 0 if nothing was ever proved.
	confirmedAt time.Duration
}

// proof says that whatever was acknowledged before a moment of the boot clock is in some versions.
type proof struct {
	versions control.Versions
	at       time.Duration
}

// versions returns the versions of the parts.
func (k knowledge) versions() control.Versions {
	v := control.Versions{
		Catalog:     k.catalog.Version,
		Evacuations: k.evacuations.Number,
	}
	if k.routing != nil {
		v.Routing = k.routing.Config.Version
		v.RoutingDigest = k.routing.Digest
	}
	return v
}

// confirm takes a proof unless that is about a configuration which is still to come.
func (k knowledge) confirm(p proof) knowledge {
	if k.versions().Reach(p.versions) {
		k.confirmedAt = max(k.confirmedAt, p.at)
	}
	return k
}

// proofIn returns what an update proves to a node with the given versions. ok is false if it proves nothing.
//
// Replicas of earlier versions do not say which versions they prove. wholeSince is the boot clock before the
// first whole heartbeat of the subscription: an update that repeats a later time contains all that the node
// lacked. One that repeats none comes from a replica that knows no probes, and always does.
func proofIn(update control.Update, own control.Versions, wholeSince, now time.Duration) (p proof, ok bool) {
	if update.Stale {
		return proof{}, false
	}
	p = proof{
		versions: own,
		at:       freshAt(update, now),
	}
	if update.Versions != nil {
		p.versions = *update.Versions
		return p, true
	}
	return p, update.Echo == 0 || time.Duration(update.Echo) >= wholeSince
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

// change replaces what the node knows. Only New and the goroutine that receives updates call it.
func (c *Client) change(f func(k *knowledge)) {
	k := *c.knowledge.Load()
	f(&k)
	c.knowledge.Store(&k)
}

// Unconfirmed returns the time since the latest moment for which a replica has confirmed that this
// node has all configurations that were acknowledged before it. Later ones may be missing.
func (c *Client) Unconfirmed() time.Duration {
	at := c.knowledge.Load().confirmedAt
	if at == 0 {
		return NeverConfirmed
	}
	return max(clock.SinceBoot()-at, 0)
}
