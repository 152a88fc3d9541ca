package forward

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// A simulated fleet of balancers with thin links: real engines, agents that know which flows
// they hold, and callers that send a packet over an open flow twice a second and retransmit
// it until it arrives.

const (
	fleetBalancers = 87
	fleetAgents    = 204
	// fleetFlows are 50 for each balancer.
	fleetFlows = 50 * fleetBalancers
	// fleetLinkBytesPerSecond is a link's capacity each way, fleetMaxQueueDelay the
	// queueing delay beyond which a datagram is dropped.
	fleetLinkBytesPerSecond = 262_500
	fleetMaxQueueDelay      = 100 * time.Millisecond
	fleetLinkDelay          = 1400 * time.Microsecond
	// sendInterval is the time between two packets of a caller, maxOnTimeDelay the longest
	// delay with which one counts as arrived on time, callerTimeout the time without an
	// arrival after which the caller abandons its flow and opens another.
	sendInterval   = 500 * time.Millisecond
	maxOnTimeDelay = 500 * time.Millisecond
	callerTimeout  = 2500 * time.Millisecond
	packetBytes    = 200
	reportBytes    = 113
)

type fleetEvent struct {
	at  time.Duration
	seq int
	run func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }
func (e fleetEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)   { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fleet is one simulation.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	queue     fleetEvents
	seq       int
	byModulo  bool
	balancers []*fleetBalancer
	agents    []*fleetAgent
	callers   []*fleetCaller
	// sent and served count, for each second, the packets that callers started to send
	// and those that arrived on time.
	sent, served map[int]int
	// controlBytes counts the questions and probes that balancers sent.
	controlBytes int
}

type fleetBalancer struct {
	f       *fleet
	n       int
	engine  *Engine
	up      bool
	process int
	// outBusyUntil and inBusyUntil are when the link's queues of each direction are
	// empty.
	outBusyUntil, inBusyUntil time.Duration
}

type fleetAgent struct {
	address netip.AddrPort
	held    map[packet.Flow]bool
	number  uint64
	up      bool
}

type fleetCaller struct {
	zone, port int
	flow       packet.Flow
	open       bool
	sentAt     time.Duration
	waiting    bool
	tries      int
	epoch      int
}

func newFleet(mod bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 2)), now: time.Hour, byModulo: mod, sent: map[int]int{}, served: map[int]int{}}
	for n := range fleetAgents {
		f.agents = append(f.agents, &fleetAgent{address: fleetAddress(n), held: map[packet.Flow]bool{}, up: true})
	}
	for n := range fleetBalancers {
		b := &fleetBalancer{f: f, n: n}
		f.balancers = append(f.balancers, b)
		b.start()
	}
	for n := range fleetFlows {
		c := &fleetCaller{zone: n % len(fleetZones), port: n}
		f.callers = append(f.callers, c)
		f.after(time.Duration(f.rng.Int64N(int64(sendInterval))), func() { f.startPacket(c) })
	}
	return f
}

func (f *fleet) after(d time.Duration, step func()) {
	f.seq++
	heap.Push(&f.queue, fleetEvent{f.now + d, f.seq, step})
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; len(f.queue) > 0 && f.queue[0].at < end; {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.run()
	}
}

func (f *fleet) second() int { return int((f.now - time.Hour) / time.Second) }

func (b *fleetBalancer) start() {
	b.up = true
	b.process++
	b.engine = New(Config{
		Zone: fleetZones[b.n%len(fleetZones)], Rand: rand.New(rand.NewPCG(uint64(b.n), 9)), Policy: DefaultPolicy(),
		QuestionBudget: 0.2 * fleetLinkBytesPerSecond, Out: b,
	})
	d := &route.Definition{Version: 1, Routes: []route.Route{{
		IP: service.IP, Port: service.Port, TimeoutMS: 1000, Backends: []route.Backend{{Service: caseworkService, Weight: 1}},
	}}}
	b.engine.SetTable(b.f.now, route.NewTable(d))
	for n, a := range b.f.agents {
		b.engine.ListAgent(b.f.now, AgentInfo{Address: a.address, Zone: fleetZones[n%len(fleetZones)], Service: route.IDOf(caseworkService)})
	}
	b.engine.SetListsComplete(true)
	b.tick(b.process)
}

func (b *fleetBalancer) tick(process int) {
	if !b.up || b.process != process {
		return
	}
	b.engine.Tick(b.f.now)
	b.f.after(20*time.Millisecond, func() { b.tick(process) })
}

// transmit sends a datagram over one direction of the link; ok is false if its queue is
// full.
func (b *fleetBalancer) transmit(free *time.Duration, bytes int) (arrives time.Duration, ok bool) {
	now := b.f.now
	if *free-now > fleetMaxQueueDelay {
		return 0, false
	}
	*free = max(*free, now) + time.Duration(bytes)*time.Second/fleetLinkBytesPerSecond
	return *free - now + fleetLinkDelay, true
}

