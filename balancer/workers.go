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

// forward moves callers' packets to agents, for one of a service's sockets.
func (f *Forwarder) forward(x *front, in, out *socket) {
	w := &forwardWorker{forwarder: f, front: x}
	packets := newReader()
	for {
		messages, ok := packets.read(in)
		if !ok {
			return
		}
		v := f.view.Load()
		service, ok := v.steering.ServiceByID(x.id)
		if !ok {
			continue
		}
		now := time.Now()
		w.batch = writeBatches.Get().(*outBatch)
		for i := range messages {
			w.one(now, v, service, &messages[i])
		}
		f.counts.sendFailed.Add(int64(w.batch.flush(out)))
		writeBatches.Put(w.batch)
		w.tally.flush(f.counts)
	}
}

// forwardWorker is the memory of one forward worker.
type forwardWorker struct {
	forwarder *Forwarder
	front     *front
	router    steering.Router
	header    envelope.Header
	batch     *outBatch
	tally     tally
}

func (w *forwardWorker) one(now time.Time, v *view, service *steering.Service, m *ipv4.Message) {
	caller := unmap(m.Addr.(*net.UDPAddr).AddrPort())
	out, agent, outcome := w.wrap(v.steering, service, caller, m.Buffers[0][:m.N])
	w.tally.outcomes[outcome]++
	if outcome.Dropped() {
		return
	}
	agent.Reach.Sent(now)
	w.tally.bytes += int64(m.N)
	w.batch.add(out, agent.Tunnel)
}

// wrap steers a packet and puts it into an envelope.
func (w *forwardWorker) wrap(m *steering.CompiledTable, service *steering.Service, caller netip.AddrPort, packet []byte) ([]byte, *steering.Agent, steering.Outcome) {
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
		// Counted as a hop, so that no agent hands it to the one avoided.
		w.header.Hops = 1
		w.header.ForwardedBy = w.router.Avoided
	}
	out, err := m.Envelopes.Append(w.batch.next(), &w.header, packet)
	if err != nil {
		return nil, nil, steering.DropMalformed
	}
	return out, agent, outcome
}

// backward moves agents' answers to callers, for one of the tunnel's sockets.
func (f *Forwarder) backward(index int, in *socket) {
	w := &backwardWorker{forwarder: f, index: index, batch: newOutBatch()}
	packets := newReader()
	for {
		messages, ok := packets.read(in)
		if !ok {
			return
		}
		if v := f.view.Load(); v != nil {
			w.all(v, messages)
		}
		w.tally.flush(f.counts)
	}
}

// backwardWorker is the memory of one backward worker.
type backwardWorker struct {
	forwarder *Forwarder
	index     int
	header    envelope.Header
	batch     *outBatch
	// service is whose answers the batch holds.
	service table.ServiceID
	tally   tally
}

func (w *backwardWorker) all(v *view, messages []ipv4.Message) {
	now := time.Now()
	for i := range messages {
		datagram := messages[i].Buffers[0][:messages[i].N]
		packet, err := v.steering.Envelopes.Open(datagram, &w.header)
		if err != nil {
			w.tally.refused(err)
			continue
		}
		if !w.heard(now, v) {
			continue
		}
		if w.header.Service != w.service {
			w.send(v)
			w.service = w.header.Service
		}
		w.tally.returned++
		w.tally.returnedBytes += int64(len(packet))
		w.batch.add(append(w.batch.next(), packet...), w.header.Caller)
	}
	w.send(v)
}

// heard notes a sign of life, and tells whether it carries a packet.
func (w *backwardWorker) heard(now time.Time, v *view) bool {
	agent, known := v.steering.Agent(w.header.Agent)
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
	w.tally.malformed++
	return false
}

// send writes the batch from the service's own address, as callers take packets
// from no other.
func (w *backwardWorker) send(v *view) {
	if w.batch.count == 0 {
		return
	}
	x := v.fronts[w.service]
	if x == nil {
		w.tally.noService += int64(w.batch.count)
		w.batch.count = 0
		return
	}
	failed := w.batch.flush(x.sockets[w.index%len(x.sockets)])
	w.tally.sendFailed += int64(failed)
}
