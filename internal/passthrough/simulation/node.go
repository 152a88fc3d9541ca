package simulation

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/flowtable"
	"bergamotstall/internal/passthrough/forward"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// announceInterval is the time between a target's announcements.
const announceInterval = 770 * time.Millisecond

// balancer is a VM with a balancer process, which may be down.
type balancer struct {
	w       *world
	n, zone int
	engine  *forward.Engine
	// process counts the starts. Packets sent to an earlier process are lost.
	process int
	up      bool
}

func (b *balancer) address() netip.AddrPort { return addressOf(0, b.n) }

// start starts a process, which gets its table after tableDelay.
func (b *balancer) start(tableDelay time.Duration) {
	w := b.w
	b.process++
	b.up = true
	seed := w.rng.Uint64()
	b.engine = forward.New(forward.Config{
		Zone: zoneName(b.zone), Rand: rand.New(rand.NewPCG(seed, seed)), Policy: w.policies.Forward, Overload: w.policies.Overload, Out: b,
	})
	b.afterIfUp(tableDelay, func() {
		b.engine.SetTable(w.clock(), w.table)
		for _, a := range w.agents {
			if a.up && a.listed {
				b.engine.ListAgent(w.clock(), a.agentInfo())
			}
		}
		b.engine.SetListsComplete(true)
	})
	b.tick()
}

func (b *balancer) tick() {
	b.engine.Tick(b.w.clock())
	b.afterIfUp(tickInterval, b.tick)
}

// afterIfUp runs a step after d if the same process still runs then.
func (b *balancer) afterIfUp(d time.Duration, step func()) {
	process := b.process
	b.w.after(d, func() {
		if b.up && b.process == process {
			step()
		}
	})
}

// handleCallerPacket handles a packet from a caller.
func (b *balancer) handleCallerPacket(raw []byte) {
	if b.up {
		b.engine.HandleClientPacket(b.w.clock(), b.w.decode(raw).p, raw)
	}
}

// Deliver implements forward.Output.
func (b *balancer) Deliver(to netip.AddrPort, service route.ServiceID, age time.Duration, usage fairshare.Stamp, raw []byte) {
	a := b.w.agentAt(to)
	h := peer.Header{Kind: peer.KindDeliver, Usage: usage, Service: service, Age: peer.AgeMillis(age)}
	raw = append([]byte(nil), raw...)
	b.w.after(b.w.networkDelay(b.zone, a.zone), func() {
		if a.up {
			a.addBalancer(b)
			a.engine.FromBalancer(b.w.clock(), b.address(), h, b.w.decode(raw).p, raw)
		}
	})
}

// Ask implements forward.Output.
func (b *balancer) Ask(to netip.AddrPort, q peer.Question) {
	a := b.w.agentAt(to)
	b.w.scheduleOrdered(q.Flow, b.w.networkDelay(b.zone, a.zone), func() {
		if a.up {
			a.addBalancer(b)
			a.engine.Ask(b.w.clock(), b.address(), q)
		}
	})
}

// Probe implements forward.Output.
func (b *balancer) Probe(to netip.AddrPort) {
	a := b.w.agentAt(to)
	b.w.after(b.w.networkDelay(b.zone, a.zone), func() {
		if a.up {
			a.addBalancer(b)
			a.reportTo(b)
		}
	})
}

// Reset implements forward.Output.
func (b *balancer) Reset(f packet.Flow, _ uint32) { b.w.resetFlow(f) }

// LogDecision implements forward.Output.
func (b *balancer) LogDecision(forward.Decision) {}

// agent is a VM that runs an agent's process and its target.
type agent struct {
	w       *world
	n, zone int
	service string
	engine  *flowtable.Engine
	process int
	up      bool
	// listed tells that control lists the agent; knownBalancers are the balancers from
	// which it received something, and to which it sends reports.
	listed         bool
	knownBalancers map[int]bool
	target         *target
}

func (a *agent) address() netip.AddrPort { return addressOf(1, a.n) }

