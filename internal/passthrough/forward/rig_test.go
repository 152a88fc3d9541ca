package forward

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// rig is an engine with agents, a clock and a record of what it sends.
type rig struct {
	t      *testing.T
	engine *Engine
	now    time.Duration
	number uint64

	delivered []delivery
	asked     []question
	probed    []netip.AddrPort
	probes    int
	resets    []reset
	notes     []Decision
}

type delivery struct {
	to  netip.AddrPort
	age time.Duration
	raw []byte
}

type question struct {
	to netip.AddrPort
	q  peer.Question
}

type reset struct {
	flow packet.Flow
	seq  uint32
}

func (r *rig) Deliver(to netip.AddrPort, _ route.ServiceID, age time.Duration, raw []byte) {
	r.delivered = append(r.delivered, delivery{to, age, append([]byte(nil), raw...)})
}
func (r *rig) Ask(to netip.AddrPort, q peer.Question) { r.asked = append(r.asked, question{to, q}) }
func (r *rig) Probe(to netip.AddrPort)                { r.probed = append(r.probed, to) }
func (r *rig) Reset(f packet.Flow, seq uint32)        { r.resets = append(r.resets, reset{f, seq}) }
func (r *rig) Note(d Decision)                        { r.notes = append(r.notes, d) }

func rawOf(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

const (
	desk    = "casework"
	archive = "mapdocs"
	zone    = "accra-a"
)

var service = packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// startedRig returns an engine that has just started.
func startedRig(t *testing.T) *rig {
	r := &rig{t: t, now: time.Hour}
	r.engine = New(Config{Zone: zone, Rand: rand.New(rand.NewPCG(1, 2)), Policy: DefaultPolicy(), Out: r})
	return r
}

// newRig returns an engine with a table in force whose youth is over.
func newRig(t *testing.T) *rig {
	r := startedRig(t)
	r.table(1, desk)
	r.pass(DefaultPolicy().Youth)
	return r
}

// table puts a version in force that sends the service's flows to the given ones.
func (r *rig) table(version route.Version, services ...string) {
	var backends []route.Backed
	for _, s := range services {
		backends = append(backends, route.Backed{Service: s, Weight: 1})
	}
	r.weighted(version, backends...)
}

// weighted puts a version in force that shares the service's flows out.
func (r *rig) weighted(version route.Version, backends ...route.Backed) {
	d := &route.Definition{Version: version}
	at := route.Route{Name: "r", IP: service.IP, Port: service.Port, TimeoutMS: 1000, Backends: backends}
	if len(backends) > 0 {
		d.Routes = []route.Route{at}
	}
	r.engine.SetTable(r.now, route.NewTable(d))
}

// agentAt has an agent report that its target takes flows.
func (r *rig) agentAt(n byte, service string) netip.AddrPort {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	r.report(at, peer.Report{Process: uint64(n), Service: uint64(route.IDOf(service)), Zone: zone, Open: true, Slots: 4})
	return at
}

// list has control tell of an agent.
func (r *rig) list(n byte, service string) netip.AddrPort {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	r.engine.List(r.now, Listed{Address: at, Zone: zone, Service: route.IDOf(service), Process: uint64(n)})
	return at
}

func (r *rig) report(at netip.AddrPort, x peer.Report) {
	r.number++
	x.Number = r.number
	r.engine.Reported(r.now, at, x)
}

// pass lets time pass in steps.
func (r *rig) pass(d time.Duration) {
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

func (r *rig) send(p packet.Packet) { r.engine.FromClient(r.now, p, rawOf(p.Ack)) }

// answer has an agent answer all questions it was asked.
func (r *rig) answer(at netip.AddrPort, v peer.Verdict) {
	for _, q := range r.asked {
		if q.to == at {
			r.engine.Answered(r.now, at, peer.Ruling{Question: q.q, Verdict: v})
		}
	}
}

func (r *rig) askedOf(at netip.AddrPort) int {
	n := 0
	for _, q := range r.asked {
		if q.to == at {
			n++
		}
	}
	return n
}

func (r *rig) last() Decision {
	r.t.Helper()
	if len(r.notes) == 0 {
		r.t.Fatal("no decision")
	}
	return r.notes[len(r.notes)-1]
}

func portOf(f packet.Flow) uint16 { return f.Client.Port }
