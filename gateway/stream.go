package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/intake"
	"github.com/waxwingreel/waxwingreel/placement"
)

// relayStream relays a stream in whole events, so that another instance can resume after
// the last event delivered. The header is sent with the first event: until then another
// instance can be tried, or an error status returned.
func (x *exchange) relayStream(ctx context.Context, placed *placement.Assignment, in *backend.Incoming, response Response) (attemptResult, error) {
	events := eventReader{
		source:  in.Body,
		limit:   x.s.cfg.Limits.EventBytes,
		buffers: &x.buffers,
		opaque:  !mayHoldEvents(in.Header),
	}
	empty := true
	for {
		chunk, err := events.next()
		empty = empty && len(chunk) == 0
		if err == io.EOF && empty && in.Framing == backend.FramingConnection {
			err = errNoEvents
		}
		if err != nil {
			x.unfinishedBytes = events.unfinished
			x.s.countStreamEnd(in.Framing, events.unfinished > 0)
		}
		if events.eventCount > 0 && x.headerSent && x.events == x.eventsBefore && !x.follows(events.firstID) {
			in.Finish(false)
			return x.endForeignAttempt(placed, eris.Wrapf(errNotContinued, "its first event has id %q, the caller has events up to %q", events.firstID, x.lastEvent))
		}
		if len(chunk) > 0 {
			if !x.countOutput(in.Header, events.eventCount, len(chunk)) {
				in.Finish(false)
				x.attemptEnded(placed, placement.OutcomeNeutral)
				x.endUnpaid()
				return resultUnpaid, nil
			}
			if !x.headerSent {
				x.sampleSpeed(placed, response.Load)
				x.responseStarted(placed, response.Load)
				x.beginStream(in)
			}
			if events.eventCount > 0 {
				x.recordOrigin(placed.Instance)
			}
			x.unresumable = events.unresumable(x.unresumable)
			if !x.sendEvents(chunk, events.eventCount, events.lastID) {
				in.Finish(false)
				x.attemptEnded(placed, placement.OutcomeNeutral)
				x.logDisconnect()
				return resultCallerDisconnected, nil
			}
		}
		if err == io.EOF {
			in.Finish(true)
			if !x.headerSent {
				x.beginStream(in)
			}
			x.attemptEnded(placed, placement.OutcomeOK)
			x.instanceCompleted(true)
			x.complete = true
			x.logEnd(nil)
			return resultDelivered, nil
		}
		if err != nil {
			in.Finish(false)
			return x.endBrokenAttempt(ctx, placed, true, eris.Wrap(err, "read event stream"))
		}
	}
}

// beginStream sends the header of the first instance's response. If the stream is resumed
// at another instance, that response's header is dropped.
func (x *exchange) beginStream(in *backend.Incoming) {
	x.headerSent = true
	x.status = in.Status
	x.s.cfg.Protocol.Deliver(x.w.Header(), in.Header)
	x.closeConnection()
	x.w.WriteHeader(in.Status)
	x.s.observeFirstByte(x)
}

// sendEvents sends whole events to the caller and reports whether that succeeded.
func (x *exchange) sendEvents(chunk []byte, count int, lastID string) bool {
	if _, err := x.w.Write(chunk); err != nil {
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false
	}
	x.events += count
	if lastID != "" {
		x.lastEvent = lastID
	}
	return true
}

var (
	// errUnfinishedEvent means that a stream ended inside an event. Only an instance that has
	// crashed ends it there, even if the response is framed as complete.
	errUnfinishedEvent = eris.New("the stream ended inside an event")
	// errNoEvents means that a connection ended before the first event of a stream that
	// extends to its end.
	errNoEvents = eris.New("the connection ended before the first event")
)

// firstEventBytes is the first size of the buffer of a stream.
const firstEventBytes = 4 << 10

const eventStreamType = "text/event-stream"

// mayHoldEvents reports whether a response holds server-sent events or does not say what it holds.
func mayHoldEvents(header http.Header) bool {
	contentType := header.Get("Content-Type")
	return contentType == "" || holdsEvents(contentType)
}

func holdsEvents(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), eventStreamType)
}

