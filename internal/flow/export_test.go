package flow

import (
	"net/netip"
	"sync"

	"bergamotstall/internal/connid"
)

// IdleTimeout is the longest silence that a flow survives.
const IdleTimeout = idleTimeout

// KeepFirstPackets makes the endpoint take every first packet that a balancer
// sends it, for the measurement of what deflection brings. Call it before Run.
func (e *Endpoint) KeepFirstPackets() {
	decide := e.decide
	e.decide = func(s *Standing, a *Arrival) Verdict {
		if a.Opening && a.Origin != connid.Ours && s.Self != 0 && s.Service != nil {
			return Verdict{Action: Deliver, Reason: OpenedHere, Generation: s.Generation}
		}
		return decide(s, a)
	}
}

// Pause holds the endpoint's reader, and whoever sends for its flows, up at the
// next packet until resume is called, as a process without processor time would
// be. Were only the reader held up, the flows' own retransmissions would tell
// balancers that the agent is well. Call it before Run.
func (e *Endpoint) Pause() (pause func(), resume func()) {
	var gate sync.Mutex
	send := e.send
	e.send = func(packet []byte, caller netip.AddrPort) {
		gate.Lock()
		defer gate.Unlock()
		send(packet, caller)
	}
	decide := e.decide
	e.decide = func(s *Standing, a *Arrival) Verdict {
		gate.Lock()
		defer gate.Unlock()
		return decide(s, a)
	}
	return gate.Lock, gate.Unlock
}
