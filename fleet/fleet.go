// Package fleet holds the ids and units that every other package shares.
//
// It is plain data: nothing in it opens a file, reads a clock or starts a
// goroutine, and it imports no other package of this module.
package fleet

import (
	"encoding/hex"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Ids of the things that operators name in settings and tickets.
type (
	// NodeID names one VM of the fleet.
	NodeID string
	// DataCentre names the data centre a VM or a backend server stands in.
	DataCentre string
	// WorkspaceID names one customer organisation's workspace.
	WorkspaceID string
	// BudgetID names one prepaid budget.
	BudgetID string
	// ModelID names one model.
	ModelID string
	// AdapterID names one adapter of a model.
	AdapterID string
	// ServiceID names one plain service.
	ServiceID string
	// BackendServerID names one backend server.
	BackendServerID string
)

// Tokens is an amount of prepaid spend, in tokens.
type Tokens int64

// Numbers that order events.
type (
	// GroupID numbers one consensus group.
	GroupID uint32
	// Incarnation numbers one life of a node's process. A higher number is
	// a later life.
	Incarnation uint64
	// TicketNumber numbers one change ticket.
	TicketNumber uint64
	// Version counts the accepted changes of configuration.
	Version uint64
	// UnixMillis is a wall-clock time, in milliseconds since 1970.
	UnixMillis int64
)

// Holder is one life of one node, the owner of budget leases.
type Holder struct {
	_ struct{} `cbor:",toarray"`

	Node        NodeID      `json:"node"`
	Incarnation Incarnation `json:"incarnation"`
}

// Tier separates trial traffic from paying traffic.
type Tier string

// The two tiers.
const (
	TierPaying Tier = "paying"
	TierTrial  Tier = "trial"
)

// Valid reports whether t is one of the two tiers.
func (t Tier) Valid() bool {
	return t == TierPaying || t == TierTrial
}

// Class groups requests by the latency their callers expect.
type Class string

// The classes of request.
const (
	ClassLookup      Class = "lookup"
	ClassInteractive Class = "interactive"
	ClassLong        Class = "long"
)

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == ClassLookup || c == ClassInteractive || c == ClassLong
}

// RequestID identifies one request of one workspace, whatever the retries. It
// is a UUID of version 7, so that its age can be told from the id alone.
type RequestID [16]byte

// NewRequestID returns a fresh request id.
func NewRequestID() RequestID {
	return RequestID(uuid.Must(uuid.NewV7()))
}

// ParseRequestID reads a UUID of version 7 in its usual text form. Any other
// version is refused, because its age cannot be told.
func ParseRequestID(text string) (RequestID, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return RequestID{}, eris.Errorf("request id %q: not a UUID", text)
	}
	if id.Version() != 7 {
		return RequestID{}, eris.Errorf("request id %q: UUID version %d, want version 7, whose age can be told", text, id.Version())
	}
	return RequestID(id), nil
}

// String returns the id in the usual UUID text form.
func (r RequestID) String() string {
	return uuid.UUID(r).String()
}

// Created returns the time at which the id was made, as told by the id.
func (r RequestID) Created() UnixMillis {
	var ms int64
	for _, b := range r[:6] {
		ms = ms<<8 | int64(b)
	}
	return UnixMillis(ms)
}

// MarshalText implements encoding.TextMarshaler.
func (r RequestID) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *RequestID) UnmarshalText(text []byte) error {
	id, err := ParseRequestID(string(text))
	if err != nil {
		return err
	}
	*r = id
	return nil
}

// Digest is a SHA-256 sum.
type Digest [32]byte

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Millis converts a wall-clock time.
func Millis(t time.Time) UnixMillis {
	return UnixMillis(t.UnixMilli())
}

// Add returns the time d later.
func (m UnixMillis) Add(d time.Duration) UnixMillis {
	return m + UnixMillis(d.Milliseconds())
}
