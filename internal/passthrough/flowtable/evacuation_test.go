package flowtable

import (
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/peer"
)

// Guards against new flows from a balancer that hasn't received the evacuation order.
func TestAgentRefusesNewFlowsWhileEvacuated(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(1, 1000)
	reports := r.reports
	r.engine.SetEvacuated(r.now, true)
	is.Equal(r.reports, reports+1)
	is.True(!r.report().AcceptsFlows)
	r.syn(2)
	is.Equal(r.refused, []refusal{{2, peer.Evacuated}})
	sent := len(r.toTarget)
	r.sendRequest(1, 1) // open flows continue
	is.Equal(len(r.toTarget), sent+1)
	r.engine.SetEvacuated(r.now, false)
	is.True(r.report().AcceptsFlows)
	r.syn(3)
	is.Equal(r.toTarget[len(r.toTarget)-1], uint16(3))
}

// Guards against admitting a first packet that was held when the evacuation began.
func TestEvacuationReturnsHeldFirstPackets(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for port := uint16(1); port <= 5; port++ { // four slots, and one for requests that finish during a handshake
		r.open(port, 1000)
		r.sendRequest(port, 1)
	}
	r.syn(9)
	is.Equal(len(r.refused), 0)
	r.engine.SetEvacuated(r.now, true)
	is.Equal(r.refused, []refusal{{9, peer.Evacuated}})
	for port := uint16(1); port <= 5; port++ {
		r.sendAnswer(port, 1)
	}
	is.True(r.toTarget[len(r.toTarget)-1] != 9)
}
