package distribution

import (
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/renameio/v2"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/table"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/distribution/statefile.go -o ../internal/distribution/statefile_gen.go -tests=false -unexported

const (
	stateFileVersion = 1
	// stateFileMode keeps the cluster keys in the table from other users.
	stateFileMode = 0o600
)

// Errors of a state file that can't be used; the subscriber starts without it.
var (
	errStateVersion = errors.New("distribution: state file of another version")
	errStateSum     = errors.New("distribution: state file damaged")
	errStateView    = errors.New("distribution: state file of another role or service")
)

// stateFile is the last table in use, as it is kept on disk.
type stateFile struct {
	Version int    `msg:"v"`
	Role    Role   `msg:"r"`
	Service string `msg:"s"`
	// Sum is the xxhash of Table, which is encoded.
	Sum   uint64 `msg:"h"`
	Table []byte `msg:"t"`
}

// restore puts the table of the state file in use.
func (c *Client) restore() {
	if c.cfg.StateFile == "" {
		return
	}
	t, err := loadState(c.cfg.StateFile, c.view)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		c.count.refusedByState.Add(1)
		events.Log(c.cfg.Log, events.StateFileUnusable, logrus.Fields{"file": c.cfg.StateFile, "error": err})
		return
	}
	c.mu.Lock()
	c.held = t
	c.mu.Unlock()
	events.Log(c.cfg.Log, events.TableKept, logrus.Fields{"revision": t.Revision})
	c.force(t)
}

// save writes the state file. A disk that refuses must not keep a change from
// coming into force, so the failure is counted and told, no more.
func (c *Client) save(t *table.Table) {
	if c.cfg.StateFile == "" {
		return
	}
	if err := saveState(c.cfg.StateFile, c.view, t); err != nil {
		c.count.stateFileErrors.Add(1)
		events.Log(c.cfg.Log, events.StateFileUnusable, logrus.Fields{"file": c.cfg.StateFile, "error": err})
	}
}

func loadState(path string, v view) (*table.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "distribution: read state file")
	}
	var f stateFile
	if _, err := f.UnmarshalMsg(data); err != nil {
		return nil, errors.Wrap(errStateSum, err.Error())
	}
	if f.Version != stateFileVersion {
		return nil, errStateVersion
	}
	if xxhash.Sum64(f.Table) != f.Sum {
		return nil, errStateSum
	}
	if f.Role != v.role || f.Service != v.service {
		return nil, errStateView
	}
	t := new(table.Table)
	if _, err := t.UnmarshalMsg(f.Table); err != nil {
		return nil, errors.Wrap(errStateSum, err.Error())
	}
	return t, nil
}

// saveState replaces the file by rename, and syncs the folder, so that a power
// cut leaves the old file or the new one.
func saveState(path string, v view, t *table.Table) error {
	encoded, err := t.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "distribution: encode state")
	}
	f := stateFile{Version: stateFileVersion, Role: v.role, Service: v.service, Sum: xxhash.Sum64(encoded), Table: encoded}
	data, err := f.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "distribution: encode state")
	}
	if err := renameio.WriteFile(path, data, stateFileMode); err != nil {
		return errors.Wrap(err, "distribution: write state file")
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "distribution: open folder")
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return errors.Wrap(err, "distribution: sync folder")
	}
	return nil
}
