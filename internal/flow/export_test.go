package flow

import (
	"net/netip"
	"sync"

	"bergamotstall/internal/connid"
)

// IdleTimeout is the default idle timeout of a flow.
const IdleTimeout = idleTimeout

// AcceptFirstPackets makes the endpoint accept every first packet instead of
// forwarding some, for the benchmark that compares the two. Call it before Run.
func (e *Endpoint) AcceptFirstPackets() {
	decide := e.decide
	e.decide = func(s *AgentState, a *Packet) Decision {
		if a.Opening && a.Origin != connid.Ours && s.Self != 0 && s.Service != nil {
			return Decision{Action: Deliver, Reason: OpenedHere, Generation: s.Generation}
		}
		return decide(s, a)
	}
}

// Pause returns functions that block and unblock the endpoint's reader and senders,
// as if the process got no CPU time. If only the reader blocked, the flows' own
// retransmissions would tell balancers that the agent is alive. Call it before Run.
func (e *Endpoint) Pause() (pause func(), resume func()) {
	var gate sync.Mutex
	send := e.send
	e.send = func(packet []byte, caller netip.AddrPort) {
		gate.Lock()
		defer gate.Unlock()
		send(packet, caller)
	}
	decide := e.decide
	e.decide = func(s *AgentState, a *Packet) Decision {
		gate.Lock()
		defer gate.Unlock()
		return decide(s, a)
	}
	return gate.Lock, gate.Unlock
}
