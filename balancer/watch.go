package balancer

import (
	"time"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/reachability"
	"bergamotstall/internal/steering"
)

// watch moves shares on and probes the agents that don't answer, until the
// forwarder is closed.
func (f *Forwarder) watch() {
	tick := time.NewTicker(reachability.Tick)
	defer tick.Stop()
	for {
		select {
		case <-f.done:
			return
		case now := <-tick.C:
			if v := f.reshare(now); v != nil {
				v.steering.Probes(now, func(a *steering.Agent) { f.probe(v.steering, a) })
			}
		}
	}
}

// reshare puts the shares of now in force, and returns the view.
func (f *Forwarder) reshare(now time.Time) *view {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	if v == nil {
		return nil
	}
	if m := v.steering.UpdateShares(now); m != v.steering {
		v = &view{steering: m, fronts: v.fronts}
		f.view.Store(v)
	}
	return v
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
	f.counts.probes.Add(1)
	if _, err := f.tunnels[0].WriteToUDPAddrPort(out, a.Tunnel); err != nil {
		f.counts.sendFailed.Add(1)
	}
}
