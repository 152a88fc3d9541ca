package control

import (
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/operator"
)

// Guards against a switch that is silently undone: two operators at two control VMs read
// the same version and switch at the same time. One succeeds on every VM; the other gets a
// conflict with the current version.
func TestOneOfTwoConcurrentSwitchesAtTwoVMsWins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	version := c.mustApplyDefinition().Version

	errs := make([]error, 2)
	var both sync.WaitGroup
	for i, preset := range []string{"peak", "maintenance"} {
		both.Go(func() { _, errs[i] = client(c.vms[i+1]).Command(t.Context(), switchTo(preset, "", version)) })
	}
	both.Wait()
	won, lost := 0, 1
	if errs[0] != nil {
		won, lost = 1, 0
	}
	is.NoErr(errs[won])
	var conflict *catalogue.VersionConflict
	is.True(errors.As(errs[lost], &conflict))
	is.Equal(conflict.Current, version+1)
	for _, v := range c.vms {
		view, err := client(v).Read(t.Context(), operator.PartSummary)
		is.NoErr(err)
		is.Equal(view.InForce, []string{"peak", "maintenance"}[won])
		is.Equal(view.Version, version+1)
	}
}

// Guards against a resend that applies a command twice: the leader stops after it accepted
// a switch, another operator switches again, and the first command is resent to another
// VM. It returns the first outcome and is in the audit record once.
func TestResendAfterALeaderChangeReturnsTheFirstOutcome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	leader := c.awaitLeader()
	first, err := client(leader).Command(t.Context(), switchTo("peak", "ama-1", 0))
	is.NoErr(err)
	leader.stop()

	rest := c.othersThan(leader)
	_, err = client(rest...).Command(t.Context(), switchTo("maintenance", "kofi-1", first.Version))
	is.NoErr(err)
	for _, v := range rest {
		again, err := client(v).Command(t.Context(), switchTo("peak", "ama-1", 0))
		is.NoErr(err)
		is.Equal(again, first)
	}
	view, err := client(rest...).Read(t.Context(), operator.PartAudit)
	is.NoErr(err)
	is.Equal(view.InForce, "maintenance")
	is.Equal(recordsOf(view, "ama-1"), 1)
}

func recordsOf(view *operator.View, id string) int {
	n := 0
	for _, r := range view.Records {
		if r.ID == id {
			n++
		}
	}
	return n
}

// Guards against a client that gives up at its first address: that VM is down, and the
// next one accepts the command.
func TestClientAsksTheNextVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	leader := c.awaitLeader()
	leader.stop()
	rest := c.othersThan(leader)
	out, err := client(leader, rest[0], rest[1]).Command(t.Context(), switchTo("peak", "ama-1", 0))
	is.NoErr(err)
	is.Equal(out.Text, "peak in force, before it ordinary")
}

// Guards against outdated reads and lost writes at a leader that is isolated from the
// other control VMs while operators still reach it. It reports that it has no quorum; a
// switch at the other VMs is accepted and stays in force after the partition.
func TestIsolatedLeaderReportsNoQuorum(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	leader := c.awaitLeader()
	c.network.setIsolated(leader, true)

	_, err := client(leader).Command(t.Context(), switchTo("maintenance", "ama-1", 0))
	var lost *operator.Unreachable
	is.True(errors.As(err, &lost))
	is.Equal(lost.ID, "ama-1")
	_, err = client(leader).Read(t.Context(), operator.PartSummary)
	is.True(errors.As(err, &lost))
	var failure *operator.Failure
	is.True(errors.As(lost.Attempts[0].Err, &failure))
	is.Equal(failure.Code, operator.NoQuorum)

	rest := c.othersThan(leader)
	out, err := client(rest...).Command(t.Context(), switchTo("peak", "kofi-1", 0))
	is.NoErr(err)
	is.True(leader.control.ContactAge() > time.Second) // its subscribers learn this age
	view, err := client(leader, rest[0]).Read(t.Context(), operator.PartSummary)
	is.NoErr(err)
	is.Equal(view.InForce, "peak") // from the VM with a quorum

	c.network.setIsolated(leader, false)
	c.eventually("the old leader has caught up", func() bool {
		return leader.control.catalogue.Summary().Revision >= out.Revision && leader.control.ContactAge() < time.Second
	})
	view, err = client(leader).Read(t.Context(), operator.PartSummary)
	is.NoErr(err)
	is.Equal(view.InForce, "peak")
}

