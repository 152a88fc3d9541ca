package raft

import "slices"

// entryLog is the in-memory log: a snapshot, and the entries after offset. Some entries
// before the snapshot are kept for replicas that are slightly behind.
type entryLog struct {
	snapshot   Snapshot
	offset     Index
	offsetTerm Term
	entries    []Entry
	// baseMembers is the membership at offset, used when no later entry sets one.
	baseMembers      Membership
	baseMembersIndex Index
	// stable is the last entry known to be synced.
	stable Index
	// commit is the last entry known to be committed.
	commit Index
	// delivered is the last entry that Ready returned for applying.
	delivered Index
}

func newLog(s StoredState) entryLog {
	l := entryLog{
		snapshot:         s.Snapshot,
		offset:           s.Snapshot.Index,
		offsetTerm:       s.Snapshot.Term,
		entries:          slices.Clone(s.Entries),
		baseMembers:      s.Snapshot.Members,
		baseMembersIndex: s.Snapshot.Index,
		commit:           s.Snapshot.Index,
		delivered:        s.Snapshot.Index,
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

// term returns the term of the entry at i; false if the log doesn't hold that entry.
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

// lastPossibleMatch returns the last entry before i that may match a log whose entry at i
// has term t. It relies on terms never decreasing along a log.
func (l *entryLog) lastPossibleMatch(i Index, t Term) Index {
	at := min(i-1, l.last())
	for at > l.commit {
		if have, ok := l.term(at); ok && have <= t {
			break
		}
		at--
	}
	return at
}

// from returns the entries from i on, up to limit bytes but at least one.
func (l *entryLog) from(i Index, limit int) []Entry {
	if i <= l.offset || i > l.last() {
		return nil
	}
	rest := l.entries[i-l.offset-1:]
	size := 0
	for n, e := range rest {
		size += len(e.Data) + entryOverheadBytes
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

// truncateFrom removes the entry at i and all entries after it.
func (l *entryLog) truncateFrom(i Index) {
	l.entries = slices.Clone(l.entries[:i-l.offset-1])
	l.stable = min(l.stable, i-1)
}

// membership returns the newest membership in the log and the index of its entry.
func (l *entryLog) membership() (Membership, Index) {
	for _, e := range slices.Backward(l.entries) {
		if e.Kind != EntryMembers {
			continue
		}
		if m, err := decodeMembers(e); err == nil {
			return m, e.Index
		}
	}
	return l.baseMembers, l.baseMembersIndex
}

// membershipAt returns the membership in effect after the entry at i.
func (l *entryLog) membershipAt(i Index) Membership {
	m := l.baseMembers
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

// compact records a snapshot and drops all entries but the last keep before it.
func (l *entryLog) compact(s Snapshot, keep int) {
	l.snapshot = s
	if s.Index <= l.offset+Index(keep) {
		return
	}
	cut := s.Index - Index(keep)
	t, _ := l.term(cut)
	l.baseMembers = l.membershipAt(cut)
	l.baseMembersIndex = cut
	l.entries = slices.Clone(l.entries[cut-l.offset:])
	l.offset, l.offsetTerm = cut, t
}

// install replaces the log with a leader's snapshot. Later entries are kept only if the
// log matches the snapshot at its index.
func (l *entryLog) install(s Snapshot) {
	if !l.matches(s.Index, s.Term) {
		l.entries = nil
		l.offset, l.offsetTerm = s.Index, s.Term
		l.baseMembers, l.baseMembersIndex = s.Members, s.Index
		l.stable = s.Index
	}
	l.snapshot = s
	l.commit = max(l.commit, s.Index)
	l.delivered = max(l.delivered, s.Index)
}
