package journal

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

var (
	errPowerCut = errors.New("power cut")
	errDiskFull = errors.New("disk full")
	errSync     = errors.New("sync failed")
)

// memoryFS is an FS in memory that simulates power cuts and full disks. Bytes survive a
// power cut once their file is synced, names once their folder is synced.
type memoryFS struct {
	files map[string]*memoryFile
	// synced has the names that survive a power cut.
	synced map[string]*memoryFile
	// operationsLeft is how many more operations succeed; negative means all.
	operationsLeft int
	// operations is the number of operations that succeeded.
	operations int
	// bytesLeft is how many more bytes fit on the disk; negative means any number.
	bytesLeft int
	// syncsUntilFailure is how many more syncs of files succeed before one fails; negative
	// means all.
	syncsUntilFailure int
	locked            map[string]bool
	rng               *rand.Rand
}

type memoryFile struct {
	fs     *memoryFS
	data   []byte
	synced int
	// lostFrom is where the bytes begin that a failed sync dropped, -1 if none were. Later
	// syncs succeed, and reads return the bytes until the power is cut.
	lostFrom int
}

func newMemory(seed uint64) *memoryFS {
	return &memoryFS{
		files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}, locked: map[string]bool{},
		operationsLeft: -1, bytesLeft: -1, syncsUntilFailure: -1, rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (m *memoryFS) countOperation() error {
	if m.operationsLeft == 0 {
		return errPowerCut
	}
	m.operationsLeft--
	m.operations++
	return nil
}

// kill ends the process that uses the disk. What it wrote stays in the page cache.
func (m *memoryFS) kill() {
	m.locked = map[string]bool{}
	m.operationsLeft, m.syncsUntilFailure = -1, -1
}

// afterPowerCut returns what is on the disk after a power cut. Of the bytes of a file that
// weren't synced, any number from the start may survive, and a sector of those may read as
// zeros. Each change of a name that wasn't synced may survive or not.
func (m *memoryFS) afterPowerCut() *memoryFS {
	after := newMemory(m.rng.Uint64())
	for name, f := range m.synced {
		if _, there := m.files[name]; there || m.rng.IntN(2) == 0 {
			after.files[name] = f.afterPowerCut(after)
		}
	}
	for name, f := range m.files {
		if m.synced[name] != f && m.rng.IntN(2) == 0 {
			after.files[name] = f.afterPowerCut(after)
		}
	}
	for name, f := range after.files {
		after.synced[name] = f
	}
	return after
}

func (f *memoryFile) afterPowerCut(fs *memoryFS) *memoryFile {
	rng := f.fs.rng
	end := f.synced + rng.IntN(len(f.data)-f.synced+1)
	if f.lostFrom >= 0 && f.lostFrom < end {
		return f.withLostBytes(fs, end)
	}
	data := append([]byte(nil), f.data[:end]...)
	if rng.IntN(3) == 0 {
		from := f.synced + rng.IntN(end-f.synced+1)
		from = min((from+sectorSize-1)/sectorSize*sectorSize, end)
		clear(data[from:min(from+sectorSize, end)])
	}
	return &memoryFile{fs: fs, data: data, synced: len(data), lostFrom: -1}
}

// withLostBytes returns the first bytes of the file without those that a failed sync
// dropped: the file ends there, or has zeros.
func (f *memoryFile) withLostBytes(fs *memoryFS, size int) *memoryFile {
	data := append([]byte(nil), f.data[:f.lostFrom]...)
	if f.fs.rng.IntN(2) == 0 {
		data = append(data, make([]byte, size-f.lostFrom)...)
	}
	return &memoryFile{fs: fs, data: data, synced: len(data), lostFrom: -1}
}

func (m *memoryFS) MakeDir(string) error { return m.countOperation() }

func (m *memoryFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == dir && !strings.HasSuffix(name, lockFile) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, m.countOperation()
}

func (m *memoryFS) Read(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, errors.Errorf("%s: no such file", name)
	}
	return append([]byte(nil), f.data...), m.countOperation()
}

func (m *memoryFS) Create(name string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	if _, ok := m.files[name]; ok {
		return nil, errors.Errorf("%s: exists", name)
	}
	f := &memoryFile{fs: m, lostFrom: -1}
	m.files[name] = f
	return f, nil
}

func (m *memoryFS) Truncate(name string, size int64) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = f.data[:size]
	f.synced = len(f.data)
	if f.lostFrom >= f.synced {
		f.lostFrom = -1
	}
	return nil
}

func (m *memoryFS) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFS) Remove(name string) error {
	if _, ok := m.files[name]; !ok {
		return errors.Errorf("%s: no such file", name)
	}
	if err := m.countOperation(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memoryFS) SyncDir(dir string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	for name := range m.synced {
		if _, ok := m.files[name]; !ok {
			delete(m.synced, name)
		}
	}
	for name, f := range m.files {
		m.synced[name] = f
	}
	return nil
}

func (m *memoryFS) Lock(name string) (io.Closer, error) {
	if m.locked[name] {
		return nil, ErrLocked
	}
	m.locked[name] = true
	return unlockFunc(func() { m.locked[name] = false }), nil
}

type unlockFunc func()

func (u unlockFunc) Close() error { u(); return nil }

func (f *memoryFile) Write(b []byte) (int, error) {
	if f.fs.bytesLeft >= 0 && len(b) > f.fs.bytesLeft {
		n := f.fs.bytesLeft
		f.data = append(f.data, b[:n]...)
		f.fs.bytesLeft = 0
		return n, errDiskFull
	}
	if f.fs.bytesLeft >= 0 {
		f.fs.bytesLeft -= len(b)
	}
	f.data = append(f.data, b...)
	return len(b), f.fs.countOperation()
}

func (f *memoryFile) Sync() error {
	if err := f.fs.countOperation(); err != nil {
		return err
	}
	if f.fs.syncsUntilFailure == 0 {
		f.fs.syncsUntilFailure = -1
		f.lostFrom = f.synced
		return errSync
	}
	f.fs.syncsUntilFailure--
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Close() error { return f.fs.countOperation() }
