package forward

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// testEngine is an engine with test agents, a clock and a record of its output.
type testEngine struct {
	t      *testing.T
	engine *Engine
	now    time.Duration
	number uint64

	delivered []delivery
	asked     []question
	probed    []netip.AddrPort
	probes    int
	resets    []reset
	decisions []Decision
}

type delivery struct {
	to      netip.AddrPort
	service route.ServiceID
	age     time.Duration
	usage   fairshare.Stamp
	raw     []byte
}

type question struct {
	to netip.AddrPort
	q  peer.Question
}

type reset struct {
	flow packet.Flow
	seq  uint32
}

func (r *testEngine) Deliver(to netip.AddrPort, service route.ServiceID, age time.Duration, usage fairshare.Stamp, raw []byte) {
	r.delivered = append(r.delivered, delivery{to, service, age, usage, append([]byte(nil), raw...)})
}
func (r *testEngine) Ask(to netip.AddrPort, q peer.Question) {
	r.asked = append(r.asked, question{to, q})
}
func (r *testEngine) Probe(to netip.AddrPort)         { r.probed = append(r.probed, to) }
func (r *testEngine) Reset(f packet.Flow, seq uint32) { r.resets = append(r.resets, reset{f, seq}) }
func (r *testEngine) LogDecision(d Decision)          { r.decisions = append(r.decisions, d) }

func rawOf(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

const (
	caseworkService = "casework"
	mapdocsService  = "mapdocs"
	zone            = "accra-a"
)

var service = packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// newStartingTestEngine returns an engine that has just started.
func newStartingTestEngine(t *testing.T) *testEngine {
	r := &testEngine{t: t, now: time.Hour}
	r.engine = New(Config{Zone: zone, Rand: rand.New(rand.NewPCG(1, 2)), Policy: DefaultPolicy(), Out: r})
	return r
}

// newTestEngine returns an engine with a table that is past its start-up time.
func newTestEngine(t *testing.T) *testEngine {
	r := newStartingTestEngine(t)
	r.engine.SetListsComplete(true)
	r.table(1, caseworkService)
	r.advance(DefaultPolicy().Youth)
	return r
}

// table sets a table version whose only route splits its flows evenly among services.
func (r *testEngine) table(version route.Version, services ...string) {
	var backends []route.Backend
	for _, s := range services {
		backends = append(backends, route.Backend{Service: s, Weight: 1})
	}
	r.weightedTable(version, backends...)
}

// weightedTable sets a table version whose only route splits its flows by weight.
func (r *testEngine) weightedTable(version route.Version, backends ...route.Backend) {
	d := &route.Definition{Version: version}
	at := route.Route{Name: "r", IP: service.IP, Port: service.Port, TimeoutMS: 1000, Backends: backends}
	if len(backends) > 0 {
		d.Routes = []route.Route{at}
	}
	r.engine.SetTable(r.now, route.NewTable(d))
}

// agentAt has an agent report that its target takes new flows.
func (r *testEngine) agentAt(n byte, service string) netip.AddrPort {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	r.report(at, peer.Report{Process: uint64(n), Service: uint64(route.IDOf(service)), Zone: zone, AcceptsFlows: true, Slots: 4})
	return at
}

// list adds an agent to control's list.
func (r *testEngine) list(n byte, service string) netip.AddrPort {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	r.engine.ListAgent(r.now, AgentInfo{Address: at, Zone: zone, Service: route.IDOf(service), Process: uint64(n)})
	return at
}

func (r *testEngine) report(at netip.AddrPort, x peer.Report) {
	r.number++
	x.Sequence = r.number
	r.engine.HandleReport(r.now, at, x)
}

// advance moves the clock forward in steps of 10 ms with a tick at each.
func (r *testEngine) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 10 * time.Millisecond
		r.engine.Tick(r.now)
	}
}

func client(port uint16) packet.Endpoint {
	return packet.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}
}

func flowOf(port uint16) packet.Flow { return packet.Flow{Client: client(port), Service: service} }

func syn(port uint16) packet.Packet {
	return packet.Packet{Src: client(port), Dst: service, Flags: packet.SYN}
}

func data(port uint16, ack uint32) packet.Packet {
	return packet.Packet{Src: client(port), Dst: service, Flags: packet.ACK, Ack: ack, Data: 100}
}

func (r *testEngine) send(p packet.Packet) { r.engine.HandleClientPacket(r.now, p, rawOf(p.Ack)) }

// answerAs has an agent answer all questions that it was asked.
func (r *testEngine) answerAs(at netip.AddrPort, v peer.FlowStatus) {
	for _, q := range r.asked {
		if q.to == at {
			r.engine.HandleAnswer(r.now, at, peer.Answer{Question: q.q, Status: v})
		}
	}
}

func (r *testEngine) questionsTo(at netip.AddrPort) int {
	n := 0
	for _, q := range r.asked {
		if q.to == at {
			n++
		}
	}
	return n
}

func (r *testEngine) lastDecision() Decision {
	r.t.Helper()
	if len(r.decisions) == 0 {
		r.t.Fatal("no decision was recorded")
	}
	return r.decisions[len(r.decisions)-1]
}

func portOf(f packet.Flow) uint16 { return f.Client.Port }