// start starts a process. After tableDelay it gets its table and the records of flows
// that were open here, and balancers learn of the agent.
func (a *agent) start(tableDelay time.Duration, flowRecords func() (flowlog.Update, bool)) {
	w := a.w
	a.process++
	a.up = true
	a.listed = false
	a.knownBalancers = map[int]bool{}
	a.engine = flowtable.New(flowtable.Config{
		Service: a.service, Zone: zoneName(a.zone), Process: uint64(a.process), Heartbeat: announceInterval,
		StartedAt: w.clock(), Policy: w.policies.Flowtable, Overload: w.policies.Overload, Codec: codec{}, Out: a,
	})
	a.afterIfUp(tableDelay, func() { a.joinControl(flowRecords) })
	a.tick()
}

func (a *agent) joinControl(flowRecords func() (flowlog.Update, bool)) {
	a.listed = true
	a.engine.SetTable(a.w.table)
	if u, ok := flowRecords(); ok {
		a.engine.HandleRecall(a.w.clock(), u)
	}
	for _, b := range a.w.balancers {
		if b.up {
			b.engine.ListAgent(a.w.clock(), a.agentInfo())
		}
	}
}

// agentInfo returns the agent's entry in control's list.
func (a *agent) agentInfo() forward.AgentInfo {
	return forward.AgentInfo{Address: a.address(), Zone: zoneName(a.zone), Service: route.IDOf(a.service), Process: uint64(a.process)}
}

// addBalancer records that a balancer has sent something, so that it gets reports.
func (a *agent) addBalancer(b *balancer) { a.knownBalancers[b.n] = true }

func (a *agent) afterIfUp(d time.Duration, step func()) {
	process := a.process
	a.w.after(d, func() {
		if a.up && a.process == process {
			step()
		}
	})
}

func (a *agent) tick() {
	a.engine.Tick(a.w.clock())
	a.afterIfUp(a.engine.NextTick(tickInterval), a.tick)
}

// ToTarget implements flowtable.Output.
func (a *agent) ToTarget(raw []byte) {
	t := a.target
	raw = append([]byte(nil), raw...)
	a.w.after(sameVMDelay, func() { t.handlePacket(raw) })
}

// ToClient implements flowtable.Output.
func (a *agent) ToClient(_ packet.Endpoint, raw []byte) {
	s := a.w.decode(raw)
	a.w.after(a.w.d.CallerDelay, func() { a.w.toCaller(s) })
}

// Refuse implements flowtable.Output.
func (a *agent) Refuse(to netip.AddrPort, why peer.Reason, age time.Duration, raw []byte) {
	b := a.w.balancers[int(to.Addr().As4()[3])]
	h := peer.Header{Kind: peer.KindRefused, Reason: why, Age: peer.AgeMillis(age)}
	raw = append([]byte(nil), raw...)
	p := a.w.decode(raw).p
	process := b.process
	a.w.scheduleOrdered(p.FromClient(), a.w.networkDelay(a.zone, b.zone), func() {
		if b.up && b.process == process {
			b.engine.HandleRefused(a.w.clock(), a.address(), h, p, raw)
		}
	})
}

// Answer implements flowtable.Output.
func (a *agent) Answer(to netip.AddrPort, r peer.Answer) {
	b := a.w.balancers[int(to.Addr().As4()[3])]
	b.afterIfUp(a.w.networkDelay(a.zone, b.zone), func() { b.engine.HandleAnswer(a.w.clock(), a.address(), r) })
}

// Reset implements flowtable.Output.
func (a *agent) Reset(f packet.Flow, _ uint32) { a.w.resetFlow(f) }

// Report implements flowtable.Output.
func (a *agent) Report() {
	for _, b := range a.w.balancers {
		if a.knownBalancers[b.n] {
			a.reportTo(b)
		}
	}
}

func (a *agent) reportTo(b *balancer) {
	if !b.up {
		return
	}
	r := a.engine.Report(a.w.clock())
	b.afterIfUp(a.w.networkDelay(a.zone, b.zone), func() { b.engine.HandleReport(a.w.clock(), a.address(), r) })
}

// LogDecision implements flowtable.Output.
func (a *agent) LogDecision(flowtable.Decision) {}

// Answered implements flowtable.Output.
func (a *agent) Answered(time.Duration) {}

// Admitted implements flowtable.Output.
func (a *agent) Admitted(time.Duration) {}

func (w *world) agentAt(at netip.AddrPort) *agent {
	ip := at.Addr().As4()
	return w.agents[int(ip[2])<<8|int(ip[3])]
}

func zoneName(zone int) string { return string(rune('a' + zone)) }
