package forward

import (
	"net/netip"
	"time"

	"bergamotstall/internal/pass/peer"
	"bergamotstall/internal/pass/place"
	"bergamotstall/internal/pass/route"
)

// noAgent is the number of no agent.
const noAgent = ^uint32(0)

// agent is what a balancer knows of one agent, all by the agent's own reports.
type agent struct {
	address netip.AddrPort
	report  peer.Report
	heardAt time.Duration
	// sent counts the flows sent since the last report.
	sent       uint32
	avoidUntil time.Duration
}

func (a *agent) service() route.ServiceID { return route.ServiceID(a.report.Service) }

// asked tells whether the agent may hold flows. One that stops may: its target
// lives, unless it says that there is none, and its next process goes on with the
// flows.
func (a *agent) asked(now time.Duration) bool {
	return a.heardAt > 0 && !a.report.Empty && now-a.heardAt < agentForgotten
}

// agents numbers addresses, so that an entry of the flow table is small. An
// address keeps its number for the life of the process.
type agents struct {
	list      []agent
	byAddress map[netip.AddrPort]uint32
}

func (a *agents) number(address netip.AddrPort) uint32 {
	if n, ok := a.byAddress[address]; ok {
		return n
	}
	n := uint32(len(a.list))
	a.list = append(a.list, agent{address: address})
	a.byAddress[address] = n
	return n
}

// Reported takes an agent's report. Those of one process that come late are
// ignored; a new process of the same address starts anew.
func (e *Engine) Reported(now time.Duration, from netip.AddrPort, r peer.Report) {
	a := &e.agents.list[e.agents.number(from)]
	if a.report.Process == r.Process && a.report.Number >= r.Number {
		return
	}
	a.report = r
	a.heardAt = now
	a.sent = 0
}

// Heard counts the agents with a fresh report.
func (e *Engine) Heard(now time.Duration) int {
	n := 0
	for i := range e.agents.list {
		if a := &e.agents.list[i]; a.heardAt > 0 && now-a.heardAt < reportStale {
			n++
		}
	}
	return n
}

// choose picks an agent of the service for a new flow.
func (e *Engine) choose(now time.Duration, service route.ServiceID, tried uint64) (uint32, bool) {
	var numbers [maxCandidates]uint32
	var targets [maxCandidates]place.Target
	n := 0
	// A service with more targets is looked at from a random place on, so that
	// all get flows.
	offset := 0
	if len(e.agents.list) > maxCandidates {
		offset = e.cfg.Rand.IntN(len(e.agents.list))
	}
	for i := range e.agents.list {
		if n == maxCandidates {
			break
		}
		at := (i + offset) % len(e.agents.list)
		a := &e.agents.list[at]
		if a.service() != service || !e.takes(now, a) || tried&bit(uint32(at)) != 0 {
			continue
		}
		numbers[n] = uint32(at)
		targets[n] = place.Target{
			Near: a.report.Zone == e.cfg.Zone, Slots: a.report.Slots,
			Running: float64(a.report.Running), Mean: float64(a.report.Load) / 100,
			Flows: a.report.Flows, Sent: a.sent, Cold: a.report.ColdMS > 0,
		}
		n++
	}
	at, ok := place.Pick(e.cfg.Rand, targets[:n])
	if !ok {
		return 0, false
	}
	return numbers[at], true
}

// maxCandidates bounds the targets looked at for one new flow; two are drawn
// from them, so more add nothing.
const maxCandidates = 128

// takes tells whether an agent may be sent a new flow.
func (e *Engine) takes(now time.Duration, a *agent) bool {
	return a.report.Open && !a.report.Leaving && now-a.heardAt < reportStale && now >= a.avoidUntil
}
