package forward

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/peer"
)

// Guards against an explanation that differs from what the next flow gets, or that changes
// it.
func TestExplanationIsTheNextDecision(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	for n := byte(1); n <= 6; n++ {
		r.agentAt(n, caseworkService)
	}
	before := len(r.decisions)
	x := r.engine.Explain(r.now, flowOf(9))
	is.Equal(x.Verdict, Placed)
	is.Equal(x.Picked, x.Service)
	is.Equal(len(x.Candidates), 6)
	is.True(reflect.DeepEqual(x, r.engine.Explain(r.now, flowOf(9))))
	is.Equal(len(r.decisions)+len(r.delivered)+len(r.probed), before)
	r.send(syn(9))
	is.Equal(r.delivered[0].to, x.Agent)
	for _, c := range x.Candidates {
		is.Equal(c.Chosen, c.Agent == x.Agent)
		is.True(!c.Chosen || c.Preferred)
	}
}

// Guards against an explanation without the reason: no table, no route, loads that must be
// asked for first, and targets that get nothing.
func TestExplanationNamesWhatKeepsAFlowAway(t *testing.T) {
	is := is.New(t)
	is.Equal(newStartingTestEngine(t).engine.Explain(time.Hour, flowOf(9)).Verdict, HeldEarly)
	r := newTestEngine(t)
	at := r.list(1, caseworkService)
	x := r.engine.Explain(r.now, flowOf(9))
	is.Equal(x.Verdict, Verdict(0))
	is.Equal(x.Probed[0], at)
	r.advance(time.Second)
	r.report(at, peer.Report{Process: 1, Service: uint64(x.Picked), Zone: zone, AcceptsFlows: false, Slots: 4})
	x = r.engine.Explain(r.now, flowOf(9))
	is.Equal(x.Verdict, RefusedNoTarget)
	is.Equal(x.Candidates[0].Unfit, TakesNoFlows)
	r.engine.SetEvacuated([]string{zone})
	is.Equal(r.engine.Explain(r.now, flowOf(9)).Candidates[0].Unfit, Evacuated)
	r.table(2)
	is.Equal(r.engine.Explain(r.now, flowOf(9)).Verdict, RefusedNoRoute)
}
