package flowtable

import (
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// newBulkRig returns a rig whose only route is of the given kind.
func newBulkRig(t *testing.T, kind route.RequestKind) *rig {
	r := newRig(t)
	r.engine.cfg.Overload = overload.Settings{BulkAdmission: true}
	r.engine.SetTable(bulkTable(kind))
	return r
}

func bulkTable(kind route.RequestKind) *route.Table {
	return route.NewTable(&route.Definition{Version: 1, Routes: []route.Route{
		{Name: "r", IP: service.IP, Port: service.Port, TimeoutMS: 6000, Kind: kind, Backends: []route.Backend{{Service: serviceName, Weight: 1}}},
	}})
}

// Guards against a target that looks full while it only receives bodies: further callers are
// admitted, and balancers don't see it as busy.
func TestUploadsDoNotFillTarget(t *testing.T) {
	is := is.New(t)
	r := newBulkRig(t, route.Upload)
	fillWithFlows(r)
	r.syn(9)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(r.report().Running, uint32(0))
	is.Equal(r.engine.latencies.service > 0, false)

	r = newBulkRig(t, route.NonIdempotent)
	fillWithFlows(r)
	r.syn(9)
	is.Equal(len(r.toTarget), 0)
}

// Guards against uploads that fill a target once its agent has restarted: flows restored from
// control's record are counted apart too.
func TestRestoredUploadsCountApart(t *testing.T) {
	is := is.New(t)
	r := restartedAgent(t)
	r.engine.cfg.Overload = overload.Settings{BulkAdmission: true}
	r.engine.SetTable(bulkTable(route.Upload))
	r.announce("i-1", -60_000, 55)
	r.engine.HandleRecall(r.now, recordedFlows("i-1", -60_000, 9))
	r.sendRequest(9, 0)
	is.Equal(r.report().Running, uint32(0))
}

// Guards against a target that breaks uploads off and stays unnoticed: they count as broken
// like other requests.
func TestBrokenUploadsCount(t *testing.T) {
	is := is.New(t)
	r := newBulkRig(t, route.Upload)
	for port := uint16(100); port < 120; port++ {
		r.open(port, 1000)
		r.sendRequest(port, 0)
		r.fromTarget(port, packet.RST, 1001, 0, 0)
	}
	is.True(r.report().Unsteady)
}
