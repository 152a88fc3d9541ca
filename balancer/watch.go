package balancer

import (
	"time"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/reachability"
	"bergamotstall/internal/steering"
)

// watch updates the targets' shares and probes agents that don't answer, until the
// forwarder is closed.
func (f *Forwarder) watch() {
	tick := time.NewTicker(reachability.Tick)
	defer tick.Stop()
	for {
		select {
		case <-f.done:
			return
		case now := <-tick.C:
			if state := f.updateShares(now); state != nil {
				state.steering.Probes(now, func(a *steering.Agent) { f.probe(state.steering, a) })
			}
		}
	}
}

// updateShares puts the shares at now in force and returns the current state.
func (f *Forwarder) updateShares(now time.Time) *forwardingState {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state.Load()
	if state == nil {
		return nil
	}
	if m := state.steering.UpdateShares(now); m != state.steering {
		state = &forwardingState{steering: m, listeners: state.listeners}
		f.state.Store(state)
	}
	return state
}

func (f *Forwarder) probe(m *steering.CompiledTable, a *steering.Agent) {
	h := envelope.Header{
		Kind:       envelope.Probe,
		Generation: m.Generation,
		Service:    a.Service,
		Agent:      a.Number,
		Revision:   m.Revision,
	}
	out, err := m.Envelopes.Append(nil, &h, nil)
	if err != nil {
		return
	}
	f.counters.probes.Add(1)
	if _, err := f.tunnels[0].WriteToUDPAddrPort(out, a.Tunnel); err != nil {
		f.counters.sendFailed.Add(1)
	}
}
