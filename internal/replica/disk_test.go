package replica

import (
	"context"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/journal"
	"bergamotstall/internal/raft"
)

// hookDisk is the machine's disk, with a say for the test before each write and
// before and after each sync.
type hookDisk struct {
	journal.Disk
	mu                            sync.Mutex
	onWrite, beforeSync, postSync func() error
}

type hookFile struct {
	journal.File
	disk *hookDisk
}

func (d *hookDisk) Create(name string) (journal.File, error) {
	f, err := d.Disk.Create(name)
	return &hookFile{File: f, disk: d}, err
}

func (d *hookDisk) set(hook *func() error, f func() error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*hook = f
}

func (d *hookDisk) call(hook *func() error) error {
	d.mu.Lock()
	f := *hook
	d.mu.Unlock()
	if f == nil {
		return nil
	}
	return f()
}

func (f *hookFile) Write(b []byte) (int, error) {
	if err := f.disk.call(&f.disk.onWrite); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *hookFile) Sync() error {
	if err := f.disk.call(&f.disk.beforeSync); err != nil {
		return err
	}
	if err := f.File.Sync(); err != nil {
		return err
	}
	return f.disk.call(&f.disk.postSync)
}

// withHooks gives every replica of a test a hookDisk of its own.
func withHooks(c *Config) { c.FS = &hookDisk{} }

func (m *member) disk() *hookDisk { return m.cfg.FS.(*hookDisk) }

// hangDisk returns once the replica's loop hangs in a sync, with one command
// taken, and gives back what lets it go on.
func (m *member) hangDisk() (release func()) {
	hanging, again := make(chan struct{}), make(chan struct{})
	var once sync.Once
	m.disk().set(&m.disk().beforeSync, func() error {
		once.Do(func() { close(hanging) })
		<-again
		return nil
	})
	go func() { _, _ = m.Propose(context.Background(), []byte("hangs")) }()
	<-hanging
	return func() { close(again) }
}

func full() error { return syscall.ENOSPC }

// The leader's disk is full. The operator's command may end as unknown, but it
// is never answered on the full disk's word; another replica takes the lead and
// runs the resent command once. With room again the replica comes back.
func TestDiskFullAtTheLeader(t *testing.T) {
	is := is.New(t)
	members := trio(t, withHooks)
	mustPropose(t, members[0], "before")
	old := leaderOf(t, members)
	old.disk().set(&old.disk().onWrite, full)
	_, err := old.Propose(within(t, patience), []byte("command"))
	is.True(errors.Is(err, ErrOutcomeUnknown))
	old.waitDone()
	is.True(errors.Is(old.Err(), journal.ErrPoisoned) && errors.Is(old.Err(), syscall.ENOSPC))
	_, err = old.Propose(within(t, patience), []byte("x"))
	is.True(errors.Is(err, ErrNotRun) && errors.Is(err, ErrFailed))
	is.True(errors.Is(old.Barrier(within(t, patience)), ErrNotRun))

	rest := others(members, old)
	is.Equal(mustPropose(t, rest[0], "command"), "2")
	old.disk().set(&old.disk().onWrite, nil)
	old.start()
	mustPropose(t, old, "after")
	sameCommands(t, members, []string{"before", "command", "after"})
}

// One follower's disk takes long for each sync. Commands go on with the other
// two; the slow one is seen in its counter and catches up.
func TestSlowDiskOfOneFollowerHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	members := trio(t, withHooks)
	leader := leaderOf(t, members)
	slow := others(members, leader)[0]
	release := make(chan struct{})
	slow.disk().set(&slow.disk().beforeSync, func() error { <-release; return nil })
	for _, command := range []string{"one", "two", "three"} {
		mustPropose(t, leader, command) // the slow disk hasn't synced one of them
	}
	is.Equal(len(slow.sm.all()), 0)
	await(t, "the slow one's word to age", func() bool { return slow.ContactAge() > 5*slow.cfg.Heartbeat })
	close(release)
	sameCommands(t, members, []string{"one", "two", "three"})
	is.True(slow.cfg.Metrics.Value("replica_syncs_slow") > 0)
}

