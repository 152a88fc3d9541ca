package simulation

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/flowtable"
	"bergamotstall/internal/passthrough/forward"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// announceInterval is the time between two announcements of a target.
const announceInterval = 770 * time.Millisecond

// balancer is one balancer's process, or the place for one.
type balancer struct {
	w       *world
	n, zone int
	engine  *forward.Engine
	// process counts the starts; what was sent to an earlier one is lost.
	process int
	up      bool
}

func (b *balancer) address() netip.AddrPort { return addressOf(0, b.n) }

// start begins a process; it gets its table after a while.
func (b *balancer) start(tableAfter time.Duration) {
	w := b.w
	b.process++
	b.up = true
	seed := w.rng.Uint64()
	b.engine = forward.New(forward.Config{
		Zone: zoneName(b.zone), Rand: rand.New(rand.NewPCG(seed, seed)), Policy: w.policies.Forward, Out: b,
	})
	b.alive(tableAfter, func() {
		b.engine.SetTable(w.clock(), w.table)
		for _, a := range w.agents {
			if a.up && a.attached {
				b.engine.ListAgent(w.clock(), a.listed())
			}
		}
	})
	b.tick()
}

func (b *balancer) tick() {
	b.engine.Tick(b.w.clock())
	b.alive(tickInterval, b.tick)
}

// alive runs a step later, if the process still runs then.
func (b *balancer) alive(d time.Duration, step func()) {
	process := b.process
	b.w.after(d, func() {
		if b.up && b.process == process {
			step()
		}
	})
}

// fromCaller takes a packet from a caller.
func (b *balancer) fromCaller(raw []byte) {
	if b.up {
		b.engine.HandleClientPacket(b.w.clock(), b.w.carried(raw).p, raw)
	}
}

// Deliver implements forward.Output.
func (b *balancer) Deliver(to netip.AddrPort, service route.ServiceID, age time.Duration, raw []byte) {
	a := b.w.agentAt(to)
	h := peer.Header{Kind: peer.KindDeliver, Service: service, Age: peer.AgeMillis(age)}
	raw = append([]byte(nil), raw...)
	b.w.after(b.w.way(b.zone, a.zone), func() {
		if a.up {
			a.know(b)
			a.engine.FromBalancer(b.w.clock(), b.address(), h, b.w.carried(raw).p, raw)
		}
	})
}

// Ask implements forward.Output.
func (b *balancer) Ask(to netip.AddrPort, q peer.Question) {
	a := b.w.agentAt(to)
	b.w.afterEvent(q.Flow, b.w.way(b.zone, a.zone), func() {
		if a.up {
			a.know(b)
			a.engine.Ask(b.w.clock(), b.address(), q)
		}
	})
}

// Probe implements forward.Output.
func (b *balancer) Probe(to netip.AddrPort) {
	a := b.w.agentAt(to)
	b.w.after(b.w.way(b.zone, a.zone), func() {
		if a.up {
			a.know(b)
			a.reportTo(b)
		}
	})
}

// Reset implements forward.Output.
func (b *balancer) Reset(f packet.Flow, _ uint32) { b.w.reset(f) }

// LogDecision implements forward.Output.
func (b *balancer) LogDecision(forward.Decision) {}

// agent is one agent's process with its target.
type agent struct {
	w       *world
	n, zone int
	service string
	engine  *flowtable.Engine
	process int
	up      bool
	// attached says that control lists the agent; known are the balancers that sent
	// something.
	attached bool
	known    map[int]bool
	target   *target
}

func (a *agent) address() netip.AddrPort { return addressOf(1, a.n) }

// start begins a process. Control tells it after a while of the routes, the
// balancers, and of flows that were held here.
func (a *agent) start(attachAfter time.Duration, held func() (flowlog.Update, bool)) {
	w := a.w
	a.process++
	a.up = true
	a.attached = false
	a.known = map[int]bool{}
	a.engine = flowtable.New(flowtable.Config{
		Service: a.service, Zone: zoneName(a.zone), Process: uint64(a.process), Heartbeat: announceInterval,
		StartedAt: w.clock(), StartedWall: w.wall(), Policy: w.policies.Flowtable, Codec: codec{}, Out: a,
	})
	a.alive(attachAfter, func() { a.attach(held) })
	a.tick()
}

