package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// A draining target must get no flow once its announcement was received, whatever
// balancers have in their tables; its open flows continue.
func TestDrainTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	is.Equal(r.announceState("i-1", 0, 2, true), AnnouncementAccepted)
	is.Equal(r.reports > 0, true)
	is.Equal(r.report().AcceptsFlows, false)
	r.syn(10)
	is.Equal(r.refused, []refusal{{10, peer.Draining}})
	r.sendRequest(9, 0)
	is.Equal(len(r.toTarget), 3)
	is.Equal(r.announceState("i-1", 0, 3, false), AnnouncementAccepted) // a draining target doesn't become ready again
	is.Equal(r.report().AcceptsFlows, false)
}

// A target announces its end. Its process may run a little longer; after that its
// remaining flows must be reset, and balancers must learn that no flows are held here.
func TestTargetLeaves(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.announceState("i-1", 0, 2, true)
	r.engine.HandleTargetLeft(r.now, "i-0") // ignored: the end of another target
	r.engine.HandleTargetLeft(r.now, "i-1")
	is.Equal(len(r.resets), 0)
	is.Equal(r.report().NoTarget, false)
	r.advance(exitGrace + 20*time.Millisecond)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.report().NoTarget, true)
	r.syn(10)
	is.Equal(r.refused, []refusal{{10, peer.NoTarget}})
}

// The agent stops while its target is alive: no flow may be reset, they continue after
// the agent's next start.
func TestStopKeepsFlowsOfALiveTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.engine.Stop(r.now)
	is.Equal(len(r.resets), 0)
	is.Equal(r.report().Leaving, true)
	is.Equal(r.report().NoTarget, false)
	r.syn(10)
	is.Equal(r.refused, []refusal{{10, peer.Draining}})
}

// The agent stops after its target has announced its end: the remaining flows must be
// reset, and balancers must learn that no flows are held here.
func TestStopAfterTargetLeft(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.engine.HandleTargetLeft(r.now, "i-1")
	r.engine.Stop(r.now)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.report().NoTarget, true)
}

// A target crashed and came back under its ID. The flows of the old incarnation must be
// reset, and a delayed announcement of the old incarnation must not restore it.
func TestNewIncarnation(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.now += heartbeat
	r.announce("i-1", 0, 2)
	is.Equal(r.announce("i-1", 5_000, 1), AnnouncementAccepted)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.announceState("i-1", 0, 50, true), AnnouncementOutdated)
	is.Equal(r.report().AcceptsFlows, true)
	is.Equal(r.announce("i-1", 5_000, 1), AnnouncementOutdated) // a duplicate
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
}

// An announcement of another service or address must not become this VM's target.
func TestAnnouncementOfAnotherTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := Announcement{ID: "i-7", Service: "mapdocs", Address: address, Born: 9e15, Number: 1}
	is.Equal(r.engine.HandleAnnouncement(r.now, a), AnnouncementForOtherTarget)
	a.Service, a.Address = serviceName, "10.0.0.8:8080"
	is.Equal(r.engine.HandleAnnouncement(r.now, a), AnnouncementForOtherTarget)
	is.Equal(r.report().AcceptsFlows, true)
}

// An agent whose VM has no target must report that, but not before a target's
// announcements would be overdue: until then one may hold flows.
func TestAgentWithoutATarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: serviceName, Address: address, Heartbeat: time.Second, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	is.Equal(r.report().NoTarget, false)
	r.advance(3 * time.Second)
	is.Equal(r.report().NoTarget, true)
}

// A target that just started is slow, and the report must say for how long.
func TestColdTimeIsReported(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine.HandleAnnouncement(r.now, Announcement{ID: "i-1", Service: serviceName, Address: address, Born: startTime.UnixMilli(), Number: 2, Slots: 4, Cold: time.Second})
	is.Equal(r.report().ColdMS, uint32(1000))
	r.advance(time.Second)
	is.Equal(r.report().ColdMS, uint32(0))
}

