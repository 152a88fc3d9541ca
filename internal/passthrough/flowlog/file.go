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
	// writeInterval is how often updates are written and synced. A sync takes 2 ms of the
	// replica's disk; a power cut loses the updates of the last interval.
	writeInterval = 500 * time.Millisecond
	// rewriteSize is the size at which the file is rewritten with the current flows only:
	// at most an eighth of a small disk.
	rewriteSize = 4 << 20
	// maxPendingBytes bounds the updates that wait to be written while the disk hangs.
	maxPendingBytes = 8 << 20
	frameHeaderSize = 8
	fileName        = "flows"
)

// Log is a Store with a file. No call waits for the disk: while it is slow, full or
// hangs, the file falls behind and the store continues.
type Log struct {
	*Store
	path    string
	log     logrus.FieldLogger
	metrics *metrics.Set

	mu      sync.Mutex
	pending []byte
	// stale is set when the file lacks updates and must be rewritten.
	stale bool
	size  int64
}

// Open reads the file in the folder, or starts a new one. A damaged end of the file is
// skipped.
func Open(folder string, log logrus.FieldLogger, m *metrics.Set) (*Log, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "flowlog: create folder")
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
	for len(data) >= frameHeaderSize {
		size := int(binary.BigEndian.Uint32(data))
		sum := binary.BigEndian.Uint32(data[4:])
		if size > len(data)-frameHeaderSize || crc32.ChecksumIEEE(data[frameHeaderSize:frameHeaderSize+size]) != sum {
			break
		}
		var u Update
		if _, err := u.UnmarshalMsg(data[frameHeaderSize : frameHeaderSize+size]); err != nil {
			break
		}
		l.Store.Apply(u)
		data = data[frameHeaderSize+size:]
	}
	if len(data) > 0 {
		l.log.WithField("bytes", len(data)).Warn("flowlog: skipped the damaged end of the file")
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

// Apply applies an update to the store and queues it for the file.
func (l *Log) Apply(u Update) {
	l.Store.Apply(u)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > maxPendingBytes {
		l.stale = true
		return
	}
	next, err := appendFrame(l.pending, &u)
	if err != nil {
		l.log.WithError(err).Error("flowlog: update can't be encoded; the file lacks it")
		return
	}
	l.pending = next
}

// Run writes until ctx is done, and then once more.
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
			l.log.WithError(err).Debug("flowlog: write failed; the file will be rewritten")
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// write brings the file up to date: it appends a frame for each update, or rewrites the
// file if updates are missing or the file has grown too large.
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
	err := l.appendOrRewrite(pending, whole)
	if err != nil {
		l.mu.Lock()
		l.stale = true // the content of the file is unknown
		l.mu.Unlock()
	}
	return err
}

func (l *Log) appendOrRewrite(pending []byte, whole bool) error {
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

// rewrite replaces the file by the current content of the store.
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
	// A new name is durable only after its folder is synced. Without it a power cut could
	// remove the whole file, however often the file itself was synced.
	if err := (journal.Disk{}).SyncDir(filepath.Dir(l.path)); err != nil {
		return errors.Wrap(err, "flowlog: sync folder")
	}
	l.size = int64(len(data))
	return nil
}
