package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// A caller opens a flow, asks and is answered: all of it passes.
func TestFlowPasses(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.ask(9, 0)
	is.Equal(r.report().Running, uint32(1))
	r.answered(9, 0)
	is.Equal(r.report().Running, uint32(0))
	is.Equal(r.toTarget, []uint16{9, 9, 9})
	is.Equal(r.toClient, []uint16{9, 9})
	is.Equal(r.report().Flows, uint32(1))
	is.Equal(len(r.refused), 0)
}

// A caller's first packet and its copy reached two targets, both answered, and
// the caller took the other one's answer. Its next packet comes here by an old
// entry of a balancer: it is handed back, since this target would break the flow.
func TestHandshakeOfAnotherTargetIsHandedBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.syn(9)
	r.fromTarget(9, packet.SYN|packet.ACK, 1000, 11, 0)
	r.fromClient(9, packet.ACK, 11, 3_000_000_001, 0)
	is.Equal(r.refused, []refusal{{9, peer.NotHeld}})
	is.Equal(r.verdictOn(9, 3_000_000_001), peer.Lacks)
	is.Equal(r.verdictOn(9, 1001), peer.Holds)
}

// A target's address went over to another service; a balancer's packet for the
// old one must not reach it.
func TestPacketForAnotherServiceIsHandedBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	h := peer.Header{Kind: peer.KindDeliver, Service: route.IDOf("mapdocs")}
	p := packet.Packet{Src: flowOf(9).Client, Dst: service, Flags: packet.SYN}
	r.engine.FromBalancer(r.now, balancer, h, p, rawOf(9))
	is.Equal(r.refused, []refusal{{9, peer.WrongService}})
	is.Equal(len(r.toTarget), 0)
}

// A target that has all the flows it can hold hands the first packet back; the
// balancer that sent it gets it and tries another.
func TestFullTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.syn(9)
	r.bounce(9, packet.SYN, 1)
	is.Equal(r.refused, []refusal{{9, peer.Full}})
	is.Equal(r.report().Flows, uint32(0))
}

// The target's process hangs: a first packet gets no answer. After 80 ms it is
// handed back, so that another target answers before the caller sends its copy;
// later ones are handed back at once, until the target shows a sign of life.
func TestSilentTargetIsLeft(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.pass(50 * time.Millisecond)
	r.syn(9)
	r.pass(firstPatience + 20*time.Millisecond)
	is.Equal(r.refused, []refusal{{9, peer.Silent}})
	is.Equal(r.report().AcceptsFlows, false)
	r.syn(10)
	is.Equal(r.refused[1], refusal{10, peer.Silent})
	r.announce("i-1", 0, 2)
	is.Equal(r.report().AcceptsFlows, true)
}

// The target crashed: it owes an answer, and its announcements stop. Callers of
// its flows are told by resets near their last acknowledgement, in place of
// waiting for their deadline.
func TestCrashedTargetsFlowsAreReset(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.pass(100 * time.Millisecond)
	r.syn(10)
	r.pass(500 * time.Millisecond)
	is.Equal(len(r.resets), 0) // it may only be slow
	r.pass(3 * time.Second)
	is.Equal(r.resets, []reset{{9, 1001}})
}

// A slow target answers nothing for seconds but goes on announcing itself: it
// lives, and its flows stay.
func TestSlowTargetKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	for n := uint64(2); n < 10; n++ {
		r.ask(9, uint32(n))
		r.pass(time.Second)
		r.announce("i-1", 0, n)
	}
	is.Equal(len(r.resets), 0)
}

// The agent restarted beside a target that has flows. It can't tell which, so it
// says that it isn't sure, shows packets to the target, and learns from what
// comes back.
func TestRestartedAgentLearns(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: desk, Address: address, StartedAt: r.now, StartedWall: started, Policy: policy, Codec: codec{}, Out: r})
	r.announce("i-1", -60_000, 55)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
	r.fromClient(9, packet.ACK, 11, 5, 10)
	is.Equal(r.toTarget, []uint16{9})
	r.bounce(9, packet.ACK, 1)
	is.Equal(r.refused, []refusal{{9, peer.NotHeld}})
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
	r.fromTarget(10, packet.ACK, 5, 5, 10)
	is.Equal(r.verdictOn(10, 5), peer.Holds)
	r.now += learning
	is.Equal(r.verdictOn(11, 5), peer.Lacks)
}

