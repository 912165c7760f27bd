package routing

import (
	"net/netip"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// RequestID identifies one attempt of a caller. It is the caller's text.
type RequestID string

// PartID identifies one part of a prompt.
type PartID string

// Part is one part of a prompt. Requests that share leading parts share their
// cached state in an engine.
type Part struct {
	ID     PartID       `json:"id"`
	Tokens fleet.Tokens `json:"tokens"`
}

// Request is what a caller says of a routed request besides method, path and body.
type Request struct {
	ID  RequestID
	Key string
	// Wait is how long the caller waits, 0 where it does not say.
	Wait  time.Duration
	Model fleet.ModelID
	// Prompt and MaxOutput are the tokens that the request may cost at most.
	Prompt    fleet.Tokens
	MaxOutput fleet.Tokens
	Parts     []Part
	// After is the last event that the caller has of an earlier run.
	After string
}

// MaxCost is what the request may consume at most.
func (r Request) MaxCost() fleet.Tokens {
	return r.Prompt + r.MaxOutput
}

// Instance is one life of a backend server of a service.
type Instance struct {
	ID         fleet.BackendServerID `json:"id"`
	Service    fleet.ServiceID       `json:"service"`
	Address    netip.AddrPort        `json:"address"`
	DataCentre fleet.DataCentre      `json:"dataCentre"`
	// Slots is how many requests the instance works on at once.
	Slots int `json:"slots"`
	// Draining instances get no new work.
	Draining bool `json:"leaving,omitempty"`
}
