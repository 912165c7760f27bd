// Package event numbers the events that the programs log. The catalogue for
// operators is docs/EVENTS.md.
package event

import (
	"io"

	"github.com/phuslu/log"
)

// ID numbers one kind of event. Numbers are never used again.
type ID int

// The events. 1xx belong to a node's life, 2xx to the control group, 3xx to the
// link between entry nodes and the control group, 4xx to requests, 5xx to backend
// servers, 6xx to orders.
const (
	NodeStarted  ID = 101
	NodeStopping ID = 102
	NodeStopped  ID = 103
	NodeCut      ID = 104
	NodeFailed   ID = 105
	NodeReloaded ID = 106
	ServerNotice ID = 107

	ReplicaOpened     ID = 201
	ReplicaFailed     ID = 202
	GroupFormed       ID = 203
	LeaderElected     ID = 204
	LeaderLost        ID = 205
	SnapshotTaken     ID = 206
	SnapshotInstalled ID = 207
	MemberAdded       ID = 208
	MemberPromoted    ID = 209
	MemberRemoved     ID = 210
	ContactsNotStored ID = 211
	LifeJoined        ID = 212

	ControlConnected ID = 301
	ControlLost      ID = 302
	ConfigInForce    ID = 303
	HolderRejected   ID = 304
	RoutingInForce   ID = 305
	InstanceListed   ID = 306
	InstanceGone     ID = 307
	ListUnreadable   ID = 308
	ListReadable     ID = 309
	ConfigReplaced   ID = 310
	QuotaLent        ID = 311
	PeerLost         ID = 312
	QuotaLost        ID = 313

	SettlementHeld     ID = 401
	SettlementHandedIn ID = 402
	SettlementDropped  ID = 403
	CallInDoubt        ID = 404

	RequestEnded   ID = 405
	RequestRefused ID = 406
	RequestPlaced  ID = 407
	AttemptFailed  ID = 408
	LinesDropped   ID = 409

	StreamResumed ID = 503

	OrderGiven   ID = 601
	OrderRefused ID = 602
)

// Log writes numbered events. It is safe for concurrent use.
type Log struct {
	// ordinary takes the lines of the ordinary course, notable the others.
	ordinary log.Logger
	notable  log.Logger
	ring     *ring
}

// New returns a Log that writes JSON lines to w, each with the node's name, before the
// call that writes them returns.
func New(w io.Writer, node string) *Log {
	logger := newLogger(node, w)
	return &Log{
		ordinary: logger,
		notable:  logger,
	}
}

// NewBounded returns a Log whose lines wait in a bounded queue for a writer of their
// own, so that a slow reader of the log holds nothing up. Lines that find the queue
// full are dropped and counted, those of the ordinary course first.
func NewBounded(w io.Writer, node string) *Log {
	r := newRing(w)
	l := &Log{
		ordinary: newLogger(node, ringWriter{
			ring:  r,
			limit: ordinaryBytes,
		}),
		notable: newLogger(node, ringWriter{
			ring:  r,
			limit: ringBytes,
		}),
		ring: r,
	}
	r.start(func(dropped int64) {
		l.Warn(LinesDropped).Int64("lines", dropped).Msg("log lines were dropped, because their reader is slow")
	})
	return l
}

func newLogger(node string, w io.Writer) log.Logger {
	return log.Logger{
		Level:   log.InfoLevel,
		Context: log.NewContext(nil).Str("node", node).Value(),
		Writer:  &log.IOWriter{Writer: w},
	}
}

// Close writes what waits, for a short while.
func (l *Log) Close() {
	if l.ring != nil {
		l.ring.close()
	}
}

// Info begins an event of the ordinary course.
func (l *Log) Info(id ID) *log.Entry {
	return l.ordinary.Info().Int("event", int(id))
}

// Warn begins an event that an operator may want to look at.
func (l *Log) Warn(id ID) *log.Entry {
	return l.notable.Warn().Int("event", int(id))
}

// Error begins an event that an operator must look at.
func (l *Log) Error(id ID) *log.Entry {
	return l.notable.Error().Int("event", int(id))
}
