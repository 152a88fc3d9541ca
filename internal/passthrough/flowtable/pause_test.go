package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// testPause is longer than any timeout for what a target sends.
const testPause = 4 * time.Second

// resume moves the clock by a pause in which the engine didn't run.
func (r *rig) resume() { r.now += testPause }

// Guards against an agent that resets its living target's flows after a pause, because it has
// not yet read the target's answers and announcements.
func TestPausedAgentKeepsItsTargetsFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(1, 1000)
	r.advance(10 * time.Millisecond)
	r.syn(2)
	r.resume()
	r.engine.Tick(r.now)
	r.fromTarget(2, packet.SYN|packet.ACK, 2000, 11, 0)
	r.announce("i-1", 0, 2)
	r.advance(100 * time.Millisecond)
	is.Equal(len(r.resets), 0)
	is.Equal(len(r.refused), 0) // the answer that waited counts
	is.Equal(r.verdictOn(1, 1001), peer.Holds)
}

// Guards against flows reset after a pause because a draining target has closed its port and
// its announcements weren't read yet.
func TestPausedAgentKeepsADrainingTargetsFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(1, 1000)
	r.announceState("i-1", 0, 2, true)
	r.sendRequest(1, 0)
	r.resume()
	r.engine.Probed(r.now, false)
	r.engine.Tick(r.now)
	r.engine.Probed(r.now, false)
	is.Equal(len(r.resets), 0)
}

// Guards against a flow that is forgotten after a pause while its client's packets wait to
// be read: every agent would lack it, and a balancer would reset it.
func TestPausedAgentKeepsHalfOpenFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.syn(1)
	r.fromTarget(1, packet.SYN|packet.ACK, 1000, 11, 0)
	r.resume()
	r.engine.Tick(r.now)
	r.fromClient(1, packet.ACK, 11, 1001, 0)
	is.Equal(len(r.refused), 0)
	is.Equal(r.verdictOn(1, 1001), peer.Holds)
}

// Guards against a restarted agent that is paused before its target announces itself, and
// then answers that no target is there.
func TestPausedAgentDoesNotDenyAnUnknownTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine = New(r.engine.cfg)
	r.resume()
	for range 2 {
		r.engine.Ask(r.now, balancer, peer.Question{Flow: flowOf(1), Ack: 1001})
		is.Equal(len(r.answers), 0)
		is.Equal(r.report().NoTarget, false)
		r.engine.Tick(r.now)
	}
}

// Guards against a target that ended during a pause and whose last answers are cut, because
// they weren't read before its flows are reset.
func TestPausedAgentReadsTheLastAnswers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(1, 1000)
	r.engine.HandleTargetLeft(r.now, "i-1")
	r.resume()
	r.engine.Tick(r.now)
	is.Equal(len(r.resets), 0)
	r.advance(exitGrace + 20*time.Millisecond)
	is.Equal(r.resets, []reset{{1, 1001}})
}

// Guards against a target that is never taken for dead after the agent was paused.
func TestTargetThatDiedDuringAPause(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(1, 1000)
	r.advance(10 * time.Millisecond)
	r.syn(2)
	r.resume()
	r.advance(r.engine.announcementTimeout() + firstPacketTimeout)
	is.Equal(len(r.resets), 1)
}
