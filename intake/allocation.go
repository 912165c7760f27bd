package intake

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// firstBufferBytes is the first size of a body's buffer. A length that a peer announces is no
// reason to allocate as much before any of it has arrived.
const firstBufferBytes = 4 << 10

// ErrFull means that there is no memory left for what a peer sends.
var ErrFull = eris.New("intake: the memory set aside for what clients and servers send is in use")

// ErrTooLong means that a body exceeds its own limit.
var ErrTooLong = eris.New("intake: body exceeds its limit")

// Room is where memory is taken before it is filled, and given back.
type Room interface {
	// Take reports whether n bytes may be allocated, and counts them if so.
	Take(n int64) bool
	Give(n int64)
}

// Budget is a Room that bounds the memory that all buffers take together. A limit for each alone does
// not: a few hundred servers that send without end would each stay below theirs. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes, 0 for no limit.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Unlimited is a room without a limit.
var Unlimited = NewBudget(0)

// Take implements Room.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) <= b.limit || b.limit == 0 {
		return true
	}
	b.used.Add(-n)
	return false
}

// Give implements Room.
func (b *Budget) Give(n int64) {
	b.used.Add(-n)
}

// Allocation is what one request has taken of a room. It is not safe for concurrent use.
type Allocation struct {
	Room  Room
	bytes int64
}

// Take takes n more bytes.
func (a *Allocation) Take(n int64) bool {
	if !a.Room.Take(n) {
		return false
	}
	a.bytes += n
	return true
}

// Release gives everything back.
func (a *Allocation) Release() {
	if a.bytes == 0 {
		return
	}
	a.Room.Give(a.bytes)
	a.bytes = 0
}

// ReadAll reads a body of at most limit bytes into memory that is taken as the body arrives. The
// expected size, -1 if it is not known, only saves copies.
func (a *Allocation) ReadAll(r io.Reader, expected, limit int64) ([]byte, error) {
	if expected > limit {
		return nil, ErrTooLong
	}
	size := min(max(expected+1, 512), firstBufferBytes)
	if !a.Take(size) {
		return nil, ErrFull
	}
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			grown := int64(cap(buffer)) * 2
			if expected > int64(cap(buffer)) {
				grown = min(grown*2, expected+1)
			}
			if !a.Take(grown - int64(cap(buffer))) {
				return buffer, ErrFull
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return buffer, ErrTooLong
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return buffer, err
		}
	}
}
