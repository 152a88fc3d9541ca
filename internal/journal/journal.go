// Package journal keeps a replica's durable state in one data folder: who it
// is, its term and vote, its log, and the newest snapshot. What a replica
// acknowledges was synced here first. Without that, a power cut after an answer
// would take back a preset that an operator was told is in force.
//
// Files: identity, snapshot-INDEX, segment-NUMBER (hexadecimal), lock.
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
	// segmentLimit is the size at which a new segment begins. It bounds what is
	// read at once at a start.
	segmentLimit = 8 << 20
)

// Errors of a journal.
var (
	// ErrLocked means that another process has the folder open. Two would
	// overwrite each other's votes.
	ErrLocked = errors.New("journal: the folder is in use by another process")
	// ErrPoisoned means that a write or sync failed before. What the disk holds
	// is unknown: after a failed sync the system may drop the written pages and
	// report success the next time. Only opening the folder anew, which writes
	// and syncs everything again, ends this.
	ErrPoisoned = errors.New("journal: an earlier write failed")
	// ErrIncomplete means that files were taken out of the folder.
	ErrIncomplete = errors.New("journal: files are missing from the folder")
)

// Journal is an open data folder. It isn't safe for concurrent use.
type Journal struct {
	fs       FS
	dir      string
	lock     io.Closer
	identity Identity

	number  uint64
	segment uint64
	file    File
	size    int
	failure error
	syncs   uint64
}

// Options open a folder.
type Options struct {
	FS     FS
	Folder string
	// NewID draws the identity of a fresh folder.
	NewID func() raft.ID
}

// Open opens or makes a data folder and returns what it holds. Everything that
// the replica will rely on is written and synced anew into a segment of its
// own: what was read may exist only in the system's memory since a failed sync.
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
	files, err := j.list()
	if err != nil {
		return raft.StoredState{}, err
	}
	if !files.identity {
		return raft.StoredState{}, j.create(files, newID)
	}
	if err := j.readIdentity(); err != nil {
		return raft.StoredState{}, err
	}
	stored, err := j.replay(files)
	if err != nil {
		return raft.StoredState{}, err
	}
	whole := Batch{Hard: stored.Hard, Commit: stored.Commit, Entries: stored.Entries}
	if err := j.restart(whole); err != nil {
		return raft.StoredState{}, err
	}
	return stored, j.removeBefore(j.segment, stored.Snapshot.Index)
}

// folderFiles are the numbers in the names of a folder's files, in order.
type folderFiles struct {
	identity  bool
	segments  []uint64
	snapshots []uint64
}

func (j *Journal) list() (folderFiles, error) {
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

func appendNumber(to []uint64, name, prefix string) ([]uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(name, prefix), 16, 64)
	if err != nil {
		return to, &CorruptError{File: name, What: "the name has no number"}
	}
	return append(to, n), nil
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

func segmentName(n uint64) string  { return fmt.Sprintf("%s%016x", segmentPrefix, n) }
func snapshotName(n uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, n) }

// create makes a new replica of a fresh folder. The identity comes last: a
// folder with an identity but no segment has lost files, and starting it empty
// would let an old identity vote twice.
func (j *Journal) create(files folderFiles, newID func() raft.ID) error {
	if len(files.snapshots) > 0 || len(files.segments) > 1 {
		return errors.Wrapf(ErrIncomplete, "%s has no identity", j.dir)
	}
	for _, n := range files.segments {
		if err := j.fs.Remove(j.path(segmentName(n))); err != nil {
			return errors.Wrap(err, "journal: remove unfinished folder")
		}
	}
	j.identity = Identity{Replica: newID()}
	if err := j.restart(Batch{}); err != nil {
		return err
	}
	return j.writeIdentity(j.identity)
}

func (j *Journal) readIdentity() error {
	data, err := j.fs.Read(j.path(identityFile))
	if err != nil {
		return errors.Wrap(err, "journal: read identity")
	}
	body, rest, ok := next(data)
	if !ok || len(rest) > 0 {
		return &CorruptError{File: j.path(identityFile), What: "damaged"}
	}
	if _, err := j.identity.UnmarshalMsg(body); err != nil {
		return &CorruptError{File: j.path(identityFile), Offset: headerSize, What: err.Error()}
	}
	return nil
}

func (j *Journal) writeIdentity(id Identity) error {
	data, err := frame(&id)
	if err != nil {
		return err
	}
	if err := writeWhole(j.fs, j.dir, identityFile, data); err != nil {
		return j.poison(errors.Wrap(err, "journal: write identity"))
	}
	j.identity = id
	return nil
}

