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

const testFolder = "/data"

func openInMemory(m *memoryFS, id raft.ID) (*Journal, raft.StoredState, error) {
	return Open(Options{FS: m, Folder: testFolder, NewID: func() raft.ID { return id }})
}

// workload is a random sequence of writes of a replica. want is the state that the journal
// has acknowledged so far.
type workload struct {
	rng  *rand.Rand
	want raft.StoredState
}

func (s *workload) entries(n int) []raft.Entry {
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

// step writes one batch or snapshot, and updates want if the write succeeds.
func (s *workload) step(j *Journal) error {
	before := s.want
	before.Entries = append([]raft.Entry(nil), before.Entries...)
	s.want.Hard.Term++
	s.want.Hard.Vote = raft.ID(s.rng.Uint64())
	var err error
	if n := len(s.want.Entries); n > 3 && s.rng.IntN(3) == 0 {
		snapshotAt := s.want.Entries[n/2]
		s.want.Snapshot = raft.Snapshot{Index: snapshotAt.Index, Term: snapshotAt.Term, Data: []byte("state")}
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

// hasAcknowledged reports whether got has everything acknowledged in want: the term and
// vote, and each entry or a snapshot that includes it. It may also have the write that the
// power cut interrupted.
func hasAcknowledged(got, want raft.StoredState) bool {
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
		offset := int(e.Index - got.Snapshot.Index - 1)
		if offset >= len(got.Entries) || got.Entries[offset].Term != e.Term || !bytes.Equal(got.Entries[offset].Data, e.Data) {
			return false
		}
	}
	return true
}

// Guards against losing acknowledged commands in a power cut. The power is cut at each
// operation in turn, and again while the replica starts afterwards. Then the folder must
// open, with everything that was acknowledged.
func TestPowerCutAtEveryOperation(t *testing.T) {
	cuts := 0
	for seed := range uint64(12) {
		for cutAt := 0; ; cutAt++ {
			s := &workload{rng: rand.New(rand.NewPCG(seed, 2))}
			m := newMemory(seed + uint64(cutAt)<<8)
			m.operationsLeft = cutAt
			j, _, err := openInMemory(m, 7)
			for range 12 {
				if err == nil {
					err = s.step(j)
				}
			}
			if err == nil {
				break // the whole workload ran before the power cut
			}
			cuts++
			if err := reopen(m, s); err != nil {
				t.Fatalf("seed %d, cut at operation %d: %v", seed, cutAt, err)
			}
		}
	}
	t.Logf("%d power cuts", cuts)
	if cuts < 100 {
		t.Fatal("fewer than 100 power cuts, too few to test anything")
	}
}

// reopen opens the folder after a power cut, with further cuts while it opens, checks the
// state and writes once more.
func reopen(m *memoryFS, s *workload) error {
	for attempt := range 4 {
		m = m.afterPowerCut()
		m.operationsLeft = m.rng.IntN(20)
		if attempt == 3 {
			m.operationsLeft = -1
		}
		j, got, err := openInMemory(m, 8)
		if err != nil {
			if m.operationsLeft == 0 && attempt < 3 {
				continue
			}
			return err
		}
		if s.want.Hard.Term > 0 && j.Identity().Replica != 7 {
			return errors.New("another identity")
		}
		if !hasAcknowledged(got, s.want) {
			return errors.Errorf("got term %d, %d entries after %d; want term %d, %d entries after %d",
				got.Hard.Term, len(got.Entries), got.Snapshot.Index,
				s.want.Hard.Term, len(s.want.Entries), s.want.Snapshot.Index)
		}
		if attempt == 3 {
			s.want = got
			return s.step(j)
		}
	}
	return nil
}

// Guards against a folder that is refused or incomplete after kills, failed syncs and power cuts.
func TestKillsFailedSyncsAndPowerCuts(t *testing.T) {
	const seeds, endsPerSeed = 1600, 8
	for seed := range uint64(seeds) {
		s := &workload{rng: rand.New(rand.NewPCG(seed, 3))}
		m := newMemory(seed)
		for end := range endsPerSeed {
			if err := runUntilInterrupted(m, s); err != nil {
				t.Fatalf("seed %d, end %d: %v", seed, end, err)
			}
			m.kill()
			if s.rng.IntN(2) == 0 {
				m = m.afterPowerCut()
			}
		}
	}
}

// runUntilInterrupted opens the folder and writes until the process is killed, at a random
// operation, or a sync fails. It returns an error if the folder doesn't open for another
// reason, or lacks what was acknowledged.
func runUntilInterrupted(m *memoryFS, s *workload) error {
	m.operationsLeft = s.rng.IntN(60)
	if s.rng.IntN(3) == 0 {
		m.syncsUntilFailure = s.rng.IntN(8)
	}
	j, got, err := openInMemory(m, 7)
	if err != nil {
		if errors.Is(err, errPowerCut) || errors.Is(err, errSync) {
			return nil
		}
		return err
	}
	if !hasAcknowledged(got, s.want) {
		return errors.Errorf("got term %d, %d entries after %d; want term %d, %d entries after %d",
			got.Hard.Term, len(got.Entries), got.Snapshot.Index, s.want.Hard.Term, len(s.want.Entries), s.want.Snapshot.Index)
	}
	s.want = got
	for range 20 {
		if s.step(j) != nil {
			return nil
		}
	}
	return nil
}

// Guards against acknowledgements after a failed write, which leaves unknown content on
// the disk. The disk fills up during a write; from then on every save must fail, even when
// there is space again. Once reopened, the folder has what was acknowledged.
func TestNoSaveAfterFullDisk(t *testing.T) {
	is := is.New(t)
	m := newMemory(1)
	j, _, err := openInMemory(m, 7)
	is.NoErr(err)
	s := &workload{rng: rand.New(rand.NewPCG(1, 2))}
	for range 5 {
		is.NoErr(s.step(j))
	}
	m.bytesLeft = 10
	err = s.step(j)
	is.True(errors.Is(err, ErrWriteFailed) && errors.Is(err, errDiskFull))
	m.bytesLeft = -1
	for range 3 {
		is.True(errors.Is(s.step(j), ErrWriteFailed))
	}
	is.True(errors.Is(j.SetCluster(1), ErrWriteFailed))
	_ = j.Close()
	_, got, err := openInMemory(m, 8)
	is.NoErr(err)
	is.True(hasAcknowledged(got, s.want))
	is.Equal(len(got.Entries), len(s.want.Entries))
}

// Guards against acknowledgements after a failed sync, as a later sync may report success
// although the data of the failed one is lost.
func TestNoSaveAfterFailedSync(t *testing.T) {
	is := is.New(t)
	m := newMemory(1)
	j, _, err := openInMemory(m, 7)
	is.NoErr(err)
	m.operationsLeft = 1 // the write succeeds, its sync doesn't
	is.True(errors.Is(j.Save(Batch{Hard: raft.HardState{Term: 1}}), ErrWriteFailed))
	m.operationsLeft = -1
	is.True(errors.Is(j.Save(Batch{Hard: raft.HardState{Term: 1}}), ErrWriteFailed))
}

// Guards against two processes that overwrite each other's votes in one folder: the second
// Open must fail with ErrLocked. What the first process stored must still be in the folder
// when it is opened again after Close.
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

// damagedFolder writes some records into a folder on disk, and then damages the last file
// whose name matches the pattern, or removes it if damage is nil.
func damagedFolder(t *testing.T, pattern string, damage func([]byte) []byte) (Options, string) {
	t.Helper()
	is := is.New(t)
	o := Options{FS: Disk{}, Folder: t.TempDir(), NewID: func() raft.ID { return 7 }}
	j, _, err := Open(o)
	is.NoErr(err)
	s := &workload{rng: rand.New(rand.NewPCG(4, 2))}
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

// Guards against a replica that starts without state that it acknowledged. A bit flips, a
// file is truncated, or a file is missing: all damage but a torn last write must fail the
// opening of the folder, with file and offset.
func TestDamageIsRefusedWithFileAndOffset(t *testing.T) {
	flipBit := func(at func([]byte) int) func([]byte) []byte {
		return func(b []byte) []byte { b[at(b)] ^= 0x10; return b }
	}
	first := func([]byte) int { return headerSize + 3 }
	last := func(b []byte) int { return len(b) - 2 }
	for _, c := range []struct {
		name, pattern string
		damage        func([]byte) []byte
		want          string
	}{
		{"first record's body", "segment-*", flipBit(first), "offset 0"},
		{"length of the first record", "segment-*", flipBit(func([]byte) int { return 5 }), "offset 0"},
		{"last record's body", "segment-*", flipBit(last), "damaged record that was once whole"},
		{"snapshot", "snapshot-*", flipBit(last), "damaged snapshot"},
		{"snapshot cut", "snapshot-*", func(b []byte) []byte { return b[:len(b)-1] }, "damaged snapshot"},
		{"identity", "identity", flipBit(last), "identity: offset 0"},
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

// Guards against a replica that starts without records at the end of an earlier segment.
func TestTornWriteThatLaterSegmentsNeedIsRefused(t *testing.T) {
	is := is.New(t)
	m := newMemory(1)
	j, _, err := openInMemory(m, 7)
	is.NoErr(err)
	large := raft.Entry{Index: 1, Term: 1, Kind: raft.EntryCommand, Data: make([]byte, segmentLimitBytes)}
	is.NoErr(j.Save(Batch{Hard: raft.HardState{Term: 1}, Entries: []raft.Entry{large}}))
	is.NoErr(j.Save(Batch{Hard: raft.HardState{Term: 1}, Entries: []raft.Entry{{Index: 2, Term: 1}}}))
	first := m.files[j.path(segmentName(j.segmentNumber-1))]
	first.data = first.data[:len(first.data)-1]
	m.kill()
	_, _, err = openInMemory(m, 7)
	var corrupt *CorruptError
	is.True(errors.As(err, &corrupt))
}

// Guards against a replica that can't start after an ordinary power cut: a last write that
// is incomplete, or reads as zeros, is truncated, and all before it stays.
func TestTornLastWriteIsTruncated(t *testing.T) {
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
		_, reopened, err := Open(o)
		is.NoErr(err)
		is.Equal(reopened.Hard.Term, stored.Hard.Term+1)
		is.Equal(len(reopened.Entries), len(stored.Entries))
	}
}

// Guards against a disk that fills within weeks because old segments and snapshots aren't
// removed.
func TestSnapshotRemovesOldSegments(t *testing.T) {
	is := is.New(t)
	m := newMemory(1)
	j, _, err := openInMemory(m, 7)
	is.NoErr(err)
	s := &workload{rng: rand.New(rand.NewPCG(9, 2))}
	for range 200 {
		is.NoErr(s.step(j))
	}
	files, err := j.listFiles()
	is.NoErr(err)
	is.True(len(files.segments) <= 1)
	is.Equal(len(files.snapshots), 1)
}

// FuzzOpen opens a folder with arbitrary bytes in its segment. Open must not panic, its
// errors must be *CorruptError or ErrIncomplete, and a state that it returns must be the
// same when the folder is opened again.
func FuzzOpen(f *testing.F) {
	first, err := encodeFrame(&record{Number: 1, Replica: 7, Reset: true, Hard: raft.HardState{Term: 2}})
	if err != nil {
		f.Fatal(err)
	}
	second, err := encodeFrame(&record{Number: 2, Replica: 7, Hard: raft.HardState{Term: 3}, Entries: []raft.Entry{{Index: 1, Term: 3, Kind: raft.EntryCommand, Data: []byte("x")}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(first)
	f.Add(append(bytes.Clone(first), second...))
	f.Add(append(bytes.Clone(first), second[:20]...))
	f.Add(append(bytes.Clone(second), first...))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMemory(1)
		identity, _ := encodeFrame(&Identity{Replica: 7})
		put := func(name string, data []byte) {
			m.files[filepath.Join(testFolder, name)] = &memoryFile{fs: m, data: data, synced: len(data)}
		}
		put(identityFile, identity)
		put(segmentName(1), data)
		j, stored, err := openInMemory(m, 8)
		if err != nil {
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) && !errors.Is(err, ErrIncomplete) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		_ = j.Close()
		_, reopened, err := openInMemory(m, 8)
		if err != nil || reopened.Hard != stored.Hard || len(reopened.Entries) != len(stored.Entries) {
			t.Fatalf("opened once with %d entries, then %d: %v", len(stored.Entries), len(reopened.Entries), err)
		}
	})
}
