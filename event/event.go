// Package event defines the numbered events that the programs log, and the log itself.
// The catalogue for operators is docs/EVENTS.md.
package event

import (
	"io"

	"github.com/phuslu/log"
)

// ID is the number of a kind of event. Numbers are never reused.
type ID int

// The events. 1xx belong to the node's process, 2xx to the control group, 3xx to
// the entry nodes' connections to the control group, 4xx to requests, 5xx to backend
// servers, 6xx to orders.
//
// The meaning of some names is not obvious: NodeCut is a planned stop that aborted requests
// or could not return leases, LifeJoined the join of a node's new incarnation, InstanceGone
// the removal of an instance from the list, PeerLost a failed call to another entry node or
// an invalid message from it, QuotaLost unused quota that could not be returned and
// counts as spent, and ReplicaUnfit the answer of a control replica that cannot be followed.
const (
	NodeStarted        ID = 101
	NodeStopping       ID = 102
	NodeStopped        ID = 103
	NodeCut            ID = 104
	NodeFailed         ID = 105
	NodeReloaded       ID = 106
	ServerNotice       ID = 107
	SignalIgnored      ID = 108
	ConnectionsRefused ID = 109
	PanicContained     ID = 110

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
	ToleranceChanged  ID = 213
	DiskFull          ID = 214

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
	ReplicaUnfit     ID = 314
	EntriesSkipped   ID = 315
	ConfigBehind     ID = 316
	ConfigDiffers    ID = 317

	SettlementHeld     ID = 401
	SettlementHandedIn ID = 402
	SettlementDropped  ID = 403
	CallInDoubt        ID = 404

	RequestEnded   ID = 405
	RequestRefused ID = 406
	RequestPlaced  ID = 407
	AttemptFailed  ID = 408
	LinesDropped   ID = 409

	StreamResumed     ID = 503
	InstanceLeaving   ID = 504
	InstanceFull      ID = 505
	ResponseOversized ID = 506
	PartJudged        ID = 507
	InstanceLimited   ID = 508
	NodeIsolated      ID = 509
	RequestRelayed    ID = 510

	EvacuationOrdered  ID = 520
	EvacuationInForce  ID = 521
	EvacuationCleared  ID = 522
	InstanceCold       ID = 525
	EngineSpeed        ID = 530
	RequestHeld        ID = 535
	ClientsShed        ID = 540
	ClientSurge        ID = 541
	BudgetNearlySpent  ID = 550
	BudgetTotalChanged ID = 551
	NeedUnmet          ID = 552

	OrderGiven   ID = 601
	OrderRefused ID = 602
)

// Log writes numbered events. It is safe for concurrent use.
type Log struct {
	// infoLogger writes the events of Info, alertLogger those of Warn and Error.
	infoLogger  log.Logger
	alertLogger log.Logger
	queue       *lineQueue
}

// New returns a Log that writes JSON lines to w, each with the node's name. Each line is
// written synchronously.
func New(w io.Writer, node string) *Log {
	logger := newLogger(node, w)
	return &Log{
		infoLogger:  logger,
		alertLogger: logger,
	}
}

// NewBounded returns a Log that queues lines and writes them from another goroutine, so
// that a slow reader of the log does not block the program. The queue is bounded: when it
// is full, lines are dropped and counted, those of Info first.
func NewBounded(w io.Writer, node string) *Log {
	q := newLineQueue(w)
	l := &Log{
		infoLogger: newLogger(node, queueWriter{
			queue: q,
			limit: maxInfoBytes,
		}),
		alertLogger: newLogger(node, queueWriter{
			queue: q,
			limit: maxQueueBytes,
		}),
		queue: q,
	}
	q.start(func(dropped int64) {
		l.Warn(LinesDropped).Int64("lines", dropped).Msg("log lines dropped because the reader of the log is too slow")
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

// Close writes the queued lines, for at most closeTimeout.
func (l *Log) Close() {
	if l.queue != nil {
		l.queue.close()
	}
}

// Panicked returns a function that logs a panic in a part of the program that goes on.
func (l *Log) Panicked(part string) func(value any, stack []byte) {
	return func(value any, stack []byte) {
		l.Error(PanicContained).Str("part", part).Any("value", value).Bytes("stack", stack).Msg("panic contained; what it was about has failed, the rest goes on")
	}
}

// Info starts an event of normal operation.
func (l *Log) Info(id ID) *log.Entry {
	return l.infoLogger.Info().Int("event", int(id))
}

// Warn starts an event that an operator may want to investigate.
func (l *Log) Warn(id ID) *log.Entry {
	return l.alertLogger.Warn().Int("event", int(id))
}

// Error starts an event that an operator must investigate.
func (l *Log) Error(id ID) *log.Entry {
	return l.alertLogger.Error().Int("event", int(id))
}
