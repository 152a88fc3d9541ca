package journal

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/raft"
)

const folder = "/data"

func openMemory(m *memory, id raft.ID) (*Journal, raft.StoredState, error) {
	return Open(Options{FS: m, Folder: folder, NewID: func() raft.ID { return id }})
}

// script is what a replica does, step by step, with the state that it may rely
// on after each.
type script struct {
	rng  *rand.Rand
	want raft.StoredState
}

func (s *script) entries(n int) []raft.Entry {
	next := s.want.Snapshot.Index + raft.Index(len(s.want.Entries)) + 1
	if len(s.want.Entries) > 0 && s.rng.IntN(4) == 0 {
		next-- // a new leader replaces the last entry
		s.want.Entries = s.want.Entries[:len(s.want.Entries)-1]
	}
	var out []raft.Entry
	for i := range n {
		data := bytes.Repeat([]byte{byte(next) | 1}, s.rng.IntN(900))
		out = append(out, raft.Entry{Index: next + raft.Index(i), Term: s.want.Hard.Term, Kind: raft.EntryCommand, Data: data})
	}
	return out
}

// step does one thing; want is only moved once it has succeeded.
func (s *script) step(j *Journal) error {
	before := s.want
	before.Entries = append([]raft.Entry(nil), before.Entries...)
	s.want.Hard.Term++
	s.want.Hard.Vote = raft.ID(s.rng.Uint64())
	var err error
	if n := len(s.want.Entries); n > 3 && s.rng.IntN(3) == 0 {
		at := s.want.Entries[n/2]
		s.want.Snapshot = raft.Snapshot{Index: at.Index, Term: at.Term, Data: []byte("state")}
		s.want.Entries = append([]raft.Entry(nil), s.want.Entries[n/2+1:]...)
		err = j.SaveSnapshot(s.want.Snapshot, Batch{Hard: s.want.Hard, Entries: s.want.Entries})
	} else {
		es := s.entries(1 + s.rng.IntN(3))
		err = j.Save(Batch{Hard: s.want.Hard, Entries: es})
		s.want.Entries = append(s.want.Entries, es...)
	}
	if err != nil {
		s.want = before
	}
	return err
}

// holds says whether a state has all that was acknowledged: the term, and each
// entry or a snapshot of it. It may have the step that the power cut short.
func holds(got, want raft.StoredState) bool {
	if got.Hard.Term < want.Hard.Term || got.Hard.Term == want.Hard.Term && got.Hard.Vote != want.Hard.Vote {
		return false
	}
	if got.Snapshot.Index < want.Snapshot.Index {
		return false
	}
	replaced := got.Hard.Term > want.Hard.Term
	for i, e := range want.Entries {
		if e.Index <= got.Snapshot.Index || replaced && i == len(want.Entries)-1 {
			continue
		}
		at := int(e.Index - got.Snapshot.Index - 1)
		if at >= len(got.Entries) || got.Entries[at].Term != e.Term || !bytes.Equal(got.Entries[at].Data, e.Data) {
			return false
		}
	}
	return true
}

// The power is cut at each operation in turn, also while the replica starts
// after an earlier cut. An operator's command that was acknowledged must be
// there when the VM is back, and the folder must open.
func TestPowerCutAtEveryOperation(t *testing.T) {
	cuts := 0
	for seed := range uint64(12) {
		for budget := 0; ; budget++ {
			s := &script{rng: rand.New(rand.NewPCG(seed, 2))}
			m := newMemory(seed + uint64(budget)<<8)
			m.budget = budget
			j, _, err := openMemory(m, 7)
			for range 12 {
				if err == nil {
					err = s.step(j)
				}
			}
			if err == nil {
				break // the whole script ran before the power was cut
			}
			cuts++
			if err := reopen(m, s); err != nil {
				t.Fatalf("seed %d, cut at operation %d: %v", seed, budget, err)
			}
		}
	}
	t.Logf("%d power cuts", cuts)
	if cuts < 100 {
		t.Fatal("too few cuts to mean anything")
	}
}

