package journal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// FS is the little that a journal needs of a file system. Tests put one in
// that cuts the power, fills the disk or slows it.
type FS interface {
	// MakeDir makes a folder unless it exists.
	MakeDir(dir string) error
	// List returns the names of the files in a folder.
	List(dir string) ([]string, error)
	Read(name string) ([]byte, error)
	// Create makes a new, empty file; it fails if there is one.
	Create(name string) (File, error)
	// Truncate cuts a file and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes a folder's names durable.
	SyncDir(dir string) error
	// Lock takes a lock that ends with the process, or fails at once.
	Lock(name string) (io.Closer, error)
}

// File is a file that is only appended to.
type File interface {
	io.Writer
	// Sync returns once all that was written lasts.
	Sync() error
	Close() error
}

// Disk is the machine's file system.
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

// writeWhole replaces a file so that after a power cut either the old or the
// new content is there, whole: a temporary file is synced before its name
// changes, and the folder after.
func writeWhole(fs FS, dir, name string, data []byte) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	_ = fs.Remove(temporary) // left over from a power cut
	f, err := fs.Create(temporary)
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
	if err := fs.Rename(temporary, filepath.Join(dir, name)); err != nil {
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
