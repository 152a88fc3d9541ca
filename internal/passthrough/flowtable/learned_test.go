package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// newLearningRig returns a rig whose engine learns the target's capacity.
func newLearningRig(t *testing.T) *rig {
	r := newRig(t)
	r.engine.cfg.Overload = overload.Settings{LearnedCapacity: true}
	return r
}

// Guards against a service time that balancers don't hear of, that outlives the target, or
// that is taken over after the agent's restart.
func TestServiceTimeIsReportedUntilTheTargetIsReplaced(t *testing.T) {
	is := is.New(t)
	r := newLearningRig(t)
	is.Equal(r.report().ServiceMicros, uint32(0))
	runRequests(r, 10*time.Millisecond, 50*time.Millisecond)
	got := time.Duration(r.report().ServiceMicros) * time.Microsecond
	is.True(got > 45*time.Millisecond && got < 55*time.Millisecond)
	is.Equal(r.report().Capacity, uint32(0)) // no other than its slots
	r.announce("i-2", 5000, 1)
	is.Equal(r.report().ServiceMicros, uint32(0))
}

// Guards against a target that breaks most requests off and looks fast by those that it
// answers.
func TestUnsteadyTargetDoesntLookFast(t *testing.T) {
	is := is.New(t)
	r := newLearningRig(t)
	runRequests(r, 10*time.Millisecond, 50*time.Millisecond)
	before, _ := r.learnedService()
	breakRequests(r, 1, 2, 3, 4)
	is.Equal(r.report().ServiceMicros, uint32(0))
	for port := uint16(20); port < 60; port++ {
		r.open(port, 1000)
		r.sendRequest(port, 0)
		r.sendAnswer(port, 0)
	}
	after, _ := r.learnedService()
	is.True(after >= before)
}

func (r *rig) learnedService() (time.Duration, float64) {
	requests, service := r.engine.LearnedCapacity(r.now)
	return service, requests
}

// runPairs has callers open flows and send requests, one alone and two at once by turns.
// Each takes alone, or pair if there are two.
func runPairs(r *rig, n int, alone, pair time.Duration) {
	port := uint16(1000)
	request := func() uint16 {
		port++
		r.open(port, 1000)
		r.sendRequest(port, 0)
		return port
	}
	for range n {
		p := request()
		r.advance(alone)
		r.sendAnswer(p, 0)
		p, q := request(), request()
		r.advance(pair)
		r.sendAnswer(p, 0)
		r.sendAnswer(q, 0)
	}
}

// Guards against more requests given to a target than it runs well, or fewer than it can.
func TestLearnedCapacityBoundsAdmission(t *testing.T) {
	for _, c := range []struct {
		name string
		pair time.Duration
		room int
	}{
		{"slows down", 80 * time.Millisecond, 2},
		{"steady", 40 * time.Millisecond, 3},
		{"faster under load", 20 * time.Millisecond, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newLearningRig(t)
			r.engine.HandleAnnouncement(r.now, Announcement{ID: "i-1", Service: serviceName, Address: address, Born: startTime.UnixMilli(), Number: 2, Slots: 2})
			before := r.engine.capacity()
			runPairs(r, 150, 40*time.Millisecond, c.pair)
			is.Equal(r.engine.capacity(), c.room)
			is.True(r.engine.capacity() <= before)
			is.Equal(r.report().Capacity > 0, c.room == 2)
			is.Equal(r.decisions[len(r.decisions)-1].Verdict == CapacityLearned, c.room == 2)
		})
	}
}

// Guards against uploads whose clients' links are slow counting as slow targets.
func TestBulkSaysNothingAboutTheTarget(t *testing.T) {
	is := is.New(t)
	r := newLearningRig(t)
	r.engine.SetTable(route.NewTable(&route.Definition{Version: 1, Routes: []route.Route{{
		Name: "u", IP: service.IP, Port: service.Port, TimeoutMS: 1000, Kind: route.Upload, Backends: []route.Backend{{Service: serviceName, Weight: 1}},
	}}}))
	runRequests(r, 10*time.Millisecond, 50*time.Millisecond)
	is.Equal(r.report().ServiceMicros, uint32(0))
}

