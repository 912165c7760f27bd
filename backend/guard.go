package backend

import (
	"cmp"
	"fmt"
	"net"
)

// Part is the part of a response that exceeded a limit.
type Part string

// The parts of a response that are limited.
const (
	PartLine    Part = "line"
	PartHead    Part = "head"
	PartFields  Part = "fields"
	PartInterim Part = "interim"
	PartBody    Part = "body"
	PartEvent   Part = "event"
)

// OversizeError means that a server sent more than any sound response has. The bytes may go on
// without end, so the connection is closed.
type OversizeError struct {
	Part Part
	// Limit is in bytes, for fields and interim responses a number of them.
	Limit int64
}

// Error implements the error interface.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("the server sent a response whose %s exceeds the limit of %d", e.Part, e.Limit)
}

// Limits bounds what is read of a response before its body.
type Limits struct {
	// LineBytes bounds the status line and each field, HeadBytes all of them.
	LineBytes int64
	HeadBytes int64
	// Fields bounds the number of lines of a head, including the status line.
	Fields int64
	// Interim bounds the 1xx responses before the response.
	Interim int64
	// BodyBytes bounds a body that is buffered, EventBytes one event of a stream.
	BodyBytes  int64
	EventBytes int64
}

// DefaultLimits are far above what servers send.
var DefaultLimits = Limits{
	LineBytes:  8 << 10,
	HeadBytes:  32 << 10,
	Fields:     128,
	Interim:    4,
	BodyBytes:  4 << 20,
	EventBytes: 256 << 10,
}

// WithDefaults returns the limits with the default in place of each that is 0.
func (l Limits) WithDefaults() Limits {
	return Limits{
		LineBytes:  cmp.Or(l.LineBytes, DefaultLimits.LineBytes),
		HeadBytes:  cmp.Or(l.HeadBytes, DefaultLimits.HeadBytes),
		Fields:     cmp.Or(l.Fields, DefaultLimits.Fields),
		Interim:    cmp.Or(l.Interim, DefaultLimits.Interim),
		BodyBytes:  cmp.Or(l.BodyBytes, DefaultLimits.BodyBytes),
		EventBytes: cmp.Or(l.EventBytes, DefaultLimits.EventBytes),
	}
}

// headGuard is a connection that stops to read when the head of a response exceeds its limits.
//
// http.ReadResponse reads a head of any size. A server whose header line never ended made a
// single request grow the process to 700 MB in 1.5 s, and a limit on the bytes alone still
// allows thousands of fields, each of which takes a hundred bytes once parsed. So the bytes are
// counted where they arrive. Those of a body that follow in the same read are not counted: the
// guard looks for the empty line that ends the head.
type headGuard struct {
	net.Conn
	limits Limits
	// reading is set while a head is read.
	reading bool
	bytes   int64
	line    int64
	fields  int64
	// received counts the bytes since the latest request.
	received int64
}

// startHead begins a head.
func (g *headGuard) startHead() {
	g.reading = true
	g.bytes, g.line, g.fields = 0, 0, 0
}

// Read implements io.Reader. The error is an *OversizeError if a limit is exceeded.
func (g *headGuard) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	g.received += int64(n)
	if !g.reading || n == 0 {
		return n, err
	}
	if oversize := g.count(p[:n]); oversize != nil {
		return 0, oversize
	}
	return n, err
}

// count counts bytes of a head up to its end.
func (g *headGuard) count(p []byte) error {
	for _, b := range p {
		g.bytes++
		switch {
		case b == '\n' && g.line == 0 && g.fields > 0:
			g.reading = false
			return nil
		case b == '\n':
			g.line = 0
			g.fields++
		case b != '\r':
			g.line++
		}
		switch {
		case g.line > g.limits.LineBytes:
			return &OversizeError{
				Part:  PartLine,
				Limit: g.limits.LineBytes,
			}
		case g.fields > g.limits.Fields:
			return &OversizeError{
				Part:  PartFields,
				Limit: g.limits.Fields,
			}
		case g.bytes > g.limits.HeadBytes:
			return &OversizeError{
				Part:  PartHead,
				Limit: g.limits.HeadBytes,
			}
		}
	}
	return nil
}
