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

// receive handles one datagram from the tunnel. Only Run's goroutine calls it.
func (e *Endpoint) receive(now time.Time, from netip.AddrPort, datagram []byte) {
	v := e.view.Load()
	if v == nil {
		e.counters.countEnvelopeError(envelope.ErrGeneration)
		return
	}
	r := &e.reader
	packet, err := v.steering.Envelopes.Open(datagram, &r.header)
	if err != nil {
		e.counters.countEnvelopeError(err)
		return
	}
	if e.handleProbe(v, from) {
		return
	}
	balancer := from
	if r.header.Balancer.IsValid() {
		balancer = r.header.Balancer
	}
	if !e.addressedHere(v, &r.header) || !e.readPacket(now, v, packet) {
		return
	}
	decision := e.decide(&r.state, &r.packet)
	e.counters.countDecision(decision)
	if r.packet.Reroute && decision.Action == HandOver {
		e.startAgentCheck(v, decision.Agent, balancer, packet)
	}
	e.perform(now, v, decision, balancer, packet)
	e.paths.sweep(now)
}

// addressedHere refuses envelopes for an agent of another service that had this
// address before. Without the check, an outdated table would send one service's
// callers to another service's target.
func (e *Endpoint) addressedHere(v *view, h *envelope.Header) bool {
	switch {
	case h.Kind != envelope.Forward && h.Kind != envelope.Reroute:
		e.counters.wrongKind.Add(1)
		return false
	case v.service == nil || h.Service != v.service.ID:
		e.counters.wrongService.Add(1)
		return false
	}
	if uint32(h.Agent) != e.agentNumber.Load() {
		// Another agent of the same service: this process replaced it at this
		// address. The agent named in the packet's connection ID decides.
		e.counters.wrongAgent.Add(1)
	}
	return true
}

// readPacket sets the reader's packet and state, the input of a decision.
func (e *Endpoint) readPacket(now time.Time, v *view, packet []byte) bool {
	r := &e.reader
	if !steering.ReadShape(packet, &r.shape) {
		e.counters.malformed.Add(1)
		return false
	}
	named, origin := v.steering.ConnIDs.Decode(r.shape.Destination, &r.scratch)
	r.packet = Packet{
		Now:         now,
		Opening:     r.shape.OpensFlow,
		Long:        r.shape.Long,
		Origin:      origin,
		NamedAgent:  named,
		Revision:    r.header.Revision,
		Hops:        r.header.Hops,
		ForwardedBy: r.header.ForwardedBy,
		Reroute:     r.header.Kind == envelope.Reroute,
	}
	if origin != connid.Ours && r.shape.OpensFlow {
		r.packet.PlacementKey = v.steering.FlowKey(r.shape.Destination, r.header.Caller)
		r.packet.ChoiceKey = steering.HashFlow(e.choiceKey.k0, e.choiceKey.k1, r.shape.Destination, r.header.Caller)
	}
	r.state = AgentState{
		Self:       table.AgentNumber(e.agentNumber.Load()),
		Tunnel:     e.tunnel,
		Table:      v.steering,
		Service:    v.service,
		Draining:   e.draining(),
		Flows:      int(e.flows.Load()),
		FlowLimit:  v.limit,
		Generation: uint8(e.signingGeneration.Load()),
	}
	return true
}

// perform carries out a decision on a packet.
func (e *Endpoint) perform(now time.Time, v *view, decision Decision, balancer netip.AddrPort, packet []byte) {
	switch decision.Action {
	case Drop:
	case HandOver:
		e.handOver(v, decision.Agent, balancer, packet)
	default:
		e.deliver(now, decision, balancer, packet)
	}
}

// deliver passes a packet to the QUIC transport of its key generation. The transport
// answers a packet of an unknown flow with a stateless reset.
func (e *Endpoint) deliver(now time.Time, decision Decision, balancer netip.AddrPort, packet []byte) {
	r := &e.reader
	generation := decision.Generation
	if r.packet.Origin == connid.Ours {
		generation = connid.Generation(r.shape.Destination)
	}
	to := e.transports[generation%generationSlots].Load()
	if to == nil {
		e.counters.noTransport.Add(1)
		return
	}
	path := e.paths.recordPacket(now, r.header.Caller, balancer, r.header.Generation)
	if path == nil {
		e.counters.tooManyPaths.Add(1)
		return
	}
	if r.packet.Opening {
		path.refuseNewFlow.Store(decision.Action == Refuse)
	}
	if !to.conn.enqueue(packet, path.caller) {
		e.counters.queueFull.Add(1)
	}
	if decision.Action == Reset && len(packet) < minResetTrigger {
		to.conn.enqueue(padForReset(packet), path.caller)
	}
}