// Identity returns who the folder is.
func (j *Journal) Identity() Identity { return j.identity }

// SetCluster records the cluster that the replica has joined.
func (j *Journal) SetCluster(id uint64) error {
	if j.failure != nil {
		return j.failure
	}
	return j.writeIdentity(Identity{Replica: j.identity.Replica, Cluster: id})
}

// Batch is what one sync makes durable.
type Batch struct {
	Hard raft.HardState
	// Commit is an entry known to be committed.
	Commit raft.Index
	// Entries replace the stored ones from their first index on.
	Entries []raft.Entry
}

// Save makes a batch durable. After an error nothing more is saved.
func (j *Journal) Save(b Batch) error {
	if j.failure != nil {
		return j.failure
	}
	if j.size > segmentLimit {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	return j.write(record{Hard: b.Hard, Commit: b.Commit, Entries: b.Entries})
}

// SaveSnapshot makes a snapshot durable, begins a segment with whole, which
// holds all entries after it, and removes what both replace.
func (j *Journal) SaveSnapshot(s raft.Snapshot, whole Batch) error {
	if j.failure != nil {
		return j.failure
	}
	data, err := frame(&s)
	if err != nil {
		return err
	}
	if err := writeWhole(j.fs, j.dir, snapshotName(uint64(s.Index)), data); err != nil {
		return j.poison(errors.Wrap(err, "journal: write snapshot"))
	}
	if err := j.restart(whole); err != nil {
		return err
	}
	return j.removeBefore(j.segment, s.Index)
}

// restart begins a segment that needs none before it.
func (j *Journal) restart(whole Batch) error {
	if err := j.rotate(); err != nil {
		return err
	}
	return j.write(record{Reset: true, Hard: whole.Hard, Commit: whole.Commit, Entries: whole.Entries})
}

func (j *Journal) rotate() error {
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return j.poison(errors.Wrap(err, "journal: close segment"))
		}
		j.file = nil
	}
	j.segment++
	f, err := j.fs.Create(j.path(segmentName(j.segment)))
	if err != nil {
		return j.poison(errors.Wrap(err, "journal: create segment"))
	}
	j.file = f
	j.size = 0
	if err := j.fs.SyncDir(j.dir); err != nil {
		return j.poison(errors.Wrap(err, "journal: sync folder"))
	}
	return nil
}

func (j *Journal) write(r record) error {
	j.number++
	r.Number = j.number
	r.Replica = j.identity.Replica
	data, err := frame(&r)
	if err != nil {
		return j.poison(err)
	}
	if err := writeAndSync(j.file, data); err != nil {
		return j.poison(errors.Wrapf(err, "journal: write %s", segmentName(j.segment)))
	}
	j.size += len(data)
	j.syncs++
	return nil
}

func (j *Journal) poison(err error) error {
	j.failure = &poisonError{cause: err}
	return j.failure
}

type poisonError struct{ cause error }

func (e *poisonError) Error() string { return ErrPoisoned.Error() + ": " + e.cause.Error() }

func (e *poisonError) Is(target error) bool { return target == ErrPoisoned }

func (e *poisonError) Unwrap() error { return e.cause }

// removeBefore removes older segments, oldest first so that those left have no
// gap, and older snapshots.
func (j *Journal) removeBefore(segment uint64, snapshot raft.Index) error {
	files, err := j.list()
	if err != nil {
		return j.poison(err)
	}
	for _, n := range files.segments {
		if n < segment {
			if err := j.fs.Remove(j.path(segmentName(n))); err != nil {
				return j.poison(errors.Wrap(err, "journal: remove segment"))
			}
		}
	}
	for _, n := range files.snapshots {
		if n < uint64(snapshot) {
			if err := j.fs.Remove(j.path(snapshotName(n))); err != nil {
				return j.poison(errors.Wrap(err, "journal: remove snapshot"))
			}
		}
	}
	return nil
}

// Syncs returns how many records were synced.
func (j *Journal) Syncs() uint64 { return j.syncs }

// Close lets go of the folder. All that was saved is already synced.
func (j *Journal) Close() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
		j.file = nil
	}
	if j.failure == nil {
		j.failure = &poisonError{cause: errors.New("journal: closed")}
	}
	if unlockErr := j.lock.Close(); err == nil {
		err = unlockErr
	}
	if err != nil {
		return errors.Wrap(err, "journal: close")
	}
	return nil
}
