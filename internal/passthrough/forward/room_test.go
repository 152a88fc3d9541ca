package forward

import (
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

// busyAgents has agents report, each with what it runs and how long a caller would wait.
func (r *testEngine) busyAgents(n byte, running, waitMS uint32) {
	at := r.agentAt(n, caseworkService)
	r.report(at, peer.Report{
		Process: uint64(n), Service: uint64(route.IDOf(caseworkService)), Zone: zone, AcceptsFlows: true, Slots: 4, Running: running, WaitMS: waitMS,
	})
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
		r.busyAgents(n, 9, 90)
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
// after they have given up.
func TestBusyCallerIsResetWhereNoTargetHasRoom(t *testing.T) {
	is := is.New(t)
	r := newGoalsEngine(t)
	r.busyAgents(1, 9, 90)
	r.busyAgents(2, 9, 90)
	r.send(syn(7))
	r.refuseAsBusy(7, 5*time.Millisecond)
	is.Equal(len(r.delivered), 1)
	is.Equal(len(r.resets), 1)
	r.busyAgents(3, 5, 20) // a short queue
	r.send(syn(8))
	first := r.delivered[1].to
	r.refuseAsBusy(8, 5*time.Millisecond)
	is.True(len(r.delivered) == 3 || first == r.delivered[1].to && len(r.resets) == 2)
	r.agentAt(4, caseworkService)
	n := len(r.delivered)
	r.send(syn(9))
	r.refuseAsBusy(9, 1100*time.Millisecond)
	is.Equal(len(r.delivered), n+1)
}
