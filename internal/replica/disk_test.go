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

// hookDisk is a disk that calls a test's hooks before each write, and before and after
// each sync.
type hookDisk struct {
	journal.Disk
	mu                             sync.Mutex
	onWrite, beforeSync, afterSync func() error
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
	return f.disk.call(&f.disk.afterSync)
}

// withHooks gives each replica of a test its own hookDisk.
func withHooks(c *Config) { c.FS = &hookDisk{} }

func (m *member) disk() *hookDisk { return m.cfg.FS.(*hookDisk) }

// hangDisk returns once the replica's loop hangs in a sync with one command taken.
// Calling release ends the hang.
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

func diskFull() error { return syscall.ENOSPC }

// Guards against acknowledging a command that a full disk didn't store. The leader's disk
// fills up, so the command ends as unknown and the leader stops. Another replica takes
// over and runs the resent command once; the old leader rejoins when there is space
// again.
func TestDiskFullAtTheLeader(t *testing.T) {
	is := is.New(t)
	members := startThree(t, withHooks)
	mustPropose(t, members[0], "before")
	old := leaderOf(t, members)
	old.disk().set(&old.disk().onWrite, diskFull)
	_, err := old.Propose(withTimeout(t, waitTimeout), []byte("command"))
	is.True(errors.Is(err, ErrOutcomeUnknown))
	old.waitDone()
	is.True(errors.Is(old.Err(), journal.ErrWriteFailed) && errors.Is(old.Err(), syscall.ENOSPC))
	_, err = old.Propose(withTimeout(t, waitTimeout), []byte("x"))
	is.True(errors.Is(err, ErrNotRun) && errors.Is(err, ErrFailed))
	is.True(errors.Is(old.Barrier(withTimeout(t, waitTimeout)), ErrNotRun))

	rest := others(members, old)
	is.Equal(mustPropose(t, rest[0], "command"), "2")
	old.disk().set(&old.disk().onWrite, nil)
	old.start()
	mustPropose(t, old, "after")
	requireCommands(t, members, []string{"before", "command", "after"})
}

// Guards against one slow disk delaying all commands. One follower's sync hangs; the
// other two replicas commit, the slow one shows in its counter and catches up.
func TestSlowFollowerDiskDoesNotDelayCommands(t *testing.T) {
	is := is.New(t)
	members := startThree(t, withHooks)
	leader := leaderOf(t, members)
	slow := others(members, leader)[0]
	release := make(chan struct{})
	slow.disk().set(&slow.disk().beforeSync, func() error { <-release; return nil })
	for _, command := range []string{"one", "two", "three"} {
		mustPropose(t, leader, command) // the slow disk has synced none of them
	}
	is.Equal(len(slow.sm.all()), 0)
	waitFor(t, "the slow replica's contact age to rise", func() bool { return slow.ContactAge() > 5*slow.cfg.Heartbeat })
	close(release)
	requireCommands(t, members, []string{"one", "two", "three"})
	is.True(slow.cfg.Metrics.Value("replica_syncs_slow") > 0)
}

// Guards against callers that never get a reply when the leader's disk hangs: they get an
// unknown outcome, and another replica takes over.
func TestHangingDiskAtTheLeader(t *testing.T) {
	is := is.New(t)
	members := startThree(t, withHooks)
	old := leaderOf(t, members)
	release := make(chan struct{})
	old.disk().set(&old.disk().beforeSync, func() error { <-release; return nil })
	_, err := old.Propose(withTimeout(t, 300*time.Millisecond), []byte("command"))
	is.True(errors.Is(err, ErrOutcomeUnknown))
	rest := others(members, old)
	mustPropose(t, rest[0], "command")
	mustPropose(t, rest[1], "after")
	close(release)
	requireCommands(t, members, []string{"command", "after"})
}

// Guards against a VM whose disk was restored from an old copy. Its peers remember what
// it acknowledged since, so it must stop. The operator replaces it by the same VM with an
// empty folder.
func TestOldDiskCopyIsRefused(t *testing.T) {
	is := is.New(t)
	members := startThree(t, nil)
	mustPropose(t, members[0], "before")
	leader := leaderOf(t, members)
	back := others(members, leader)[0]
	requireCommands(t, members, []string{"before"})
	is.NoErr(back.Close())
	saved := back.folder + ".saved"
	is.NoErr(os.CopyFS(saved, os.DirFS(back.folder)))
	back.start()
	requireCommands(t, members, []string{"before"})
	mustPropose(t, back, "since")
	requireCommands(t, members, []string{"before", "since"})
	is.NoErr(back.Close())
	is.NoErr(os.RemoveAll(back.folder))
	is.NoErr(os.Rename(saved, back.folder))
	back.start()
	back.waitDone()
	is.True(errors.Is(back.Err(), raft.ErrRegressed))

	replaceWithEmptyFolder(t, members, back)
	requireCommands(t, members, []string{"before", "since"})
}

// replaceWithEmptyFolder restarts a VM with an empty folder and replaces the old member,
// as an operator does after a lost disk.
func replaceWithEmptyFolder(t *testing.T, members []*member, m *member) {
	t.Helper()
	is := is.New(t)
	lost := m.ID()
	is.NoErr(m.Close())
	is.NoErr(os.RemoveAll(m.folder))
	m.start()
	is.True(m.ID() != lost)
	rest := others(members, m)
	waitFor(t, "the replacement to be known", func() bool { return len(leaderOf(t, rest).Status().PendingReplacements) == 1 })
	is.Equal(voters(rest[0].Status()), 3) // it isn't a member until an operator decides
	is.Equal(len(m.Status().Members), 0)
	for rest[0].ReplaceMember(withTimeout(t, waitTimeout), lost) != nil {
		time.Sleep(retryDelay) // the leader may have changed
	}
	waitFor(t, "the replacement to become a voter", func() bool {
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

// Guards against losing commands when a second VM fails for good right after the first
// VM's disk was replaced. The two VMs left must have everything that was acknowledged,
// and continue.
func TestSecondVMLostRightAfterTheFirstWasReplaced(t *testing.T) {
	is := is.New(t)
	members := startThree(t, nil)
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
	requireCommands(t, left, append(want, "after"))
}

// Guards against a second cluster: a VM that still has Bootstrap set loses its disk.
func TestBootstrapOnALostDiskMakesNoSecondCluster(t *testing.T) {
	is := is.New(t)
	members := startThree(t, nil)
	mustPropose(t, members[0], "before")
	cluster := members[0].Status().Cluster
	is.True(members[0].cfg.Bootstrap)
	replaceWithEmptyFolder(t, members, members[0])
	is.Equal(members[0].Status().Cluster, cluster)
	requireCommands(t, members, []string{"before"})
}
