package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// restartedAgent returns a rig whose agent has just started and knows no target.
func restartedAgent(t *testing.T) *rig {
	r := newRig(t)
	r.engine = New(Config{Service: serviceName, Address: address, Heartbeat: time.Second, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	return r
}

// recordedFlows returns control's record of a target; born is in milliseconds after the
// agent's start.
func recordedFlows(id string, born int64, ports ...uint16) flowlog.Update {
	u := flowlog.Update{Target: id, Born: startTime.UnixMilli() + born, Whole: true}
	for _, port := range ports {
		u.Opened = append(u.Opened, flowlog.NewRecord(flowOf(port), 5000))
	}
	return u
}

// All VMs lost power, and a caller's feed was open at a target that has restarted. The
// agent knows the flow from control's record only, and must reset it before the caller
// sends a submission over it, which would be lost.
func TestRecordedFlowsOfADeadTargetAreReset(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -60_000, 9, 10))
	is.Equal(len(r.resets), 0) // the target isn't known yet
	r.announce("i-2", -100, 1)
	is.Equal(len(r.resets), 2)
	is.Equal(r.resets[0].seq, uint32(5000))
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -60_000, 9, 10)) // from another control VM
	is.Equal(len(r.resets), 4)                                         // a second reset does no harm
}

// Only the agent restarted, and its target is the recorded one: nothing may be reset, and
// the recorded flows must be known again.
func TestRecordedFlowsOfALiveTargetStay(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.announce("i-1", -60_000, 55)
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -60_000, 9))
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1), peer.Holds)
	is.Equal(r.verdictOn(10, 1), peer.Unsure)
}

// Guards against packets that miss their target while a restarted agent waits for the target's
// next announcement: control's record names the flow.
func TestRecordAnswersBeforeTheFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -60_000, 9))
	is.Equal(r.verdictOn(9, 1), peer.Holds)
	r.engine.Ask(r.now, balancer, peer.Question{Flow: flowOf(10), Ack: 5})
	is.Equal(len(r.answers), 1) // no answer: it may be open here
	r.fromClient(9, packet.ACK, 11, 5, 10)
	is.Equal(r.toTarget, []uint16{9})
	r.bounce(9, packet.ACK, 1) // another target, which lacks the flow
	is.Equal(r.refused, []refusal{{9, peer.NotHeld}})
}

// Guards against flows that an agent's next process doesn't know because they had just begun
// when the agent was stopped, also soon after its start.
func TestStoppingAgentRecordsYoungFlows(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.announce("i-1", -60_000, 55)
	is.Equal(r.engine.Recalled(), false)
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -60_000, 9))
	is.True(r.engine.Recalled())
	is.Equal(r.engine.Settled(r.now), false)
	r.open(10, 1000)
	_, changed := r.engine.Changes(r.now, false)
	is.Equal(changed, false)
	u, changed := r.engine.LastChanges(r.now, false)
	is.True(changed)
	is.Equal(u.Opened, []flowlog.Record{flowlog.NewRecord(flowOf(10), 1001)})
	u, _ = r.engine.LastChanges(r.now, true)
	is.Equal(len(u.Opened), 2)
}

// A control VM that was away for long has the record of an earlier incarnation than
// another one. The newest record must count, and a record of a later incarnation than the
// present target must not reset anything.
func TestOlderRecordIsNotApplied(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.engine.HandleRecall(r.now, recordedFlows("i-2", -5_000, 9))
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -60_000, 10))
	r.announce("i-2", -5_000, 3)
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1), peer.Holds)
	is.Equal(r.verdictOn(10, 1), peer.Unsure)

	r = restartedAgent(t)
	r.announce("i-1", -60_000, 55)
	r.engine.HandleRecall(r.now, recordedFlows("i-3", -1_000, 9))
	is.Equal(len(r.resets), 0)
}

// Guards against lost flows whose callers aren't told after the VM's clock was set back.
func TestRecordWithALaterStartIsAppliedOnceTheTargetIsConfirmed(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.announce("i-2", -5_000, 1)
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -2_000, 9))
	r.announce("i-2", -5_000, 2) // may have been delayed together with the first
	is.Equal(len(r.resets), 0)
	is.Equal(r.engine.Settled(r.now+2*recordReplaceDelay), false)
	r.now += heartbeat
	r.announce("i-2", -5_000, 3)
	r.advance(20 * time.Millisecond)
	is.Equal(r.resets, []reset{{9, 5000}})
}

// Guards against flows of the present target that aren't restored, because the VM's clock
// was set back before it started and the record of its predecessor states a later start.
func TestRecordOfThePresentTargetCounts(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -2_000, 9))
	r.engine.HandleRecall(r.now, recordedFlows("i-2", -5_000, 10))
	r.announce("i-2", -5_000, 3)
	is.Equal(r.verdictOn(10, 1), peer.Holds)
	is.Equal(len(r.resets), 0)
}

// No target replaces the dead one: its callers must be told all the same.
func TestRecordedFlowsWithoutATargetAreReset(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -60_000, 9))
	r.engine.Probed(r.now, false)
	r.advance(20 * time.Millisecond)
	is.Equal(r.resets, []reset{{9, 5000}})
}

// Control must be told of flows that last and of their end, and again before a reset by
// its record would be too far from the client's acknowledgements.
func TestChangesForControl(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	countChanges := func() (opened, ended int) {
		u, _ := r.engine.Changes(r.now, false)
		is.Equal(u.Target, "i-1")
		return len(u.Opened), len(u.Ended)
	}
	r.open(9, 1000)
	opened, _ := countChanges()
	is.Equal(opened, 0) // it may be a short download
	r.advance(recordAge + 10*time.Millisecond)
	opened, _ = countChanges()
	is.Equal(opened, 1)
	r.fromClient(9, packet.ACK, 11, 1001+recordAckStep/2, 0)
	opened, _ = countChanges()
	is.Equal(opened, 0)
	r.fromClient(9, packet.ACK, 11, 1001+recordAckStep, 0)
	opened, _ = countChanges()
	is.Equal(opened, 1)
	r.fromClient(9, packet.RST, 11, 0, 0)
	_, ended := countChanges()
	is.Equal(ended, 1)
	u, ok := r.engine.Changes(r.now, true)
	is.True(ok)
	is.Equal(len(u.Opened), 0)
}

// A restarted agent must not replace control's record by its own empty list before the
// record was applied.
func TestRecordIsKeptUntilApplied(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	is.Equal(r.engine.Settled(r.now), false)
	r.announce("i-2", -100, 1)
	is.Equal(r.engine.Settled(r.now), false)
	r.now += recordReplaceDelay + time.Millisecond
	is.True(r.engine.Settled(r.now))
}
