package raft

import "slices"

// entryLog is the log in memory: a snapshot, and the entries after offset. Some
// entries before the snapshot are kept for replicas that lag a little.
type entryLog struct {
	snapshot   Snapshot
	offset     Index
	offsetTerm Term
	entries    []Entry
	// base is the membership at offset, for when no entry after it holds one.
	base      Membership
	baseIndex Index
	// stable is the last entry known to be synced.
	stable Index
	// commit is the last entry known to be committed.
	commit Index
	// handed is the last entry given out to be applied.
	handed Index
}

func newLog(s Stored) entryLog {
	l := entryLog{
		snapshot:   s.Snapshot,
		offset:     s.Snapshot.Index,
		offsetTerm: s.Snapshot.Term,
		entries:    slices.Clone(s.Entries),
		base:       s.Snapshot.Members,
		baseIndex:  s.Snapshot.Index,
		commit:     s.Snapshot.Index,
		handed:     s.Snapshot.Index,
	}
	l.stable = l.last()
	l.commit = max(l.commit, min(s.Commit, l.last()))
	return l
}

func (l *entryLog) last() Index { return l.offset + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i; false if the log no longer or not
// yet holds it.
func (l *entryLog) term(i Index) (Term, bool) {
	switch {
	case i == l.offset:
		return l.offsetTerm, true
	case i < l.offset || i > l.last():
		if i == l.snapshot.Index {
			return l.snapshot.Term, true
		}
		return 0, false
	}
	return l.entries[i-l.offset-1].Term, true
}

func (l *entryLog) matches(i Index, t Term) bool {
	have, ok := l.term(i)
	return ok && have == t
}

// joinBefore returns the last entry before i that a log whose entry at i has
// term t may share with this one: terms never fall along a log.
func (l *entryLog) joinBefore(i Index, t Term) Index {
	at := min(i-1, l.last())
	for at > l.commit {
		if have, ok := l.term(at); ok && have <= t {
			break
		}
		at--
	}
	return at
}

// from returns entries from i on, at most limit bytes but at least one entry.
func (l *entryLog) from(i Index, limit int) []Entry {
	if i <= l.offset || i > l.last() {
		return nil
	}
	rest := l.entries[i-l.offset-1:]
	size := 0
	for n, e := range rest {
		size += len(e.Data) + entryOverhead
		if size > limit && n > 0 {
			return slices.Clone(rest[:n])
		}
	}
	return slices.Clone(rest)
}

// between returns the entries in (after, upTo].
func (l *entryLog) between(after, upTo Index) []Entry {
	if after < l.offset || upTo <= after {
		return nil
	}
	return slices.Clone(l.entries[after-l.offset : upTo-l.offset])
}

func (l *entryLog) append(es ...Entry) { l.entries = append(l.entries, es...) }

// cutFrom drops the entry at i and all after it.
func (l *entryLog) cutFrom(i Index) {
	l.entries = slices.Clone(l.entries[:i-l.offset-1])
	l.stable = min(l.stable, i-1)
}

// membership returns the newest membership in the log and its index.
func (l *entryLog) membership() (Membership, Index) {
	for _, e := range slices.Backward(l.entries) {
		if e.Kind != EntryMembers {
			continue
		}
		if m, err := decodeMembers(e); err == nil {
			return m, e.Index
		}
	}
	return l.base, l.baseIndex
}

// membershipAt returns the membership in use after the entry at i.
func (l *entryLog) membershipAt(i Index) Membership {
	m := l.base
	for _, e := range l.entries {
		if e.Index > i {
			break
		}
		if e.Kind == EntryMembers {
			if x, err := decodeMembers(e); err == nil {
				m = x
			}
		}
	}
	return m
}

// compact takes a snapshot over and drops entries more than keep before it.
func (l *entryLog) compact(s Snapshot, keep int) {
	l.snapshot = s
	if s.Index <= l.offset+Index(keep) {
		return
	}
	cut := s.Index - Index(keep)
	t, _ := l.term(cut)
	l.base = l.membershipAt(cut)
	l.baseIndex = cut
	l.entries = slices.Clone(l.entries[cut-l.offset:])
	l.offset, l.offsetTerm = cut, t
}

// install replaces the log by a leader's snapshot. Entries after it stay only
// if the log agrees with the snapshot at its index.
func (l *entryLog) install(s Snapshot) {
	if !l.matches(s.Index, s.Term) {
		l.entries = nil
		l.offset, l.offsetTerm = s.Index, s.Term
		l.base, l.baseIndex = s.Members, s.Index
		l.stable = s.Index
	}
	l.snapshot = s
	l.commit = max(l.commit, s.Index)
	l.handed = max(l.handed, s.Index)
}
