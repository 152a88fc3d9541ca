package flow

import (
	"net/netip"
	"time"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/reachability"
	"bergamotstall/internal/table"
)

// updateSharesLoop updates the targets' shares of new flows, which change over time,
// until the endpoint is closed.
func (e *Endpoint) updateSharesLoop() {
	tick := time.NewTicker(reachability.Tick)
	defer tick.Stop()
	for {
		select {
		case <-e.closed:
			return
		case now := <-tick.C:
			e.updateShares(now)
		}
	}
}

// updateShares puts the shares for the given time in force.
func (e *Endpoint) updateShares(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	if v == nil {
		return
	}
	m := v.steering.UpdateShares(now)
	if m == v.steering {
		return
	}
	out := *v
	out.steering = m
	out.service, _ = m.ServiceNamed(e.config.Service)
	e.view.Store(&out)
}

// handleProbe handles a probe, which carries no packet. It returns false for any other
// datagram.
func (e *Endpoint) handleProbe(v *view, from netip.AddrPort) bool {
	h := &e.reader.header
	self := table.AgentNumber(e.agentNumber.Load())
	if h.Kind != envelope.Probe {
		return false
	}
	if h.Agent != self || v.service == nil {
		return true
	}
	// Signed with the probe's key generation, which its sender has.
	answer := envelope.Header{Kind: envelope.ProbeReply, Generation: h.Generation, Service: v.service.ID, Agent: self}
	e.sendProbeReply(v, answer, from)
	return true
}

func (e *Endpoint) sendProbeReply(v *view, h envelope.Header, to netip.AddrPort) {
	out, err := v.steering.Envelopes.Append(nil, &h, nil)
	if err != nil {
		return
	}
	if _, err := e.socket.WriteToUDPAddrPort(out, to); err != nil {
		e.counters.sendFailed.Add(1)
	}
}
