package journal

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

var (
	errPower = errors.New("power: cut")
	errFull  = errors.New("disk: full")
)

// memory is a file system whose power can be cut. Bytes last once their file
// is synced, names once their folder is.
type memory struct {
	files map[string]*memoryFile
	// synced are the names that outlive a power cut.
	synced map[string]*memoryFile
	// budget is how many more operations succeed; negative for all.
	budget int
	// spent counts operations.
	spent int
	// room is how many more bytes fit; negative for any number.
	room   int
	locked map[string]bool
	rng    *rand.Rand
}

type memoryFile struct {
	fs     *memory
	data   []byte
	synced int
}

func newMemory(seed uint64) *memory {
	return &memory{
		files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}, locked: map[string]bool{},
		budget: -1, room: -1, rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (m *memory) spend() error {
	if m.budget == 0 {
		return errPower
	}
	m.budget--
	m.spent++
	return nil
}

// cut returns what is on the disk after a power cut: of the bytes that were not
// synced any number from the start may last, or whole sectors may read as
// zeros; of the names that were not synced each may last or not.
func (m *memory) cut() *memory {
	after := newMemory(m.rng.Uint64())
	for name, f := range m.synced {
		if _, there := m.files[name]; there || m.rng.IntN(2) == 0 {
			after.files[name] = f.cut(after)
		}
	}
	for name, f := range m.files {
		if m.synced[name] != f && m.rng.IntN(2) == 0 {
			after.files[name] = f.cut(after)
		}
	}
	for name, f := range after.files {
		after.synced[name] = f
	}
	return after
}

func (f *memoryFile) cut(into *memory) *memoryFile {
	rng := f.fs.rng
	end := f.synced + rng.IntN(len(f.data)-f.synced+1)
	data := append([]byte(nil), f.data[:end]...)
	if rng.IntN(3) == 0 {
		from := f.synced + rng.IntN(end-f.synced+1)
		from = min((from+sector-1)/sector*sector, end)
		clear(data[from:min(from+sector, end)])
	}
	return &memoryFile{fs: into, data: data, synced: len(data)}
}

func (m *memory) MakeDir(string) error { return m.spend() }

func (m *memory) List(dir string) ([]string, error) {
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == dir && !strings.HasSuffix(name, lockFile) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, m.spend()
}

func (m *memory) Read(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, errors.Errorf("%s: no such file", name)
	}
	return append([]byte(nil), f.data...), m.spend()
}

func (m *memory) Create(name string) (File, error) {
	if err := m.spend(); err != nil {
		return nil, err
	}
	if _, ok := m.files[name]; ok {
		return nil, errors.Errorf("%s: exists", name)
	}
	f := &memoryFile{fs: m}
	m.files[name] = f
	return f, nil
}

func (m *memory) Truncate(name string, size int64) error {
	if err := m.spend(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = f.data[:size]
	f.synced = len(f.data)
	return nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.spend(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memory) Remove(name string) error {
	if _, ok := m.files[name]; !ok {
		return errors.Errorf("%s: no such file", name)
	}
	if err := m.spend(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memory) SyncDir(dir string) error {
	if err := m.spend(); err != nil {
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

func (m *memory) Lock(name string) (io.Closer, error) {
	if m.locked[name] {
		return nil, ErrLocked
	}
	m.locked[name] = true
	return unlock(func() { m.locked[name] = false }), nil
}

type unlock func()

func (u unlock) Close() error { u(); return nil }

func (f *memoryFile) Write(b []byte) (int, error) {
	if f.fs.room >= 0 && len(b) > f.fs.room {
		n := f.fs.room
		f.data = append(f.data, b[:n]...)
		f.fs.room = 0
		return n, errFull
	}
	if f.fs.room >= 0 {
		f.fs.room -= len(b)
	}
	f.data = append(f.data, b...)
	return len(b), f.fs.spend()
}

func (f *memoryFile) Sync() error {
	if err := f.fs.spend(); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Close() error { return f.fs.spend() }
