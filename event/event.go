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

	ControlConnected ID = 301
	ControlLost      ID = 302
	ConfigInForce    ID = 303
	HolderRejected   ID = 304

	SettlementHeld     ID = 401
	SettlementHandedIn ID = 402
	SettlementDropped  ID = 403
	CallInDoubt        ID = 404

	StreamResumed ID = 503

	OrderGiven   ID = 601
	OrderRefused ID = 602
)

// Log writes numbered events. It is safe for concurrent use.
type Log struct {
	logger log.Logger
}

// New returns a Log that writes JSON lines to w, each with the node's name.
func New(w io.Writer, node string) *Log {
	return &Log{logger: log.Logger{
		Level:   log.InfoLevel,
		Context: log.NewContext(nil).Str("node", node).Value(),
		Writer:  &log.IOWriter{Writer: w},
	}}
}

// Info begins an event of the ordinary course.
func (l *Log) Info(id ID) *log.Entry {
	return l.logger.Info().Int("event", int(id))
}

// Warn begins an event that an operator may want to look at.
func (l *Log) Warn(id ID) *log.Entry {
	return l.logger.Warn().Int("event", int(id))
}

// Error begins an event that an operator must look at.
func (l *Log) Error(id ID) *log.Entry {
	return l.logger.Error().Int("event", int(id))
}
