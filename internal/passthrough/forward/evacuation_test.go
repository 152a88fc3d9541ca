package forward

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// agentIn has an agent of a data centre report that its target takes new flows.
func (r *testEngine) agentIn(n byte, service, zone string) netip.AddrPort {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	r.report(at, peer.Report{Process: uint64(n), Service: uint64(route.IDOf(service)), Zone: zone, AcceptsFlows: true, Slots: 4})
	return at
}

// Guards against new flows at targets of an evacuated data centre, local or remote, while
// others have free slots.
func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	for _, evacuated := range []string{zone, "accra-b"} {
		r := newTestEngine(t)
		agents := map[string]netip.AddrPort{zone: r.agentIn(1, caseworkService, zone), "accra-b": r.agentIn(2, caseworkService, "accra-b")}
		r.engine.SetEvacuated([]string{evacuated})
		for port := range uint16(50) {
			r.send(syn(port))
		}
		is.Equal(len(r.delivered), 50)
		for _, d := range r.delivered {
			is.True(d.to != agents[evacuated])
		}
		r.engine.SetEvacuated(nil)
		r.engine.HandleRefused(r.now, r.delivered[0].to, peer.Header{Reason: peer.Draining}, syn(0), rawOf(0))
		is.Equal(r.delivered[len(r.delivered)-1].to, agents[evacuated]) // available again
	}
}

// Guards against callers that wait for a timeout where every data centre of the service
// is evacuated: their flows are reset at once.
func TestFlowsAreRefusedWhenAllDataCentresAreEvacuated(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.agentIn(1, caseworkService, zone)
	r.agentIn(2, caseworkService, "accra-b")
	r.engine.SetEvacuated([]string{"accra-b", zone})
	r.send(syn(9))
	is.Equal(len(r.delivered), 0)
	is.Equal(len(r.resets), 1)
	is.Equal(r.lastDecision().Verdict, RefusedNoTarget)
}

// Guards against open flows that break because their data centre is evacuated: a balancer
// that doesn't know a flow finds its holder there.
func TestOpenFlowsSurviveEvacuation(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentIn(1, caseworkService, zone)
	r.agentIn(2, caseworkService, "accra-b")
	r.engine.SetEvacuated([]string{zone})
	r.send(data(9, 77))
	r.advance(10 * time.Millisecond)
	r.answerAs(a, peer.Holds)
	is.Equal(r.lastDecision().Verdict, Found)
	is.Equal(r.delivered[len(r.delivered)-1].to, a)
}

// Guards against flows of a route with home regions that are placed in another region. If
// the home regions have no target, flows are refused at once.
func TestFlowsStayInHomeRegions(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.engine.cfg.Regions = map[string]string{zone: "accra", "kumasi-a": "ashanti"}
	r.agentIn(1, caseworkService, zone)
	away := r.agentIn(2, caseworkService, "kumasi-a")
	d := &route.Definition{Version: 2, Routes: []route.Route{{
		IP: service.IP, Port: service.Port, TimeoutMS: 1000, Backends: []route.Backend{{Service: caseworkService, Weight: 1}}, AllowedRegions: []string{"ashanti"},
	}}}
	r.engine.SetTable(r.now, route.NewTable(d))
	for port := range uint16(20) {
		r.send(syn(port))
	}
	is.Equal(len(r.delivered), 20)
	for _, x := range r.delivered {
		is.Equal(x.to, away)
	}
	d.Routes[0].AllowedRegions = []string{"volta"}
	r.engine.SetTable(r.now, route.NewTable(d))
	r.send(syn(99))
	is.Equal(len(r.resets), 1)
}
