// Package journal stores the durable state of a Raft replica in one data folder: its
// identity, term and vote, its log, and the newest snapshot. A replica syncs its state to
// the journal before it acknowledges anything. Otherwise a power cut could lose a preset
// that an operator was told is in force.
//
// The files are identity, snapshot-INDEX, segment-NUMBER (numbers in hexadecimal) and lock.
// A segment is a sequence of records; a new one begins when the current one is full, and
// after each snapshot. Opening the folder and saving a snapshot begin a segment with a
// record of the whole state.
//
// Each write is synced before the next one, so that only the last write can be torn: its
// process was killed, its sync failed, or the power was cut. The order of operations keeps
// a torn write at the end of the log, whatever is interrupted:
//
//   - The identity, a snapshot and a segment that begins with the whole state are written
//     and synced under a temporary name, renamed, and then the folder is synced. A file with
//     its final name is whole.
//   - A segment that doesn't begin with the whole state is created only after all writes to
//     the one before were synced.
//   - Older segments and snapshots are removed once the new segment is durable. The removal
//     isn't synced: a power cut may undo it, also for a segment whose last write was torn.
//     The segment after it then begins with the whole state, and that write isn't needed.
package journal

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"bergamotstall/internal/raft"
)

const (
	identityFile    = "identity"
	lockFile        = "lock"
	segmentPrefix   = "segment-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".temporary"
	// segmentLimitBytes is the size above which a new segment begins. It limits how much
	// is read into memory at once when the folder is opened.
	segmentLimitBytes = 8 << 20
)

// Errors of Open and of the methods of Journal.
var (
	// ErrLocked means that another process has the folder open. Two processes would
	// overwrite each other's votes.
	ErrLocked = errors.New("journal: the folder is in use by another process")
	// ErrWriteFailed means that an earlier write or sync failed, and that the content of the
	// disk is unknown: after a failed sync the kernel may drop the written pages and report
	// success for the next sync. The folder must be closed and opened again, which writes
	// and syncs the whole state anew.
	ErrWriteFailed = errors.New("journal: an earlier write failed")
	// ErrIncomplete means that files were removed from the folder.
	ErrIncomplete = errors.New("journal: files are missing from the folder")
)

// Journal is an open data folder. It isn't safe for concurrent use.
type Journal struct {
	fs       FS
	dir      string
	lock     io.Closer
	identity Identity

	lastRecordNumber uint64
	segmentNumber    uint64
	file             File
	segmentSize      int
	failure          error
	syncs            uint64
}

// Options configure Open.
type Options struct {
	FS     FS
	Folder string
	// NewID returns a random replica ID for a new folder.
	NewID func() raft.ID
}

// Open opens a data folder, which it creates if it doesn't exist, and returns the stored
// state. The whole state is written and synced again into a new segment, because after a
// failed sync what was read may be in the kernel's page cache only. Errors are
// ErrLocked, ErrIncomplete, *CorruptError, or errors of the file system.
func Open(o Options) (*Journal, raft.StoredState, error) {
	if err := o.FS.MakeDir(o.Folder); err != nil {
		return nil, raft.StoredState{}, errors.Wrap(err, "journal: make folder")
	}
	lock, err := o.FS.Lock(filepath.Join(o.Folder, lockFile))
	if err != nil {
		return nil, raft.StoredState{}, errors.Wrapf(err, "journal: lock %s", o.Folder)
	}
	j := &Journal{fs: o.FS, dir: o.Folder, lock: lock}
	stored, err := j.load(o.NewID)
	if err != nil {
		_ = lock.Close()
		return nil, raft.StoredState{}, err
	}
	return j, stored, nil
}

func (j *Journal) load(newID func() raft.ID) (raft.StoredState, error) {
	files, err := j.listFiles()
	if err != nil {
		return raft.StoredState{}, err
	}
	if !files.identity {
		return raft.StoredState{}, j.initialize(files, newID)
	}
	if err := j.readIdentity(); err != nil {
		return raft.StoredState{}, err
	}
	stored, err := j.replay(files)
	if err != nil {
		return raft.StoredState{}, err
	}
	state := Batch{Hard: stored.Hard, Commit: stored.Commit, Entries: stored.Entries}
	if err := j.startLog(state); err != nil {
		return raft.StoredState{}, err
	}
	return stored, j.removeBefore(j.segmentNumber, stored.Snapshot.Index)
}

