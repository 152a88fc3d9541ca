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
	// stateFileMode protects the cluster keys in the table from other users.
	stateFileMode = 0o600
)

// Errors for a state file that can't be used. The subscriber then starts without a table.
var (
	errStateVersion = errors.New("distribution: state file has another version")
	errStateDamaged = errors.New("distribution: state file is damaged")
	errStateView    = errors.New("distribution: state file is for another role or service")
)

// stateFile is the file format of the last table in use.
type stateFile struct {
	Version int    `msg:"v"`
	Role    Role   `msg:"r"`
	Service string `msg:"s"`
	// Sum is the xxhash of Table, the encoded table.
	Sum   uint64 `msg:"h"`
	Table []byte `msg:"t"`
}

// restore loads the table of the state file and puts it in use.
func (c *Client) restore() {
	if c.cfg.StateFile == "" {
		return
	}
	t, err := loadState(c.cfg.StateFile, c.view)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		c.counters.refusedByState.Add(1)
		events.Log(c.cfg.Log, events.StateFileUnusable, logrus.Fields{"file": c.cfg.StateFile, "error": err})
		return
	}
	c.mu.Lock()
	c.held = t
	c.mu.Unlock()
	events.Log(c.cfg.Log, events.TableKept, logrus.Fields{"revision": t.Revision})
	c.applyTable(t)
}

// save writes the state file. A disk error must not keep a table from coming into force, so
// it is only counted and logged.
func (c *Client) save(t *table.Table) {
	if c.cfg.StateFile == "" {
		return
	}
	if err := saveState(c.cfg.StateFile, c.view, t); err != nil {
		c.counters.stateFileErrors.Add(1)
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
		return nil, errors.Wrap(errStateDamaged, err.Error())
	}
	if f.Version != stateFileVersion {
		return nil, errStateVersion
	}
	if xxhash.Sum64(f.Table) != f.Sum {
		return nil, errStateDamaged
	}
	if f.Role != v.role || f.Service != v.service {
		return nil, errStateView
	}
	t := new(table.Table)
	if _, err := t.UnmarshalMsg(f.Table); err != nil {
		return nil, errors.Wrap(errStateDamaged, err.Error())
	}
	return t, nil
}

// saveState replaces the file by a rename and syncs the folder, so that after a power loss
// either the old or the new file is there.
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
