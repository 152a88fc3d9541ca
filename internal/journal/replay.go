package journal

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotstall/internal/raft"
)

// replay reads the newest snapshot and all segments.
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
			r.startOver()
		}
		if err := r.segment(n, i == len(files.segments)-1); err != nil {
			return raft.StoredState{}, err
		}
	}
	j.number = r.number
	j.segment = files.segments[len(files.segments)-1]
	return r.finish()
}

func (j *Journal) readSnapshot(n uint64, s *raft.Snapshot) error {
	name := j.path(snapshotName(n))
	data, err := j.fs.Read(name)
	if err != nil {
		return errors.Wrap(err, "journal: read snapshot")
	}
	body, rest, ok := next(data)
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

// replayer builds the stored state record by record.
type replayer struct {
	journal *Journal
	stored  raft.StoredState
	number  uint64
	// whole is set once a record was seen that needs none before it.
	whole bool
}

// startOver drops what segments before a gap held. A power cut may keep some
// removals of old segments and lose others; then the segment after the gap
// begins a log, and if it doesn't, finish refuses the folder.
func (r *replayer) startOver() {
	r.whole = false
	r.number = 0
	r.stored = raft.StoredState{Snapshot: r.stored.Snapshot}
}

func (r *replayer) segment(n uint64, last bool) error {
	name := r.journal.path(segmentName(n))
	data, err := r.journal.fs.Read(name)
	if err != nil {
		return errors.Wrap(err, "journal: read segment")
	}
	offset := 0
	for offset < len(data) {
		body, rest, ok := next(data[offset:])
		if !ok {
			return r.damaged(name, data, offset, last)
		}
		if err := r.record(body); err != nil {
			return &CorruptError{File: name, Offset: int64(offset), What: err.Error()}
		}
		offset = len(data) - len(rest)
	}
	return nil
}

// damaged cuts a torn tail off and refuses all else.
func (r *replayer) damaged(name string, data []byte, offset int, last bool) error {
	if !last {
		return &CorruptError{File: name, Offset: int64(offset), What: "damaged record, and later segments exist"}
	}
	if !tornAt(data, offset) {
		return &CorruptError{File: name, Offset: int64(offset), What: "damaged record that was once whole"}
	}
	if err := r.journal.fs.Truncate(name, int64(offset)); err != nil {
		return errors.Wrap(err, "journal: cut torn tail")
	}
	return nil
}

func (r *replayer) record(body []byte) error {
	var x record
	if _, err := x.UnmarshalMsg(body); err != nil {
		return err
	}
	if x.Replica != r.journal.identity.Replica {
		return fmt.Errorf("record of replica %s in the folder of %s", x.Replica, r.journal.identity.Replica)
	}
	if r.number != 0 && x.Number != r.number+1 {
		return fmt.Errorf("record %d follows record %d", x.Number, r.number)
	}
	r.number = x.Number
	if x.Reset {
		r.whole = true
		r.stored.Entries = nil
	}
	r.stored.Hard = x.Hard
	r.stored.Commit = max(r.stored.Commit, x.Commit)
	for _, e := range x.Entries {
		if err := r.entry(e); err != nil {
			return err
		}
	}
	return nil
}

// entry appends e and drops what it replaces.
func (r *replayer) entry(e raft.Entry) error {
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

// finish joins the entries with the snapshot. A power cut between the snapshot
// and its segment leaves the segments from before it: entries up to it are
// dropped, and those after it too unless the log agrees with the snapshot.
func (r *replayer) finish() (raft.StoredState, error) {
	s := r.stored
	if !r.whole {
		return s, errors.Wrapf(ErrIncomplete, "%s has no segment that begins a log", r.journal.dir)
	}
	at := s.Snapshot.Index
	if len(s.Entries) == 0 {
		return s, nil
	}
	first, last := s.Entries[0].Index, s.Entries[len(s.Entries)-1].Index
	switch {
	case first > at+1:
		return s, errors.Wrapf(ErrIncomplete, "%s has a snapshot of %d, but the log begins at %d", r.journal.dir, at, first)
	case last <= at:
		s.Entries = nil
	case first <= at:
		if s.Entries[at-first].Term == s.Snapshot.Term {
			s.Entries = s.Entries[at+1-first:]
		} else {
			s.Entries = nil
		}
	}
	return s, nil
}
