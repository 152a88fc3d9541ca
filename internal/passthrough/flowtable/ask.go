package flowtable

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/peer"
)

// Ask answers a balancer's question whether this agent's target holds a flow. As long as
// there may be a target that hasn't announced itself to this process, it sends no answer:
// the flow may be open here, whatever other agents answer. If control's record says that it
// is, the target most likely still holds it, and returns its packets otherwise.
func (e *Engine) Ask(now time.Duration, from netip.AddrPort, q peer.Question) {
	if !e.target.known && !e.empty(now) {
		if _, recorded := e.recordedFlows[q.Flow]; recorded {
			e.cfg.Out.Answer(from, peer.Answer{Question: q, Status: peer.Holds})
		}
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
	case known && x.stage == halfOpen:
		if x.completesHandshake(q.Ack) {
			return peer.Holds
		}
		return peer.Lacks
	case known && x.stage == notHeld:
		return peer.Lacks
	case known:
		return peer.Holds
	case e.unsure(now):
		return peer.Unsure
	}
	return peer.Lacks
}

// unsure reports whether the target may hold flows that this agent hasn't seen.
func (e *Engine) unsure(now time.Duration) bool {
	if !e.target.known {
		return !e.empty(now)
	}
	return !e.knowsAllFlows(now)
}