// folderFiles describes the files of a folder: the numbers in the names of segments and
// snapshots in ascending order, and whether there is an identity.
type folderFiles struct {
	identity  bool
	segments  []uint64
	snapshots []uint64
}

func (j *Journal) listFiles() (folderFiles, error) {
	var files folderFiles
	names, err := j.fs.List(j.dir)
	if err != nil {
		return files, errors.Wrap(err, "journal: list folder")
	}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			continue
		case name == identityFile:
			files.identity = true
		case strings.HasPrefix(name, segmentPrefix):
			files.segments, err = appendNumber(files.segments, name, segmentPrefix)
		case strings.HasPrefix(name, snapshotPrefix):
			files.snapshots, err = appendNumber(files.snapshots, name, snapshotPrefix)
		}
		if err != nil {
			return files, err
		}
	}
	slices.Sort(files.segments)
	slices.Sort(files.snapshots)
	return files, nil
}

func appendNumber(numbers []uint64, name, prefix string) ([]uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(name, prefix), 16, 64)
	if err != nil {
		return numbers, &CorruptError{File: name, What: "the name has no number"}
	}
	return append(numbers, n), nil
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

func segmentName(n uint64) string  { return fmt.Sprintf("%s%016x", segmentPrefix, n) }
func snapshotName(n uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, n) }

// initialize sets up a new replica in a folder without an identity. The identity is
// written last, so that a folder with an identity but no segment has lost files. Starting
// such a folder empty would let its replica vote twice in a term.
func (j *Journal) initialize(files folderFiles, newID func() raft.ID) error {
	if len(files.snapshots) > 0 || len(files.segments) > 1 {
		return errors.Wrapf(ErrIncomplete, "%s has no identity", j.dir)
	}
	for _, n := range files.segments {
		if err := j.fs.Remove(j.path(segmentName(n))); err != nil {
			return errors.Wrap(err, "journal: remove unfinished folder")
		}
	}
	j.identity = Identity{Replica: newID()}
	if err := j.startLog(Batch{}); err != nil {
		return err
	}
	return j.writeIdentity(j.identity)
}

func (j *Journal) readIdentity() error {
	data, err := j.fs.Read(j.path(identityFile))
	if err != nil {
		return errors.Wrap(err, "journal: read identity")
	}
	body, rest, ok := decodeFrame(data)
	if !ok || len(rest) > 0 {
		return &CorruptError{File: j.path(identityFile), What: "damaged"}
	}
	if _, err := j.identity.UnmarshalMsg(body); err != nil {
		return &CorruptError{File: j.path(identityFile), Offset: headerSize, What: err.Error()}
	}
	return nil
}

func (j *Journal) writeIdentity(id Identity) error {
	data, err := encodeFrame(&id)
	if err != nil {
		return err
	}
	if err := replaceFile(j.fs, j.dir, identityFile, data); err != nil {
		return j.fail(errors.Wrap(err, "journal: write identity"))
	}
	j.identity = id
	return nil
}

// Identity returns the identity of the replica that the folder belongs to.
func (j *Journal) Identity() Identity { return j.identity }

// SetCluster stores the ID of the cluster that the replica has joined.
func (j *Journal) SetCluster(id uint64) error {
	if j.failure != nil {
		return j.failure
	}
	return j.writeIdentity(Identity{Replica: j.identity.Replica, Cluster: id})
}

// Batch is the state that one write and sync make durable.
type Batch struct {
	Hard raft.HardState
	// Commit is the index of an entry known to be committed.
	Commit raft.Index
	// Entries replace the stored ones from their first index on.
	Entries []raft.Entry
}

