// Package waitlist decides who gets room that callers compete for: which request may go on now, which
// waits, and which is refused at once because its turn would come too late.
//
// The room is a rate of bytes, such as a node's network link. What was let through is counted on a
// virtual clock, so that only little of it waits in the link itself, where the order of arrival
// decides.
package waitlist

import (
	"cmp"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// maxWorkspaces bounds the workspaces whose shares are tracked.
const maxWorkspaces = 4096

// Config configures a List.
type Config struct {
	// BytesPerSecond is the room.
	BytesPerSecond float64
	// Ahead is how long what was let through may occupy the room. More would decide the order of
	// what comes later.
	Ahead time.Duration
}

// Entry is a request that wants room.
type Entry struct {
	// ID is unique among the entries of a list.
	ID uint64
	// Bytes is the room that the request takes.
	Bytes int
	// Urgency is the rank of the request's class, 0 for the most urgent.
	Urgency int
	// Returned is set for a request that was refused before. It goes before others of its rank.
	Returned  bool
	Workspace fleet.WorkspaceID
	// Latest is the last moment at which the request can go on and meet its objective. Later it
	// goes after all that can still meet theirs.
	Latest time.Duration
	// Deadline is the moment after which the request need not go on.
	Deadline time.Duration

	seq uint64
	// start is the fair share of its workspace that was used before the request, in bytes.
	start float64
}

// List is the requests that wait for room. It is not safe for concurrent use.
//
// # The order
//
// Requests that can still meet their objective go first: room for one that is late already makes
// another one late, so that under overload first come, first served soon means that all are late.
// Then a class goes by its urgency, and who was refused before newcomers. Among equals start-time fair queueing over workspaces holds one that sends much to its share while others
// want theirs. Within a workspace the earliest deadline goes first.
type List struct {
	cfg     Config
	waiting []Entry
	seq     uint64
	// freeAt is when all that was let through will have gone.
	freeAt time.Duration
	// virtual is the start of the entry that was let through last, finish the end of the share
	// that each workspace has used.
	virtual float64
	finish  map[fleet.WorkspaceID]float64
}

// New returns an empty list.
func New(cfg Config) *List {
	return &List{
		cfg:    cfg,
		finish: map[fleet.WorkspaceID]float64{},
	}
}

// Len returns the number of requests that wait.
func (l *List) Len() int { return len(l.waiting) }

// Take counts room that is used without waiting.
func (l *List) Take(bytes int, now time.Duration) {
	l.freeAt = max(l.freeAt, now) + l.occupancy(bytes)
}

// occupancy returns how long bytes take the room.
func (l *List) occupancy(bytes int) time.Duration {
	return time.Duration(float64(bytes) / l.cfg.BytesPerSecond * float64(time.Second))
}

// Add adds a request, or reports false and the time after which there may be room for it: all that goes
// before it takes until after its deadline.
func (l *List) Add(e Entry, now time.Duration) (retryAfter time.Duration, ok bool) {
	l.seq++
	e.seq = l.seq
	e.start = max(l.virtual, l.finish[e.Workspace])
	ahead, all := 0, 0
	for _, other := range l.waiting {
		all += other.Bytes
		if compare(other, e, now) < 0 {
			ahead += other.Bytes
		}
	}
	backlog := max(l.freeAt-now, 0)
	if now+backlog+l.occupancy(ahead+e.Bytes) > e.Deadline {
		return backlog + l.occupancy(all), false
	}
	if len(l.finish) >= maxWorkspaces {
		l.finish = map[fleet.WorkspaceID]float64{}
	}
	l.finish[e.Workspace] = e.start + float64(e.Bytes)
	l.waiting = append(l.waiting, e)
	return 0, true
}

// Remove removes a request that no longer waits.
func (l *List) Remove(id uint64) {
	for i, e := range l.waiting {
		if e.ID == id {
			l.removeAt(i)
			return
		}
	}
}

func (l *List) removeAt(i int) {
	last := len(l.waiting) - 1
	l.waiting[i] = l.waiting[last]
	l.waiting = l.waiting[:last]
}

// Next removes and returns the request that may go on now. It returns false if there is none, and the
// time until there may be one, 0 if none waits.
func (l *List) Next(now time.Duration) (next Entry, wait time.Duration, ok bool) {
	if len(l.waiting) == 0 {
		return Entry{}, 0, false
	}
	if ahead := l.freeAt - now; ahead > l.cfg.Ahead {
		return Entry{}, ahead - l.cfg.Ahead, false
	}
	first := 0
	for i, e := range l.waiting {
		if compare(e, l.waiting[first], now) < 0 {
			first = i
		}
	}
	next = l.waiting[first]
	l.removeAt(first)
	l.virtual = max(l.virtual, next.start)
	l.Take(next.Bytes, now)
	return next, 0, true
}

// compare orders requests. It is negative if a goes before b.
func compare(a, b Entry, now time.Duration) int {
	return cmp.Or(
		before(now <= a.Latest, now <= b.Latest),
		cmp.Compare(a.Urgency, b.Urgency),
		before(a.Returned, b.Returned),
		cmp.Compare(a.start, b.start),
		cmp.Compare(a.Deadline, b.Deadline),
		cmp.Compare(a.seq, b.seq),
	)
}

// before orders what is true first.
func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
