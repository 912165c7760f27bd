package routing

import (
	"net/netip"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// RequestID identifies one attempt of a caller. The caller chooses it.
type RequestID string

// PartID identifies one part of a prompt.
type PartID string

// Part is one part of a prompt. Requests with the same leading parts share the state that
// an engine has cached for them.
type Part struct {
	ID     PartID       `json:"id"`
	Tokens fleet.Tokens `json:"tokens"`
}

// SoftwareVersion is the version of a backend server's software, which says nothing of its models.
// Versions have no order. It is empty if it is not known.
type SoftwareVersion string

// Rate is a number of requests a second.
type Rate float64

// Request holds the fields of a routed request besides method, path and body.
type Request struct {
	ID  RequestID
	Key string
	// Wait is how long the caller waits for a response, 0 if the request does not specify it.
	Wait  time.Duration
	Model fleet.ModelID
	// Prompt and MaxOutput are the maximum numbers of tokens that the request consumes.
	Prompt    fleet.Tokens
	MaxOutput fleet.Tokens
	Parts     []Part
	// LastEventID is the id of the last event that the caller received from an earlier attempt.
	LastEventID string
	// Resumes is the caller's attempt that brought the first event of the stream, empty unless the
	// caller resumes one.
	Resumes RequestID
}

// Sized reports whether the request says how many tokens it may consume.
func (r Request) Sized() bool {
	return r.MaxCost() > 0
}

// MaxCost returns the maximum number of tokens that the request may consume.
func (r Request) MaxCost() fleet.Tokens {
	return r.Prompt + r.MaxOutput
}

// Instance is one incarnation of a backend server of a service.
type Instance struct {
	ID         fleet.BackendServerID `json:"id"`
	Service    fleet.ServiceID       `json:"service"`
	Address    netip.AddrPort        `json:"address"`
	DataCentre fleet.DataCentre      `json:"dataCentre"`
	// Slots is the number of requests that the instance processes concurrently.
	Slots int `json:"slots"`
	// Draining instances get no new requests.
	Draining bool `json:"leaving,omitempty"`
	// Born is the time of day at which this run of the server started, in Unix milliseconds
	// by the server's clock. It is 0 if the list does not contain it.
	Born int64 `json:"born,omitempty"`
	// Software is the version of the server's software.
	Software SoftwareVersion `json:"software,omitempty"`
	// Cold is set while the list has the server as cold. It says not for how long, since a list that
	// counts down would differ at each read.
	Cold bool `json:"cold,omitempty"`
}

// Origin tells where a stream began: at a run of a backend server with a software version.
type Origin struct {
	Service  fleet.ServiceID       `json:"service"`
	Instance fleet.BackendServerID `json:"instance"`
	Born     int64                 `json:"born,omitempty"`
	Software SoftwareVersion       `json:"software,omitempty"`
}

// Origin returns the origin of the streams that begin at the instance.
func (i Instance) Origin() Origin {
	return Origin{
		Service:  i.Service,
		Instance: i.ID,
		Born:     i.Born,
		Software: i.Software,
	}
}

// SameAs reports whether streams of both origins may be continued by the same instances.
func (o Origin) SameAs(other Origin) bool {
	if o.Service != other.Service || o.Software != other.Software {
		return false
	}
	// Without a version, two runs of servers may run different software.
	return o.Software != "" || o.Instance == other.Instance && o.Born == other.Born
}

// Admits reports whether an instance may continue a stream that began at o.
func (o Origin) Admits(i Instance) bool {
	return o.SameAs(i.Origin())
}
