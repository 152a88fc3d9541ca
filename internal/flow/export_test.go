package flow

import (
	"sync"

	"bergamotstall/internal/connid"
)

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

// Pause holds the endpoint's reader up at its next packet until resume is called,
// as a process without processor time would be. Call it before Run.
func (e *Endpoint) Pause() (pause func(), resume func()) {
	var gate sync.Mutex
	decide := e.decide
	e.decide = func(s *Standing, a *Arrival) Verdict {
		gate.Lock()
		defer gate.Unlock()
		return decide(s, a)
	}
	return gate.Lock, gate.Unlock
}
