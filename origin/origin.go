// Package origin remembers which software version began each stream, and which versions a service has
// had of late.
//
// What two software versions write does not fit together, so a stream may be continued only by the version
// that began it. Its caller may resume it at any node, also after all entry nodes have started again, and
// names the attempt that brought the first event. Entry nodes report the streams that they begin to the
// control replicas, which remember them for as long as a caller may come back.
//
// A stream without a record may still be continued if its service has had a single version for longer
// than a stream lasts. The versions that have left the list are therefore remembered too: a list that has
// only the new version says nothing of a stream that began before.
//
// The package is a pure state machine. All times are on the caller's clock.
package origin

import (
	"time"

	"github.com/waxwingreel/waxwingreel/routing"
)

const (
	// minTTL is the least time for which a stream is remembered.
	minTTL = time.Minute
	// attemptsOfCaller bounds how often a caller may resume one stream, each time for as long as its
	// route's timeout allows.
	attemptsOfCaller = 4
	// maxRecords bounds the streams in a table. The oldest are forgotten first.
	maxRecords = 1 << 16
)

// TTL returns how long a stream of a route with the given timeout is remembered, and how long a service
// must have had a single version before streams without a record are continued.
func TTL(timeout time.Duration) time.Duration {
	return max(attemptsOfCaller*timeout, minTTL)
}

// Key identifies a stream. Callers choose their request ids, so those of two callers may be equal.
type Key struct {
	Caller  string            `json:"caller,omitempty"`
	Request routing.RequestID `json:"request"`
}

// Record tells where a stream began.
type Record struct {
	Key    Key            `json:"key"`
	Origin routing.Origin `json:"origin"`
	// Ambiguous is set if streams of several origins had the same key.
	Ambiguous bool `json:"ambiguous,omitempty"`
	// TTLMillis is the time for which the record is still of use.
	TTLMillis int64 `json:"ttlMillis"`
}

// Answer is what control replicas know of a stream.
type Answer struct {
	// Record is nil if none of them knows the stream.
	Record *Record
	// Versions has the software versions that each of them has seen.
	Versions []Report
	// ProvenAt is the latest time since boot that the reports prove, as Report.ProvenMillis has it, or 0.
	ProvenAt time.Duration
}

// Table holds records. Its zero value is ready for use. It is not safe for concurrent use.
type Table struct {
	rows map[Key]row
	// added has the key of each addition in order, from first on.
	added []Key
	first int
}

type row struct {
	origin    routing.Origin
	ambiguous bool
	expires   time.Duration
}

// minProlonged is the least time by which a repeated record must outlive the known one to count as
// news. Its time to live is counted from its arrival, so each repetition outlives it a little.
const minProlonged = time.Second

// Add stores a record or prolongs the one that is known. It reports whether the record was news.
func (t *Table) Add(r Record, now time.Duration) bool {
	if t.rows == nil {
		t.rows = map[Key]row{}
	}
	known, ok := t.rows[r.Key]
	ok = ok && known.expires > now
	next := row{
		origin:    r.Origin,
		ambiguous: r.Ambiguous || ok && (known.ambiguous || !known.origin.SameAs(r.Origin)),
		expires:   max(known.expires, now+time.Duration(r.TTLMillis)*time.Millisecond),
	}
	if ok && next.ambiguous == known.ambiguous && next.expires < known.expires+minProlonged {
		return false
	}
	t.rows[r.Key] = next
	t.added = append(t.added, r.Key)
	t.forget(now)
	return true
}

// forget removes the records that have expired, and the oldest above maxRecords.
func (t *Table) forget(now time.Duration) {
	for ; t.first < len(t.added); t.first++ {
		key := t.added[t.first]
		full := len(t.added)-t.first > maxRecords
		if known, ok := t.rows[key]; ok && known.expires > now && !full {
			break
		}
		delete(t.rows, key)
	}
	if t.first > len(t.added)/2 {
		t.added = append([]Key(nil), t.added[t.first:]...)
		t.first = 0
	}
}

// Find returns the record with a key.
func (t *Table) Find(key Key, now time.Duration) (Record, bool) {
	known, ok := t.rows[key]
	if !ok || known.expires <= now {
		return Record{}, false
	}
	return known.record(key, now), true
}

// Latest returns up to n records, those that were added last.
func (t *Table) Latest(n int, now time.Duration) []Record {
	t.forget(now)
	var records []Record
	returned := map[Key]bool{}
	for i := len(t.added) - 1; i >= t.first && len(records) < n; i-- {
		key := t.added[i]
		if known, ok := t.rows[key]; ok && !returned[key] && known.expires > now {
			returned[key] = true
			records = append(records, known.record(key, now))
		}
	}
	return records
}

func (r row) record(key Key, now time.Duration) Record {
	return Record{
		Key:       key,
		Origin:    r.origin,
		Ambiguous: r.ambiguous,
		TTLMillis: (r.expires - now).Milliseconds(),
	}
}