func (a *agent) attach(held func() (flowlog.Update, bool)) {
	a.attached = true
	a.engine.SetTable(a.w.table)
	if u, ok := held(); ok {
		a.engine.HandleRecall(a.w.clock(), u)
	}
	for _, b := range a.w.balancers {
		if b.up {
			b.engine.ListAgent(a.w.clock(), a.listed())
		}
	}
}

// listed is how control tells of the agent.
func (a *agent) listed() forward.AgentInfo {
	return forward.AgentInfo{Address: a.address(), Zone: zoneName(a.zone), Service: route.IDOf(a.service), Process: uint64(a.process)}
}

// know has a balancer that sent something get reports.
func (a *agent) know(b *balancer) { a.known[b.n] = true }

func (a *agent) alive(d time.Duration, step func()) {
	process := a.process
	a.w.after(d, func() {
		if a.up && a.process == process {
			step()
		}
	})
}

func (a *agent) tick() {
	a.engine.Tick(a.w.clock())
	a.alive(a.engine.NextTick(tickInterval), a.tick)
}

// ToTarget implements flowtable.Output.
func (a *agent) ToTarget(raw []byte) {
	t := a.target
	raw = append([]byte(nil), raw...)
	a.w.after(onVM, func() { t.take(raw) })
}

// ToClient implements flowtable.Output.
func (a *agent) ToClient(_ packet.Endpoint, raw []byte) {
	s := a.w.carried(raw)
	a.w.after(a.w.d.CallerDelay, func() { a.w.toCaller(s) })
}

// Refuse implements flowtable.Output.
func (a *agent) Refuse(to netip.AddrPort, why peer.Reason, age time.Duration, raw []byte) {
	b := a.w.balancers[int(to.Addr().As4()[3])]
	h := peer.Header{Kind: peer.KindRefused, Reason: why, Age: peer.AgeMillis(age)}
	raw = append([]byte(nil), raw...)
	p := a.w.carried(raw).p
	process := b.process
	a.w.afterEvent(p.FromClient(), a.w.way(a.zone, b.zone), func() {
		if b.up && b.process == process {
			b.engine.HandleRefused(a.w.clock(), a.address(), h, p, raw)
		}
	})
}

// Answer implements flowtable.Output.
func (a *agent) Answer(to netip.AddrPort, r peer.Answer) {
	b := a.w.balancers[int(to.Addr().As4()[3])]
	b.alive(a.w.way(a.zone, b.zone), func() { b.engine.HandleAnswer(a.w.clock(), a.address(), r) })
}

// Reset implements flowtable.Output.
func (a *agent) Reset(f packet.Flow, _ uint32) { a.w.reset(f) }

// Report implements flowtable.Output.
func (a *agent) Report() {
	for _, b := range a.w.balancers {
		if a.known[b.n] {
			a.reportTo(b)
		}
	}
}

func (a *agent) reportTo(b *balancer) {
	if !b.up {
		return
	}
	r := a.engine.Report(a.w.clock())
	b.alive(a.w.way(a.zone, b.zone), func() { b.engine.HandleReport(a.w.clock(), a.address(), r) })
}

// Note implements flowtable.Output.
func (a *agent) Note(flowtable.Decision) {}

// Answered implements flowtable.Output.
func (a *agent) Answered(time.Duration) {}

// Admitted implements flowtable.Output.
func (a *agent) Admitted(time.Duration) {}

func (w *world) agentAt(at netip.AddrPort) *agent {
	ip := at.Addr().As4()
	return w.agents[int(ip[2])<<8|int(ip[3])]
}

func zoneName(zone int) string { return string(rune('a' + zone)) }