// send carries a datagram to an agent, which handles it with take.
func (b *fleetBalancer) send(to netip.AddrPort, bytes int, take func(a *fleetAgent)) {
	arrives, ok := b.transmit(&b.outBusyUntil, bytes)
	if !ok {
		return
	}
	ip := to.Addr().As4()
	a := b.f.agents[int(ip[2])<<8|int(ip[3])]
	b.f.after(arrives, func() {
		if a.up {
			take(a)
		}
	})
}

// receive carries a datagram to the balancer, which handles it with take.
func (b *fleetBalancer) receive(bytes int, take func()) {
	process := b.process
	if !b.up {
		return
	}
	arrives, ok := b.transmit(&b.inBusyUntil, bytes)
	if !ok {
		return
	}
	b.f.after(arrives, func() {
		if b.up && b.process == process {
			take()
		}
	})
}

func (b *fleetBalancer) Deliver(to netip.AddrPort, service route.ServiceID, _ time.Duration, _ fairshare.Stamp, raw []byte) {
	if service != route.IDOf(caseworkService) {
		return // agents hand back what is for another service
	}
	raw = append([]byte(nil), raw...)
	b.send(to, packetBytes, func(a *fleetAgent) { b.f.receiveAtAgent(b, a, raw) })
}

func (b *fleetBalancer) Ask(to netip.AddrPort, q peer.Question) {
	b.f.controlBytes += peer.QuestionCost
	b.send(to, peer.QuestionCost, func(a *fleetAgent) {
		v := peer.Lacks
		if a.held[q.Flow] {
			v = peer.Holds
		}
		b.receive(peer.QuestionCost+1, func() {
			b.engine.HandleAnswer(b.f.now, a.address, peer.Answer{Question: q, Status: v})
		})
	})
}

func (b *fleetBalancer) Probe(to netip.AddrPort) {
	b.f.controlBytes += 29
	b.send(to, 29, func(a *fleetAgent) {
		a.number++
		ip := a.address.Addr().As4()
		r := peer.Report{
			Sequence: a.number, Service: uint64(route.IDOf(caseworkService)), Zone: fleetZones[(int(ip[2])<<8|int(ip[3]))%len(fleetZones)], AcceptsFlows: true, Slots: 2,
		}
		b.receive(reportBytes, func() { b.engine.HandleReport(b.f.now, a.address, r) })
	})
}

func (b *fleetBalancer) Reset(x packet.Flow, _ uint32) { b.f.reset(x) }
func (b *fleetBalancer) LogDecision(Decision)          {}

// callerOf returns the caller of a flow, nil if it has abandoned the flow.
func (f *fleet) callerOf(x packet.Flow) *fleetCaller {
	n := int(x.Client.IP[2])<<8 | int(x.Client.IP[3])
	if c := f.callers[n]; c.flow == x {
		return c
	}
	return nil
}

// receiveAtAgent handles a packet that arrives at an agent.
func (f *fleet) receiveAtAgent(b *fleetBalancer, a *fleetAgent, raw []byte) {
	opens := raw[0] == 1
	x := packet.Flow{Client: packet.Endpoint{IP: [4]byte(raw[1:]), Port: uint16(raw[5])<<8 | uint16(raw[6])}, Service: service}
	c := f.callerOf(x)
	switch {
	case opens:
		a.held[x] = true
		if c != nil {
			c.open = true
			f.send(c)
		}
	case !a.held[x]:
		p := packet.Packet{Src: x.Client, Dst: service, Flags: packet.ACK}
		b.receive(packetBytes, func() { b.engine.HandleRefused(f.now, a.address, peer.Header{Reason: peer.NotHeld}, p, raw) })
	case c != nil && c.waiting:
		c.waiting = false
		if f.now-c.sentAt <= maxOnTimeDelay {
			f.served[int((c.sentAt-time.Hour)/time.Second)]++
		}
	}
}

func (f *fleet) reset(x packet.Flow) {
	if c := f.callerOf(x); c != nil {
		c.open = false
		c.flow = packet.Flow{}
		f.send(c)
	}
}

// startPacket starts a caller's next packet, unless the previous one is still
// outstanding.
func (f *fleet) startPacket(c *fleetCaller) {
	f.after(sendInterval, func() { f.startPacket(c) })
	if c.waiting {
		if f.now-c.sentAt < callerTimeout {
			return
		}
		c.open = false
		c.flow = packet.Flow{}
	}
	c.waiting = true
	c.sentAt = f.now
	f.sent[f.second()]++
	f.send(c)
}

// send sends the caller's packet, or the first packet of a new flow, and schedules its
// retransmits.
func (f *fleet) send(c *fleetCaller) {
	c.epoch++
	c.tries = 0
	f.sendCopy(c, c.epoch)
}

