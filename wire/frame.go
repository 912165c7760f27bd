package wire

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxFrameBytes bounds one frame.
const maxFrameBytes = 16 << 20

// header opens each stream.
type header struct {
	Method Method `json:"method"`
	From   string `json:"from"`
}

// answer closes a call.
type answer struct {
	Error *Error          `json:"error,omitempty"`
	Body  cbor.RawMessage `json:"body,omitempty"`
}

// Error is an error that the peer's handler returned.
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

// CodeInternal marks an error that has no code of its own.
const CodeInternal Code = "internal"

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 4 << 20,
		MaxMapPairs:      4 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode reads a value as frames carry it.
func Decode(data []byte, v any) error {
	return decoding.Unmarshal(data, v)
}

func writeFrame(w io.Writer, v any) (int, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return 0, eris.Wrap(err, "encode")
	}
	if len(body) > maxFrameBytes {
		return 0, eris.Errorf("a frame of %d bytes exceeds %d", len(body), maxFrameBytes)
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	n, err := w.Write(append(frame, body...))
	return n, eris.Wrap(err, "write")
}

func readFrame(r io.Reader) ([]byte, error) {
	size := [4]byte{}
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrameBytes {
		return nil, eris.Errorf("a frame of %d bytes exceeds %d", n, maxFrameBytes)
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return body, err
}
