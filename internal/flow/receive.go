package flow

import (
	"net/netip"
	"sync"
	"time"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/envelope"
	"bergamotstall/internal/steering"
	"bergamotstall/internal/table"
)

// receive handles one datagram from the tunnel. Only the goroutine of Run calls
// it.
func (e *Endpoint) receive(now time.Time, from netip.AddrPort, datagram []byte) {
	v := e.view.Load()
	if v == nil {
		e.counts.refusal(envelope.ErrGeneration)
		return
	}
	r := &e.router
	packet, err := v.steering.Envelopes.Open(datagram, &r.header)
	if err != nil {
		e.counts.refusal(err)
		return
	}
	if e.sign(v, from) {
		return
	}
	balancer := from
	if r.header.Balancer.IsValid() {
		balancer = r.header.Balancer
	}
	if !e.meantHere(v, &r.header) || !e.readArrival(now, v, packet) {
		return
	}
	verdict := e.decide(&r.standing, &r.arrival)
	e.counts.verdict(verdict)
	if r.arrival.Orphan && verdict.Action == HandOver {
		e.askAbout(v, verdict.Agent, balancer, packet)
	}
	e.carryOut(now, v, verdict, balancer, packet)
	e.paths.sweep(now)
}

// meantHere refuses what was sent to another service's agent that had this
// address before. Without it, a table that lags would carry one service's
// callers to another's target.
func (e *Endpoint) meantHere(v *view, h *envelope.Header) bool {
	switch {
	case h.Kind != envelope.Forward && h.Kind != envelope.Reroute:
		e.counts.wrongKind.Add(1)
		return false
	case v.service == nil || h.Service != v.service.ID:
		e.counts.wrongService.Add(1)
		return false
	}
	if uint32(h.Agent) != e.self.Load() {
		// Same service, another agent: this process replaced it at this address.
		// What the packet itself names decides.
		e.counts.wrongAgent.Add(1)
	}
	return true
}

// readArrival fills in the router's arrival and standing for a packet.
func (e *Endpoint) readArrival(now time.Time, v *view, packet []byte) bool {
	r := &e.router
	if !steering.ReadShape(packet, &r.shape) {
		e.counts.malformed.Add(1)
		return false
	}
	named, origin := v.steering.ConnIDs.Decode(r.shape.Destination, &r.scratch)
	r.arrival = Arrival{
		Now:      now,
		Opening:  r.shape.Opening,
		Long:     r.shape.Long,
		Origin:   origin,
		Named:    named,
		Revision: r.header.Revision,
		Hops:     r.header.Hops,
		HandedBy: r.header.ForwardedBy,
		Orphan:   r.header.Kind == envelope.Reroute,
	}
	if origin != connid.Ours && r.shape.Opening {
		r.arrival.Key = v.steering.FlowKey(r.shape.Destination, r.header.Caller)
		r.arrival.Memory = steering.HashFlow(e.memory.k0, e.memory.k1, r.shape.Destination, r.header.Caller)
	}
	r.standing = Standing{
		Self:       table.AgentNumber(e.self.Load()),
		Tunnel:     e.tunnel,
		Map:        v.steering,
		Service:    v.service,
		Draining:   e.draining(),
		Flows:      int(e.flows.Load()),
		Limit:      v.limit,
		Generation: uint8(e.signing.Load()),
	}
	return true
}

func (e *Endpoint) carryOut(now time.Time, v *view, verdict Verdict, balancer netip.AddrPort, packet []byte) {
	switch verdict.Action {
	case Drop:
	case HandOver:
		e.handOver(v, verdict.Agent, balancer, packet)
	default:
		e.deliver(now, verdict, balancer, packet)
	}
}

