package backend

import "net/http"

// Match says whether a response belongs to a request.
type Match int

const (
	// MatchOther is a response to another request. It is skipped.
	MatchOther Match = iota
	// MatchOwn is a response to this request.
	MatchOwn
	// MatchRefusal is a refusal of this request, which has not run.
	MatchRefusal
	// MatchUnnamedRefusal is a refusal that does not say of which request.
	MatchUnnamedRefusal
)

// Matcher compares a response with a request.
type Matcher func(status int, header http.Header) Match

// PromisesNotRun reports whether a status tells callers that the request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
