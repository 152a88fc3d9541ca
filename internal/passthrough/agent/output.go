package agent

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/passthrough/flowtable"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
)

var _ flowtable.Output = (*Agent)(nil)

// ToTarget implements flowtable.Output.
func (a *Agent) ToTarget(raw []byte) {
	a.outbound.Send(raw, a.cfg.Target)
}

// ToClient implements flowtable.Output. Answers go directly to the client: balancers
// carry only the client's packets.
func (a *Agent) ToClient(client packet.Endpoint, raw []byte) {
	a.outbound.Send(raw, netip.AddrPortFrom(netip.AddrFrom4(client.IP), a.cfg.ClientPort))
}

// Refuse implements flowtable.Output.
func (a *Agent) Refuse(to netip.AddrPort, why peer.Reason, age time.Duration, raw []byte) {
	a.buf = peer.Header{Kind: peer.KindRefused, Reason: why, Age: peer.AgeMillis(age)}.Append(a.buf[:0], raw)
	a.nodes.Send(a.buf, to)
}

// Answer implements flowtable.Output. The answers to the questions of one datagram are
// sent in one datagram.
func (a *Agent) Answer(to netip.AddrPort, r peer.Answer) {
	a.answers.Add(to, r, 0, nil)
}

func (a *Agent) sendAnswer(to netip.AddrPort, rs []peer.Answer) {
	a.buf = peer.AppendAnswer(a.buf[:0], rs)
	a.nodes.Send(a.buf, to)
}

// Reset implements flowtable.Output.
func (a *Agent) Reset(f packet.Flow, seq uint32) {
	a.buf = a.cfg.Codec.AppendReset(a.buf[:0], f, seq)
	a.ToClient(f.Client, a.buf)
}

// Report implements flowtable.Output.
func (a *Agent) Report() { a.report() }

// report sends a report to the balancers that sent a datagram recently. Others probe the
// agent before they send it a flow. The caller holds the lock.
func (a *Agent) report() {
	body, ok := a.encodeReport()
	if !ok {
		return
	}
	now := a.now()
	for to, at := range a.lastHeard {
		if now-at > balancerReportTTL {
			delete(a.lastHeard, to)
			continue
		}
		a.nodes.Send(body, to)
	}
}

// reportTo sends a report to one balancer. The caller holds the lock.
func (a *Agent) reportTo(to netip.AddrPort) {
	if body, ok := a.encodeReport(); ok {
		a.nodes.Send(body, to)
	}
}

func (a *Agent) encodeReport() (body []byte, ok bool) {
	r := a.engine.Report(a.now())
	body, err := r.MarshalMsg([]byte{byte(peer.KindReport)})
	if err != nil {
		a.cfg.Log.WithError(err).Error("agent: encode report")
		return nil, false
	}
	return body, true
}

// LogDecision implements flowtable.Output.
func (a *Agent) LogDecision(d flowtable.Decision) {
	a.verdicts[d.Verdict].Add(1)
	fields := logrus.Fields{"verdict": d.Verdict.String(), "target": d.Target, "born": d.Born, "life_age_ms": d.Age.Milliseconds()}
	if d.Flow != (packet.Flow{}) {
		fields["flow"] = d.Flow.String()
	}
	if d.Reason != 0 {
		fields["reason"] = d.Reason.String()
	}
	if d.Patience != patience.Waits {
		a.turnedAway[d.Patience-1].Add(1)
		a.turnedAwayAfter.Record(d.Waited)
		fields["patience"] = d.Patience.String()
		fields["waited_ms"] = d.Waited.Milliseconds()
	}
	switch d.Verdict {
	case flowtable.TargetArrived:
		fields["all_flows_known"] = d.AllFlowsKnown
	case flowtable.StaleAnnouncement:
		fields["sender"], fields["sender_born"] = d.Sender, d.SenderBorn
	}
	if d.Flows > 0 {
		fields["flows"] = d.Flows
	}
	if d.BrokenRequests > 0 {
		fields["answered"] = d.AnsweredRequests
		fields["broken"] = d.BrokenRequests
	}
	if d.Limit > 0 {
		fields["limit"], fields["service_us"] = d.Limit, d.Service.Microseconds()
	}
	if d.Waiting > 0 {
		fields["waiting"] = d.Waiting
	}
	events.Log(a.cfg.Log, events.PassAgentDecided, fields)
}

// Answered implements flowtable.Output.
func (a *Agent) Answered(took time.Duration) { a.answeredAfter.Record(took) }

// Admitted implements flowtable.Output.
func (a *Agent) Admitted(waited time.Duration) { a.admittedAfter.Record(waited) }
