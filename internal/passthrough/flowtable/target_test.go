package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// A target that leaves gets no flow from the moment its announcement is taken,
// whatever balancers believe; its open flows go on.
func TestDrainHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	is.Equal(r.say("i-1", 0, 2, true), AnnouncementAccepted)
	is.Equal(r.reports > 0, true)
	is.Equal(r.report().AcceptsFlows, false)
	r.syn(10)
	is.Equal(r.refused, []refusal{{10, peer.Draining}})
	r.ask(9, 0)
	is.Equal(len(r.toTarget), 3)
	is.Equal(r.say("i-1", 0, 3, false), AnnouncementAccepted) // one that drains doesn't come back
	is.Equal(r.report().AcceptsFlows, false)
}

// A target ends as planned. Its process may run a little after its farewell;
// then the flows that are left are reset, and balancers learn that nothing is
// held here.
func TestFarewell(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.say("i-1", 0, 2, true)
	r.engine.HandleTargetLeft(r.now, "i-0") // another one's
	r.engine.HandleTargetLeft(r.now, "i-1")
	is.Equal(len(r.resets), 0)
	is.Equal(r.report().NoTarget, false)
	r.pass(afterLeft + 20*time.Millisecond)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.report().NoTarget, true)
	r.syn(10)
	is.Equal(r.refused, []refusal{{10, peer.NoTarget}})
}

// The agent's process is stopped while its target lives: flows wait for its next
// start, and none is reset.
func TestStopLeavesFlowsOfALivingTarget(t *testing.T) {
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

// The agent's process is stopped after its target has said its farewell: the
// flows that are left are reset, and balancers learn that nothing is held here.
func TestStopAfterTheFarewell(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.engine.HandleTargetLeft(r.now, "i-1")
	r.engine.Stop(r.now)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.report().NoTarget, true)
}

// A target crashed and came back under its id. Its callers' flows are gone with
// the old incarnation and are reset; a late announcement of the old one, held up
// on its way, must not bring that one back.
func TestReborn(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	is.Equal(r.announce("i-1", 5_000, 1), AnnouncementAccepted)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.say("i-1", 0, 50, true), AnnouncementOutdated)
	is.Equal(r.report().AcceptsFlows, true)
	is.Equal(r.announce("i-1", 5_000, 1), AnnouncementOutdated) // the same again
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
}

// Announcements of another service or address on this VM name no target here.
func TestAnnouncementOfAnother(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := Announcement{ID: "i-7", Service: "mapdocs", Address: address, Born: 9e15, Number: 1}
	is.Equal(r.engine.HandleAnnouncement(r.now, a), AnnouncementForOtherTarget)
	a.Service, a.Address = desk, "10.0.0.8:8080"
	is.Equal(r.engine.HandleAnnouncement(r.now, a), AnnouncementForOtherTarget)
	is.Equal(r.report().AcceptsFlows, true)
}

// An agent whose VM never gets a target says so after a while, and not before:
// until a target's announcements are overdue it may hold flows.
func TestAgentWithoutATarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: desk, Address: address, Heartbeat: time.Second, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	is.Equal(r.report().NoTarget, false)
	r.pass(3 * time.Second)
	is.Equal(r.report().NoTarget, true)
}

// A target that just started is slow, and balancers are told for how long.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine.HandleAnnouncement(r.now, Announcement{ID: "i-1", Service: desk, Address: address, Born: started.UnixMilli(), Number: 2, Slots: 4, Cold: time.Second})
	is.Equal(r.report().ColdMS, uint32(1000))
	r.pass(time.Second)
	is.Equal(r.report().ColdMS, uint32(0))
}

// The mean load follows what runs, so that flows that are idle just now count.
func TestMeanLoad(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.ask(9, 0)
	r.pass(meanOver)
	is.True(r.report().Load >= 60 && r.report().Load <= 66) // 1-1/e of one request
	r.fromTarget(9, packet.ACK, 1001, 111, 500)
	r.pass(5 * meanOver)
	is.True(r.report().Load < 5)
}

// The agent restarted after all VMs lost power, on a VM without a target. Nothing
// takes connections at the target's address, so nothing is held here, and the
// agent says so at once. As long as it said nothing, balancers couldn't reset
// callers' dead flows.
func TestNobodyAtTheTargetsAddress(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: desk, Address: address, Heartbeat: time.Second, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	is.True(r.engine.WantsProbe(r.now))
	r.engine.Probed(r.now, true) // somebody is there
	is.Equal(r.report().NoTarget, false)
	r.engine.Probed(r.now, false)
	is.Equal(r.report().NoTarget, true)
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
	r.announce("i-1", 0, 1)
	is.Equal(r.report().NoTarget, false)
	is.Equal(r.engine.WantsProbe(r.now), false)
}

// The target crashed with a request in hand. Its process is gone, and the
// address refuses connections: callers are told a quarter of a second after, not
// when its announcements are overdue.
func TestCrashIsSeenByRefusedConnections(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.ask(9, 0)
	is.Equal(r.engine.WantsProbe(r.now), false)
	r.pass(owePatience + 10*time.Millisecond)
	is.True(r.engine.WantsProbe(r.now))
	r.engine.Probed(r.now, true) // only slow
	is.Equal(len(r.resets), 0)
	r.engine.Probed(r.now, false)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.report().AcceptsFlows, false)
	is.Equal(r.report().NoTarget, true)
	r.announce("i-1", 3000, 1) // reborn
	is.Equal(r.report().AcceptsFlows, true)
}

// A target was taken for dead, and announces itself on: it lives, with flows
// that this agent has forgotten.
func TestTargetTakenForDeadComesBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine.Probed(r.now, false)
	is.Equal(r.announce("i-1", 0, 2), AnnouncementAccepted)
	is.Equal(r.report().AcceptsFlows, true)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
}

// A target crashed and was back a moment later, before its agent had noticed. It
// takes flows at once and announces itself only half a second after. Its callers'
// flows must outlive that announcement; only those of the incarnation before are
// gone.
func TestFlowsOfTheNewIncarnationStay(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000) // at the first incarnation
	r.now += 10 * time.Second
	r.open(10, 5000) // at the second one, born a moment ago
	is.Equal(r.announce("i-1", 9_900, 1), AnnouncementAccepted)
	is.Equal(r.resets, []reset{{9, 1001}})
	is.Equal(r.verdictOn(10, 5001), peer.Holds)
	is.Equal(r.verdictOn(9, 1001), peer.Lacks)
	is.Equal(r.report().Flows, uint32(1))
}

// Targets that don't say when they were born can't be told apart by it: nothing
// is reset for an announcement alone, and callers learn of the loss by their next
// packet.
func TestUnknownBirthResetsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: desk, Address: address, StartedAt: r.now, StartedWall: started, Policy: policy, Codec: codec{}, Out: r})
	say := func(id string) {
		r.engine.HandleAnnouncement(r.now, Announcement{ID: id, Service: desk, Address: address, Number: 1, Slots: 4})
	}
	say("i-1")
	r.open(9, 1000)
	say("i-2")
	is.Equal(len(r.resets), 0)
}
