package journal

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotstall/internal/raft"
)

// replay returns the state stored in the newest snapshot and all segments.
func (j *Journal) replay(files folderFiles) (raft.StoredState, error) {
	if len(files.segments) == 0 {
		return raft.StoredState{}, errors.Wrapf(ErrIncomplete, "%s has no segment", j.dir)
	}
	r := replayer{journal: j}
	if n := len(files.snapshots); n > 0 {
		if err := j.readSnapshot(files.snapshots[n-1], &r.stored.Snapshot); err != nil {
			return raft.StoredState{}, err
		}
	}
	for i, n := range files.segments {
		if i > 0 && n != files.segments[i-1]+1 {
			r.discardRecords()
		}
		if err := r.readSegment(n, files.segments[i+1:]); err != nil {
			return raft.StoredState{}, err
		}
	}
	j.lastRecordNumber = r.lastRecordNumber
	j.segmentNumber = files.segments[len(files.segments)-1]
	return r.joinSnapshot()
}

func (j *Journal) readSnapshot(n uint64, s *raft.Snapshot) error {
	name := j.path(snapshotName(n))
	data, err := j.fs.Read(name)
	if err != nil {
		return errors.Wrap(err, "journal: read snapshot")
	}
	body, rest, ok := decodeFrame(data)
	if !ok || len(rest) > 0 {
		return &CorruptError{File: name, What: "damaged snapshot"}
	}
	if _, err := s.UnmarshalMsg(body); err != nil {
		return &CorruptError{File: name, Offset: headerSize, What: err.Error()}
	}
	if uint64(s.Index) != n {
		return &CorruptError{File: name, Offset: headerSize, What: "the snapshot has another index than its name"}
	}
	return nil
}

// replayer rebuilds the stored state from the records of the segments.
type replayer struct {
	journal          *Journal
	stored           raft.StoredState
	lastRecordNumber uint64
	// resetSeen is set after a record with Reset, which needs no record before it.
	resetSeen bool
}

// discardRecords drops the records of the segments before a gap. A power cut may keep the
// removal of some old segments and undo that of others; then the segment after the gap
// begins with a Reset record. If no later segment has one, joinSnapshot returns
// ErrIncomplete.
func (r *replayer) discardRecords() {
	r.resetSeen = false
	r.lastRecordNumber = 0
	r.stored = raft.StoredState{Snapshot: r.stored.Snapshot}
}

// readSegment applies the records of segment n. later are the segments after it.
func (r *replayer) readSegment(n uint64, later []uint64) error {
	name := r.journal.path(segmentName(n))
	data, err := r.journal.fs.Read(name)
	if err != nil {
		return errors.Wrap(err, "journal: read segment")
	}
	offset := 0
	for offset < len(data) {
		body, rest, ok := decodeFrame(data[offset:])
		if !ok {
			return r.handleDamage(name, data, offset, later)
		}
		if err := r.applyRecord(body); err != nil {
			return &CorruptError{File: name, Offset: int64(offset), What: err.Error()}
		}
		offset = len(data) - len(rest)
	}
	return nil
}

// handleDamage truncates the segment at the offset if it ends in a torn write and no later
// segment needs that write. All other damage is a CorruptError.
func (r *replayer) handleDamage(name string, data []byte, offset int, later []uint64) error {
	if !isTornWrite(data, offset) {
		return &CorruptError{File: name, Offset: int64(offset), What: "damaged record that was once whole"}
	}
	if len(later) > 0 {
		complete, err := r.beginsWithReset(later[0])
		if err != nil {
			return err
		}
		if !complete {
			return &CorruptError{File: name, Offset: int64(offset), What: "damaged record, and later segments need it"}
		}
		return nil
	}
	if err := r.journal.fs.Truncate(name, int64(offset)); err != nil {
		return errors.Wrap(err, "journal: cut torn tail")
	}
	return nil
}

// beginsWithReset tells whether a segment begins with a record of the whole state.
func (r *replayer) beginsWithReset(n uint64) (bool, error) {
	data, err := r.journal.fs.Read(r.journal.path(segmentName(n)))
	if err != nil {
		return false, errors.Wrap(err, "journal: read segment")
	}
	body, _, ok := decodeFrame(data)
	if !ok {
		return false, nil
	}
	var rec record
	if _, err := rec.UnmarshalMsg(body); err != nil {
		return false, nil // readSegment returns the error
	}
	return rec.Reset, nil
}

func (r *replayer) applyRecord(body []byte) error {
	var rec record
	if _, err := rec.UnmarshalMsg(body); err != nil {
		return err
	}
	if rec.Replica != r.journal.identity.Replica {
		return fmt.Errorf("record of replica %s in the folder of %s", rec.Replica, r.journal.identity.Replica)
	}
	if r.lastRecordNumber != 0 && !r.mayFollow(rec) {
		return fmt.Errorf("record %d follows record %d", rec.Number, r.lastRecordNumber)
	}
	r.lastRecordNumber = rec.Number
	if rec.Reset {
		r.resetSeen = true
		r.stored.Entries = nil
	}
	r.stored.Hard = rec.Hard
	r.stored.Commit = max(r.stored.Commit, rec.Commit)
	for _, e := range rec.Entries {
		if err := r.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// mayFollow tells whether a record may follow the last one. Of the records before one with
// Reset, a power cut may have undone the last: it holds the whole state.
func (r *replayer) mayFollow(rec record) bool {
	return rec.Number == r.lastRecordNumber+1 || rec.Reset && rec.Number > r.lastRecordNumber
}

// applyEntry appends e to the log, and drops the entry with its index and those after.
func (r *replayer) applyEntry(e raft.Entry) error {
	es := r.stored.Entries
	if len(es) == 0 {
		r.stored.Entries = append(es, e)
		return nil
	}
	first, last := es[0].Index, es[len(es)-1].Index
	if e.Index < first || e.Index > last+1 {
		return fmt.Errorf("entry %d follows entries %d to %d", e.Index, first, last)
	}
	r.stored.Entries = append(es[:e.Index-first], e)
	return nil
}

// joinSnapshot returns the state with the entries after the snapshot. A power cut between
// the writes of a snapshot and of its segment leaves older segments: entries up to the
// snapshot's index are dropped, and the ones after it too unless the log has the
// snapshot's term at that index.
func (r *replayer) joinSnapshot() (raft.StoredState, error) {
	s := r.stored
	if !r.resetSeen {
		return s, errors.Wrapf(ErrIncomplete, "%s has no segment that begins a log", r.journal.dir)
	}
	snapshotIndex := s.Snapshot.Index
	if len(s.Entries) == 0 {
		return s, nil
	}
	first, last := s.Entries[0].Index, s.Entries[len(s.Entries)-1].Index
	switch {
	case first > snapshotIndex+1:
		return s, errors.Wrapf(ErrIncomplete, "%s has a snapshot of %d, but the log begins at %d", r.journal.dir, snapshotIndex, first)
	case last <= snapshotIndex:
		s.Entries = nil
	case first <= snapshotIndex:
		if s.Entries[snapshotIndex-first].Term == s.Snapshot.Term {
			s.Entries = s.Entries[snapshotIndex+1-first:]
		} else {
			s.Entries = nil
		}
	}
	return s, nil
}