// reopen starts after a cut, with further cuts during the start, and goes on.
func reopen(m *memory, s *script) error {
	for again := range 4 {
		m = m.cut()
		m.budget = m.rng.IntN(20)
		if again == 3 {
			m.budget = -1
		}
		j, got, err := openMemory(m, 8)
		if err != nil {
			if m.budget == 0 && again < 3 {
				continue
			}
			return err
		}
		if s.want.Hard.Term > 0 && j.Identity().Replica != 7 {
			return errors.New("another identity")
		}
		if !holds(got, s.want) {
			return errors.Errorf("got term %d, %d entries after %d; want term %d, %d entries after %d",
				got.Hard.Term, len(got.Entries), got.Snapshot.Index,
				s.want.Hard.Term, len(s.want.Entries), s.want.Snapshot.Index)
		}
		if again == 3 {
			s.want = got
			return s.step(j)
		}
	}
	return nil
}

// The disk fills up in the middle of a write. The replica must acknowledge
// nothing from then on, also when there is room again: what the failed write
// left is unknown. Opened anew, it has what it acknowledged.
func TestFullDiskEndsAcknowledgements(t *testing.T) {
	is := is.New(t)
	m := newMemory(1)
	j, _, err := openMemory(m, 7)
	is.NoErr(err)
	s := &script{rng: rand.New(rand.NewPCG(1, 2))}
	for range 5 {
		is.NoErr(s.step(j))
	}
	m.room = 10
	err = s.step(j)
	is.True(errors.Is(err, ErrPoisoned) && errors.Is(err, errFull))
	m.room = -1
	for range 3 {
		is.True(errors.Is(s.step(j), ErrPoisoned))
	}
	is.True(errors.Is(j.SetCluster(1), ErrPoisoned))
	_ = j.Close()
	_, got, err := openMemory(m, 8)
	is.NoErr(err)
	is.True(holds(got, s.want))
	is.Equal(len(got.Entries), len(s.want.Entries))
}

func TestFailedSyncEndsAcknowledgements(t *testing.T) {
	is := is.New(t)
	m := newMemory(1)
	j, _, err := openMemory(m, 7)
	is.NoErr(err)
	m.budget = 1 // the write succeeds, its sync doesn't
	is.True(errors.Is(j.Save(Batch{Hard: raft.HardState{Term: 1}}), ErrPoisoned))
	m.budget = -1
	is.True(errors.Is(j.Save(Batch{Hard: raft.HardState{Term: 1}}), ErrPoisoned))
}

func TestSecondProcessIsLockedOut(t *testing.T) {
	is := is.New(t)
	o := Options{FS: Disk{}, Folder: t.TempDir(), NewID: func() raft.ID { return 7 }}
	j, stored, err := Open(o)
	is.NoErr(err)
	is.True(stored.Empty())
	_, _, err = Open(o)
	is.True(errors.Is(err, ErrLocked))
	is.NoErr(j.Save(Batch{Hard: raft.HardState{Term: 3, Vote: 9}}))
	is.NoErr(j.SetCluster(5))
	is.NoErr(j.Close())
	j, stored, err = Open(o)
	is.NoErr(err)
	is.Equal(stored.Hard, raft.HardState{Term: 3, Vote: 9})
	is.Equal(j.Identity(), Identity{Replica: 7, Cluster: 5})
	is.NoErr(j.Close())
}

// damagedFolder makes a real folder with some records and damages one file.
func damagedFolder(t *testing.T, pattern string, damage func([]byte) []byte) (Options, string) {
	t.Helper()
	is := is.New(t)
	o := Options{FS: Disk{}, Folder: t.TempDir(), NewID: func() raft.ID { return 7 }}
	j, _, err := Open(o)
	is.NoErr(err)
	s := &script{rng: rand.New(rand.NewPCG(4, 2))}
	for s.want.Snapshot.Index == 0 || len(s.want.Entries) < 3 {
		is.NoErr(s.step(j))
	}
	is.NoErr(j.Close())
	names, err := filepath.Glob(filepath.Join(o.Folder, pattern))
	is.NoErr(err)
	name := names[len(names)-1]
	data, err := os.ReadFile(name)
	is.NoErr(err)
	if damage == nil {
		is.NoErr(os.Remove(name))
	} else {
		is.NoErr(os.WriteFile(name, damage(data), fileMode))
	}
	return o, name
}

