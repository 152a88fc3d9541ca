package balancer

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/steering"
	"bergamotstall/internal/table"
)

// forwardToAgents forwards callers' packets from one of a service's sockets to agents.
func (f *Forwarder) forwardToAgents(l *serviceListener, in, out *socket) {
	w := &forwardWorker{forwarder: f, listener: l}
	packets := newBatchReader()
	for {
		messages, ok := packets.read(in)
		if !ok {
			return
		}
		state := f.state.Load()
		service, ok := state.steering.ServiceByID(l.id)
		if !ok {
			continue
		}
		now := time.Now()
		w.batch = writeBatchPool.Get().(*writeBatch)
		for i := range messages {
			w.handlePacket(now, state, service, &messages[i])
		}
		f.counters.sendFailed.Add(int64(w.batch.flush(out)))
		writeBatchPool.Put(w.batch)
		w.counts.flush(f.counters)
	}
}

// forwardWorker is the reusable memory of one worker of forwardToAgents.
type forwardWorker struct {
	forwarder *Forwarder
	listener  *serviceListener
	router    steering.Router
	header    envelope.Header
	batch     *writeBatch
	counts    batchCounts
}

func (w *forwardWorker) handlePacket(now time.Time, state *forwardingState, service *steering.Service, m *ipv4.Message) {
	caller := unmap(m.Addr.(*net.UDPAddr).AddrPort())
	out, agent, outcome := w.steerAndWrap(state.steering, service, caller, m.Buffers[0][:m.N])
	w.counts.outcomes[outcome]++
	if outcome.Dropped() {
		return
	}
	agent.Reach.Sent(now)
	w.counts.bytes += int64(m.N)
	w.batch.add(out, agent.Tunnel)
}

// steerAndWrap selects the agent for a packet and wraps the packet in an envelope.
func (w *forwardWorker) steerAndWrap(m *steering.CompiledTable, service *steering.Service, caller netip.AddrPort, packet []byte) ([]byte, *steering.Agent, steering.Outcome) {
	if len(packet) > envelope.MaxPayload {
		return nil, nil, steering.DropOversize
	}
	agent, outcome := w.router.Route(m, service, caller, packet)
	if outcome.Dropped() {
		return nil, nil, outcome
	}
	w.header = envelope.Header{
		Kind:       envelope.Forward,
		Generation: m.Generation,
		Service:    service.ID,
		Agent:      agent.Number,
		Caller:     caller,
		Revision:   m.Revision,
	}
	switch outcome {
	case steering.Unreachable:
		w.header.Kind = envelope.Reroute
	case steering.NewAvoiding:
		// The avoided agent counts as a hop, so that no agent forwards the packet to it.
		w.header.Hops = 1
		w.header.ForwardedBy = w.router.Avoided
	}
	out, err := m.Envelopes.Append(w.batch.nextBuffer(), &w.header, packet)
	if err != nil {
		return nil, nil, steering.DropMalformed
	}
	return out, agent, outcome
}

// returnToCallers forwards agents' answers from one of the tunnel's sockets to callers.
func (f *Forwarder) returnToCallers(index int, in *socket) {
	w := &returnWorker{forwarder: f, index: index, batch: newWriteBatch()}
	packets := newBatchReader()
	for {
		messages, ok := packets.read(in)
		if !ok {
			return
		}
		if state := f.state.Load(); state != nil {
			w.handleBatch(state, messages)
		}
		w.counts.flush(f.counters)
	}
}

// returnWorker is the reusable memory of one worker of returnToCallers.
type returnWorker struct {
	forwarder *Forwarder
	index     int
	header    envelope.Header
	batch     *writeBatch
	// service is the service whose answers are in the batch.
	service table.ServiceID
	counts  batchCounts
}

func (w *returnWorker) handleBatch(state *forwardingState, messages []ipv4.Message) {
	now := time.Now()
	for i := range messages {
		datagram := messages[i].Buffers[0][:messages[i].N]
		packet, err := state.steering.Envelopes.Open(datagram, &w.header)
		if err != nil {
			w.counts.countInvalid(err)
			continue
		}
		if !w.recordAgent(now, state) {
			continue
		}
		if w.header.Service != w.service {
			w.flushBatch(state)
			w.service = w.header.Service
		}
		w.counts.returned++
		w.counts.returnedBytes += int64(len(packet))
		w.batch.add(append(w.batch.nextBuffer(), packet...), w.header.Caller)
	}
	w.flushBatch(state)
}

// recordAgent records for the failure detector that the agent sent something, and reports
// whether the envelope contains a packet for a caller.
func (w *returnWorker) recordAgent(now time.Time, state *forwardingState) bool {
	agent, known := state.steering.Agent(w.header.Agent)
	switch w.header.Kind {
	case envelope.Return:
		if known {
			agent.Reach.Heard(now)
		}
		return true
	case envelope.ProbeReply:
		if known {
			agent.Reach.Answered(now)
		}
		return false
	}
	w.counts.malformed++
	return false
}

// flushBatch sends the batch from the service's address, because callers accept packets
// from no other address.
func (w *returnWorker) flushBatch(state *forwardingState) {
	if w.batch.count == 0 {
		return
	}
	l := state.listeners[w.service]
	if l == nil {
		w.counts.noService += int64(w.batch.count)
		w.batch.count = 0
		return
	}
	failed := w.batch.flush(l.sockets[w.index%len(l.sockets)])
	w.counts.sendFailed += int64(failed)
}
