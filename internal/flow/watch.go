package flow

import (
	"net/netip"
	"time"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/reach"
	"bergamotstall/internal/steer"
	"bergamotstall/internal/table"
)

// watch moves shares on and probes the agents that balancers asked about, until
// the endpoint is closed.
func (e *Endpoint) watch() {
	tick := time.NewTicker(reach.Tick)
	defer tick.Stop()
	for {
		select {
		case <-e.closed:
			return
		case now := <-tick.C:
			if v := e.reshare(now); v != nil {
				v.steering.Probes(now, reach.Witness, func(a *steer.Agent) {
					e.counts.probes.Add(1)
					e.sendSign(v, envelope.Probe, a.Number, a.Tunnel)
				})
			}
		}
	}
}

// reshare puts the shares of now in force, and returns the view.
func (e *Endpoint) reshare(now time.Time) *view {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	if v == nil {
		return nil
	}
	m := v.steering.Reshare(now)
	if m == v.steering {
		return v
	}
	out := *v
	out.steering = m
	out.service, _ = m.ServiceNamed(e.config.Service)
	e.view.Store(&out)
	return &out
}

const (
	// askAgain is when a held packet is looked at once more: the probes have
	// been answered by then, or the agent is judged unreachable.
	askAgain = 700 * time.Millisecond
	// heldLimit bounds the held packets. Those over it wait for their callers'
	// next retransmission.
	heldLimit = 512
)

// askAbout begins to probe an agent that a balancer can't reach. The packet goes
// on to that agent, and is looked at again after the probes: without that, its
// caller would learn the outcome only at a retransmission, and those are a
// second apart by then.
func (e *Endpoint) askAbout(now time.Time, v *view, about table.AgentNumber, balancer, from netip.AddrPort, packet []byte) {
	agent, ok := v.steering.Agent(about)
	if !ok {
		return
	}
	agent.Reach.Sent(now)
	if from == e.tunnel || e.held.Load() >= heldLimit {
		return
	}
	h := e.router.header
	h.Balancer = balancer
	again, err := v.steering.Envelopes.Append(nil, &h, packet)
	if err != nil {
		return
	}
	e.held.Add(1)
	time.AfterFunc(askAgain, func() {
		e.held.Add(-1)
		// Through the socket, as one goroutine decides on all packets.
		_, _ = e.socket.WriteToUDPAddrPort(again, e.tunnel)
	})
}

// sign handles a datagram without a packet, and returns false for any other.
func (e *Endpoint) sign(now time.Time, v *view, from netip.AddrPort) bool {
	h := &e.router.header
	self := table.AgentNumber(e.self.Load())
	switch h.Kind {
	case envelope.Probe:
		if h.Agent == self {
			e.sendSign(v, envelope.Alive, self, from)
		}
		return true
	case envelope.Alive:
		if a, ok := v.steering.Agent(h.Agent); ok {
			a.Reach.Answered(now)
		}
		return true
	}
	return false
}

func (e *Endpoint) sendSign(v *view, kind envelope.Kind, agent table.AgentNumber, to netip.AddrPort) {
	if v.service == nil {
		return
	}
	h := envelope.Header{
		Kind:       kind,
		Generation: v.steering.Generation,
		Service:    v.service.ID,
		Agent:      agent,
		Revision:   v.steering.Revision,
	}
	out, err := v.steering.Envelopes.Append(nil, &h, nil)
	if err != nil {
		return
	}
	if _, err := e.socket.WriteToUDPAddrPort(out, to); err != nil {
		e.counts.sendFailed.Add(1)
	}
}
