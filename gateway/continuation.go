package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/placement"
)

// errNotContinued means that a response cannot be a part of the stream that the caller has received so
// far, such as an error.
var errNotContinued = eris.New("the response does not continue the stream")

// continues returns an error if a response cannot continue the stream that has begun.
func (x *exchange) continues(in *backend.Incoming) error {
	began := x.w.Header()
	switch {
	case in.Status != x.status:
		return eris.Wrapf(errNotContinued, "status %d after %d", in.Status, x.status)
	case mediaType(in.Header) != mediaType(began) && !(mayHoldEvents(in.Header) && mayHoldEvents(began)):
		return eris.Wrapf(errNotContinued, "it holds %q, the stream %q", mediaType(in.Header), mediaType(began))
	case in.Header.Get(headerEncoding) != began.Get(headerEncoding):
		return eris.Wrapf(errNotContinued, "its encoding is %q", in.Header.Get(headerEncoding))
	}
	return nil
}

const headerEncoding = "Content-Encoding"

func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// follows reports whether the first event of another response can come after the last one that the
// caller has. All events of a stream that is continued have ids; numbers rise.
func (x *exchange) follows(firstID string) bool {
	if x.events == 0 {
		return true
	}
	last, lastErr := strconv.ParseUint(x.lastEvent, 10, 64)
	first, firstErr := strconv.ParseUint(firstID, 10, 64)
	if lastErr == nil && firstErr == nil {
		return first > last
	}
	return firstID != "" && firstID != x.lastEvent
}

// endForeignAttempt ends an attempt whose response does not continue the stream.
func (x *exchange) endForeignAttempt(placed *placement.Assignment, err error) (attemptResult, error) {
	x.attemptEnded(placed, placement.OutcomeFailed)
	return resultInDoubt, err
}