// minResetTrigger is the smallest packet of an unknown flow, in bytes, that quic-go
// answers with a stateless reset.
const minResetTrigger = 1 + 20 + 4 + 1 + 16 + 1

// padForReset returns a copy of a packet that is large enough to trigger a stateless
// reset. A caller that only receives sends just acknowledgements and keep-alives,
// which are too small with the cluster's connection IDs; without a reset it would
// take a dead agent's feed for an idle one until its idle timeout. The copy is
// delivered after the packet itself, so an existing flow loses nothing: the copy
// fails decryption there. Two endpoints can't answer each other's resets endlessly,
// since a reset's connection ID is random and not the cluster's.
func padForReset(packet []byte) []byte {
	out := make([]byte, minResetTrigger)
	copy(out, packet)
	return out
}

// handOver forwards a packet to another agent of the service, whose packets to the
// caller return through the same balancer.
func (e *Endpoint) handOver(v *view, to table.AgentNumber, balancer netip.AddrPort, packet []byte) {
	agent, ok := v.steering.Agent(to)
	if !ok || !agent.Tunnel.IsValid() {
		e.counters.handOverLost.Add(1)
		return
	}
	r := &e.reader
	h := r.header
	h.Kind = envelope.Forward
	h.Agent = to
	h.Balancer = balancer
	h.ForwardedBy = table.AgentNumber(e.agentNumber.Load())
	h.Hops++
	h.Revision = max(h.Revision, v.steering.Revision)
	out, err := v.steering.Envelopes.Append(r.out[:0], &h, packet)
	if err != nil {
		e.counters.handOverLost.Add(1)
		return
	}
	r.out = out
	if _, err := e.socket.WriteToUDPAddrPort(out, agent.Tunnel); err != nil {
		e.counters.sendFailed.Add(1)
	}
}

// returnBuffers holds reusable buffers for return packets.
var returnBuffers = sync.Pool{New: func() any { return new([]byte) }}

// sendReturn sends a flow's packet to its caller, directly or through a balancer.
func (e *Endpoint) sendReturn(packet []byte, caller netip.AddrPort) {
	v := e.view.Load()
	path := e.paths.find(caller)
	if path == nil || v == nil || v.service == nil {
		e.counters.noPath.Add(1)
		return
	}
	if e.sendDirect(packet, caller) {
		return
	}
	if len(packet) > envelope.MaxPayload {
		e.counters.oversize.Add(1)
		return
	}
	peer, replaced := e.paths.returnBalancer(time.Now(), path)
	if replaced {
		e.counters.pathReplaced.Add(1)
	}
	h := envelope.Header{
		Kind:       envelope.Return,
		Generation: e.returnGeneration(v, peer),
		Service:    v.service.ID,
		Agent:      table.AgentNumber(e.agentNumber.Load()),
		Caller:     caller,
		Revision:   v.steering.Revision,
	}
	buffer := returnBuffers.Get().(*[]byte)
	defer returnBuffers.Put(buffer)
	out, err := v.steering.Envelopes.Append((*buffer)[:0], &h, packet)
	*buffer = out
	if err != nil {
		e.counters.noPath.Add(1)
		return
	}
	if _, err := e.socket.WriteToUDPAddrPort(out, peer.address); err != nil {
		e.counters.sendFailed.Add(1)
	}
}

// returnGeneration returns the key generation of the balancer's last envelope if it is
// still valid, and the table's current one otherwise.
func (e *Endpoint) returnGeneration(v *view, peer *balancerPeer) uint8 {
	if g := uint8(peer.generation.Load()); v.steering.Envelopes.Has(g) {
		return g
	}
	return v.steering.Generation
}
