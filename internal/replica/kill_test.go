package replica

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var errKilled = errors.New("killed")

// killPoint is a step of handling a command at which the leader is killed.
type killPoint struct {
	name string
	arm  func(m *member, kill func() error)
}

var killPoints = []killPoint{
	{"before it is written", func(m *member, kill func() error) { m.disk().set(&m.disk().onWrite, kill) }},
	{"written, not synced", func(m *member, kill func() error) { m.disk().set(&m.disk().beforeSync, kill) }},
	{"synced, not counted", func(m *member, kill func() error) { m.disk().set(&m.disk().afterSync, kill) }},
	{"committed, not applied", func(m *member, kill func() error) { m.sm.hook(&m.sm.before, kill) }},
	{"applied, not answered", func(m *member, kill func() error) { m.sm.hook(&m.sm.after, kill) }},
}

// Guards against lost or repeated commands when the leader dies at any step of handling
// one. The operator gets no reply and resends the command, under the same ID, to another
// replica. It must run once, and the old leader must agree when it is back.
func TestLeaderKilledAtEachStepOfACommand(t *testing.T) {
	for _, point := range killPoints {
		t.Run(point.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			members := startThree(t, withHooks)
			mustPropose(t, members[0], "before")
			requireCommands(t, members, []string{"before"})
			old := leaderOf(t, members)
			point.arm(old, func() error {
				old.net.isolate(old, members, true)
				go old.Close()
				return errKilled
			})
			_, err := old.Propose(withTimeout(t, waitTimeout), []byte("command"))
			is.True(err == nil || errors.Is(err, ErrOutcomeUnknown)) // never "not run", since it may have run
			old.waitDone()

			rest := others(members, old)
			is.Equal(mustPropose(t, rest[0], "command"), "2")
			old.cfg.FS = &hookDisk{}
			old.net.isolate(old, members, false)
			old.start()
			is.Equal(mustPropose(t, old, "command"), "2") // still the first outcome
			mustPropose(t, old, "after")
			requireCommands(t, members, []string{"before", "command", "after"})
		})
	}
}

// Guards against running a resent command again on a replica that was down while the log
// was truncated. It is sent the snapshot, which includes the outcomes of earlier
// commands.
func TestReplicaFarBehindGetsTheSnapshot(t *testing.T) {
	is := is.New(t)
	members := startThree(t, func(c *Config) { c.SnapshotEvery, c.KeepEntries = 20, 5 })
	mustPropose(t, members[0], "command 0")
	away := others(members, leaderOf(t, members))[0]
	is.NoErr(away.Close())
	rest := others(members, away)
	want := []string{"command 0"}
	for i := range 100 {
		want = append(want, fmt.Sprint("command ", i+1))
		mustPropose(t, rest[i%2], want[i+1])
	}
	away.start()
	requireCommands(t, members, want)
	is.True(away.cfg.Metrics.Value("replica_snapshots_installed") > 0)
	is.Equal(mustPropose(t, away, "command 3"), "4")
	requireCommands(t, members, want)
}

// Guards against unbounded queues: with a hanging disk and more callers than the queue
// holds, those over the limit are refused at once as not run, and counted. The others are
// answered.
func TestFullQueueRefuses(t *testing.T) {
	is := is.New(t)
	m := newMember(t, newNetwork(), "a")
	m.cfg.Bootstrap, m.cfg.QueueLimit, m.cfg.FS = true, 2, &hookDisk{}
	m.start()
	mustPropose(t, m, "before")
	release := m.hangDisk()
	const callers = 20
	errs := make(chan error, callers)
	for i := range callers {
		go func() {
			_, err := m.Propose(withTimeout(t, waitTimeout), []byte(fmt.Sprint(i)))
			errs <- err
		}()
	}
	for range callers - m.cfg.QueueLimit {
		err := <-errs
		is.True(errors.Is(err, ErrNotRun) && errors.Is(err, ErrBusy))
	}
	is.Equal(m.cfg.Metrics.Value("replica_refused_queue_full"), int64(callers-m.cfg.QueueLimit))
	release()
	for range m.cfg.QueueLimit {
		is.NoErr(<-errs)
	}
	is.Equal(len(m.sm.all()), 2+m.cfg.QueueLimit) // refused commands did not run
}
