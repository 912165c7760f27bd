// Package intake bounds what clients can make a process hold: connections, and the bytes of the
// heads and bodies that they send and of the responses that they do not read.
//
// Pool decides, without clocks or sockets. Gate applies its decisions to connections.
package intake

import (
	"cmp"
	"time"
)

// ConnID identifies a connection of a client.
type ConnID uint64

// Group is a listener, whose connections have a limit of their own.
type Group string

// Phase is what a connection is waiting for.
type Phase int8

// The phases of a connection. In the first three its client has to make progress.
const (
	// PhaseHead lasts from the first byte of a request, or from the opening of the connection, to the
	// end of the request's head.
	PhaseHead Phase = iota
	// PhaseBody lasts while a body is read.
	PhaseBody
	// PhaseWrite lasts while bytes of a response are written.
	PhaseWrite
	// PhaseServe lasts while a request is served of which nothing is read or written.
	PhaseServe
	// PhaseIdle lasts from the end of a response to the first byte of the next request.
	PhaseIdle
)

// Reason is why a connection is closed or refused.
type Reason string

// The reasons.
const (
	// ReasonSlow means that the client made less progress than the minimum rate.
	ReasonSlow Reason = "slow"
	// ReasonRoom means that the connection gave way to another, because its client held much and made
	// little progress.
	ReasonRoom Reason = "room"
	// ReasonIdle means that an idle connection gave way to a new one.
	ReasonIdle Reason = "idle"
	// ReasonUnproven means that a connection that had never completed a request gave way to a new one.
	ReasonUnproven Reason = "unproven"
	// ReasonFull means that a new connection was refused.
	ReasonFull Reason = "full"
	// ReasonShort means that a head or body was refused because there was no memory for it.
	ReasonShort Reason = "short"
	// ReasonFields means that heads with very many fields come too often.
	ReasonFields Reason = "fields"
	// ReasonUnread means that there was no memory for requests sent ahead of a response.
	ReasonUnread Reason = "unread"
)

// Times after which connections give way.
const (
	// lateAfter is how long a client may make no progress until its connection gives way to others.
	lateAfter = time.Second
	// shortRate is the average rate of a request's bytes, as a multiple of the minimum, below which its
	// connection gives way to others.
	shortRate = 16
	// After these times without a request, an idle connection gives way to new ones: before all that make
	// progress, and before those that have just been opened.
	longIdle  = 5 * time.Second
	shortIdle = time.Second
	// headTime is how long a new connection may take for its first head before it gives way to new ones
	// sooner than an idle one.
	headTime = 200 * time.Millisecond
)

const (
	// usualFields is the number of fields that each head may have. fieldsPerSecond bounds those beyond it
	// in all heads together, fieldBurst those at once: a few of the largest heads.
	usualFields     = 128
	fieldsPerSecond = 20_000
	fieldBurst      = 40_000
)

// Limits configures a Pool.
type Limits struct {
	// Bytes bounds what all connections hold together, 0 for no limit.
	Bytes int64
	// Small is what one connection may hold while room is short.
	Small int64
	// Rate is the minimum progress of a client in bytes per second. Grace is how long it may be behind.
	Rate  int64
	Grace time.Duration
	// Connections bounds the open connections of each group.
	Connections map[Group]int
}

// Victim is a connection to close.
type Victim struct {
	Conn   ConnID
	Reason Reason
}

// account is what a connection holds and has achieved.
type account struct {
	id      ConnID
	group   Group
	address string
	phase   Phase
	// due is when the client has used up its grace. Each byte postpones it.
	due time.Duration
	// since is the beginning of the phase.
	since time.Duration
	// moved is the number of bytes of the client in the phase.
	moved int64
	held  int64
	// expected is what the client has announced that it will send.
	expected int64
	// unknown is set while the client sends a body of a length that it has not announced.
	unknown bool
	size    size
	// proven is set once a request was completed.
	proven bool
	// closing is set once the connection is to be closed. It takes no place any more, but holds what it
	// has not given back.
	closing bool
	// closed is set once the connection is closed. It is forgotten when it has given back everything.
	closed bool
}