// eventReader splits a stream of server-sent events into chunks of whole events.
type eventReader struct {
	source io.Reader
	// limit bounds the size of one event, in bytes.
	limit   int64
	buffers *intake.Allocation
	// opaque is set if the body does not hold events, so that it may end anywhere.
	opaque  bool
	buffer  []byte
	pending int // number of bytes in buffer not yet returned
	start   int // index of the first pending byte
	// eventCount is the number of events in the chunk last returned by next. lastID is
	// the last event id in that chunk, if any.
	// firstID is the id of the first event in that chunk, empty if that has none, and identified is
	// whether the last one has an id.
	eventCount int
	lastID     string
	firstID    string
	identified bool
	// unfinished is the number of bytes of an event that had begun when the stream ended.
	unfinished int
}

// next returns one or more whole events. At the end of the stream it returns the rest with io.EOF
// or, if the stream ended inside an event, the whole events before it with errUnfinishedEvent.
// After a failure it returns only the error.
func (e *eventReader) next() ([]byte, error) {
	copy(e.buffer, e.buffer[e.start:e.start+e.pending])
	e.start = 0
	e.eventCount, e.lastID, e.firstID, e.identified = 0, "", "", false
	for {
		if cap(e.buffer)-e.pending < 1024 {
			if err := e.grow(); err != nil {
				return nil, err
			}
		}
		n, err := e.source.Read(e.buffer[e.pending:cap(e.buffer)])
		e.buffer = e.buffer[:e.pending+n]
		e.pending += n
		if err == io.EOF {
			return e.last()
		}
		if end := lastEventEnd(e.buffer[:e.pending]); end > 0 {
			chunk := e.buffer[:end]
			e.count(chunk)
			e.start = end
			e.pending -= end
			return chunk, nil
		}
		if err != nil {
			e.unfinished = e.pending
			return nil, err
		}
	}
}

// last returns the rest of a stream whose source has ended.
func (e *eventReader) last() ([]byte, error) {
	rest, err := e.buffer[:e.pending], io.EOF
	e.pending = 0
	if !e.opaque {
		e.unfinished = unfinishedBytes(rest)
	}
	if e.unfinished > 0 {
		rest, err = rest[:lastEventEnd(rest)], errUnfinishedEvent
	}
	e.count(rest)
	return rest, err
}

// unfinishedBytes returns the size of the event inside which data ends, 0 if it ends between two
// events. Whole comment lines are not part of an event.
func unfinishedBytes(data []byte) int {
	tail := data[lastEventEnd(data):]
	for line := range bytes.Lines(tail) {
		whole := line[len(line)-1] == '\n'
		if !whole || line[0] != ':' && len(bytes.TrimSpace(line)) > 0 {
			return len(tail)
		}
	}
	return 0
}

// unresumable reports whether the stream cannot be resumed behind the chunk last returned by next, where
// before tells whether it could not before that chunk. A chunk without events changes nothing.
func (e *eventReader) unresumable(before bool) bool {
	if e.eventCount == 0 && !e.opaque {
		return before
	}
	return e.opaque || !e.identified
}

// grow doubles the buffer, which has no room for the rest of an event.
func (e *eventReader) grow() error {
	if int64(e.pending) > e.limit {
		return &backend.OversizeError{
			Part:  backend.PartEvent,
			Limit: e.limit,
		}
	}
	size := 2*cap(e.buffer) + firstEventBytes
	if !e.buffers.Take(int64(size - cap(e.buffer))) {
		return intake.ErrFull
	}
	e.buffer = append(make([]byte, 0, size), e.buffer[:e.pending]...)
	return nil
}

var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// lastEventEnd returns the index after the last blank line, or 0 if there is none.
func lastEventEnd(data []byte) int {
	end := 0
	for _, blank := range blankLines {
		if i := bytes.LastIndex(data, blank); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// count sets what is known of the events in a chunk.
func (e *eventReader) count(chunk []byte) {
	inEvent, id := false, ""
	for line := range bytes.Lines(chunk) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if inEvent {
				e.countEvent(id)
			}
			inEvent, id = false, ""
			continue
		}
		inEvent = inEvent || line[0] != ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	if inEvent {
		e.countEvent(id)
	}
}

// countEvent counts an event with an id, empty if it has none.
func (e *eventReader) countEvent(id string) {
	e.eventCount++
	e.identified = id != ""
	if e.eventCount == 1 {
		e.firstID = id
	}
	if id != "" {
		e.lastID = id
	}
}
