package flowtable

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// newGoalsRig returns a rig whose engine goes by callers' goals.
func newGoalsRig(t *testing.T) *rig {
	r := newRig(t)
	r.engine.cfg.Overload = overload.Settings{CallerGoals: true}
	return r
}

// Guards against balancers that take a target with a queue for a free one.
func TestReportStatesTheExpectedWait(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	r.engine.latencies.service = 40 * time.Millisecond
	is.Equal(r.report().WaitMS, uint32(0))
	fillTarget(r)
	r.engine.latencies.service = 0
	is.Equal(r.report().WaitMS, uint32(1)) // busy, and nothing was observed
	r.engine.latencies.service = 40 * time.Millisecond
	one := r.report().WaitMS
	is.True(one > 0)
	r.syn(1)
	r.syn(2)
	is.Equal(r.report().WaitMS, 3*one)
	r.engine.cfg.Overload.CallerGoals = false
	is.Equal(r.report().WaitMS, uint32(0))
}

// setGoals gives the rig's route a goal, a timeout and a priority, and the target an
// observed pace of one answer in 10 ms.
func setGoals(r *rig, goal, timeout uint32) {
	d := &route.Definition{Version: 1, Services: []route.Service{{Name: serviceName}}, Routes: []route.Route{{
		Name: "r", IP: service.IP, Port: service.Port, TimeoutMS: timeout, GoalMS: goal, Kind: route.Idempotent,
		Backends: []route.Backend{{Service: serviceName, Weight: 1}},
	}}}
	r.engine.SetTable(route.NewTable(d))
	r.engine.latencies = latencies{handshake: 5 * time.Millisecond, service: 45 * time.Millisecond}
}

// synAged delivers a first packet whose client sent it some time ago.
func synAged(r *rig, port uint16, age time.Duration) {
	p := packet.Packet{Src: flowOf(port).Client, Dst: service, Flags: packet.SYN}
	h := peer.Header{Kind: peer.KindDeliver, Service: route.IDOf(serviceName), Age: peer.AgeMillis(age)}
	r.engine.FromBalancer(r.now, balancer, h, p, rawOf(port))
}

// Guards against the newest caller taking the turn of one who can only just be in time, and
// against late callers before those in time.
func TestTurnsGoByGoals(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 200, 1000)
	fillTarget(r)
	synAged(r, 1, 230*time.Millisecond)
	synAged(r, 2, 20*time.Millisecond)
	synAged(r, 3, 0)
	r.toTarget = nil
	for port := uint16(100); port < 103; port++ {
		r.sendAnswer(port, 0)
	}
	is.Equal(r.toTarget, []uint16{2, 3, 1})
	is.Equal(len(r.refused), 0)
}

// Guards against callers who are held although their turn can't come: they must hear of it
// at once, and those ahead of them must stay.
func TestCallerWithoutATurnIsTurnedAwayAtOnce(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 200, 1000)
	fillTarget(r)
	for port := uint16(1); port <= 40; port++ {
		synAged(r, port, 0)
	}
	is.Equal(len(r.refused)+len(r.engine.admission.queue), 40)
	is.True(len(r.refused) >= 10)
	is.True(len(r.engine.admission.queue) >= 10)
	is.Equal(r.refused[0].reason, peer.Busy)
	is.Equal(r.decisions[len(r.decisions)-1].Patience, patience.NoTurn)
	is.Equal(r.decisions[len(r.decisions)-1].Waited, time.Duration(0))
}

// Guards against a first packet that is dropped because its copies went to the agent that
// held it before.
func TestHandedOnCallerMayWait(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 1200, 5000)
	fillTarget(r)
	synAged(r, 1, 300*time.Millisecond)
	r.advance(20 * time.Millisecond)
	is.Equal(len(r.engine.admission.queue), 1)
	is.Equal(len(r.refused), 0)
}

// Guards against turns of clients that have ended their attempt before others, and against a
// caller that is dropped because a copy came late.
func TestSilentCallerGoesLast(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 1200, 5000)
	fillTarget(r)
	r.syn(1)
	r.syn(2)
	r.syn(3)
	r.advance(200 * time.Millisecond)
	r.fromClient(3, packet.SYN, 10, 1, 0) // the copy
	r.advance(90 * time.Millisecond)
	is.Equal(len(r.engine.admission.queue), 3)
	r.fromClient(2, packet.SYN, 10, 1, 0) // it was late
	r.toTarget = nil
	r.sendAnswer(100, 0)
	r.sendAnswer(101, 0)
	is.Equal(r.toTarget, []uint16{3, 2})
}

