package flowtable

import (
	"net/netip"
	"testing"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

const (
	serviceName = "casework"
	address     = "10.0.0.9:8080"
)

var (
	service   = packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	balancer  = netip.MustParseAddrPort("10.0.0.1:7000")
	startTime = time.UnixMilli(1_000_000)
)

// rig is an engine with a clock. It records the engine's output.
type rig struct {
	t      *testing.T
	engine *Engine
	now    time.Duration
	number uint64

	toTarget []uint16 // client ports
	toClient []uint16
	refused  []refusal
	// refusedAge is the age in the last refusal.
	refusedAge time.Duration
	answers    []peer.Answer
	resets     []reset
	reports    int
	decisions  []Decision
}

type refusal struct {
	port   uint16
	reason peer.Reason
}

type reset struct {
	port uint16
	seq  uint32
}

func (r *rig) ToTarget(raw []byte)                    { r.toTarget = append(r.toTarget, portOf(raw)) }
func (r *rig) ToClient(c packet.Endpoint, _ []byte)   { r.toClient = append(r.toClient, c.Port) }
func (r *rig) Answer(_ netip.AddrPort, x peer.Answer) { r.answers = append(r.answers, x) }
func (r *rig) Reset(f packet.Flow, seq uint32) {
	r.resets = append(r.resets, reset{f.Client.Port, seq})
}
func (r *rig) Answered(time.Duration) {}
func (r *rig) Admitted(time.Duration) {}
func (r *rig) Report()                { r.reports++ }
func (r *rig) LogDecision(d Decision) { r.decisions = append(r.decisions, d) }
func (r *rig) Refuse(_ netip.AddrPort, reason peer.Reason, age time.Duration, raw []byte) {
	r.refused = append(r.refused, refusal{portOf(raw), reason})
	r.refusedAge = age
}

// codec is a packet layout for tests: the client's port, then the tag.
type codec struct{}

func (codec) Decode([]byte) (packet.Packet, error)                  { return packet.Packet{}, nil }
func (codec) SetTag(raw []byte, tag uint16)                         { raw[2] = byte(tag) }
func (codec) AppendReset(to []byte, _ packet.Flow, _ uint32) []byte { return to }

func rawOf(port uint16) []byte { return []byte{byte(port >> 8), byte(port), 0} }
func portOf(raw []byte) uint16 { return uint16(raw[0])<<8 | uint16(raw[1]) }
func flowOf(port uint16) packet.Flow {
	return packet.Flow{Client: packet.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Service: service}
}

// newRig returns an engine whose target started after it and has sent its first
// announcement.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: time.Hour}
	r.engine = New(Config{
		Service: serviceName, Address: address, Process: 1, Heartbeat: time.Second,
		StartedAt: r.now, Policy: policy, Codec: codec{}, Out: r,
	})
	r.engine.Probed(r.now, false)
	r.announce("i-1", 0, 1)
	return r
}

// announce has a target announce that it is ready; born is in milliseconds after the
// agent's start.
func (r *rig) announce(id string, born int64, number uint64) AnnouncementResult {
	return r.announceState(id, born, number, false)
}

func (r *rig) announceState(id string, born int64, number uint64, draining bool) AnnouncementResult {
	return r.engine.HandleAnnouncement(r.now, Announcement{
		ID: id, Service: serviceName, Address: address, Born: startTime.UnixMilli() + born, Number: number, Slots: 4, Draining: draining,
	})
}

// advance moves the clock and runs the engine's timers. The target doesn't announce
// itself.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 10 * time.Millisecond
		r.engine.Tick(r.now)
	}
}

func (r *rig) fromClient(port uint16, flags packet.Flags, seq, ack uint32, data int) {
	p := packet.Packet{Src: flowOf(port).Client, Dst: service, Flags: flags, Seq: seq, Ack: ack, Data: data}
	h := peer.Header{Kind: peer.KindDeliver, Service: route.IDOf(serviceName)}
	r.engine.FromBalancer(r.now, balancer, h, p, rawOf(port))
}

func (r *rig) fromTarget(port uint16, flags packet.Flags, seq, ack uint32, data int) {
	p := packet.Packet{Src: service, Dst: flowOf(port).Client, Flags: flags, Seq: seq, Ack: ack, Data: data}
	r.engine.FromTarget(r.now, p, rawOf(port))
}

// bounce has the target return a client's packet.
func (r *rig) bounce(port uint16, flags packet.Flags, tag uint16) {
	p := packet.Packet{Src: flowOf(port).Client, Dst: service, Flags: flags | packet.Bounced, Tag: tag}
	r.engine.FromTarget(r.now, p, rawOf(port))
}

func (r *rig) syn(port uint16) { r.fromClient(port, packet.SYN, 10, 0, 0) }

// open opens a flow; targetSeq is the target's initial sequence number.
func (r *rig) open(port uint16, targetSeq uint32) {
	r.syn(port)
	r.fromTarget(port, packet.SYN|packet.ACK, targetSeq, 11, 0)
	r.fromClient(port, packet.ACK, 11, targetSeq+1, 0)
}

// sendRequest has the client send its n-th request, and sendAnswer the target answer it.
func (r *rig) sendRequest(port uint16, n uint32) { r.fromClient(port, packet.ACK, 11+100*n, 1001, 100) }
func (r *rig) sendAnswer(port uint16, n uint32) {
	r.fromTarget(port, packet.ACK, 1001, 111+100*n, 500)
}

func (r *rig) report() peer.Report { return r.engine.Report(r.now) }

func (r *rig) verdictOn(port uint16, ack uint32) peer.FlowStatus {
	r.engine.Ask(r.now, balancer, peer.Question{Flow: flowOf(port), Ack: ack})
	return r.answers[len(r.answers)-1].Status
}
