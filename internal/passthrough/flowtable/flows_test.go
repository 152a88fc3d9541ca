package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// A caller opens a flow, sends a request and gets the answer: all packets are forwarded.
func TestFlowIsForwarded(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.sendRequest(9, 0)
	is.Equal(r.report().Running, uint32(1))
	r.sendAnswer(9, 0)
	is.Equal(r.report().Running, uint32(0))
	is.Equal(r.toTarget, []uint16{9, 9, 9})
	is.Equal(r.toClient, []uint16{9, 9})
	is.Equal(r.report().Flows, uint32(1))
	is.Equal(len(r.refused), 0)
}

// A caller's first packet and its retransmission reached two targets, both answered, and
// the caller took the other target's answer. Its next packet arrives here by an old entry
// of a balancer and must be returned, because this target would break the flow.
func TestHandshakeOfAnotherTargetIsReturned(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.syn(9)
	r.fromTarget(9, packet.SYN|packet.ACK, 1000, 11, 0)
	r.fromClient(9, packet.ACK, 11, 3_000_000_001, 0)
	is.Equal(r.refused, []refusal{{9, peer.NotHeld}})
	is.Equal(r.verdictOn(9, 3_000_000_001), peer.Lacks)
	is.Equal(r.verdictOn(9, 1001), peer.Holds)
}

// A target's address was reassigned to another service. A balancer's packet for the old
// service must not reach it.
func TestPacketForAnotherServiceIsReturned(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	h := peer.Header{Kind: peer.KindDeliver, Service: route.IDOf("mapdocs")}
	p := packet.Packet{Src: flowOf(9).Client, Dst: service, Flags: packet.SYN}
	r.engine.FromBalancer(r.now, balancer, h, p, rawOf(9))
	is.Equal(r.refused, []refusal{{9, peer.WrongService}})
	is.Equal(len(r.toTarget), 0)
}

// Guards against a first packet without a service that opens a flow.
func TestFirstPacketWithoutServiceIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	p := packet.Packet{Src: flowOf(9).Client, Dst: service, Flags: packet.SYN}
	r.engine.FromBalancer(r.now, balancer, peer.Header{Kind: peer.KindDeliver}, p, rawOf(9))
	is.Equal(r.refused, []refusal{{9, peer.WrongService}})
	is.Equal(len(r.toTarget), 0)
}

// A target that holds as many flows as it can returns a first packet. The agent must
// return it to the balancer that sent it, which tries another target.
func TestFullTargetReturnsFirstPacket(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.syn(9)
	r.bounce(9, packet.SYN, 1)
	is.Equal(r.refused, []refusal{{9, peer.Full}})
	is.Equal(r.report().Flows, uint32(0))
}

// The target's process hangs and leaves a first packet unanswered. The packet must be
// returned after 80 ms, so that another target answers before the caller retransmits.
// Later ones are returned at once until the target sends something.
func TestSilentTargetGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.advance(50 * time.Millisecond)
	r.syn(9)
	r.advance(firstPacketTimeout + 20*time.Millisecond)
	is.Equal(r.refused, []refusal{{9, peer.TargetSilent}})
	is.Equal(r.report().AcceptsFlows, false)
	r.syn(10)
	is.Equal(r.refused[1], refusal{10, peer.TargetSilent})
	r.announce("i-1", 0, 2)
	is.Equal(r.report().AcceptsFlows, true)
}

// The target crashed: it owes an answer, and its announcements stop. Callers of its flows
// must be told by resets near their last acknowledgement, instead of waiting for their
// deadline.
func TestCrashedTargetsFlowsAreReset(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.advance(100 * time.Millisecond)
	r.syn(10)
	r.advance(500 * time.Millisecond)
	is.Equal(len(r.resets), 0) // it may only be slow
	r.advance(3 * time.Second)
	is.Equal(r.resets, []reset{{9, 1001}})
}

// A slow target answers nothing for seconds but continues to announce itself: it is
// alive, and its flows must stay.
func TestSlowTargetKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	for n := uint64(2); n < 10; n++ {
		r.sendRequest(9, uint32(n))
		r.advance(time.Second)
		r.announce("i-1", 0, n)
	}
	is.Equal(len(r.resets), 0)
}

// The agent restarted next to a target that has flows. As it can't know which, it must
// answer "unsure", pass packets to the target, and learn from what comes back.
func TestRestartedAgentLearnsFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: serviceName, Address: address, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	r.announce("i-1", -60_000, 55)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
	r.fromClient(9, packet.ACK, 11, 5, 10)
	is.Equal(r.toTarget, []uint16{9})
	r.bounce(9, packet.ACK, 1)
	is.Equal(r.refused, []refusal{{9, peer.NotHeld}})
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
	r.fromTarget(10, packet.ACK, 5, 5, 10)
	is.Equal(r.verdictOn(10, 5), peer.Holds)
	r.now += learningPeriod
	is.Equal(r.verdictOn(11, 5), peer.Lacks)
}

