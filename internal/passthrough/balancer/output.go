package balancer

import (
	"expvar"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/forward"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

type counter = *expvar.Int

// waitHistograms returns the histograms of the time that packets were held, by verdict.
func waitHistograms(m *metrics.Set) map[forward.Verdict]*metrics.Histogram {
	return map[forward.Verdict]*metrics.Histogram{
		forward.Found: m.Histogram("pass_found_after"), forward.Placed: m.Histogram("pass_placed_after"),
	}
}

// counters returns a counter for each verdict.
func counters(m *metrics.Set) []counter {
	var out []counter
	for v := forward.Verdict(0); v.String() != "unknown"; v++ {
		out = append(out, m.Counter("pass_"+v.String()))
	}
	return out
}

var _ forward.Output = (*Balancer)(nil)

// Deliver implements forward.Output.
func (b *Balancer) Deliver(to netip.AddrPort, service route.ServiceID, age time.Duration, usage fairshare.Stamp, raw []byte) {
	b.buf = peer.Header{Kind: peer.KindDeliver, Usage: usage, Service: service, Age: peer.AgeMillis(age)}.Append(b.buf[:0], raw)
	b.nodes.Send(b.buf, to)
}

// sendQueued sends queued packets that the link has room for, and sets the timer for the
// others. The caller holds the lock.
func (b *Balancer) sendQueued() {
	next := b.engine.SendQueued(b.now())
	if next > 0 && !b.sendPending && !b.sendStopped {
		b.sendPending = true
		b.sendTimer.Reset(next)
	}
}

func (b *Balancer) sendTimerFired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sendPending = false
	if !b.sendStopped {
		b.sendQueued()
	}
}

func (b *Balancer) stopSending() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sendStopped = true
	b.sendTimer.Stop()
}

const (
	// askDelay is how long a question is held for other questions to the same agent: a
	// small part of the round trip that it takes anyway.
	askDelay = 2 * time.Millisecond
	// manySearches is the number of searches from which questions are held for
	// askDelayMany. When all flows are searched for at once, fifty agents get fifty
	// datagrams in each delay, and a datagram costs more than its content.
	manySearches = 16
	askDelayMany = 15 * time.Millisecond
)

// Ask implements forward.Output.
func (b *Balancer) Ask(to netip.AddrPort, q peer.Question) {
	delay := askDelay
	if b.engine.Searches() >= manySearches {
		delay = askDelayMany
	}
	b.questions.Add(to, q, delay, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.questions.Flush(b.sendQuestions)
	})
}

// Probe implements forward.Output.
func (b *Balancer) Probe(to netip.AddrPort) {
	b.buf = append(b.buf[:0], byte(peer.KindProbe))
	b.nodes.Send(b.buf, to)
}

func (b *Balancer) sendQuestions(to netip.AddrPort, qs []peer.Question) {
	b.buf = peer.AppendAsk(b.buf[:0], qs)
	b.nodes.Send(b.buf, to)
}

// Reset implements forward.Output.
func (b *Balancer) Reset(f packet.Flow, seq uint32) {
	b.buf = b.cfg.Codec.AppendReset(b.buf[:0], f, seq)
	b.fabric.Send(b.buf, netip.AddrPortFrom(netip.AddrFrom4(f.Client.IP), b.cfg.Fabric.Port()))
}

// LogDecision implements forward.Output.
func (b *Balancer) LogDecision(d forward.Decision) {
	b.verdicts[d.Verdict].Add(1)
	fields := logrus.Fields{"flow": d.Flow.String(), "verdict": d.Verdict.String(), "version": uint64(d.Version)}
	if d.Agent.IsValid() {
		fields["agent"] = d.Agent.String()
		fields["report_age_ms"] = d.ReportAge.Milliseconds()
	}
	if d.Overflow {
		fields["overflow"] = true
	}
	if d.Waited > 0 {
		fields["waited_ms"] = d.Waited.Milliseconds()
	}
	if d.ExpectedWait > 0 {
		fields["expected_wait_ms"] = d.ExpectedWait.Milliseconds()
	}
	if d.Verdict == forward.Found || d.Verdict == forward.Placed {
		b.waitTimes[d.Verdict].Record(d.Waited)
	}
	if d.Reason != 0 {
		fields["reason"] = d.Reason.String()
	}
	if d.Asked > 0 {
		fields["asked"] = d.Asked
		fields["silent"] = d.Silent
	}
	if d.ListsIncomplete {
		fields["lists_complete"] = false
	}
	events.Log(b.cfg.Log, events.PassBalancerDecided, fields)
}