// deliver hands a packet to the QUIC transport of its key generation. The
// transport answers one whose flow it doesn't know with a stateless reset.
func (e *Endpoint) deliver(now time.Time, verdict Verdict, balancer netip.AddrPort, packet []byte) {
	r := &e.router
	generation := verdict.Generation
	if r.arrival.Origin == connid.Ours {
		generation = connid.Generation(r.shape.Destination)
	}
	to := e.ends[generation%generations].Load()
	if to == nil {
		e.counts.noEnd.Add(1)
		return
	}
	way := e.paths.arrived(now, r.header.Caller, balancer, r.header.Generation)
	if way == nil {
		e.counts.tooManyPaths.Add(1)
		return
	}
	if r.arrival.Opening {
		way.refused.Store(verdict.Action == Refuse)
	}
	if !to.port.put(packet, way.caller) {
		e.counts.queueFull.Add(1)
	}
	if verdict.Action == Reset && len(packet) < resettable {
		to.port.put(lengthened(packet), way.caller)
	}
}

// resettable is the size from which the QUIC library answers a packet of a flow
// that it doesn't know.
const resettable = 1 + 20 + 4 + 1 + 16 + 1

// lengthened returns a copy of a packet that is large enough for a stateless
// reset. A caller that only listens sends nothing but acknowledgements and
// keep-alives, which are smaller with our connection IDs: without a reset it
// would take a dead agent's feed for a quiet one until its idle timeout. The
// copy follows the packet itself, so that a flow which does exist loses
// nothing: there the copy fails decryption. Two ends can't answer each other's
// resets for ever, since a reset's connection ID is random and not ours.
func lengthened(packet []byte) []byte {
	out := make([]byte, resettable)
	copy(out, packet)
	return out
}

// handOver sends a packet on to another agent of the service, which answers by
// the same balancer.
func (e *Endpoint) handOver(v *view, to table.AgentNumber, balancer netip.AddrPort, packet []byte) {
	agent, ok := v.steering.Agent(to)
	if !ok || !agent.Tunnel.IsValid() {
		e.counts.handOverLost.Add(1)
		return
	}
	r := &e.router
	h := r.header
	h.Kind = envelope.Forward
	h.Agent = to
	h.Balancer = balancer
	h.ForwardedBy = table.AgentNumber(e.self.Load())
	h.Hops++
	h.Revision = max(h.Revision, v.steering.Revision)
	out, err := v.steering.Envelopes.Append(r.out[:0], &h, packet)
	if err != nil {
		e.counts.handOverLost.Add(1)
		return
	}
	r.out = out
	if _, err := e.socket.WriteToUDPAddrPort(out, agent.Tunnel); err != nil {
		e.counts.sendFailed.Add(1)
	}
}

// answers are the working buffers of goroutines that send.
var answers = sync.Pool{New: func() any { return new([]byte) }}

// answer sends a packet of one of the flows to its caller.
func (e *Endpoint) answer(packet []byte, caller netip.AddrPort) {
	v := e.view.Load()
	way := e.paths.find(caller)
	if way == nil || v == nil || v.service == nil {
		e.counts.noPath.Add(1)
		return
	}
	if e.answerDirect(packet, caller) {
		return
	}
	if len(packet) > envelope.MaxPayload {
		e.counts.oversize.Add(1)
		return
	}
	by, replaced := e.paths.back(time.Now(), way)
	if replaced {
		e.counts.pathReplaced.Add(1)
	}
	h := envelope.Header{
		Kind:       envelope.Return,
		Generation: e.generationFor(v, by),
		Service:    v.service.ID,
		Agent:      table.AgentNumber(e.self.Load()),
		Caller:     caller,
		Revision:   v.steering.Revision,
	}
	buffer := answers.Get().(*[]byte)
	defer answers.Put(buffer)
	out, err := v.steering.Envelopes.Append((*buffer)[:0], &h, packet)
	*buffer = out
	if err != nil {
		e.counts.noPath.Add(1)
		return
	}
	if _, err := e.socket.WriteToUDPAddrPort(out, by.address); err != nil {
		e.counts.sendFailed.Add(1)
	}
}

// generationFor signs as the balancer signed last, as long as that key is valid.
func (e *Endpoint) generationFor(v *view, by *peer) uint8 {
	if g := uint8(by.generation.Load()); v.steering.Envelopes.Has(g) {
		return g
	}
	return v.steering.Generation
}