// Guards against a refusal that goes to a balancer which is gone, or that names a packet older
// than the balancer's last one; and against a copy that starts the caller's time anew.
func TestNewestCopyIsTheOneHandedBack(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 1200, 5000)
	fillTarget(r)
	r.syn(1)
	r.advance(200 * time.Millisecond)
	before := r.engine.admission.queue[0]
	other := netip.MustParseAddrPort("10.0.0.2:7000")
	p := packet.Packet{Src: flowOf(1).Client, Dst: service, Flags: packet.SYN, Ack: 1}
	raw := append(rawOf(1), 1)
	r.engine.FromBalancer(r.now, other, peer.Header{Kind: peer.KindDeliver, Service: route.IDOf(serviceName)}, p, raw)
	q := r.engine.admission.queue[0]
	is.Equal(q.from, other)
	is.Equal(q.raw, raw)
	is.Equal(q.sentAt, r.now)
	is.Equal(q.firstSentAt, before.firstSentAt)
	is.Equal(q.caller.HeldSince, before.caller.HeldSince)
}

// Guards against a silent caller that is reset or kept once its time has passed.
func TestSilentCallerIsDroppedInTheEnd(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 200, 600)
	r.engine.latencies.service = 100 * time.Millisecond
	fillTarget(r)
	r.syn(1)
	r.now += 470 * time.Millisecond // a pause
	r.advance(10 * time.Millisecond)
	is.Equal(len(r.engine.admission.queue), 1)
	r.advance(20 * time.Millisecond)
	is.Equal(len(r.engine.admission.queue), 0)
	is.Equal(len(r.refused), 0)
}

// Guards against a request over an open flow that is turned away: its caller couldn't tell
// whether it ran.
func TestHeldRequestIsNeverTurnedAway(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 100, 300)
	idleFlow(r, 9)
	fillTarget(r)
	r.sendRequest(9, 1)
	r.advance(280 * time.Millisecond)
	is.Equal(len(r.engine.admission.queue), 1)
	r.advance(40 * time.Millisecond) // its caller has given up
	is.Equal(len(r.engine.admission.queue), 0)
	is.Equal(len(r.refused)+len(r.resets), 0)
}

// Guards against another order of callers where no goal is stated, and against settings of
// the order that goals override.
func TestOrderWithoutGoals(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		on, oldestFirst bool
		goal            uint32
		want            []uint16
	}{
		{false, false, 0, []uint16{3, 2, 1}}, {true, false, 0, []uint16{3, 2, 1}}, {true, false, 400, []uint16{1, 2, 3}},
		{false, true, 0, []uint16{1, 2, 3}}, {true, true, 0, []uint16{1, 2, 3}}, {true, true, 200, []uint16{1, 2, 3}},
	} {
		r := newGoalsRig(t)
		r.engine.cfg.Overload.CallerGoals = x.on
		r.engine.cfg.Policy.OldestFirst = x.oldestFirst
		setGoals(r, x.goal, 5000)
		fillTarget(r)
		synAged(r, 1, 230*time.Millisecond)
		synAged(r, 2, 20*time.Millisecond)
		synAged(r, 3, 0)
		r.toTarget = nil
		for port := uint16(100); port < 103; port++ {
			r.sendAnswer(port, 0)
		}
		is.Equal(r.toTarget, x.want)
	}
}

// Guards against a route without a goal whose callers or requests are dropped by its timeout.
func TestTimeoutWithoutGoalDropsNobody(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 0, 300)
	fillTarget(r)
	synAged(r, 1, 400*time.Millisecond)
	is.Equal(len(r.engine.admission.queue), 1)
	is.Equal(r.engine.maxHoldTime(flowOf(1)), r.engine.maxRequestTime(flowOf(1)))
}

// Guards against callers of a route without a goal that wait without end, or not at all.
func TestRouteWithoutGoalKeepsTheFixedWait(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 0, 5000)
	r.engine.latencies.service = 200 * time.Millisecond
	fillTarget(r)
	for port := uint16(1); port <= 40; port++ {
		r.syn(port)
	}
	r.advance(policy.MaxWait)
	is.Equal(len(r.refused), 0)
	r.advance(20 * time.Millisecond)
	is.Equal(len(r.refused), 40)
}

// Guards against a caller of a slow target that is refused although the next turn is its own.
func TestCallerOfSlowTargetWaits(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 2000, 8000)
	r.engine.latencies.service = 1500 * time.Millisecond // an answer in 300 ms
	fillTarget(r)
	r.syn(1)
	is.Equal(len(r.engine.admission.queue), 1)
}

// Guards against the reset of a silent caller whose time has passed when room appears.
func TestRoomForSilentCallersThatGaveUp(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	setGoals(r, 200, 600)
	fillTarget(r)
	r.syn(1)
	r.syn(2)
	r.now += 700 * time.Millisecond
	r.toTarget = nil
	r.sendAnswer(100, 0)
	is.Equal(len(r.engine.admission.queue)+len(r.refused)+len(r.toTarget), 0)
}
