// Package gateway answers routed requests: it finds a request's route and workspace,
// sets quota aside, chooses an instance, and passes the answer on, or says truthfully
// why there is none.
package gateway

import (
	"net/http"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// Protocol translates between headers and what they mean. It decides nothing.
type Protocol interface {
	// ReadRequest reads what a caller says. An error means that the request
	// cannot be understood.
	ReadRequest(r *http.Request) (routing.Request, error)
	// Forward returns the headers with which a request goes to an instance.
	Forward(received http.Header, f Forward) http.Header
	// ReadAnswer reads what an instance says.
	ReadAnswer(status int, header http.Header) Answer
	// Matches reports whether an answer belongs to a request.
	Matches(id routing.RequestID, status int, header http.Header) bool
	// Deliver copies the headers that go to the caller.
	Deliver(to, from http.Header)
}

// Forward is what the gateway tells an instance beside what the caller said.
type Forward struct {
	Instance fleet.BackendServerID
	// Timeout is how long the answer is worth waiting for.
	Timeout   time.Duration
	Workspace fleet.WorkspaceID
	// Priority ranks the request at a model engine, 0 first; negative for none.
	Priority int
	// LastEventID is the last event that the caller has, to go on behind it.
	LastEventID string
	// BodyBytes is the length of the body, -1 where the caller sent none.
	BodyBytes int
}

// Answer is what an instance says in the headers of an answer.
type Answer struct {
	// NotRun says that the instance did not run the request and never will.
	NotRun bool
	// OtherInstance says that another instance has the address.
	OtherInstance bool
	// Signed says that the instance vouches for the answer.
	Signed bool
	// Load is present where the instance reports its load.
	Load *Load
}

// Load is an instance's own count of requests.
type Load struct {
	Running int
	Waiting int
}
