package flow

import (
	"net/netip"
	"time"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/reachability"
	"bergamotstall/internal/table"
)

// watch moves shares on, until the endpoint is closed.
func (e *Endpoint) watch() {
	tick := time.NewTicker(reachability.Tick)
	defer tick.Stop()
	for {
		select {
		case <-e.closed:
			return
		case now := <-tick.C:
			e.reshare(now)
		}
	}
}

// reshare puts the shares of now in force.
func (e *Endpoint) reshare(now time.Time) {
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

// sign handles a datagram without a packet, and returns false for any other.
func (e *Endpoint) sign(v *view, from netip.AddrPort) bool {
	h := &e.router.header
	self := table.AgentNumber(e.self.Load())
	if h.Kind != envelope.Probe {
		return false
	}
	if h.Agent != self || v.service == nil {
		return true
	}
	// Signed as the probe was, which its sender can read.
	answer := envelope.Header{Kind: envelope.ProbeReply, Generation: h.Generation, Service: v.service.ID, Agent: self}
	e.sendSign(v, answer, from)
	return true
}

func (e *Endpoint) sendSign(v *view, h envelope.Header, to netip.AddrPort) {
	out, err := v.steering.Envelopes.Append(nil, &h, nil)
	if err != nil {
		return
	}
	if _, err := e.socket.WriteToUDPAddrPort(out, to); err != nil {
		e.counts.sendFailed.Add(1)
	}
}
