package forward

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// newGoalsEngine returns an engine that goes by callers' goals, whose route has a goal of
// 200 ms and a timeout of 1 s.
func newGoalsEngine(t *testing.T) *testEngine {
	r := newTestEngine(t)
	r.engine.cfg.Overload = overload.Settings{CallerGoals: true}
	r.engine.SetTable(r.now, route.NewTable(&route.Definition{Version: 2, Routes: []route.Route{{
		Name: "r", IP: service.IP, Port: service.Port, TimeoutMS: 1000, GoalMS: 200, Backends: []route.Backend{{Service: caseworkService, Weight: 1}},
	}}}))
	return r
}

// busyAgent has an agent report what it runs and how long a caller would wait.
func (r *testEngine) busyAgent(n byte, running, waitMS uint32) netip.AddrPort {
	at := r.agentAt(n, caseworkService)
	r.report(at, peer.Report{
		Process: uint64(n), Service: uint64(route.IDOf(caseworkService)), Zone: zone, AcceptsFlows: true, Slots: 4, Running: running, WaitMS: waitMS,
	})
	return at
}

// refuseAsBusy has the agent that got the last packet hand it back after some time.
func (r *testEngine) refuseAsBusy(port uint16, after time.Duration) {
	d := r.delivered[len(r.delivered)-1]
	h := peer.Header{Kind: peer.KindRefused, Reason: peer.Busy, Age: peer.AgeMillis(after)}
	r.engine.HandleRefused(r.now, d.to, h, syn(port), d.raw)
}

// Guards against a caller that is reset while a target has a free slot, although the flow
// prefers others.
func TestBusyCallerIsOfferedAFreeSlot(t *testing.T) {
	is := is.New(t)
	r := newGoalsEngine(t)
	for n := byte(1); n <= 12; n++ {
		r.busyAgent(n, 9, 90)
	}
	r.send(syn(7))
	is.Equal(len(r.delivered), 1)
	free := r.agentAt(40, caseworkService)
	r.refuseAsBusy(7, 5*time.Millisecond)
	is.Equal(len(r.resets), 0)
	is.Equal(r.delivered[1].to, free)
	is.Equal(r.delivered[1].age, 5*time.Millisecond) // it keeps its age
	is.Equal(r.lastDecision().Verdict, Moved)
}

// Guards against callers that are passed on to targets where they have no turn either, or
// after they have given up; a short queue is better than a reset.
func TestBusyCallerIsResetWhereNoTargetHasRoom(t *testing.T) {
	is := is.New(t)
	r := newGoalsEngine(t)
	r.busyAgent(1, 9, 90)
	r.busyAgent(2, 9, 90)
	r.send(syn(7))
	r.send(syn(8))
	r.refuseAsBusy(8, 5*time.Millisecond)
	is.Equal(len(r.delivered), 2)
	is.Equal(len(r.resets), 1)

	r.send(syn(9))
	short := r.busyAgent(3, 5, 20)
	r.refuseAsBusy(9, 5*time.Millisecond)
	is.Equal(len(r.resets), 1)
	is.Equal(r.delivered[3].to, short)

	r.refuseAsBusy(9, 1100*time.Millisecond)
	is.Equal(len(r.resets), 2)
}

// Guards against a caller, held for as long as is allowed, that goes from queue to queue.
func TestLongHeldCallerIsOfferedFreeSlotsOnly(t *testing.T) {
	is := is.New(t)
	r := newGoalsEngine(t)
	r.engine.SetTable(r.now, route.NewTable(&route.Definition{Version: 3, Routes: []route.Route{{
		Name: "r", IP: service.IP, Port: service.Port, TimeoutMS: 5000, GoalMS: 3000, Backends: []route.Backend{{Service: caseworkService, Weight: 1}},
	}}}))
	for n := byte(1); n <= 3; n++ {
		r.busyAgent(n, 9, 90)
	}
	r.send(syn(7))
	r.refuseAsBusy(7, 600*time.Millisecond)
	is.Equal(len(r.delivered), 2)
	r.refuseAsBusy(7, 640*time.Millisecond)
	is.Equal(len(r.delivered), 2)
	is.Equal(len(r.resets), 1)
}

// Guards against a flow that is delivered to two targets: by a refusal, and by the placement
// of its copy, which waits for loads.
func TestRefusalDuringPlacementChangesNothing(t *testing.T) {
	is := is.New(t)
	r := newGoalsEngine(t)
	for n := byte(1); n <= 3; n++ {
		r.busyAgent(n, 9, 90)
	}
	r.send(syn(7))
	f, first := flowOf(7), r.delivered[0]
	entry := r.engine.flows[f]
	entry.exclude(entry.agent)
	r.now += reportFreshFor
	r.engine.place(r.now, arrival{arrivedAt: r.now, p: syn(7), raw: first.raw}, f, entry, peer.TargetSilent)
	is.True(r.engine.placements.byFlow[f] != nil)
	r.agentAt(40, caseworkService)
	r.refuseAsBusy(7, 150*time.Millisecond)
	is.Equal(len(r.delivered), 1)
	r.advance(200 * time.Millisecond)
	is.Equal(len(r.delivered)+len(r.resets), 2)
}

// Guards against a flow that is reset or goes to a second target because an agent refused a
// packet whose copy it may have admitted; the copy's own refusal counts.
func TestRefusalThatCrossesACopyChangesNothing(t *testing.T) {
	is := is.New(t)
	for _, free := range []bool{true, false} {
		r := newGoalsEngine(t)
		for n := byte(1); n <= 3; n++ {
			r.busyAgent(n, 9, 90)
		}
		r.send(syn(7))
		r.now += reportFreshFor / 2
		again := syn(7)
		again.Ack = 1
		r.send(again)
		if free {
			r.agentAt(40, caseworkService)
		}
		r.refuseAsBusy(7, reportFreshFor/2)
		is.Equal(len(r.delivered), 2)
		is.Equal(len(r.resets), 0)
		r.engine.HandleRefused(r.now, r.delivered[1].to, peer.Header{Kind: peer.KindRefused, Reason: peer.Busy}, again, r.delivered[1].raw)
		is.Equal(len(r.delivered)+len(r.resets), 3)
	}
}

// Guards against callers of a route without a goal that are offered on, given up or ordered by
// goals.
func TestBusyCallerWithoutGoalIsReset(t *testing.T) {
	is := is.New(t)
	for _, on := range []bool{false, true} {
		r := newTestEngine(t) // its route states no goal
		r.engine.cfg.Overload.CallerGoals = on
		r.busyAgent(1, 9, 90)
		r.busyAgent(2, 9, 90)
		r.send(syn(7))
		r.agentAt(40, caseworkService)
		r.refuseAsBusy(7, 810*time.Millisecond)
		is.Equal(len(r.delivered), 1)
		is.Equal(len(r.resets), 1)
		is.True(!r.engine.callerLeft(r.now, flowOf(8), arrival{arrivedAt: r.now - 1100*time.Millisecond, p: syn(8)}))
		early := func(age time.Duration) earlyPacket {
			return earlyPacket{arrival: arrival{arrivedAt: r.now - age, p: syn(8)}}
		}
		ready := []earlyPacket{early(300 * time.Millisecond), early(0), early(100 * time.Millisecond)}
		r.engine.sortEarly(r.now, ready)
		is.Equal(ready[0].age(r.now)+ready[1].age(r.now), 100*time.Millisecond) // the newest first
	}
}
