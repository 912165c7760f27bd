package wire

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// maxFrameBytes is the maximum size of a frame's body.
	maxFrameBytes = 16 << 20
	// firstBodyBytes is the size of the buffer for the start of a frame's body.
	firstBodyBytes = 64 << 10
)

// streamHeader is the first frame of each stream.
type streamHeader struct {
	Method Method `json:"method"`
	From   string `json:"from"`
}

// callResponse is the response to a call.
type callResponse struct {
	Error *Error          `json:"error,omitempty"`
	Body  cbor.RawMessage `json:"body,omitempty"`
}

// Error is an error returned by the peer's handler.
type Error struct {
	Code Code   `json:"code"`
	Text string `json:"text"`
}

// Error implements the error interface.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Text
}

// Code classifies an Error.
type Code string

// CodeInternal is the code of an error that a handler returned without a code.
const CodeInternal Code = "internal"

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 4 << 20,
		MaxMapPairs:      4 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode decodes the body of a frame into v.
func Decode(data []byte, v any) error {
	return decMode.Unmarshal(data, v)
}

// writeFrame writes the length of v's encoding as four bytes, big-endian, and then the
// encoding.
func writeFrame(w io.Writer, v any) (int, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return 0, eris.Wrap(err, "encode the frame")
	}
	if len(body) > maxFrameBytes {
		return 0, eris.Errorf("frame too large to send: got %d bytes, want at most %d", len(body), maxFrameBytes)
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	n, err := w.Write(append(frame, body...))
	return n, eris.Wrap(err, "write the frame")
}

func readFrame(r io.Reader) ([]byte, error) {
	size := [4]byte{}
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrameBytes {
		return nil, eris.Errorf("received frame too large: got %d bytes, want at most %d", n, maxFrameBytes)
	}
	return readBody(r, int(n))
}

// readBody reads n bytes. Its buffer grows as they arrive: a length alone, from a peer that sends
// nothing more, takes no memory.
func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, firstBodyBytes))
	for len(body) < n {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(n, 4*cap(body))), body...)
		}
		read, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+read]
		if err == io.EOF && len(body) < n {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && len(body) < n {
			return nil, err
		}
	}
	return body, nil
}
