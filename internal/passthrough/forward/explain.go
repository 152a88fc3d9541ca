package forward

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/placement"
	"bergamotstall/internal/passthrough/route"
)

// Explanation tells where a new flow would go, and why.
type Explanation struct {
	// Version is that of the table in force, 0 if there is none.
	Version route.Version `json:"version"`
	// Verdict is the decision: Placed, HeldEarly, RefusedNoRoute or RefusedNoTarget. It is
	// 0 if the engine would ask agents for their loads first.
	Verdict Verdict `json:"verdict"`
	// Agent is the chosen one with Placed; Service is the service that it was chosen for.
	Agent   netip.AddrPort  `json:"agent"`
	Service route.ServiceID `json:"service"`
	// Picked is the service that the route's weights select for the flow.
	Picked route.ServiceID `json:"picked"`
	// Probed are the agents that would be asked for their loads before the decision.
	Probed     []netip.AddrPort `json:"probed"`
	Candidates []Candidate      `json:"candidates"`
}

// Candidate is an agent with a target of one of a route's services.
type Candidate struct {
	Agent   netip.AddrPort  `json:"agent"`
	Service route.ServiceID `json:"service"`
	Zone    string          `json:"zone"`
	// Preferred is set if the agent is one of the few of its service that the flow prefers
	// and whose loads are compared. Chosen is set for the agent that the flow would go to.
	Preferred bool `json:"preferred"`
	Chosen    bool `json:"chosen"`
	// Unfit says why the flow wouldn't go there; empty if it could.
	Unfit Unfit `json:"unfit,omitempty"`
	// ReportAge is the age of its last report, and Fresh is set if that is young enough to
	// go by.
	ReportAge time.Duration `json:"report_age_ns"`
	Fresh     bool          `json:"fresh"`
	// Slots, Running and Flows are those of the last report.
	Slots   uint32 `json:"slots"`
	Running uint32 `json:"running"`
	Flows   uint32 `json:"flows"`
	// Score is the load by which targets are compared: the lower, the better.
	Score float64 `json:"score"`
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A verdict that this build doesn't know
// is 0.
func (v *Verdict) UnmarshalText(b []byte) error {
	*v = Verdict(max(0, slices.Index(verdictNames[:], string(b))))
	return nil
}

// Unfit is why an agent can't get a flow.
type Unfit string

// Reasons why an agent can't get a flow.
const (
	Evacuated    Unfit = "evacuated"
	OtherRegion  Unfit = "other-region"
	Leaving      Unfit = "leaving"
	Unresponsive Unfit = "unresponsive"
	Gone         Unfit = "gone"
	RefusedOther Unfit = "refused-lately"
	TakesNoFlows Unfit = "takes-no-flows"
)

// Explain returns where the engine would place the first packet of a flow. It changes nothing,
// and sends nothing. Bounds on bulk flows and on callers during a shortage come before the
// placement and aren't part of it.
func (e *Engine) Explain(now time.Duration, f packet.Flow) Explanation {
	if e.table == nil {
		return Explanation{Verdict: HeldEarly}
	}
	x := Explanation{Version: e.table.Version}
	if len(e.table.Services(f.Service)) == 0 {
		x.Verdict = RefusedNoRoute
		return x
	}
	x.Picked, _ = e.table.Pick(f)
	c := chooser{e: e.forExplain(), now: now, flow: f}
	chosen := c.choose()
	switch {
	case len(chosen.probe) > 0:
		for _, number := range chosen.probe {
			x.Probed = append(x.Probed, e.agents.list[number].address)
		}
	case chosen.agent != noAgent:
		x.Verdict, x.Agent, x.Service = Placed, e.agents.list[chosen.agent].address, chosen.service
	case e.StartingUp(now):
		x.Verdict = HeldEarly
	default:
		x.Verdict = RefusedNoTarget
	}
	x.Candidates = c.explainCandidates(x.Agent)
	return x
}

// forExplain returns a copy that draws from random numbers of its own: a question must not
// change what the next flow gets.
func (e *Engine) forExplain() *Engine {
	other := *e
	other.cfg.Rand = rand.New(rand.NewPCG(0, 0))
	return &other
}

func (c *chooser) explainCandidates(chosen netip.AddrPort) []Candidate {
	var out []Candidate
	for _, s := range c.e.table.Services(c.flow.Service) {
		preferred := c.preferred(s.Service)
		for _, g := range c.e.agents.index.byService[s.Service] {
			for _, number := range g.members {
				x := c.explainCandidate(number, g.zone, s.Service, chosen)
				x.Preferred = slices.Contains(preferred, number)
				out = append(out, x)
			}
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int { return a.Agent.Compare(b.Agent) })
	return out
}

// preferred returns the agents of a service that the flow prefers, near and far ones.
func (c *chooser) preferred(service route.ServiceID) []uint32 {
	var known candidates
	var out []uint32
	for _, near := range []bool{true, false} {
		out = append(out, c.addCandidates(service, near, &known)...)
	}
	return append(out, known.numbers[:known.n]...)
}

func (c *chooser) explainCandidate(number uint32, zone string, service route.ServiceID, chosen netip.AddrPort) Candidate {
	a := &c.e.agents.list[number]
	t := c.e.targetOf(number, zone == c.e.cfg.Zone)
	return Candidate{
		Agent: a.address, Service: service, Zone: zone, Chosen: a.address == chosen, Unfit: c.unfit(number, a, zone),
		ReportAge: c.now - a.reportedAt, Fresh: a.hasFreshReport(c.now),
		Slots: a.report.Slots, Running: a.report.Running, Flows: a.report.Flows, Score: score(&c.e.cfg.Policy.Place, &t),
	}
}

// score returns a target's score; 0 if it has stated no slots.
func score(p *placement.Policy, t *placement.Target) float64 {
	if t.Slots == 0 {
		return 0
	}
	return p.Score(t)
}

// unfit says why mayReceive or zoneAllowed leaves an agent out.
func (c *chooser) unfit(number uint32, a *agent, zone string) Unfit {
	switch {
	case c.e.evacuated[zone]:
		return Evacuated
	case !c.zoneAllowed(zone):
		return OtherRegion
	case c.mayReceive(number, a):
		return ""
	case a.report.Leaving:
		return Leaving
	case c.now < a.avoidUntil:
		return RefusedOther
	case !a.mayHoldFlows(c.now):
		return Gone
	case a.unresponsive(c.now):
		return Unresponsive
	}
	return TakesNoFlows
}
