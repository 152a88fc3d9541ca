package fairshare_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/flowtable"
	"bergamotstall/internal/passthrough/forward"
	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// A small fleet: engines of balancers and agents, targets that run requests in order of
// arrival, and clients that open a flow for each request and come again twice when refused.

const (
	balancers, agents, slots = 4, 6, 2
	work                     = 20 * time.Millisecond
	hop                      = time.Millisecond // between any two machines
	goal, deadline           = 200 * time.Millisecond, time.Second
	retryAfter               = 10 * time.Millisecond
	// capacity is how many requests a second all targets run at most.
	capacity = agents * slots * float64(time.Second/work)
)

// The two routes of the service; the second one is more urgent.
var (
	plainRoute  = packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	urgentRoute = packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 80}
)

func table() *route.Table {
	at := func(e packet.Endpoint, priority uint32) route.Route {
		return route.Route{
			Name: e.String(), IP: e.IP, Port: e.Port, Priority: priority, TimeoutMS: uint32(deadline.Milliseconds()), GoalMS: uint32(goal.Milliseconds()),
			Backends: []route.Backend{{Service: "desk", Weight: 1}},
		}
	}
	return route.NewTable(&route.Definition{Version: 1, Routes: []route.Route{at(plainRoute, 2), at(urgentRoute, 1)}})
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet is the machines with a common clock. Packets travel as numbers into sent.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	queue     events
	n         int
	settings  overload.Settings
	balancers []*balancer
	agents    []*agent
	sent      []packet.Packet
	callers   map[packet.Flow]*caller
	ports     uint16
	// lostReports is the part of the reports that is lost; oldBuild strips from reports and
	// packets what builds before didn't send.
	lostReports float64
	oldBuild    bool
	// idleRefusals counts first packets refused at the door while a slot had been idle for
	// longer than a report is used.
	idleRefusals int
	doorRefusals map[time.Duration]int // by tenths of a second
}

func newFleet(fair bool) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(1, 2)), now: time.Hour, callers: map[packet.Flow]*caller{}, doorRefusals: map[time.Duration]int{},
		settings: overload.Settings{CallerGoals: true, FairShares: fair},
	}
	for n := range agents {
		f.agents = append(f.agents, &agent{f: f, address: address(1, n)})
	}
	for n := range balancers {
		f.balancers = append(f.balancers, &balancer{f: f, address: address(2, n)})
	}
	for _, a := range f.agents {
		a.start(true)
		f.every(20*time.Millisecond, func() { a.engine.Tick(f.now) })
		f.every(500*time.Millisecond, a.announce)
	}
	for _, b := range f.balancers {
		b.start()
		f.every(10*time.Millisecond, func() { b.engine.Tick(f.now) })
	}
	f.run(500 * time.Millisecond)
	return f
}

func address(net byte, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, net, byte(n)}), 7000)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.n++
	heap.Push(&f.queue, event{f.now + d, f.n, do})
}

