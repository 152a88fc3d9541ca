package flowtable

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/peer"
)

// Ask answers a balancer's question who holds a flow. While a target may be
// there that hasn't announced itself to this process, there is no answer:
// whatever the others say, the flow may be open here.
func (e *Engine) Ask(now time.Duration, from netip.AddrPort, q peer.Question) {
	if !e.target.known && !e.empty(now) {
		return
	}
	e.cfg.Out.Answer(from, peer.Answer{Question: q, Status: e.verdict(now, q)})
}

func (e *Engine) verdict(now time.Duration, q peer.Question) peer.FlowStatus {
	if !e.target.known {
		return peer.Lacks
	}
	x, known := e.flows[q.Flow]
	switch {
	case known && x.stage == opening:
		if x.completedBy(q.Ack) {
			return peer.Holds
		}
		return peer.Lacks
	case known && x.stage == lacking:
		return peer.Lacks
	case known:
		return peer.Holds
	case e.unsure(now):
		return peer.Unsure
	}
	return peer.Lacks
}

// unsure tells whether the target may hold flows that this agent hasn't seen.
func (e *Engine) unsure(now time.Duration) bool {
	if !e.target.known {
		return !e.empty(now)
	}
	return e.target.older && now-e.target.metAt < learning
}