// Guards against lost commits when a VM fails right after another one was replaced: a
// control VM loses its disk, restarts with an empty one and waits without a vote until an
// operator replaces it. Then a second VM is lost. Commands are still accepted, and the
// earlier commands are in the audit record.
func TestVMLostRightAfterAnotherWasReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	_, err := client(c.vms...).Command(t.Context(), switchTo("peak", "ama-1", 0))
	is.NoErr(err)

	lost := c.vms[2]
	if c.awaitLeader() == lost {
		lost = c.vms[1]
	}
	lost.loseDisk()
	lost.start()
	rest := c.othersThan(lost)
	c.eventually("the new replica waits to replace the lost one", func() bool {
		l := c.leader()
		return l != nil && len(l.control.log.Status().PendingReplacements) == 1
	})
	_, err = client(rest...).ChangeMembers(t.Context(), operator.MembersChange{Action: operator.ReplaceMember, Name: lost.settings.Name})
	is.NoErr(err)
	c.eventually("the replacement is the only voter with its name", func() bool {
		l := c.leader()
		return l != nil && c.voters() == 3 && len(l.control.log.Status().Members) == 3
	})

	rest[0].stop()
	c.eventually("a command is accepted", func() bool {
		_, err := client(lost, rest[1]).Command(t.Context(), switchTo("maintenance", "ama-2", 0))
		return err == nil
	})
	view, err := client(lost).Read(t.Context(), operator.PartAudit)
	is.NoErr(err)
	is.Equal(view.InForce, "maintenance")
	is.Equal(recordsOf(view, "ama-1"), 1)
}

// Guards against outdated reads at a VM that was down during hundreds of changes: it
// answers only once it has applied them all.
func TestRestartedVMAnswersOnlyOnceItIsCurrent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	away := c.othersThan(c.awaitLeader())[0]
	away.stop()
	op := client(c.othersThan(away)...)
	var last catalogue.Outcome
	for i := range 300 {
		var err error
		last, err = op.Command(t.Context(), switchTo([]string{"peak", "ordinary"}[i%2], "", 0))
		is.NoErr(err)
	}
	away.start()
	var view *operator.View
	c.eventually("the restarted VM answers", func() bool {
		var err error
		view, err = client(away).Read(t.Context(), operator.PartSummary)
		return err == nil
	})
	is.Equal(view.Version, last.Version)
	is.Equal(view.Revision, last.Revision)
}

// Guards against outdated state that looks current: without a majority, the remaining VM
// returns only its local status with the age of its last contact.
func TestLostQuorumIsReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	c.vms[1].stop()
	c.vms[2].stop()
	// A VM that gets little CPU time may process an old acknowledgement late, so that the
	// age falls once more before it only rises.
	var fleet *operator.Fleet
	c.eventually("its local status is outdated", func() bool {
		fleet = client(c.vms...).Fleet(t.Context())
		return fleet.VMs[0].Local != nil && fleet.VMs[0].Local.ContactAgeMS > quorumStaleAfter.Milliseconds()
	})
	is.True(fleet.View == nil)
	is.True(fleet.NoQuorum != "")
	is.Equal(fleet.VMs[0].Local.InForce, "ordinary")
	is.True(fleet.VMs[0].Local.ContactAgeMS >= quorumStaleAfter.Milliseconds()) // rounded down to milliseconds
	is.True(fleet.VMs[1].Err != "")
}

func TestImpossibleMemberChangesAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 1)
	for _, change := range []operator.MembersChange{
		{Action: operator.RemoveMember, Name: "control-1"}, // the last voter
		{Action: operator.RemoveMember, Name: "control-9"},
		{Action: operator.ReplaceMember, Name: "control-1"}, // no replica waits to replace it
	} {
		_, err := client(c.vms[0]).ChangeMembers(t.Context(), change)
		var failure *operator.Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, operator.MembersRefused)
	}
}
