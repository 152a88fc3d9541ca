package forward

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// agentIn has an agent of a data centre report that its target takes flows.
func (r *rig) agentIn(n byte, service, zone string) netip.AddrPort {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	r.report(at, peer.Report{Process: uint64(n), Service: uint64(route.IDOf(service)), Zone: zone, Open: true, Slots: 4})
	return at
}

// Guards against new flows at targets of a data centre that is evacuated, this one or
// another, while others have room.
func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	for _, evacuated := range []string{zone, "accra-b"} {
		r := newRig(t)
		agents := map[string]netip.AddrPort{zone: r.agentIn(1, desk, zone), "accra-b": r.agentIn(2, desk, "accra-b")}
		r.engine.SetEvacuated([]string{evacuated})
		for port := range uint16(50) {
			r.send(syn(port))
		}
		is.Equal(len(r.delivered), 50)
		for _, d := range r.delivered {
			is.True(d.to != agents[evacuated])
		}
		r.engine.SetEvacuated(nil)
		r.engine.Refused(r.now, r.delivered[0].to, peer.Head{Reason: peer.Draining}, syn(0), rawOf(0))
		is.Equal(r.delivered[len(r.delivered)-1].to, agents[evacuated]) // it is back
	}
}

// Guards against callers who wait in vain where every data centre of the service is
// evacuated: they are told at once.
func TestFlowsAreRefusedAtOnceWhereAllIsEvacuated(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.agentIn(1, desk, zone)
	r.agentIn(2, desk, "accra-b")
	r.engine.SetEvacuated([]string{"accra-b", zone})
	r.send(syn(9))
	is.Equal(len(r.delivered), 0)
	is.Equal(len(r.resets), 1)
	is.Equal(r.last().Verdict, RefusedNoTarget)
}

// Guards against open flows that break because their data centre is evacuated: a balancer
// that has never seen one finds its holder there.
func TestOpenFlowsOfAnEvacuatedDataCentreGoOn(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentIn(1, desk, zone)
	r.agentIn(2, desk, "accra-b")
	r.engine.SetEvacuated([]string{zone})
	r.send(data(9, 77))
	r.pass(10 * time.Millisecond)
	r.answer(a, peer.Holds)
	is.Equal(r.last().Verdict, Found)
	is.Equal(r.delivered[len(r.delivered)-1].to, a)
}

// Guards against flows of a route with homes that are placed in another region, also where
// the homes have no target: then they are refused at once.
func TestFlowsStayInTheirHomes(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine.cfg.Regions = map[string]string{zone: "accra", "kumasi-a": "ashanti"}
	r.agentIn(1, desk, zone)
	away := r.agentIn(2, desk, "kumasi-a")
	d := &route.Definition{Version: 2, Routes: []route.Route{{
		IP: service.IP, Port: service.Port, TimeoutMS: 1000, Backends: []route.Backed{{Service: desk, Weight: 1}}, Homes: []string{"ashanti"},
	}}}
	r.engine.SetTable(r.now, route.NewTable(d))
	for port := range uint16(20) {
		r.send(syn(port))
	}
	is.Equal(len(r.delivered), 20)
	for _, x := range r.delivered {
		is.Equal(x.to, away)
	}
	d.Routes[0].Homes = []string{"volta"}
	r.engine.SetTable(r.now, route.NewTable(d))
	r.send(syn(99))
	is.Equal(len(r.resets), 1)
}