// origin is where the connections of a group come from.
type origin struct {
	group   Group
	address string
}

func (a *account) origin() origin {
	return origin{
		group:   a.group,
		address: a.address,
	}
}

// Pool shares the memory and the connections of a process among its clients. It is not safe for
// concurrent use.
type Pool struct {
	limits Limits
	conns  map[ConnID]*account
	open   map[Group]int
	// openBy is the number of open connections of a group from one address.
	openBy map[origin]int
	used   int64
	// heldIn is what the connections of each size hold.
	heldIn [sizeCount]int64
	// heldBy is what the connections of each address hold.
	heldBy map[string]int64
	// waiting is the number of connections that wait for room.
	waiting int
	// fields is the number of fields that long heads may have now, fieldsAt when that was computed.
	fields   float64
	fieldsAt time.Duration
}

// NewPool returns a pool without connections.
func NewPool(limits Limits) *Pool {
	return &Pool{
		limits: limits,
		conns:  map[ConnID]*account{},
		open:   map[Group]int{},
		openBy: map[origin]int{},
		heldBy: map[string]int64{},
		fields: fieldBurst,
	}
}

// TakeFields reports whether a head may have n more fields, beside the usualFields that all heads may
// have. Their cost in processor time is far above that of their bytes.
func (p *Pool) TakeFields(n int, now time.Duration) bool {
	p.fields = min(fieldBurst, p.fields+(now-p.fieldsAt).Seconds()*fieldsPerSecond)
	p.fieldsAt = now
	if float64(n) > p.fields {
		return false
	}
	p.fields -= float64(n)
	return true
}

// Open admits a connection and returns the one that has to give way to it, if any.
func (p *Pool) Open(id ConnID, group Group, address string, now time.Duration) ([]Victim, bool) {
	var victims []Victim
	if most := p.limits.Connections[group]; most > 0 && p.open[group] >= most {
		victim, ok := p.displaced(group, now)
		if !ok {
			return nil, false
		}
		victims = p.evict([]Victim{victim})
	}
	a := &account{
		id:      id,
		group:   group,
		address: address,
		due:     now + p.limits.Grace,
		since:   now,
	}
	p.conns[id] = a
	p.open[group]++
	p.openBy[a.origin()]++
	return victims, true
}

// displaced returns the connection of a full group that gives way to a new one. Among those of the same
// rank that have made no request lately, the address that has most connections pays first.
func (p *Pool) displaced(group Group, now time.Duration) (Victim, bool) {
	var best *account
	bestRank := len(displacedReasons)
	for _, a := range p.conns {
		if a.group != group || a.closing {
			continue
		}
		rank, ok := p.displacedRank(a, now)
		if !ok || rank > bestRank {
			continue
		}
		if rank < bestRank || p.goesBefore(a, best, rank) {
			best, bestRank = a, rank
		}
	}
	if best == nil {
		return Victim{}, false
	}
	return Victim{
		Conn:   best.id,
		Reason: displacedReasons[bestRank],
	}, true
}

// goesBefore reports whether a gives way before b, which has the same rank.
func (p *Pool) goesBefore(a, b *account, rank int) bool {
	crowd := 0
	if rank > rankLongIdle {
		crowd = cmp.Compare(p.openBy[b.origin()], p.openBy[a.origin()])
	}
	return cmp.Or(crowd, cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id)) < 0
}

// The ranks of displacedRank.
const (
	rankLate = iota
	rankLongIdle
	rankUnproven
	rankIdle
	rankNew
	rankFreshIdle
)

// displacedReasons are the reasons of the ranks.
var displacedReasons = [...]Reason{ReasonRoom, ReasonIdle, ReasonUnproven, ReasonIdle, ReasonUnproven, ReasonIdle}

