// Package fleet defines the ids and units that the other packages share.
//
// It holds plain data: it opens no files, starts no goroutines, and imports no other
// package of this module.
package fleet

import (
	"encoding/hex"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Ids that operators choose in settings and tickets.
type (
	// NodeID identifies one VM of the fleet.
	NodeID string
	// DataCentre names the data centre of a VM or a backend server.
	DataCentre string
	// WorkspaceID identifies the workspace of one customer organisation.
	WorkspaceID string
	// BudgetID identifies one prepaid budget.
	BudgetID string
	// ModelID identifies one model.
	ModelID string
	// AdapterID identifies one adapter of a model.
	AdapterID string
	// ServiceID identifies one plain service.
	ServiceID string
	// BackendServerID identifies one backend server.
	BackendServerID string
)

// Tokens is an amount of prepaid spend, in tokens.
type Tokens int64

// Numbers of groups, process starts, configuration changes and times.
type (
	// GroupID identifies one consensus group.
	GroupID uint32
	// Incarnation numbers the starts of a node's process. A later start has a
	// higher number.
	Incarnation uint64
	// TicketNumber identifies one change ticket. An object changes only by tickets
	// of ascending numbers.
	TicketNumber uint64
	// Version counts the accepted tickets, each of which changes the configuration.
	Version uint64
	// UnixMillis is a wall-clock time in milliseconds since the Unix epoch.
	UnixMillis int64
)

// Holder is one incarnation of a node, which holds budget leases.
type Holder struct {
	_ struct{} `cbor:",toarray"`

	Node        NodeID      `json:"node"`
	Incarnation Incarnation `json:"incarnation"`
}

// Tier separates trial traffic from paying traffic.
type Tier string

// Tiers of traffic.
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

// Classes of requests.
const (
	ClassLookup      Class = "lookup"
	ClassInteractive Class = "interactive"
	ClassLong        Class = "long"
)

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == ClassLookup || c == ClassInteractive || c == ClassLong
}

// RequestID identifies one request of one workspace across all its retries. It is a
// UUID of version 7, which carries its creation time.
type RequestID [16]byte

// NewRequestID returns a new, unique request id.
func NewRequestID() RequestID {
	return RequestID(uuid.Must(uuid.NewV7()))
}

// ParseRequestID parses a UUID of version 7 in its usual text form. Other versions are
// refused, because they do not carry their creation time.
func ParseRequestID(text string) (RequestID, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return RequestID{}, eris.Errorf("request id %q: not a UUID", text)
	}
	if id.Version() != 7 {
		return RequestID{}, eris.Errorf("request id %q: UUID version %d, want version 7, which carries its creation time", text, id.Version())
	}
	return RequestID(id), nil
}

// String returns the id in the usual UUID text form.
func (r RequestID) String() string {
	return uuid.UUID(r).String()
}

// Created returns the creation time that the id carries.
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

// Millis converts a wall-clock time to milliseconds since the Unix epoch.
func Millis(t time.Time) UnixMillis {
	return UnixMillis(t.UnixMilli())
}

// Add returns the time d later.
func (m UnixMillis) Add(d time.Duration) UnixMillis {
	return m + UnixMillis(d.Milliseconds())
}