// A bit flips, a file is cut, a file is gone. All but a torn last write must be
// refused, naming file and offset: a replica that went on would have forgotten
// what it acknowledged.
func TestDamageIsRefusedWithFileAndOffset(t *testing.T) {
	flip := func(at func([]byte) int) func([]byte) []byte {
		return func(b []byte) []byte { b[at(b)] ^= 0x10; return b }
	}
	first := func([]byte) int { return headerSize + 3 }
	last := func(b []byte) int { return len(b) - 2 }
	for _, c := range []struct {
		name, pattern string
		damage        func([]byte) []byte
		want          string
	}{
		{"first record's body", "segment-*", flip(first), "offset 0"},
		{"length of the first record", "segment-*", flip(func([]byte) int { return 5 }), "offset 0"},
		{"last record's body", "segment-*", flip(last), "damaged record that was once whole"},
		{"snapshot", "snapshot-*", flip(last), "damaged snapshot"},
		{"snapshot cut", "snapshot-*", func(b []byte) []byte { return b[:len(b)-1] }, "damaged snapshot"},
		{"identity", "identity", flip(last), "identity: offset 0"},
		{"identity gone", "identity", nil, "has no identity"},
		{"segments gone", "segment-*", nil, "has no segment"},
		{"snapshot gone", "snapshot-*", nil, "but the log begins at"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o, name := damagedFolder(t, c.pattern, c.damage)
			_, _, err := Open(o)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // got another error
			var corrupt *CorruptError
			is.True(errors.As(err, &corrupt) || errors.Is(err, ErrIncomplete))
			if corrupt != nil {
				is.Equal(corrupt.File, name)
			}
		})
	}
}

func TestTornLastWriteIsCut(t *testing.T) {
	for _, damage := range []func([]byte) []byte{
		func(b []byte) []byte { return b[:len(b)-1] },
		func(b []byte) []byte { return append(b, "BSJ1"...) },
		func(b []byte) []byte { return append(b, make([]byte, 700)...) },
	} {
		is := is.New(t)
		o, _ := damagedFolder(t, "segment-*", damage)
		j, stored, err := Open(o)
		is.NoErr(err)
		is.NoErr(j.Save(Batch{Hard: raft.HardState{Term: stored.Hard.Term + 1}}))
		is.NoErr(j.Close())
		_, again, err := Open(o)
		is.NoErr(err)
		is.Equal(again.Hard.Term, stored.Hard.Term+1)
		is.Equal(len(again.Entries), len(stored.Entries))
	}
}

// Old segments must go, or the disk fills within weeks.
func TestSnapshotRemovesOldSegments(t *testing.T) {
	is := is.New(t)
	m := newMemory(1)
	j, _, err := openMemory(m, 7)
	is.NoErr(err)
	s := &script{rng: rand.New(rand.NewPCG(9, 2))}
	for range 200 {
		is.NoErr(s.step(j))
	}
	files, err := j.list()
	is.NoErr(err)
	is.True(len(files.segments) <= 1)
	is.Equal(len(files.snapshots), 1)
}

// FuzzOpen opens a folder whose segment holds anything. It must not panic, must
// not take records that were never written, and what it accepts must open the
// same way again.
func FuzzOpen(f *testing.F) {
	whole, err := frame(&record{Number: 1, Replica: 7, Reset: true, Hard: raft.HardState{Term: 2}})
	if err != nil {
		f.Fatal(err)
	}
	second, err := frame(&record{Number: 2, Replica: 7, Hard: raft.HardState{Term: 3}, Entries: []raft.Entry{{Index: 1, Term: 3, Kind: raft.EntryCommand, Data: []byte("x")}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(append(bytes.Clone(whole), second...))
	f.Add(append(bytes.Clone(whole), second[:20]...))
	f.Add(append(bytes.Clone(second), whole...))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMemory(1)
		identity, _ := frame(&Identity{Replica: 7})
		put := func(name string, data []byte) {
			m.files[filepath.Join(folder, name)] = &memoryFile{fs: m, data: data, synced: len(data)}
		}
		put(identityFile, identity)
		put(segmentName(1), data)
		j, stored, err := openMemory(m, 8)
		if err != nil {
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) && !errors.Is(err, ErrIncomplete) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		_ = j.Close()
		_, again, err := openMemory(m, 8)
		if err != nil || again.Hard != stored.Hard || len(again.Entries) != len(stored.Entries) {
			t.Fatalf("opened once with %d entries, then %d: %v", len(stored.Entries), len(again.Entries), err)
		}
	})
}
