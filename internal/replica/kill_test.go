package replica

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var errKilled = errors.New("killed")

// killPoint is one step of a command at its leader.
type killPoint struct {
	name string
	arm  func(m *member, kill func() error)
}

var killPoints = []killPoint{
	{"before it is written", func(m *member, kill func() error) { m.disk().set(&m.disk().onWrite, kill) }},
	{"written, not synced", func(m *member, kill func() error) { m.disk().set(&m.disk().beforeSync, kill) }},
	{"synced, not counted", func(m *member, kill func() error) { m.disk().set(&m.disk().postSync, kill) }},
	{"committed, not applied", func(m *member, kill func() error) { m.sm.hook(&m.sm.before, kill) }},
	{"applied, not answered", func(m *member, kill func() error) { m.sm.hook(&m.sm.after, kill) }},
}

// The leader dies at each step of an operator's command: it vanishes from the
// network and its process ends. The operator gets no answer and resends the
// command, under the same identity, to another replica. It must run once, and
// the old leader must agree when it is back.
func TestLeaderKilledAtEachStepOfACommand(t *testing.T) {
	for _, point := range killPoints {
		t.Run(point.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			members := trio(t, withHooks)
			mustPropose(t, members[0], "before")
			sameCommands(t, members, []string{"before"})
			old := leaderOf(t, members)
			point.arm(old, func() error {
				old.net.isolate(old, members, true)
				go old.Close()
				return errKilled
			})
			_, err := old.Propose(within(t, patience), []byte("command"))
			is.True(err == nil || errors.Is(err, ErrOutcomeUnknown)) // never "not run": it may be
			old.waitDone()

			rest := others(members, old)
			is.Equal(mustPropose(t, rest[0], "command"), "2")
			old.cfg.FS = &hookDisk{}
			old.net.isolate(old, members, false)
			old.start()
			is.Equal(mustPropose(t, old, "command"), "2") // the first outcome, also now
			mustPropose(t, old, "after")
			sameCommands(t, members, []string{"before", "command", "after"})
		})
	}
}

// A replica was away while the log was cut behind snapshots. It gets the
// snapshot, and with it the outcomes of old commands: a resent one isn't run
// again.
func TestReplicaFarBehindGetsTheSnapshot(t *testing.T) {
	is := is.New(t)
	members := trio(t, func(c *Config) { c.SnapshotEvery, c.KeepEntries = 20, 5 })
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
	sameCommands(t, members, want)
	is.True(away.cfg.Metrics.Value("replica_snapshots_installed") > 0)
	is.Equal(mustPropose(t, away, "command 3"), "4")
	sameCommands(t, members, want)
}

// More callers than the queue holds while the disk hangs: those over the bound
// are refused at once as not run, and counted; the others are answered.
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
			_, err := m.Propose(within(t, patience), []byte(fmt.Sprint(i)))
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
	is.Equal(len(m.sm.all()), 2+m.cfg.QueueLimit) // who was refused did not run
}
