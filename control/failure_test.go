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

// Two operators at two control VMs read the same version and both switch at
// the same moment. One gets its preset; the other reads the current version,
// and the winner's preset stays in force on every VM.
func TestOperatorsWithEqualVersionAtTwoVMs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	version := c.mustApply().Version

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

// The leader dies after it took a switch and before its answer arrived. A
// colleague switches on; then the operator's tool sends the command again, to
// another VM. The operator reads the first outcome, the colleague's preset
// stays, and the audit record has the command once.
func TestResendAfterALeaderChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	leader := c.awaitLeader()
	first, err := client(leader).Command(t.Context(), switchTo("peak", "ama-1", 0))
	is.NoErr(err)
	leader.stop()

	rest := c.others(leader)
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

// The operator's first address is dead, as is the connection of the second one
// before it answers. The tool goes on to the third with the same identity, and
// the operator sees one switch.
func TestClientGoesOnToTheNextVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	leader := c.awaitLeader()
	leader.stop()
	rest := c.others(leader)
	out, err := client(leader, rest[0], rest[1]).Command(t.Context(), switchTo("peak", "ama-1", 0))
	is.NoErr(err)
	is.Equal(out.Text, "peak in force, before it ordinary")
}

// The leader is cut off from the other control VMs and doesn't know. Operators
// still reach it. Reads there say that there is no quorum, and name nothing as
// current; a switch there isn't accepted; a switch at the others is, and is not
// undone when the partition ends.
func TestLeaderOnTheFarSideOfAPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	leader := c.awaitLeader()
	c.network.isolate(leader, true)

	_, err := client(leader).Command(t.Context(), switchTo("maintenance", "ama-1", 0))
	var lost *operator.Unreachable
	is.True(errors.As(err, &lost))
	is.Equal(lost.ID, "ama-1")
	_, err = client(leader).Read(t.Context(), operator.PartSummary)
	is.True(errors.As(err, &lost))
	var failure *operator.Failure
	is.True(errors.As(lost.Attempts[0].Err, &failure))
	is.Equal(failure.Code, operator.NoQuorum)

	rest := c.others(leader)
	out, err := client(rest...).Command(t.Context(), switchTo("peak", "kofi-1", 0))
	is.NoErr(err)
	is.True(leader.control.ContactAge() > time.Second) // its subscribers are told so
	view, err := client(leader, rest[0]).Read(t.Context(), operator.PartSummary)
	is.NoErr(err)
	is.Equal(view.InForce, "peak") // the tool found a VM that is current

	c.network.isolate(leader, false)
	c.eventually("the old leader follows", func() bool {
		return leader.control.catalogue.Summary().Revision >= out.Revision && leader.control.ContactAge() < time.Second
	})
	view, err = client(leader).Read(t.Context(), operator.PartSummary)
	is.NoErr(err)
	is.Equal(view.InForce, "peak")
}

// A control VM loses its disk and is started again with an empty one. It waits,
// votes in nothing, and its operator replaces it. Right after, a second VM is
// lost for good. The preset that was committed before is still in force, and
// commands go on.
func TestSecondVMLostRightAfterTheFirstWasReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	_, err := client(c.vms...).Command(t.Context(), switchTo("peak", "ama-1", 0))
	is.NoErr(err)

	lost := c.vms[2]
	if c.awaitLeader() == lost {
		lost = c.vms[1]
	}
	lost.loseDisk()
	lost.start()
	rest := c.others(lost)
	c.eventually("the fresh replica waits", func() bool {
		l := c.leader()
		return l != nil && len(l.control.log.Status().Waiting) == 1
	})
	_, err = client(rest...).ChangeMembers(t.Context(), operator.MembersChange{Action: operator.ReplaceMember, Name: lost.settings.Name})
	is.NoErr(err)
	c.eventually("the replacement votes alone under its name", func() bool {
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

// A VM was down while hundreds of changes passed. Back, it answers nothing
// before it has them all.
func TestVMBackAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	away := c.others(c.awaitLeader())[0]
	away.stop()
	op := client(c.others(away)...)
	var last catalogue.Outcome
	for i := range 300 {
		var err error
		last, err = op.Command(t.Context(), switchTo([]string{"peak", "ordinary"}[i%2], "", 0))
		is.NoErr(err)
	}
	away.start()
	var view *operator.View
	c.eventually("the VM answers", func() bool {
		var err error
		view, err = client(away).Read(t.Context(), operator.PartSummary)
		return err == nil
	})
	is.Equal(view.Version, last.Version)
	is.Equal(view.Revision, last.Revision)
}

// No majority is left. The operator reads so from the VM that still runs, with
// what it knew last marked as its own word.
func TestNoQuorumIsSaid(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	c.vms[1].stop()
	c.vms[2].stop()
	// A starved VM may take in an old acknowledgement late, so that its age falls
	// once more before it rises for good.
	var fleet *operator.Fleet
	c.eventually("its own word is stale", func() bool {
		fleet = client(c.vms...).Fleet(t.Context())
		return fleet.VMs[0].Local != nil && fleet.VMs[0].Local.ContactAgeMS > staleAfter.Milliseconds()
	})
	is.True(fleet.View == nil)
	is.True(fleet.NoQuorum != "")
	is.Equal(fleet.VMs[0].Local.InForce, "ordinary")
	is.True(fleet.VMs[0].Local.ContactAgeMS >= staleAfter.Milliseconds()) // cut to whole milliseconds
	is.True(fleet.VMs[1].Err != "")
}

func TestMembersThatCantChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 1)
	for _, change := range []operator.MembersChange{
		{Action: operator.RemoveMember, Name: "control-1"}, // the last voter
		{Action: operator.RemoveMember, Name: "control-9"},
		{Action: operator.ReplaceMember, Name: "control-1"}, // nobody waits
	} {
		_, err := client(c.vms[0]).ChangeMembers(t.Context(), change)
		var failure *operator.Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, operator.MembersRefused)
	}
}