// A disk that hangs at the leader ends its lead, and callers learn that their
// outcome is unknown rather than nothing.
func TestHangingDiskAtTheLeader(t *testing.T) {
	is := is.New(t)
	members := trio(t, withHooks)
	old := leaderOf(t, members)
	release := make(chan struct{})
	old.disk().set(&old.disk().beforeSync, func() error { <-release; return nil })
	_, err := old.Propose(within(t, 300*time.Millisecond), []byte("command"))
	is.True(errors.Is(err, ErrOutcomeUnknown))
	rest := others(members, old)
	mustPropose(t, rest[0], "command")
	mustPropose(t, rest[1], "after")
	close(release)
	sameCommands(t, members, []string{"command", "after"})
}

// A VM's disk is restored from a copy made earlier. The others remember what it
// acknowledged since; it must take no further part, and an operator replaces
// it by the same VM with an empty folder.
func TestOldCopyOfDisk(t *testing.T) {
	is := is.New(t)
	members := trio(t, nil)
	mustPropose(t, members[0], "before")
	leader := leaderOf(t, members)
	back := others(members, leader)[0]
	sameCommands(t, members, []string{"before"})
	is.NoErr(back.Close())
	saved := back.folder + ".saved"
	is.NoErr(os.CopyFS(saved, os.DirFS(back.folder)))
	back.start()
	sameCommands(t, members, []string{"before"})
	mustPropose(t, back, "since")
	sameCommands(t, members, []string{"before", "since"})
	is.NoErr(back.Close())
	is.NoErr(os.RemoveAll(back.folder))
	is.NoErr(os.Rename(saved, back.folder))
	back.start()
	back.waitDone()
	is.True(errors.Is(back.Err(), raft.ErrRegressed))

	replaceWithEmptyFolder(t, members, back)
	sameCommands(t, members, []string{"before", "since"})
}

// replaceWithEmptyFolder does what the operator does about a lost disk.
func replaceWithEmptyFolder(t *testing.T, members []*member, m *member) {
	t.Helper()
	is := is.New(t)
	lost := m.ID()
	is.NoErr(m.Close())
	is.NoErr(os.RemoveAll(m.folder))
	m.start()
	is.True(m.ID() != lost)
	rest := others(members, m)
	await(t, "the newcomer to be known", func() bool { return len(leaderOf(t, rest).Status().Waiting) == 1 })
	is.Equal(voters(rest[0].Status()), 3) // until an operator decides, it is nobody
	is.Equal(len(m.Status().Members), 0)
	for rest[0].ReplaceMember(within(t, patience), lost) != nil {
		time.Sleep(retryPause) // the leader may just have changed
	}
	await(t, "the place to be taken", func() bool {
		for _, x := range members {
			s := x.Status()
			if voters(s) != 3 || len(s.Members) != 3 || s.ChangePending {
				return false
			}
			for _, member := range s.Members {
				if member.ID == lost {
					return false
				}
			}
		}
		return true
	})
}

// A VM's disk is lost and replaced; right after, a second VM dies for good. The
// two left must have all that an operator was told, and go on.
func TestSecondVMLostRightAfterTheFirstWasReplaced(t *testing.T) {
	is := is.New(t)
	members := trio(t, nil)
	want := []string{"one", "two", "three"}
	for _, command := range want {
		mustPropose(t, members[0], command)
	}
	leader := leaderOf(t, members)
	rest := others(members, leader)
	replaceWithEmptyFolder(t, members, rest[0])
	leader = leaderOf(t, members)
	second := others(others(members, leader), rest[0])
	is.NoErr(second[0].Close())
	left := others(members, second[0])
	mustPropose(t, left[0], "after")
	sameCommands(t, left, append(want, "after"))
}

// A VM whose settings still say bootstrap loses its disk. It must not make a
// second cluster beside the first.
func TestBootstrapOnALostDiskMakesNoSecondCluster(t *testing.T) {
	is := is.New(t)
	members := trio(t, nil)
	mustPropose(t, members[0], "before")
	cluster := members[0].Status().Cluster
	is.True(members[0].cfg.Bootstrap)
	replaceWithEmptyFolder(t, members, members[0])
	is.Equal(members[0].Status().Cluster, cluster)
	sameCommands(t, members, []string{"before"})
}
