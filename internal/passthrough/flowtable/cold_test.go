package flowtable

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// coldRig is an engine whose service's cold targets bear two new flows a second, exceeded
// by a factor of 1.5 and one flow at most; its target is cold for four seconds.
func coldRig(t *testing.T) *rig {
	r := newRig(t)
	r.engine.cfg.ColdOverage, r.engine.cfg.ColdSlack = 1.5, 1
	r.engine.SetTable(route.NewTable(&route.Definition{Version: 1, Services: []route.Service{{Name: desk, ColdPerSecond: 2}}}))
	r.number = 1
	r.beat(4 * time.Second)
	return r
}

// beat has the target announce how long it stays cold.
func (r *rig) beat(cold time.Duration) {
	r.number++
	r.engine.HandleAnnouncement(r.now, Announcement{
		ID: "i-1", Service: desk, Address: address, Born: started.UnixMilli(), Number: r.number, Slots: 100, Cold: cold,
	})
}

// flood has new flows come every millisecond for a while, from 14 balancers in turn, and
// returns when each was sent to the target.
func (r *rig) flood(first uint16, d time.Duration) []time.Duration {
	var sent []time.Duration
	for end := r.now + d; r.now < end; r.now += time.Millisecond {
		before := len(r.toTarget)
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + first%14)}), 7000)
		p := packet.Packet{Src: flowOf(first).Client, Dst: service, Flags: packet.SYN}
		r.engine.FromBalancer(r.now, from, peer.Header{Service: route.IDOf(desk)}, p, rawOf(first))
		first++
		if len(r.toTarget) > before {
			sent = append(sent, r.now)
			r.fromTarget(first-1, packet.SYN|packet.ACK, 1000, 11, 0)
		}
		r.engine.Tick(r.now)
	}
	return sent
}

// Guards against cold targets that get more new flows in any second than they bear, from
// however many balancers.
func TestColdTargetGetsFewNewFlows(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	sent := r.flood(1, 4*time.Second)
	is.True(len(sent) >= 12) // about four a second: it isn't kept from its share
	for i, at := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other-at < time.Second {
				n++
			}
		}
		is.True(n <= 4)
	}
	is.Equal(r.refused[0].why, peer.Cold)
	is.Equal(len(r.flood(5000, 100*time.Millisecond)), 100) // it isn't cold any more
}

// Guards against a balancer that sends to a target which bears no more, while others do.
func TestColdTargetThatIsFullReportsSo(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	is.True(r.report().AcceptsFlows)
	r.flood(1, 10*time.Millisecond)
	is.True(!r.report().AcceptsFlows)
	r.now += coldWindow
	is.True(r.report().AcceptsFlows)
}

// Guards against a flow that was let in already and whose copies are turned away.
func TestCopiesPassAColdTargetsLimit(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	r.flood(1, 10*time.Millisecond)
	before := len(r.toTarget)
	r.syn(1)
	is.Equal(len(r.toTarget), before+1)
}

// Guards against an agent that restarts beside a cold target and begins to count anew.
func TestRestartedAgentTakesTheLimitForUsed(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	r.engine = New(Config{
		Service: desk, Address: address, Process: 2, Heartbeat: time.Second, ColdSlack: 1,
		StartedAt: r.now, StartedWall: started.Add(3 * time.Second), Policy: policy, Codec: codec{}, Out: r,
	})
	r.engine.SetTable(route.NewTable(&route.Definition{Version: 1, Services: []route.Service{{Name: desk, ColdPerSecond: 2}}}))
	r.beat(4 * time.Second)
	r.syn(900)
	is.Equal(r.refused, []refusal{{900, peer.Cold}})
	r.now += coldWindow
	r.syn(901)
	is.Equal(len(r.refused), 1)
}

// Guards against a burst at targets that were restarted while their data centre was
// evacuated, before they have announced that they are cold.
func TestTargetCountsAsColdAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	r.beat(0)
	r.engine.SetEvacuated(r.now, true)
	r.engine.SetEvacuated(r.now, false)
	is.True(len(r.flood(1, 500*time.Millisecond)) <= 4)
	r.beat(0) // it is warm
	is.Equal(len(r.flood(5000, 50*time.Millisecond)), 50)
}

// Guards against flows of a route at targets outside of its homes, sent by a balancer whose
// table is older.
func TestAgentRefusesFlowsOfOtherHomes(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine.cfg.Region = "lombardia"
	homes := func(regions ...string) {
		d := &route.Definition{Version: 1, Services: []route.Service{{Name: desk}}}
		d.Routes = []route.Route{{IP: service.IP, Port: service.Port, TimeoutMS: 1000, Backends: []route.Backend{{Service: desk, Weight: 1}}, AllowedRegions: regions}}
		r.engine.SetTable(route.NewTable(d))
	}
	homes("ashanti")
	r.syn(1)
	is.Equal(r.refused, []refusal{{1, peer.NotHome}})
	homes("ashanti", "lombardia")
	r.syn(2)
	is.Equal(r.toTarget, []uint16{2})
	homes()
	r.syn(3)
	is.Equal(r.toTarget, []uint16{2, 3})
}
