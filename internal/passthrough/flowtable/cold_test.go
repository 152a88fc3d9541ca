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

// coldRig returns an engine whose target is cold for four seconds. The service's cold
// targets can take two new flows a second, which may be exceeded by a factor of 1.5 and
// one flow.
func coldRig(t *testing.T) *rig {
	r := newRig(t)
	r.engine.cfg.ColdOverage, r.engine.cfg.ColdSlack = 1.5, 1
	r.engine.SetTable(route.NewTable(&route.Definition{Version: 1, Services: []route.Service{{Name: serviceName, ColdPerSecond: 2}}}))
	r.number = 1
	r.announceCold(4 * time.Second)
	return r
}

// announceCold announces for how long the target is still cold.
func (r *rig) announceCold(cold time.Duration) {
	r.number++
	r.engine.HandleAnnouncement(r.now, Announcement{
		ID: "i-1", Service: serviceName, Address: address, Born: startTime.UnixMilli(), Number: r.number, Slots: 100, Cold: cold,
	})
}

// openMany opens a new flow every millisecond for the time d, from 14 balancers in turn,
// and returns when each was sent to the target.
func (r *rig) openMany(first uint16, d time.Duration) []time.Duration {
	var sent []time.Duration
	for end := r.now + d; r.now < end; r.now += time.Millisecond {
		before := len(r.toTarget)
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + first%14)}), 7000)
		p := packet.Packet{Src: flowOf(first).Client, Dst: service, Flags: packet.SYN}
		r.engine.FromBalancer(r.now, from, peer.Header{Service: route.IDOf(serviceName)}, p, rawOf(first))
		first++
		if len(r.toTarget) > before {
			sent = append(sent, r.now)
			r.fromTarget(first-1, packet.SYN|packet.ACK, 1000, 11, 0)
		}
		r.engine.Tick(r.now)
	}
	return sent
}

// Guards against cold targets that get more new flows in any second than they can take,
// from any number of balancers.
func TestColdTargetGetsFewNewFlows(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	sent := r.openMany(1, 4*time.Second)
	is.True(len(sent) >= 12) // about four a second: the limit is used up
	for i, at := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other-at < time.Second {
				n++
			}
		}
		is.True(n <= 4)
	}
	is.Equal(r.refused[0].reason, peer.Cold)
	is.Equal(len(r.openMany(5000, 100*time.Millisecond)), 100) // the target is warm
}

// Guards against balancers that send to a cold target which can't take more, while others
// can.
func TestColdTargetThatIsFullReportsSo(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	is.True(r.report().AcceptsFlows)
	r.openMany(1, 10*time.Millisecond)
	is.True(!r.report().AcceptsFlows)
	r.now += coldWindow
	is.True(r.report().AcceptsFlows)
}

// Guards against refusing the retransmission of a first packet that was admitted already.
func TestRetransmissionsPassAColdTargetsLimit(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	r.openMany(1, 10*time.Millisecond)
	before := len(r.toTarget)
	r.syn(1)
	is.Equal(len(r.toTarget), before+1)
}

// Guards against an agent that restarts next to a cold target and counts from zero again.
func TestRestartedAgentAssumesTheLimitIsReached(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	r.engine = New(Config{
		Service: serviceName, Address: address, Process: 2, Heartbeat: time.Second, ColdSlack: 1,
		StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r,
	})
	r.engine.SetTable(route.NewTable(&route.Definition{Version: 1, Services: []route.Service{{Name: serviceName, ColdPerSecond: 2}}}))
	r.announceCold(4 * time.Second)
	r.syn(900)
	is.Equal(r.refused, []refusal{{900, peer.Cold}})
	r.now += coldWindow
	r.syn(901)
	is.Equal(len(r.refused), 1)
}

// Guards against a burst at targets that restarted while their data centre was evacuated,
// before they announce that they are cold.
func TestTargetCountsAsColdAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	r := coldRig(t)
	r.announceCold(0)
	r.engine.SetEvacuated(r.now, true)
	r.engine.SetEvacuated(r.now, false)
	is.True(len(r.openMany(1, 500*time.Millisecond)) <= 4)
	r.announceCold(0) // the target is warm
	is.Equal(len(r.openMany(5000, 50*time.Millisecond)), 50)
}

// Guards against flows at targets outside of their route's regions, sent by a balancer
// with an older table.
func TestAgentRefusesFlowsOfOtherRegions(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine.cfg.Region = "lombardia"
	setRegions := func(regions ...string) {
		d := &route.Definition{Version: 1, Services: []route.Service{{Name: serviceName}}}
		d.Routes = []route.Route{{IP: service.IP, Port: service.Port, TimeoutMS: 1000, Backends: []route.Backend{{Service: serviceName, Weight: 1}}, AllowedRegions: regions}}
		r.engine.SetTable(route.NewTable(d))
	}
	setRegions("ashanti")
	r.syn(1)
	is.Equal(r.refused, []refusal{{1, peer.NotHome}})
	setRegions("ashanti", "lombardia")
	r.syn(2)
	is.Equal(r.toTarget, []uint16{2})
	setRegions()
	r.syn(3)
	is.Equal(r.toTarget, []uint16{2, 3})
}
