package journal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// FS is the part of a file system that a journal needs. Tests replace it to simulate power
// cuts, full disks and slow disks.
type FS interface {
	// MakeDir creates a folder and its parents unless they exist.
	MakeDir(dir string) error
	// List returns the names of the files in a folder.
	List(dir string) ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates an empty file, and fails if the name exists.
	Create(name string) (File, error)
	// Truncate shortens a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in a folder durable.
	SyncDir(dir string) error
	// Lock takes a lock that is released when the process ends. If another process has it,
	// Lock returns ErrLocked without waiting.
	Lock(name string) (io.Closer, error)
}

// File is an append-only file.
type File interface {
	io.Writer
	// Sync returns once everything written is durable.
	Sync() error
	Close() error
}

// Disk is the FS of the operating system.
type Disk struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// MakeDir implements FS.
func (Disk) MakeDir(dir string) error { return os.MkdirAll(dir, folderMode) }

// List implements FS.
func (Disk) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read implements FS.
func (Disk) Read(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, fileMode)
}

// Truncate implements FS.
func (Disk) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (Disk) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS.
func (Disk) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f, nil
}

// replaceFile replaces a file atomically: after a power cut it has either the old or the
// new content. A temporary file is written, synced and renamed, then the folder is synced.
func replaceFile(fs FS, dir, name string, data []byte) error {
	tempPath := filepath.Join(dir, name+temporarySuffix)
	_ = fs.Remove(tempPath) // left over from a power cut
	f, err := fs.Create(tempPath)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := fs.Rename(tempPath, filepath.Join(dir, name)); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

func writeAndSync(f File, data []byte) error {
	n, err := f.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return io.ErrShortWrite
	}
	return f.Sync()
}
