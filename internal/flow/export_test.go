package flow

import "bergamotstall/internal/connid"

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
