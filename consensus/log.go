package consensus

// entryLog is the part of the log that follows the snapshot.
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

// term returns the term of an entry, 0 where the log does not hold it.
func (l *entryLog) term(i Index) Term {
	switch {
	case i == l.snapshot.Index:
		return l.snapshot.Term
	case i < l.snapshot.Index || i > l.lastIndex():
		return 0
	}
	return l.entries[i-l.snapshot.Index-1].Term
}

// contains reports whether the entry at i, or the snapshot's edge, is of this term.
func (l *entryLog) contains(i Index, term Term) bool {
	return i >= l.snapshot.Index && i <= l.lastIndex() && l.term(i) == term
}

// slice returns the entries from..to, both included.
func (l *entryLog) slice(from, to Index) []Entry {
	if from > to {
		return nil
	}
	base := l.snapshot.Index + 1
	return l.entries[from-base : to-base+1]
}

// truncateAndAppend stores entries, replacing all from the first one's index on.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	// The full slice expression keeps earlier readers of the old tail from
	// seeing it change under them.
	l.entries = append(l.entries[:keep:keep], entries...)
}

// append adds an entry at the end.
func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
}

// compact drops the entries that the snapshot covers.
func (l *entryLog) compact(snapshot Snapshot) {
	rest := l.slice(snapshot.Index+1, l.lastIndex())
	l.entries = append([]Entry(nil), rest...)
	l.snapshot = snapshot
}

// membership returns the newest membership in the log, committed or not.
func (l *entryLog) membership() (Membership, Index) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembership {
			return *l.entries[i].Membership, l.entries[i].Index
		}
	}
	return l.snapshot.Membership, l.snapshot.Index
}

// membershipAt returns the membership in force at an index.
func (l *entryLog) membershipAt(index Index) Membership {
	for i := index; i > l.snapshot.Index; i-- {
		if e := l.entries[i-l.snapshot.Index-1]; e.Kind == EntryMembership {
			return *e.Membership
		}
	}
	return l.snapshot.Membership
}
