package gateway

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// firstBufferBytes is the first size of a body's buffer. A length that a peer announces is no
// reason to allocate as much before any of it has arrived.
const firstBufferBytes = 4 << 10

// errBuffersFull means that the bodies that are buffered now take all memory set aside for them.
var errBuffersFull = eris.New("gateway: the memory set aside for buffered bodies is in use")

// errBodyTooLong means that a body exceeds its own limit.
var errBodyTooLong = eris.New("gateway: body exceeds its limit")

// bufferBudget bounds the memory that all buffered bodies take together. A limit for each alone
// does not: a few hundred servers that send without end would each stay below theirs. It is safe
// for concurrent use.
type bufferBudget struct {
	// limit is in bytes, 0 for none.
	limit int64
	used  atomic.Int64
}

// take reports whether n more bytes may be allocated, and counts them if so.
func (b *bufferBudget) take(n int64) bool {
	if b.used.Add(n) <= b.limit || b.limit == 0 {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bufferBudget) give(n int64) {
	b.used.Add(-n)
}

// allocation is the part of a budget that one request has taken. It is not safe for concurrent
// use.
type allocation struct {
	budget *bufferBudget
	bytes  int64
}

func (a *allocation) take(n int64) bool {
	if !a.budget.take(n) {
		return false
	}
	a.bytes += n
	return true
}

// release gives everything back.
func (a *allocation) release() {
	a.budget.give(a.bytes)
	a.bytes = 0
}

// readAll reads a body of at most limit bytes into memory that is taken from the budget as the
// body arrives. The expected size, -1 if it is not known, only saves copies.
func (a *allocation) readAll(r io.Reader, expected, limit int64) ([]byte, error) {
	size := min(max(expected+1, 512), firstBufferBytes)
	if !a.take(size) {
		return nil, errBuffersFull
	}
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			grown := int64(cap(buffer)) * 2
			if expected > int64(cap(buffer)) {
				grown = min(grown*2, expected+1)
			}
			if !a.take(grown - int64(cap(buffer))) {
				return buffer, errBuffersFull
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return buffer, errBodyTooLong
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return buffer, err
		}
	}
}