func (f *fleet) sendCopy(c *fleetCaller, epoch int) {
	if c.epoch != epoch || !c.waiting || c.tries > 4 {
		return
	}
	if c.flow == (packet.Flow{}) {
		c.port += fleetFlows
		n := c.port % fleetFlows
		c.flow = packet.Flow{
			Client:  packet.Endpoint{IP: [4]byte{100, byte(c.port / fleetFlows), byte(n >> 8), byte(n)}, Port: uint16(c.port)},
			Service: service,
		}
	}
	raw := append([]byte{0}, c.flow.Client.IP[:]...)
	raw = append(raw, byte(c.flow.Client.Port>>8), byte(c.flow.Client.Port))
	p := packet.Packet{Src: c.flow.Client, Dst: service, Flags: packet.ACK, Data: 100}
	if !c.open {
		raw[0] = 1
		p.Flags = packet.SYN
		p.Data = 0
	}
	if b := f.pick(c); b != nil {
		b.receive(packetBytes, func() { b.engine.HandleClientPacket(f.now, p, raw) })
	}
	wait := 200 * time.Millisecond << c.tries
	c.tries++
	f.after(wait, func() { f.sendCopy(c, epoch) })
}

// pick is the fabric's choice among the running balancers of the caller's data centre: by
// modulo, or by rendezvous hashing, so that only the flows of a failed balancer move.
func (f *fleet) pick(c *fleetCaller) *fleetBalancer {
	var up []*fleetBalancer
	for _, b := range f.balancers {
		if b.up && b.n%len(fleetZones) == c.zone {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return nil
	}
	h := route.Hash(c.flow)
	if f.byModulo {
		return up[h%uint64(len(up))]
	}
	chosen := up[0]
	for _, b := range up {
		if rendezvousWeight(h, uint64(b.n)*0x9e3779b97f4a7c15) > rendezvousWeight(h, uint64(chosen.n)*0x9e3779b97f4a7c15) {
			chosen = b
		}
	}
	return chosen
}

// onTimeShare is the part of a second's packets that arrived on time.
func (f *fleet) onTimeShare(second int) float64 {
	return float64(f.served[second]) / float64(max(1, f.sent[second]))
}

// killEveryTwelfth stops every twelfth balancer; each restarts without state after the
// downtime.
func (f *fleet) killEveryTwelfth(from int, downtime time.Duration) {
	for n := from; n < fleetBalancers; n += 12 {
		b := f.balancers[n]
		b.up = false
		f.after(downtime, b.start)
	}
}

// Guards against a fleet that never recovers after a twelfth of its balancers fails,
// three times within six seconds.
func TestFleetRecoversFromBalancerFailures(t *testing.T) {
	for _, mod := range []bool{false, true} {
		f := newFleet(mod)
		f.run(5 * time.Second)
		for failure := range 3 {
			f.killEveryTwelfth(failure, 2*time.Second)
			f.run(3 * time.Second)
		}
		f.run(5 * time.Second)
		// Each survivor searches five flows, with modulo all of its fifty: 18 KB of questions
		// within 52 KB a second. A second after a failure all packets must be on time.
		for _, second := range []int{4, 6, 9, 12, 15, 17} {
			if got := f.onTimeShare(second); got < 0.999 {
				t.Errorf("mod %v: second %d: %.3f on time", mod, second, got)
			}
		}
	}
}

// Guards against a fleet that never recovers after all balancers and targets lost power
// for 1.3 s.
func TestFleetRecoversFromPowerOutage(t *testing.T) {
	for _, mod := range []bool{false, true} {
		f := newFleet(mod)
		f.run(5 * time.Second)
		for _, b := range f.balancers {
			b.up = false
			f.after(1300*time.Millisecond, b.start)
		}
		for _, a := range f.agents {
			a.up = false
			a.held = map[packet.Flow]bool{}
			f.after(1300*time.Millisecond, func() { a.up = true })
		}
		f.run(8 * time.Second)
		// Callers whose flows aren't reset abandon them after callerTimeout; a second later all
		// packets must be on time.
		for second := 10; second < 12; second++ {
			if got := f.onTimeShare(second); got < 0.999 {
				t.Errorf("mod %v: second %d: %.3f on time", mod, second, got)
			}
		}
	}
}

// Guards against control traffic that grows with the fleet: questions and probes stay
// within the planned 5 KB a second for each balancer.
func TestIdleFleetControlTrafficIsBounded(t *testing.T) {
	f := newFleet(false)
	f.run(5 * time.Second) // flows are opened
	f.controlBytes = 0
	f.run(5 * time.Second)
	const planned = 5000
	if got := f.controlBytes / 5 / fleetBalancers; got > planned {
		t.Errorf("%d bytes of questions and probes a second for each balancer", got)
	}
}
