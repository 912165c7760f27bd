// Package gateway handles routed requests: it finds a request's route and workspace,
// reserves quota, chooses an instance and relays its response, or reports why there is
// none.
package gateway

import (
	"net/http"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/placement"
	"github.com/waxwingreel/waxwingreel/routing"
)

// Protocol converts between HTTP headers and their meaning. It makes no decisions.
type Protocol interface {
	// ReadRequest parses a caller's request. It returns an error if the request is
	// malformed.
	ReadRequest(r *http.Request) (routing.Request, error)
	// Forward returns the headers of the request to an instance.
	Forward(received http.Header, f Forward) http.Header
	// SetTimeout sets the time until the caller's deadline in the headers of a request to an instance.
	SetTimeout(forwarded http.Header, left time.Duration)
	// ReadResponse parses the status and headers of an instance's response.
	ReadResponse(status int, header http.Header) Response
	// Match compares a response with a request.
	Match(id routing.RequestID, status int, header http.Header) backend.Match
	// Deliver copies the headers that are passed on to the caller.
	Deliver(to, from http.Header)
}

// Forward is what the gateway sends to an instance in addition to the caller's request.
type Forward struct {
	Instance fleet.BackendServerID
	// Timeout is the time until the caller's deadline.
	Timeout   time.Duration
	Workspace fleet.WorkspaceID
	// Priority is the request's rank at a model engine: 0 is the highest, negative is
	// none.
	Priority int
	// LastEventID is the id of the last event that the caller has; the stream resumes
	// after it.
	LastEventID string
	// BodyBytes is the length of the body, -1 if the caller sent none.
	BodyBytes int
}

// Response is the information in the headers of an instance's response.
type Response struct {
	// NotRun is set if the instance did not run the request and never will.
	NotRun bool
	// OtherInstance is set if another instance listens at the address.
	OtherInstance bool
	// Signed is set if the response carries the instance's signature.
	Signed bool
	// Leaving is set if the instance says that it leaves.
	Leaving bool
	// RetryAfter is the time for which the instance takes no requests from this node, 0 if it
	// did not refuse the request or named no time.
	RetryAfter time.Duration
	// Limit is the rate at which the instance takes requests from all nodes together, nil if it
	// names none.
	Limit *routing.Rate
	// Brittle is the number of requests a second that the instance can turn away for want of room
	// without falling over, nil if it does not say that it is brittle.
	Brittle *int
	// LimitUnreadable is set if the response has a value of Limit or Brittle that cannot be read. It
	// says neither what the limit is nor that there is none.
	LimitUnreadable bool
	// ColdFor is how much longer the instance is cold, 0 if it does not say that it is.
	ColdFor time.Duration
	// Load is the instance's load, nil if not reported.
	Load *Load
}

// Load is the number of requests at an instance, as it counts them.
type Load struct {
	Running int
	Waiting int
	// Slowness is how many times as long as usual work takes at this moment, 0 if not reported.
	Slowness placement.Slowness
}
