package forward

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// placeAmong has two agents report, with the given service times in microseconds, and returns
// how many of 200 flows the second one gets. Each flow is placed by fresh reports.
func placeAmong(t *testing.T, learned bool, micros [2]uint32) int {
	r := &testEngine{t: t, now: 1}
	r.engine = New(Config{
		Zone: zone, Rand: rand.New(rand.NewPCG(1, 2)), Policy: DefaultPolicy(), Out: r, Overload: overload.Settings{LearnedCapacity: learned},
	})
	r.engine.SetListsComplete(true)
	r.table(1, caseworkService)
	r.advance(DefaultPolicy().Youth)
	n := 0
	for port := range uint16(200) {
		for i, service := range micros {
			at := r.list(byte(i+1), caseworkService)
			r.report(at, peer.Report{
				Process: uint64(i + 1), Service: uint64(route.IDOf(caseworkService)), Zone: zone, AcceptsFlows: true, Slots: 4,
				Running: 1, Load: 100, ServiceMicros: service,
			})
		}
		r.send(syn(port))
		if r.delivered[len(r.delivered)-1].to.Addr().As4()[3] == 2 {
			n++
		}
	}
	return n
}

// Guards against new flows at a slow target beside an equally loaded fast one.
func TestFlowsGoWhereTheAnswerIsExpectedFirst(t *testing.T) {
	is := is.New(t)
	is.Equal(placeAmong(t, true, [2]uint32{18_000, 44_000}), 0)
	plain := placeAmong(t, false, [2]uint32{0, 0})
	is.True(plain > 60 && plain < 140)
	is.Equal(placeAmong(t, false, [2]uint32{18_000, 44_000}), plain)
	is.Equal(placeAmong(t, true, [2]uint32{18_000, 0}), plain)
	is.Equal(placeAmong(t, true, [2]uint32{18_000, 20_000}), plain)
}

// Guards against bulk on the links between data centres while its own has room for it soon;
// and against other decisions about large responses where nothing of that is short.
func TestBulkStaysNearWhereItIsShort(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings overload.Settings
		kind     route.RequestKind
		upload   bool
		far      bool
	}{
		{"off", overload.Settings{LearnedCapacity: true}, route.Download, false, true},
		{"on", overload.Settings{BulkStaysNear: true}, route.Download, false, false},
		{"beside an upload route", overload.Settings{}, route.Download, true, false},
		{"other kinds", overload.Settings{BulkStaysNear: true}, route.Idempotent, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &testEngine{t: t, now: 1}
			r.engine = New(Config{Zone: zone, Rand: rand.New(rand.NewPCG(1, 2)), Policy: DefaultPolicy(), Out: r, Overload: c.settings})
			r.engine.SetListsComplete(true)
			at := route.Route{Name: "r", IP: service.IP, Port: service.Port, TimeoutMS: 1000, Kind: c.kind, Backends: []route.Backend{{Service: caseworkService, Weight: 1}}}
			d := &route.Definition{Version: 1, Routes: []route.Route{at}}
			if c.upload {
				at.Name, at.Port, at.Kind = "u", at.Port+1, route.Upload
				d.Routes = append(d.Routes, at)
			}
			r.engine.SetTable(r.now, route.NewTable(d))
			r.advance(DefaultPolicy().Youth)
			for n, load := range []uint32{360, 360, 0, 0} {
				x := peer.Report{Process: uint64(n + 1), Service: uint64(route.IDOf(caseworkService)), Zone: zone, AcceptsFlows: true, Slots: 4, Load: load, Running: load / 100}
				if load == 0 {
					x.Zone = "elsewhere"
				}
				to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7000)
				r.engine.ListAgent(r.now, AgentInfo{Address: to, Zone: x.Zone, Service: route.IDOf(caseworkService), Process: uint64(n + 1)})
				r.report(to, x)
			}
			r.send(syn(1))
			is.New(t).Equal(r.delivered[len(r.delivered)-1].to.Addr().As4()[3] > 2, c.far)
		})
	}
}