// The agent's process restarted and its target lives, but hasn't announced
// itself again. A caller's packet goes to the target, which hands it back if it
// lacks the flow; a balancer that asks gets no word. If the agent said that
// nothing is held here, the balancer would reset the open flow.
func TestRestartedAgentBeforeTheFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: desk, Address: address, Heartbeat: time.Second, StartedAt: r.now, StartedWall: started, Policy: policy, Codec: codec{}, Out: r})
	r.engine.Ask(r.now, balancer, peer.Question{Flow: flowOf(9), Ack: 5})
	is.Equal(len(r.answers), 0)
	r.fromClient(9, packet.ACK, 11, 5, 10)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(len(r.refused), 0)
	r.syn(10) // a new flow doesn't wait for what may never come
	is.Equal(r.refused, []refusal{{10, peer.NoTarget}})
	r.pass(3 * time.Second)
	is.Equal(r.verdictOn(9, 5), peer.Lacks) // no target came
	r.fromClient(9, packet.ACK, 11, 5, 10)
	is.Equal(r.refused[1], refusal{9, peer.NoTarget})
}

// All VMs lost power; target and agent start together, and the target's first
// announcements came before the agent took any. No earlier agent can have sent
// it flows, so the agent is sure, and callers of dead flows are told at once.
func TestTargetBornWithItsAgentIsKnownWhole(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: desk, Address: address, StartedAt: r.now, StartedWall: started, Policy: policy, Codec: codec{}, Out: r})
	r.announce("i-2", -200, 3)
	is.Equal(r.verdictOn(9, 5), peer.Lacks)
}

// After an agent's restart a caller sends its request again although the answer
// is on its way. The copy is no request in progress; counted as one, it would
// make the target look busy for seconds and keep new callers waiting.
func TestCopyOfAnAnsweredRequestIsNotRunning(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.fromTarget(9, packet.ACK, 1001, 111, 500) // the answer, first thing seen
	r.ask(9, 0)                                 // the request, seq 11 to 111
	is.Equal(r.report().Running, uint32(0))
	r.ask(9, 1)
	is.Equal(r.report().Running, uint32(1))
}

// Packets of a flow that both ends closed still reach the target for a while,
// which answers them; then the flow is forgotten.
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
		r.pass(time.Second)
		r.announce("i-1", 0, r.number+2)
		r.number++
	}
	r.fromClient(9, packet.FIN|packet.ACK, 11, 1002, 0)
	is.Equal(r.refused, []refusal{{9, peer.NotHeld}})
}

// An agent's process is stopped and started again within the first second of its
// target's life. The earlier process had sent the target flows already, so this
// one isn't sure; when it was, callers' open flows were reset.
func TestAgentRestartedRightAfterItsTargetsBirth(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(Config{Service: desk, Address: address, StartedAt: r.now, StartedWall: started, Policy: policy, Codec: codec{}, Out: r})
	r.announce("i-1", -890, 4)
	is.Equal(r.verdictOn(9, 5), peer.Unsure)
}

// An agent restarts beside its target, and its first report, which names no service
// yet, overtakes the target's announcement. A caller's packet of a flow that the
// target holds comes marked with no service. It is shown to the target; handed back
// as nobody's, the balancer would reset the caller in the middle of an answer.
func TestPacketForAnUnnamedServiceReachesALivingTarget(t *testing.T) {
	is := is.New(t)
	r := &rig{t: t, now: time.Hour}
	r.engine = New(Config{
		Service: desk, Address: address, Process: 2, Heartbeat: time.Second,
		StartedAt: r.now, StartedWall: started, Policy: policy, Codec: codec{}, Out: r,
	})
	is.Equal(r.report().Service, uint64(0))
	p := packet.Packet{Src: flowOf(9).Client, Dst: service, Flags: packet.ACK, Seq: 11, Ack: 500, Data: 100}
	r.engine.FromBalancer(r.now, balancer, peer.Header{}, p, rawOf(9))
	is.Equal(len(r.refused), 0)
	is.Equal(r.toTarget, []uint16{9})
}