// displacedRank returns how soon a connection gives way to a new one, 0 for first. One whose request is
// complete does not.
func (p *Pool) displacedRank(a *account, now time.Duration) (int, bool) {
	elapsed := now - a.since
	switch {
	case p.late(a, now) > 0:
		return rankLate, true
	case a.phase == PhaseHead && !a.proven && elapsed >= headTime:
		return rankUnproven, true
	case a.phase == PhaseHead && !a.proven:
		return rankNew, true
	case a.phase != PhaseIdle:
		return 0, false
	case elapsed >= longIdle:
		return rankLongIdle, true
	case elapsed >= shortIdle:
		return rankIdle, true
	}
	return rankFreshIdle, true
}

// late returns how long a client has made too little progress, 0 if it has made enough.
func (p *Pool) late(a *account, now time.Duration) time.Duration {
	if a.phase > PhaseWrite {
		return 0
	}
	behind := now - (a.due - p.limits.Grace)
	elapsed := now - a.since
	if a.phase != PhaseWrite && float64(a.moved) < elapsed.Seconds()*float64(p.limits.Rate*shortRate) {
		behind = max(behind, elapsed)
	}
	if behind < lateAfter {
		return 0
	}
	return behind
}

// SetPhase begins a phase and returns when the client will have used up its grace, 0 if it need not
// make progress.
func (p *Pool) SetPhase(id ConnID, phase Phase, now time.Duration) time.Duration {
	a := p.conns[id]
	if a == nil {
		return 0
	}
	if a.phase != phase {
		a.phase = phase
		a.since = now
		a.due = now + p.limits.Grace
		a.moved = 0
	}
	a.proven = a.proven || phase == PhaseIdle
	return a.dueNow()
}

func (a *account) dueNow() time.Duration {
	if a.phase > PhaseWrite {
		return 0
	}
	return a.due
}

// Progress records bytes that a client has sent or taken. It returns when the client will have used
// up its grace, 0 if it need not make progress.
func (p *Pool) Progress(id ConnID, n int64, now time.Duration) time.Duration {
	a := p.conns[id]
	if a == nil {
		return 0
	}
	a.moved += n
	if p.limits.Rate > 0 {
		earned := time.Duration(float64(n) / float64(p.limits.Rate) * float64(time.Second))
		a.due = min(a.due+earned, now+p.limits.Grace)
	}
	return a.dueNow()
}

// evict marks connections that are to be closed.
func (p *Pool) evict(victims []Victim) []Victim {
	for _, v := range victims {
		p.leave(p.conns[v.Conn])
	}
	return victims
}

// leave takes a connection out of its group.
func (p *Pool) leave(a *account) {
	if !a.closing {
		a.closing = true
		p.open[a.group]--
		p.openBy[a.origin()]--
		if p.openBy[a.origin()] == 0 {
			delete(p.openBy, a.origin())
		}
	}
}

// Close ends a connection. What it holds counts until it is given back.
func (p *Pool) Close(id ConnID) {
	a := p.conns[id]
	if a == nil {
		return
	}
	p.leave(a)
	a.closed = true
	if a.held == 0 {
		delete(p.conns, id)
	}
}

// Usage is what clients hold.
type Usage struct {
	Bytes       int64
	Limit       int64
	Connections int
	// Address is the one whose connections hold most bytes, AddressBytes what they hold.
	Address      string
	AddressBytes int64
}

// Usage returns what clients hold now.
func (p *Pool) Usage() Usage {
	u := Usage{
		Bytes:       p.used,
		Limit:       p.limits.Bytes,
		Connections: len(p.conns),
	}
	for address, held := range p.heldBy {
		if held > u.AddressBytes || held == u.AddressBytes && address < u.Address {
			u.Address, u.AddressBytes = address, held
		}
	}
	return u
}
