package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// restarted returns a rig whose agent has just started and knows no target.
func restarted(t *testing.T) *rig {
	r := newRig(t)
	r.engine = New(Config{Service: desk, Address: address, Heartbeat: time.Second, StartedAt: r.now, StartedWall: started, Policy: policy, Codec: codec{}, Out: r})
	return r
}

// remembered is what control remembers of a target born at the given moment.
func remembered(id string, born int64, ports ...uint16) flowlog.Update {
	u := flowlog.Update{Target: id, Born: started.UnixMilli() + born, Whole: true}
	for _, port := range ports {
		u.Opened = append(u.Opened, flowlog.NewRecord(flowOf(port), 5000))
	}
	return u
}

// All VMs lost power. A caller's feed was open at a target that is born anew; the
// agent has no memory of it, but control has. The caller is told by a reset that
// it takes, before it sends a submission over the flow, which it would lose.
func TestRememberedFlowsOfADeadTargetAreReset(t *testing.T) {
	is := is.New(t)
	r := restarted(t)
	r.engine.HandleRecall(r.now, remembered("i-1", -60_000, 9, 10))
	is.Equal(len(r.resets), 0) // who is there isn't known yet
	r.announce("i-2", -100, 1)
	is.Equal(len(r.resets), 2)
	is.Equal(r.resets[0].seq, uint32(5000))
	r.engine.HandleRecall(r.now, remembered("i-1", -60_000, 9, 10)) // from another control VM
	is.Equal(len(r.resets), 4)                                      // a reset more does no harm
}

// Only the agent's process restarted. Its target is the one remembered, and lives:
// nothing is reset, and the flows are known again.
func TestRememberedFlowsOfALivingTargetStay(t *testing.T) {
	is := is.New(t)
	r := restarted(t)
	r.announce("i-1", -60_000, 55)
	r.engine.HandleRecall(r.now, remembered("i-1", -60_000, 9))
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1), peer.Holds)
	is.Equal(r.verdictOn(10, 1), peer.Unsure)
}

// A control VM that was away for long remembers an earlier incarnation than
// another one does; the newest counts, and what is there now is never reset by the
// memory of something later.
func TestOldMemoryIsNotActedOn(t *testing.T) {
	is := is.New(t)
	r := restarted(t)
	r.engine.HandleRecall(r.now, remembered("i-2", -5_000, 9))
	r.engine.HandleRecall(r.now, remembered("i-1", -60_000, 10))
	r.announce("i-2", -5_000, 3)
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1), peer.Holds)
	is.Equal(r.verdictOn(10, 1), peer.Unsure)

	r = restarted(t)
	r.announce("i-1", -60_000, 55)
	r.engine.HandleRecall(r.now, remembered("i-3", -1_000, 9))
	is.Equal(len(r.resets), 0)
}

// Nobody took the dead target's place: its callers are told all the same.
func TestRememberedFlowsWithoutATargetAreReset(t *testing.T) {
	is := is.New(t)
	r := restarted(t)
	r.engine.HandleRecall(r.now, remembered("i-1", -60_000, 9))
	r.engine.Probed(r.now, false)
	r.pass(20 * time.Millisecond)
	is.Equal(r.resets, []reset{{9, 5000}})
}

// Control is told of flows that last, of their end, and again before a reset by
// what it remembers would be too far from the client's acknowledgements.
func TestWhatControlIsTold(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	told := func() (opened, ended int) {
		u, _ := r.engine.Changes(r.now, false)
		is.Equal(u.Target, "i-1")
		return len(u.Opened), len(u.Ended)
	}
	r.open(9, 1000)
	opened, _ := told()
	is.Equal(opened, 0) // it may be a download of a moment
	r.pass(recordAfter + 10*time.Millisecond)
	opened, _ = told()
	is.Equal(opened, 1)
	r.fromClient(9, packet.ACK, 11, 1001+recordAgain/2, 0)
	opened, _ = told()
	is.Equal(opened, 0)
	r.fromClient(9, packet.ACK, 11, 1001+recordAgain, 0)
	opened, _ = told()
	is.Equal(opened, 1)
	r.fromClient(9, packet.RST, 11, 0, 0)
	_, ended := told()
	is.Equal(ended, 1)
	u, ok := r.engine.Changes(r.now, true)
	is.True(ok)
	is.Equal(len(u.Opened), 0)
}

// A started agent leaves control's memory alone until it was acted on; its own
// empty list would replace it.
func TestMemoryStandsUntilItWasActedOn(t *testing.T) {
	is := is.New(t)
	r := restarted(t)
	is.Equal(r.engine.Settled(r.now), false)
	r.announce("i-2", -100, 1)
	is.Equal(r.engine.Settled(r.now), false)
	r.now += settleAfter + time.Millisecond
	is.True(r.engine.Settled(r.now))
}