// Guards against a target that seems to slow down because an upload has one of its slots: of
// two requests beside it, one waits for the other.
func TestUploadsDontLookLikeFewerSlots(t *testing.T) {
	is := is.New(t)
	r := newLearningRig(t)
	up := packet.Endpoint{IP: service.IP, Port: service.Port + 1}
	backends := []route.Backend{{Service: serviceName, Weight: 1}}
	r.engine.SetTable(route.NewTable(&route.Definition{Version: 1, Routes: []route.Route{
		{Name: "u", IP: up.IP, Port: up.Port, TimeoutMS: 8000, Kind: route.Upload, Backends: backends},
		{Name: "s", IP: service.IP, Port: service.Port, TimeoutMS: 1000, Backends: backends},
	}}))
	r.engine.HandleAnnouncement(r.now, Announcement{ID: "i-1", Service: serviceName, Address: address, Born: startTime.UnixMilli(), Number: 2, Slots: 2})
	port := uint16(1000)
	request := func() uint16 {
		port++
		r.open(port, 1000)
		r.sendRequest(port, 0)
		return port
	}
	for i := range uint16(150) {
		p := request()
		r.advance(40 * time.Millisecond)
		r.sendAnswer(p, 0)
		r.upload(up, i)
		p, q := request(), request()
		r.advance(40 * time.Millisecond)
		r.sendAnswer(p, 0)
		r.advance(40 * time.Millisecond)
		r.sendAnswer(q, 0)
		r.fromUploader(up, i, packet.RST, 111, 1001, 0)
	}
	is.Equal(r.report().Capacity, uint32(0))
	is.True(r.report().ServiceMicros > 35_000)
}

// upload has a client open a flow at another address and send part of a request.
func (r *rig) upload(to packet.Endpoint, port uint16) {
	r.fromUploader(to, port, packet.SYN, 10, 0, 0)
	r.engine.FromTarget(r.now, packet.Packet{Src: to, Dst: flowOf(port).Client, Flags: packet.SYN | packet.ACK, Seq: 1000, Ack: 11}, rawOf(port))
	r.fromUploader(to, port, packet.ACK, 11, 1001, 0)
	r.fromUploader(to, port, packet.ACK, 11, 1001, 100)
}

func (r *rig) fromUploader(to packet.Endpoint, port uint16, flags packet.Flags, seq, ack uint32, data int) {
	p := packet.Packet{Src: flowOf(port).Client, Dst: to, Flags: flags, Seq: seq, Ack: ack, Data: data}
	r.engine.FromBalancer(r.now, balancer, peer.Header{Kind: peer.KindDeliver, Service: route.IDOf(serviceName)}, p, rawOf(port))
}

// Guards against requests that count as running at the target after their flow has ended.
func TestEndedFlowsLeaveTheLearner(t *testing.T) {
	is := is.New(t)
	r := newLearningRig(t)
	for port := uint16(1); port <= 4; port++ { // the slots are taken, and their callers leave
		r.open(port, 1000)
		r.sendRequest(port, 0)
		r.fromClient(port, packet.RST, 111, 1001, 0)
	}
	runRequests(r, 10*time.Millisecond, 50*time.Millisecond)
	is.True(r.report().ServiceMicros > 45_000)
}

// Guards against anything learned, or reported, by an agent whose switch is off.
func TestNothingIsReportedWhereLearningIsOff(t *testing.T) {
	is := is.New(t)
	r := newLearningRig(t)
	r.engine.cfg.Overload = overload.Settings{}
	r.engine.HandleAnnouncement(r.now, Announcement{ID: "i-1", Service: serviceName, Address: address, Born: startTime.UnixMilli(), Number: 2, Slots: 2})
	runPairs(r, 150, 40*time.Millisecond, 80*time.Millisecond)
	is.Equal(r.report().Capacity, uint32(0))
	is.Equal(r.report().ServiceMicros, uint32(0))
	is.Equal(r.engine.slotsToUse(), 2)
}