// Save writes and syncs a batch. After an error nothing more can be saved: all further
// calls fail with ErrWriteFailed.
func (j *Journal) Save(b Batch) error {
	if j.failure != nil {
		return j.failure
	}
	if j.segmentSize > segmentLimitBytes {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	return j.write(record{Hard: b.Hard, Commit: b.Commit, Entries: b.Entries})
}

// SaveSnapshot writes and syncs a snapshot, begins a new segment with state, which must
// have all entries after the snapshot, and removes older segments and snapshots.
func (j *Journal) SaveSnapshot(s raft.Snapshot, state Batch) error {
	if j.failure != nil {
		return j.failure
	}
	data, err := encodeFrame(&s)
	if err != nil {
		return err
	}
	if err := replaceFile(j.fs, j.dir, snapshotName(uint64(s.Index)), data); err != nil {
		return j.fail(errors.Wrap(err, "journal: write snapshot"))
	}
	if err := j.startLog(state); err != nil {
		return err
	}
	return j.removeBefore(j.segmentNumber, s.Index)
}

// startLog begins a new segment with a record of the whole state, so that no earlier
// segment is needed. The segment gets its name once that record is synced.
func (j *Journal) startLog(state Batch) error {
	name := j.path(segmentName(j.segmentNumber + 1))
	_ = j.fs.Remove(name + temporarySuffix) // left over from an interrupted start
	if err := j.createSegment(name + temporarySuffix); err != nil {
		return err
	}
	if err := j.write(record{Reset: true, Hard: state.Hard, Commit: state.Commit, Entries: state.Entries}); err != nil {
		return err
	}
	if err := j.fs.Rename(name+temporarySuffix, name); err != nil {
		return j.fail(errors.Wrap(err, "journal: rename segment"))
	}
	return j.syncFolder()
}

// rotate begins a new, empty segment.
func (j *Journal) rotate() error {
	if err := j.createSegment(j.path(segmentName(j.segmentNumber + 1))); err != nil {
		return err
	}
	return j.syncFolder()
}

// createSegment closes the current segment and creates the next one as the given file.
func (j *Journal) createSegment(name string) error {
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return j.fail(errors.Wrap(err, "journal: close segment"))
		}
		j.file = nil
	}
	f, err := j.fs.Create(name)
	if err != nil {
		return j.fail(errors.Wrap(err, "journal: create segment"))
	}
	j.file = f
	j.segmentNumber++
	j.segmentSize = 0
	return nil
}

func (j *Journal) syncFolder() error {
	if err := j.fs.SyncDir(j.dir); err != nil {
		return j.fail(errors.Wrap(err, "journal: sync folder"))
	}
	return nil
}

func (j *Journal) write(r record) error {
	j.lastRecordNumber++
	r.Number = j.lastRecordNumber
	r.Replica = j.identity.Replica
	data, err := encodeFrame(&r)
	if err != nil {
		return j.fail(err)
	}
	if err := writeAndSync(j.file, data); err != nil {
		return j.fail(errors.Wrapf(err, "journal: write %s", segmentName(j.segmentNumber)))
	}
	j.segmentSize += len(data)
	j.syncs++
	return nil
}

// fail makes all further writes fail with ErrWriteFailed, and returns that error.
func (j *Journal) fail(err error) error {
	j.failure = &writeFailedError{cause: err}
	return j.failure
}

type writeFailedError struct{ cause error }

func (e *writeFailedError) Error() string { return ErrWriteFailed.Error() + ": " + e.cause.Error() }

func (e *writeFailedError) Is(target error) bool { return target == ErrWriteFailed }

func (e *writeFailedError) Unwrap() error { return e.cause }

// removeBefore removes the segments and snapshots with lower numbers. The oldest segment
// is removed first, so that the remaining ones have no gap.
func (j *Journal) removeBefore(segmentNumber uint64, snapshot raft.Index) error {
	files, err := j.listFiles()
	if err != nil {
		return j.fail(err)
	}
	for _, n := range files.segments {
		if n < segmentNumber {
			if err := j.fs.Remove(j.path(segmentName(n))); err != nil {
				return j.fail(errors.Wrap(err, "journal: remove segment"))
			}
		}
	}
	for _, n := range files.snapshots {
		if n < uint64(snapshot) {
			if err := j.fs.Remove(j.path(snapshotName(n))); err != nil {
				return j.fail(errors.Wrap(err, "journal: remove snapshot"))
			}
		}
	}
	return nil
}

// Syncs returns the number of records written and synced.
func (j *Journal) Syncs() uint64 { return j.syncs }

// Close closes the segment and releases the lock. It needs no sync: Save has synced.
func (j *Journal) Close() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
		j.file = nil
	}
	if j.failure == nil {
		j.failure = &writeFailedError{cause: errors.New("journal: closed")}
	}
	if unlockErr := j.lock.Close(); err == nil {
		err = unlockErr
	}
	if err != nil {
		return errors.Wrap(err, "journal: close")
	}
	return nil
}
