package waitlist

import (
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// linkShare is the part of a link that requests and responses may take. The rest is for
	// acknowledgements and the fleet's own messages, which are not counted.
	linkShare = 0.9
	// linkAhead is how long what was let through may occupy the link.
	linkAhead = 8 * time.Millisecond
	// smallBytes is the size up to which a request does not wait, some packets.
	smallBytes = 4 << 10
	// firstByteWeight is the weight of the latest request in the average time to the first byte.
	firstByteWeight = 1.0 / 8
	// returnTime is how long a refused request counts as one that may come back.
	returnTime = 10 * time.Second
	// maxReturns bounds the refused requests that are remembered, maxClasses the classes whose time
	// to the first byte is.
	maxReturns = 2048
	maxClasses = 1024
)

// Turn identifies a request that waits in a Room. It is never 0.
type Turn uint64

// Request is a request that wants a node's link.
type Request struct {
	// Bytes is its size on the link.
	Bytes int
	// Class names its class, Urgency is the rank of that, 0 for the most urgent.
	Class   string
	Urgency int
	// Identity is what it has in common with its repetitions.
	Identity  string
	Workspace fleet.WorkspaceID
	// Objective and Deadline are the moments by which its first byte is due, and after which it is
	// of no use.
	Objective time.Duration
	Deadline  time.Duration
}

// Room makes requests wait for a node's link in the order of a List. It is not safe for concurrent use.
//
// # Why the link
//
// The callers of some workspaces keep to one entry node. When such a workspace is busy, the node's
// link is full while the engines are not. In the order of arrival a booking of one packet then waits
// behind prompts of 17,000 bytes, whose objectives leave them time to wait. So what is small goes at
// once, and the rest as fast as the link takes it, in the order of the list.
type Room struct {
	list *List
	last Turn
	// small has the requests that need not wait.
	small []Turn
	// refused has the identities of refused requests, until when they count as such.
	refused map[string]time.Duration
	// firstBytes are the average times from a request's turn to the first byte of its response.
	firstBytes map[string]time.Duration
}

// NewRoom returns the room of a link with a rate in bytes per second.
func NewRoom(bytesPerSecond float64) *Room {
	return &Room{
		list: New(Config{
			BytesPerSecond: bytesPerSecond * linkShare,
			Ahead:          linkAhead,
		}),
		refused:    map[string]time.Duration{},
		firstBytes: map[string]time.Duration{},
	}
}

// Enter adds a request. If there would be no room for it before its deadline it returns 0 and the time
// after which there may be some.
func (r *Room) Enter(q Request, now time.Duration) (turn Turn, retryAfter time.Duration) {
	r.last++
	if q.Bytes <= smallBytes {
		r.list.Take(q.Bytes, now)
		r.small = append(r.small, r.last)
		return r.last, 0
	}
	until, refused := r.refused[q.Identity]
	retryAfter, ok := r.list.Add(Entry{
		ID:        uint64(r.last),
		Bytes:     q.Bytes,
		Urgency:   q.Urgency,
		Returned:  refused && now < until,
		Workspace: q.Workspace,
		Latest:    q.Objective - r.firstBytes[q.Class],
		Deadline:  q.Deadline,
	}, now)
	if ok {
		delete(r.refused, q.Identity)
		return r.last, 0
	}
	if len(r.refused) >= maxReturns {
		clear(r.refused)
	}
	r.refused[q.Identity] = now + returnTime
	return 0, retryAfter
}

// Next returns a request that may go on now. It returns false if there is none, and the time until
// there may be one, 0 if none waits.
func (r *Room) Next(now time.Duration) (turn Turn, wait time.Duration, ok bool) {
	if len(r.small) > 0 {
		turn = r.small[0]
		r.small = r.small[1:]
		return turn, 0, true
	}
	e, wait, ok := r.list.Next(now)
	return Turn(e.ID), wait, ok
}

// Leave removes a request that no longer waits.
func (r *Room) Leave(turn Turn) { r.list.Remove(uint64(turn)) }

// Take counts bytes that are sent without waiting.
func (r *Room) Take(bytes int, now time.Duration) { r.list.Take(bytes, now) }

// ObserveFirstByte records the time from a request's turn to the first byte of its response.
func (r *Room) ObserveFirstByte(class string, took time.Duration) {
	if len(r.firstBytes) >= maxClasses {
		clear(r.firstBytes)
	}
	r.firstBytes[class] += time.Duration(float64(took-r.firstBytes[class]) * firstByteWeight)
}

// Waiting returns the number of requests that wait.
func (r *Room) Waiting() int { return r.list.Len() }