// The mean load must follow the running requests, so that flows that are idle at the
// moment count.
func TestMeanLoad(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.sendRequest(9, 0)
	r.advance(meanTimeConstant)
	is.True(r.report().Load >= 60 && r.report().Load <= 66) // 1-1/e of one request
	r.fromTarget(9, packet.ACK, 1001, 111, 500)
	r.advance(5 * meanTimeConstant)
	is.True(r.report().Load < 5)
}

// The agent restarted after all VMs lost power, and its VM has no target. A probe is
// refused, so the agent must report at once that no flows are held here; until then
// balancers can't reset callers' dead flows.
func TestRefusedProbeMeansNoTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: serviceName, Address: address, Heartbeat: time.Second, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	is.True(r.engine.WantsProbe(r.now))
	r.engine.Probed(r.now, true) // a process is listening
	is.Equal(r.report().NoTarget, false)
	r.engine.Probed(r.now, false)
	is.Equal(r.report().NoTarget, true)
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
	r.announce("i-1", 0, 1)
	is.Equal(r.report().NoTarget, false)
	is.Equal(r.engine.WantsProbe(r.now), false)
}

// The target crashed with a request in progress, and its address refuses connections.
// Callers must be told after a quarter of a second, not only when its announcements are
// overdue.
func TestCrashIsDetectedByRefusedProbe(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.sendRequest(9, 0)
	is.Equal(r.engine.WantsProbe(r.now), false)
	r.advance(responseTimeout + 10*time.Millisecond)
	is.True(r.engine.WantsProbe(r.now))
	r.engine.Probed(r.now, true) // it is only slow
	is.Equal(len(r.resets), 0)
	r.engine.Probed(r.now, false)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.report().AcceptsFlows, false)
	is.Equal(r.report().NoTarget, true)
	r.announce("i-1", 3000, 1) // a new incarnation
	is.Equal(r.report().AcceptsFlows, true)
}

// A target that was taken for dead announces itself again: it is alive, with flows that
// the agent has forgotten.
func TestTargetTakenForDeadComesBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine.Probed(r.now, false)
	is.Equal(r.announce("i-1", 0, 2), AnnouncementAccepted)
	is.Equal(r.report().AcceptsFlows, true)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
}

// A target crashed and came back before its agent noticed. It takes flows at once and
// announces itself half a second later. The announcement must reset only the flows of the
// incarnation before.
func TestFlowsOfTheNewIncarnationStay(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000) // at the first incarnation
	r.now += 9 * time.Second
	r.announce("i-1", 0, 2)
	r.now += heartbeat
	r.open(10, 5000) // at the second incarnation, which has just started
	is.Equal(r.announce("i-1", 9_900, 1), AnnouncementAccepted)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.verdictOn(10, 5001), peer.Holds)
	is.Equal(r.verdictOn(9, 1001), peer.Lacks)
	is.Equal(r.report().Flows, uint32(1))
}

// Targets that don't state their start can't be told apart by it: an announcement alone
// must reset nothing, and callers learn of the loss by their next packet.
func TestUnknownStartTimeResetsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: serviceName, Address: address, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	announceState := func(id string) {
		r.engine.HandleAnnouncement(r.now, Announcement{ID: id, Service: serviceName, Address: address, Number: 1, Slots: 4})
	}
	announceState("i-1")
	r.open(9, 1000)
	announceState("i-2")
	is.Equal(len(r.resets), 0)
}

// Guards against open flows reset because a draining target has closed its port: it serves
// them on and announces itself.
func TestDrainingTargetThatRefusesProbesKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.announceState("i-1", 0, 2, true)
	r.sendRequest(9, 0)
	r.advance(responseTimeout + 10*time.Millisecond)
	is.True(r.engine.WantsProbe(r.now))
	r.engine.Probed(r.now, false)
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1001), peer.Holds)
	is.Equal(r.report().NoTarget, false)
}

// Guards against callers left waiting when a draining target crashes: its port is closed
// already, and its announcements stop.
func TestCrashOfADrainingTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.announceState("i-1", 0, 2, true)
	r.sendRequest(9, 0)
	r.advance(r.engine.announcementTimeout() + 20*time.Millisecond)
	r.engine.Probed(r.now, false)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.report().NoTarget, true)
}