func (f *fleet) every(d time.Duration, do func()) {
	f.after(d, func() { do(); f.every(d, do) })
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// pack returns the bytes that stand for a packet: a tag, and its number.
func (f *fleet) pack(p packet.Packet) []byte {
	f.sent = append(f.sent, p)
	return binary.BigEndian.AppendUint32([]byte{0, 0}, uint32(len(f.sent)-1))
}

func (f *fleet) unpack(raw []byte) packet.Packet { return f.sent[binary.BigEndian.Uint32(raw[2:])] }

func (f *fleet) Decode(raw []byte) (packet.Packet, error)              { return f.unpack(raw), nil }
func (f *fleet) SetTag(raw []byte, tag uint16)                         { binary.BigEndian.PutUint16(raw, tag) }
func (f *fleet) AppendReset(to []byte, _ packet.Flow, _ uint32) []byte { return to }

// balancer implements forward.Output.
type balancer struct {
	f       *fleet
	address netip.AddrPort
	engine  *forward.Engine
}

func (b *balancer) start() {
	b.engine = forward.New(forward.Config{Zone: "a", Rand: b.f.rng, Policy: forward.DefaultPolicy(), Overload: b.f.settings, Out: b})
	b.engine.SetTable(b.f.now, table())
	for _, a := range b.f.agents {
		b.engine.ListAgent(b.f.now, forward.AgentInfo{Address: a.address, Zone: "a", Service: route.IDOf("desk"), Process: a.process})
	}
	b.engine.SetListsComplete(true)
}

func (b *balancer) Deliver(to netip.AddrPort, s route.ServiceID, age time.Duration, usage fairshare.Stamp, raw []byte) {
	if b.f.oldBuild {
		usage = 0
	}
	h := peer.Header{Kind: peer.KindDeliver, Service: s, Age: peer.AgeMillis(age), Usage: usage}
	raw = append([]byte(nil), raw...)
	b.f.after(hop, func() { b.f.agentAt(to).engine.FromBalancer(b.f.now, b.address, h, b.f.unpack(raw), raw) })
}

func (b *balancer) Probe(to netip.AddrPort) {
	b.f.after(hop, func() { b.f.agentAt(to).reportTo(b) })
}
func (b *balancer) Ask(to netip.AddrPort, q peer.Question) {
	b.f.after(hop, func() { b.f.agentAt(to).engine.Ask(b.f.now, b.address, q) })
}
func (b *balancer) Reset(fl packet.Flow, _ uint32) { b.f.after(hop, func() { b.f.reset(fl) }) }
func (b *balancer) LogDecision(d forward.Decision) {
	if d.Verdict != forward.RefusedShort {
		return
	}
	b.f.doorRefusals[b.f.now.Truncate(100*time.Millisecond)]++
	for _, a := range b.f.agents {
		if a.running < slots && b.f.now-a.idleSince > 220*time.Millisecond {
			b.f.idleRefusals++
			return
		}
	}
}

// agent implements flowtable.Output. It stands for its target as well.
type agent struct {
	f         *fleet
	address   netip.AddrPort
	engine    *flowtable.Engine
	process   uint64
	announced uint64
	// running and waiting are the target's requests; idleSince is when it last had all slots
	// in use.
	running   int
	waiting   []packet.Flow
	idleSince time.Duration
}

func (f *fleet) agentAt(at netip.AddrPort) *agent { return f.agents[at.Addr().As4()[3]] }

// start starts the agent's process, beside a target that is new or has been there before.
func (a *agent) start(newTarget bool) {
	a.process++
	a.engine = flowtable.New(flowtable.Config{
		Service: "desk", Zone: "a", Process: a.process, Heartbeat: 500 * time.Millisecond, StartedAt: a.f.now,
		Policy: flowtable.DefaultPolicy(), Overload: a.f.settings, Codec: a.f, Out: a,
	})
	a.engine.SetTable(table())
	if newTarget {
		a.engine.Probed(a.f.now, false)
	}
	a.announce()
}

func (a *agent) announce() {
	a.announced++
	a.engine.HandleAnnouncement(a.f.now, flowtable.Announcement{ID: "i", Service: "desk", Born: 1, Number: a.announced, Slots: slots})
}

func (a *agent) reportTo(b *balancer) {
	r := a.engine.Report(a.f.now)
	if a.f.oldBuild {
		r.Waiting, r.WaitMS = nil, 0
	}
	if a.f.rng.Float64() < a.f.lostReports {
		return
	}
	a.f.after(hop, func() { b.engine.HandleReport(a.f.now, a.address, r) })
}

func (a *agent) Report() {
	for _, b := range a.f.balancers {
		a.reportTo(b)
	}
}

func (a *agent) Refuse(to netip.AddrPort, reason peer.Reason, age time.Duration, raw []byte) {
	raw = append([]byte(nil), raw...)
	h := peer.Header{Kind: peer.KindRefused, Reason: reason, Age: peer.AgeMillis(age)}
	b := a.f.balancers[to.Addr().As4()[3]]
	a.f.after(hop, func() { b.engine.HandleRefused(a.f.now, a.address, h, a.f.unpack(raw), raw) })
}

func (a *agent) Answer(to netip.AddrPort, x peer.Answer) {
	b := a.f.balancers[to.Addr().As4()[3]]
	a.f.after(hop, func() { b.engine.HandleAnswer(a.f.now, a.address, x) })
}
func (a *agent) Reset(fl packet.Flow, _ uint32) { a.f.after(hop, func() { a.f.reset(fl) }) }
func (a *agent) Answered(time.Duration)         {}
func (a *agent) Admitted(time.Duration)         {}
func (a *agent) LogDecision(flowtable.Decision) {}

// ToTarget has the target answer a first packet, or run a request.
func (a *agent) ToTarget(raw []byte) {
	p := a.f.unpack(raw)
	switch {
	case p.Opens():
		a.answer(p.FromClient(), packet.SYN|packet.ACK, 1000, 0)
	case p.Data > 0:
		a.waiting = append(a.waiting, p.FromClient())
		a.runNext()
	}
}

func (a *agent) runNext() {
	for ; a.running < slots && len(a.waiting) > 0; a.waiting = a.waiting[1:] {
		fl := a.waiting[0]
		a.running++
		took := time.Duration((0.5 + a.f.rng.Float64()) * float64(work))
		a.f.after(took, func() {
			a.running--
			a.idleSince = a.f.now
			a.answer(fl, packet.ACK, 1001, 500)
			a.answer(fl, packet.FIN|packet.ACK, 1501, 0)
			a.runNext()
		})
	}
}

func (a *agent) answer(fl packet.Flow, flags packet.Flags, seq uint32, data int) {
	p := packet.Packet{Src: fl.Service, Dst: fl.Client, Flags: flags, Seq: seq, Ack: 111, Data: data}
	raw := a.f.pack(p)
	a.f.after(0, func() { a.engine.FromTarget(a.f.now, p, raw) })
}

func (a *agent) ToClient(_ packet.Endpoint, raw []byte) {
	p := a.f.unpack(raw)
	a.f.after(2*hop, func() { a.f.toClient(p) })
}

// client asks for requests at a rate and counts what becomes of them.
type client struct {
	f     *fleet
	ip    [4]byte
	to    packet.Endpoint
	rate  float64 // a second
	until time.Duration
	// asked are its requests; inTime and late those answered, refused those given up.
	asked, inTime, late, refused int
	// answeredAt counts answers by tenths of a second.
	answeredAt map[time.Duration]int
}

// caller is one request of a client, with its current flow.
type caller struct {
	c     *client
	since time.Duration
	tries int
	via   *balancer
	sent  bool
}

// ask adds a client that asks for requests for some time from now on.
func (f *fleet) ask(n byte, to packet.Endpoint, rate float64, during time.Duration) *client {
	c := &client{f: f, ip: [4]byte{100, 64, 0, n}, to: to, rate: rate, until: f.now + during, answeredAt: map[time.Duration]int{}}
	f.after(time.Duration(f.rng.Float64()*float64(time.Second)/rate), c.next)
	return c
}

// askEach adds clients with the same rate.
func (f *fleet) askEach(n int, to packet.Endpoint, rate float64, during time.Duration) (all []*client) {
	for i := range n {
		all = append(all, f.ask(byte(i), to, rate, during))
	}
	return all
}

func (c *client) next() {
	if c.f.now >= c.until {
		return
	}
	c.asked++
	c.f.open(&caller{c: c, since: c.f.now})
	c.f.after(time.Duration(c.f.rng.ExpFloat64()*float64(time.Second)/c.rate), c.next)
}

// open sends the first packet of a caller's next flow through a balancer drawn at random, as
// the fabric's hash does.
func (f *fleet) open(x *caller) {
	f.ports++
	fl := packet.Flow{Client: packet.Endpoint{IP: x.c.ip, Port: f.ports}, Service: x.c.to}
	x.tries++
	x.sent = false
	x.via = f.balancers[f.rng.IntN(len(f.balancers))]
	f.callers[fl] = x
	f.send(x, packet.Packet{Src: fl.Client, Dst: fl.Service, Flags: packet.SYN, Seq: 10})
	f.after(x.since+deadline-f.now, func() { f.giveUp(fl, x) })
}

func (f *fleet) send(x *caller, p packet.Packet) {
	raw := f.pack(p)
	f.after(hop, func() { x.via.engine.HandleClientPacket(f.now, p, raw) })
}

func (f *fleet) toClient(p packet.Packet) {
	x := f.callers[p.FromTarget()]
	if x == nil {
		return
	}
	switch {
	case p.Flags.Has(packet.SYN) && !x.sent:
		x.sent = true
		f.send(x, packet.Packet{Src: p.Dst, Dst: p.Src, Flags: packet.ACK, Seq: 11, Ack: 1001, Data: 100})
	case p.Data > 0:
		delete(f.callers, p.FromTarget())
		x.c.answeredAt[f.now.Truncate(100*time.Millisecond)]++
		if f.now-x.since <= goal {
			x.c.inTime++
		} else {
			x.c.late++
		}
		f.send(x, packet.Packet{Src: p.Dst, Dst: p.Src, Flags: packet.FIN | packet.ACK, Seq: 111, Ack: 1502})
	}
}

func (f *fleet) reset(fl packet.Flow) {
	x := f.callers[fl]
	if x == nil {
		return
	}
	delete(f.callers, fl)
	if x.tries == 3 || f.now-x.since+retryAfter >= deadline {
		x.c.refused++
		return
	}
	f.after(retryAfter, func() { f.open(x) })
}

func (f *fleet) giveUp(fl packet.Flow, x *caller) {
	if f.callers[fl] == x {
		delete(f.callers, fl)
		x.c.refused++
	}
}

// total adds up what became of clients' requests.
func total(all []*client) (t client) {
	for _, c := range all {
		t.asked += c.asked
		t.inTime += c.inTime
		t.late += c.late
		t.refused += c.refused
	}
	return t
}

func (c *client) served() int { return c.inTime + c.late }
