package flowlog

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/renameio/v2"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/journal"
	"bergamotstall/internal/metrics"
)

const (
	// writeInterval is how often what agents told is written and synced: a sync
	// takes 2 ms of the replica's disk, and flows younger than this are the ones
	// that a power cut takes from the list.
	writeInterval = 500 * time.Millisecond
	// rewriteSize is the size from which on the file is written anew with what is
	// held: an eighth of a small disk at most.
	rewriteSize = 4 << 20
	// queueBytes bounds what waits to be written while the disk hangs.
	queueBytes = 8 << 20
	frameHead  = 8
	fileName   = "flows"
)

// Log is a Store with a file. Nothing waits for the disk: while it is slow, full
// or hangs, the file falls behind, and the store goes on.
type Log struct {
	*Store
	path    string
	log     logrus.FieldLogger
	metrics *metrics.Set

	mu      sync.Mutex
	pending []byte
	// stale says that updates were left out of the file.
	stale bool
	size  int64
}

// Open reads the folder's file, or begins one. A damaged tail is left out.
func Open(folder string, log logrus.FieldLogger, m *metrics.Set) (*Log, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "flowlog: folder")
	}
	l := &Log{Store: NewStore(), path: filepath.Join(folder, fileName), log: log, metrics: m, stale: true}
	data, err := os.ReadFile(l.path)
	if err != nil && !os.IsNotExist(err) {
		return nil, errors.Wrap(err, "flowlog: read")
	}
	l.replay(data)
	return l, nil
}

// replay applies the frames of a file up to the first damaged one.
func (l *Log) replay(data []byte) {
	for len(data) >= frameHead {
		size := int(binary.BigEndian.Uint32(data))
		sum := binary.BigEndian.Uint32(data[4:])
		if size > len(data)-frameHead || crc32.ChecksumIEEE(data[frameHead:frameHead+size]) != sum {
			break
		}
		var u Update
		if _, err := u.UnmarshalMsg(data[frameHead : frameHead+size]); err != nil {
			break
		}
		l.Store.Apply(u)
		data = data[frameHead+size:]
	}
	if len(data) > 0 {
		l.log.WithField("bytes", len(data)).Warn("flowlog: damaged tail left out")
	}
}

func appendFrame(to []byte, u *Update) ([]byte, error) {
	body, err := u.MarshalMsg(nil)
	if err != nil {
		return to, errors.Wrap(err, "flowlog: encode")
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(body)))
	to = binary.BigEndian.AppendUint32(to, crc32.ChecksumIEEE(body))
	return append(to, body...), nil
}

// Apply takes an update; it is on disk a little later.
func (l *Log) Apply(u Update) {
	l.Store.Apply(u)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > queueBytes {
		l.stale = true
		return
	}
	next, err := appendFrame(l.pending, &u)
	if err != nil {
		l.log.WithError(err).Error("flowlog: update left out")
		return
	}
	l.pending = next
}

// Run writes until ctx is done, and once more then.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		if err := l.write(); err != nil {
			l.metrics.Counter("flowlog_write_failed").Add(1)
			l.log.WithError(err).Debug("flowlog: write")
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// write brings the file up to date: by a frame for each update, or, after some
// were left out and once it has grown, whole.
func (l *Log) write() error {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	whole := l.stale || l.size+int64(len(pending)) > rewriteSize
	l.stale = false
	l.mu.Unlock()
	if len(pending) == 0 && !whole {
		return nil
	}
	err := l.put(pending, whole)
	if err != nil {
		l.mu.Lock()
		l.stale = true // whatever is in the file now
		l.mu.Unlock()
	}
	return err
}

func (l *Log) put(pending []byte, whole bool) error {
	if whole {
		return l.rewrite()
	}
	file, err := os.OpenFile(l.path, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "flowlog: open")
	}
	defer file.Close()
	if _, err := file.Write(pending); err != nil {
		return errors.Wrap(err, "flowlog: append")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "flowlog: sync")
	}
	l.size += int64(len(pending))
	return nil
}

// rewrite replaces the file by what is held.
func (l *Log) rewrite() error {
	var data []byte
	for _, u := range l.All() {
		next, err := appendFrame(data, &u)
		if err != nil {
			return err
		}
		data = next
	}
	if err := renameio.WriteFile(l.path, data, 0o600); err != nil {
		return errors.Wrap(err, "flowlog: rewrite")
	}
	// The name lasts only once its folder is synced: a power cut could take the
	// whole file otherwise, however often it was synced itself.
	if err := (journal.Disk{}).SyncDir(filepath.Dir(l.path)); err != nil {
		return errors.Wrap(err, "flowlog: sync folder")
	}
	l.size = int64(len(data))
	return nil
}
