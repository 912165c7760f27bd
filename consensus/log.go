package consensus

// entryLog holds the latest snapshot and the log entries that follow it.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *entryLog) lastIndex() Index {
	return l.snapshot.Index + Index(len(l.entries))
}

func (l *entryLog) lastTerm() Term {
	return l.term(l.lastIndex())
}

// term returns the term of the entry at i, or 0 if the log does not contain it.
func (l *entryLog) term(i Index) Term {
	switch {
	case i == l.snapshot.Index:
		return l.snapshot.Term
	case i < l.snapshot.Index || i > l.lastIndex():
		return 0
	}
	return l.entries[i-l.snapshot.Index-1].Term
}

// contains reports whether the log has an entry at i of the given term. The
// snapshot's last entry counts.
func (l *entryLog) contains(i Index, term Term) bool {
	return i >= l.snapshot.Index && i <= l.lastIndex() && l.term(i) == term
}

// slice returns the entries from..to, inclusive.
func (l *entryLog) slice(from, to Index) []Entry {
	if from > to {
		return nil
	}
	base := l.snapshot.Index + 1
	return l.entries[from-base : to-base+1]
}

// truncateAndAppend drops all entries from the index of the first new one on and
// appends the new entries.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	// The full slice expression forces a copy, since slices of the old tail may
	// still be in use.
	l.entries = append(l.entries[:keep:keep], entries...)
}

func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
}

// compact replaces the entries up to the snapshot's index by the snapshot. It copies
// the remaining entries, so that the memory of the dropped ones can be freed.
func (l *entryLog) compact(snapshot Snapshot) {
	rest := l.slice(snapshot.Index+1, l.lastIndex())
	l.entries = append([]Entry(nil), rest...)
	l.snapshot = snapshot
}

// membership returns the latest membership in the log, committed or not, and its
// index.
func (l *entryLog) membership() (Membership, Index) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembership {
			return *l.entries[i].Membership, l.entries[i].Index
		}
	}
	return l.snapshot.Membership, l.snapshot.Index
}

// membershipAt returns the membership that is in force at an index.
func (l *entryLog) membershipAt(index Index) Membership {
	for i := index; i > l.snapshot.Index; i-- {
		if e := l.entries[i-l.snapshot.Index-1]; e.Kind == EntryMembership {
			return *e.Membership
		}
	}
	return l.snapshot.Membership
}
