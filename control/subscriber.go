package control

import (
	"sync/atomic"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/routing"
)

// subscriber is one entry node's subscription. The versions and numbers identify what was
// last sent. They are accessed only by the goroutine that runs sendUpdates, or on its behalf
// by the replica's goroutine; holder and sendFull are accessed only by the replica's goroutine.
type subscriber struct {
	holder         fleet.Holder
	notify         chan struct{}
	catalogVersion fleet.Version
	routingVersion routing.Version
	// routingDeltas is whether the node takes changes of the routing configuration alone. wholeRouting is set while
	// it waits for the whole one; only the replica's goroutine accesses it.
	routingDeltas bool
	wholeRouting  bool
	// routingForm is the form of a routing configuration that the node reads.
	routingForm int
	// evacuations is the number of the list of evacuated data centres that was last sent.
	evacuations uint64
	// instancesNumber is the number of the instance list that was last sent.
	instancesNumber uint64
	rosterNumber    uint64
	// quarantineNumber counts the changes of the quarantine up to the list that was last sent.
	quarantineNumber uint64
	// limitsNumber counts the changes of limits up to the list that was last sent.
	limitsNumber uint64
	recalls      chan []ledger.Recall
	sendFull     bool
	// probes is whether the latest heartbeat was a probe, and echo the time in it. Both are accessed
	// only by the replica's goroutine.
	probes bool
	echo   int64
	// updatedAt is when the last update was made, on the boot clock in nanoseconds.
	updatedAt atomic.Int64
}

// updateDue reports whether a heartbeat is to be followed by an update. Probes always are, and so are
// the first heartbeat that is none and those that ask for something.
func (s *subscriber) updateDue(h Heartbeat, probedBefore bool, now time.Duration) bool {
	return h.Probe || probedBefore || h.WholeRouting || now-time.Duration(s.updatedAt.Load()) >= echoInterval
}

// setHolder sets the incarnation of the node. The ledger may number it only after the subscription has begun.
func (s *subscriber) setHolder(holder fleet.Holder) {
	if holder == s.holder {
		return
	}
	s.holder = holder
	s.sendFull = true
}

// drainRecalls returns the queued recalls without waiting.
func (s *subscriber) drainRecalls() []ledger.Recall {
	var recalls []ledger.Recall
	for {
		select {
		case more := <-s.recalls:
			recalls = append(recalls, more...)
		default:
			return recalls
		}
	}
}
