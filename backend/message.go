package backend

import (
	"io"
	"net/http"
	"time"

	"github.com/waxwingreel/waxwingreel/clock"
)

// Outgoing is a request to an instance.
type Outgoing struct {
	Instance Instance
	Method   string
	// Target is the request target (path and query) as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is set if the request must not be sent again when its outcome is
	// unknown.
	AtMostOnce bool
	// NoReuse is set if the request needs a connection of its own.
	NoReuse bool
	// Match compares a response with this request.
	Match Matcher
	// Revoked reports whether the request must no longer be sent to the instance. It is called
	// after a connection was opened, which can take as long as an instance needs to leave. It
	// may be nil.
	Revoked func() bool
	// Deadline is a time of the boot clock from which on the request is not sent, 0 for none. A context may end late: its
	// clock stands still while the VM is suspended, and its timer waits while the process has no processor.
	Deadline time.Duration
}

// expired reports whether the request's deadline has passed.
func (o Outgoing) expired() bool {
	return o.Deadline != 0 && clock.SinceBoot() >= o.Deadline
}

// Incoming is a response whose body has not been read.
type Incoming struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	// Framing is how the end of the body is marked.
	Framing Framing
	// Reused is set if the connection had another request before.
	Reused bool
	// End releases the connection. Finish calls it.
	End func(complete bool)
}

// Framing is how the end of a body is marked.
type Framing string

const (
	// FramingLength means that the header has the length of the body.
	FramingLength Framing = "length"
	// FramingChunked means that the last chunk marks the end.
	FramingChunked Framing = "chunked"
	// FramingConnection means that the body extends to the end of the connection, which looks
	// the same when the server has crashed.
	FramingConnection Framing = "connection"
)

func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	case response.ContentLength >= 0:
		return FramingLength
	}
	return FramingConnection
}