// The agent restarted and its live target hasn't announced itself again. A caller's
// packet must go to the target, which returns it if it lacks the flow, and a balancer's
// question must stay unanswered. If the agent answered that it holds nothing, the
// balancer would reset the flow.
func TestRestartedAgentBeforeTheFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: serviceName, Address: address, Heartbeat: time.Second, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	r.engine.Ask(r.now, balancer, peer.Question{Flow: flowOf(9), Ack: 5})
	is.Equal(len(r.answers), 0)
	r.fromClient(9, packet.ACK, 11, 5, 10)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(len(r.refused), 0)
	r.syn(10) // a new flow doesn't wait for a target that may not exist
	is.Equal(r.refused, []refusal{{10, peer.NoTarget}})
	r.advance(3 * time.Second)
	is.Equal(r.verdictOn(9, 5), peer.Lacks) // no target announced itself
	r.fromClient(9, packet.ACK, 11, 5, 10)
	is.Equal(r.refused[1], refusal{9, peer.NoTarget})
}

// Guards against callers of dead flows who wait although the agent saw its target's start.
func TestAgentStartedBeforeItsTargetKnowsAllFlows(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.engine.Probed(r.now, false)
	r.announce("i-2", -200, 3)
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
}

// Guards against callers of dead flows who wait after a power loss, because the agent
// started after its target: one packet that the target returns must settle the question.
func TestAgentStartedAfterItsTargetLearnsFromOnePacket(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.announce("i-2", -200, 3)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
	r.fromClient(9, packet.ACK, 11, 5, 10)
	r.bounce(9, packet.ACK, 1)
	is.Equal(r.refused, []refusal{{9, peer.NotHeld}})
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
}

// Guards against resets of open flows by an agent whose clock was set back before its
// start, so that its target seems to have started later.
func TestTargetThatSeemsToHaveStartedLaterMayHoldFlows(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.announce("i-1", 3600, 4)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
}

// Guards against resets of flows that an earlier process of the agent forwarded before
// the target first announced itself.
func TestTargetMayHoldFlowsBeforeItsFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.announce("i-1", -100, 1)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
}

// Guards against resets of open flows by a restarted agent that hears a late announcement
// of a crashed target before the one of the target that replaced it.
func TestLateAnnouncementDoesNotMakeTheNextTargetNew(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.announce("i-1", -60_000, 50)
	r.announce("i-2", -5_000, 5)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
}

// After an agent's restart a caller retransmits a request whose answer is on its way.
// Counted as a request in progress, it would make the target look busy for seconds and
// delay new callers.
func TestRetransmissionOfAnAnsweredRequestIsNotRunning(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.fromTarget(9, packet.ACK, 1001, 111, 500) // the answer is the first packet seen
	r.sendRequest(9, 0)                         // the request, seq 11 to 111
	is.Equal(r.report().Running, uint32(0))
	r.sendRequest(9, 1)
	is.Equal(r.report().Running, uint32(1))
}

// Packets of a flow that both ends closed must still reach the target, which answers
// them, until the flow's time to live has passed.
func TestEndedFlow(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.fromTarget(9, packet.FIN|packet.ACK, 1001, 11, 0)
	r.fromClient(9, packet.FIN|packet.ACK, 11, 1002, 0)
	is.Equal(r.report().Flows, uint32(0))
	r.fromClient(9, packet.FIN|packet.ACK, 11, 1002, 0)
	is.Equal(len(r.refused), 0)
	for range 6 {
		r.advance(time.Second)
		r.announce("i-1", 0, r.number+2)
		r.number++
	}
	r.fromClient(9, packet.FIN|packet.ACK, 11, 1002, 0)
	is.Equal(r.refused, []refusal{{9, peer.NotHeld}})
}

// An agent restarts within the first second of its target's life. The earlier process had
// sent the target flows, so the new one must not be sure: callers' open flows would be
// reset.
func TestAgentRestartedRightAfterItsTargetsStart(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: serviceName, Address: address, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	r.announce("i-1", -890, 4)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
}

// An agent restarts, and its first report, which doesn't name a service, overtakes the
// target's announcement. A packet of a flow that the target holds then arrives without a
// service. It must go to the target: if it were returned, the balancer would reset the
// flow during an answer.
func TestPacketWithoutServiceReachesALiveTarget(t *testing.T) {
	is := is.New(t)
	r := &rig{t: t, now: time.Hour}
	r.engine = New(Config{
		Service: serviceName, Address: address, Process: 2, Heartbeat: time.Second,
		StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r,
	})
	is.Equal(r.report().Service, uint64(0))
	p := packet.Packet{Src: flowOf(9).Client, Dst: service, Flags: packet.ACK, Seq: 11, Ack: 500, Data: 100}
	r.engine.FromBalancer(r.now, balancer, peer.Header{}, p, rawOf(9))
	is.Equal(len(r.refused), 0)
	is.Equal(r.toTarget, []uint16{9})
}

// Guards against the reset of an open flow by an agent that may serve targets of any service.
func TestPacketReachesALiveTargetOfAnyService(t *testing.T) {
	is := is.New(t)
	r := &rig{t: t, now: time.Hour}
	r.engine = New(Config{Address: address, Process: 2, Heartbeat: time.Second, StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r})
	r.fromClient(9, packet.ACK, 11, 500, 100)
	is.Equal(len(r.refused), 0)
	is.Equal(r.toTarget, []uint16{9})
}
