// Package reachability is a failure detector: it judges from packets sent and received
// whether an agent can be reached. Control detects a dead process only after a delay, and
// then takes it out of new work without declaring its flows dead, since a lost control
// stream says nothing about the data path. Without detection on the data path itself,
// callers of a dead agent would wait for their idle timeout.
//
// Silence alone proves nothing: what was sent may need no answer, or the answer may take
// another path. So silence leads to probes, and only unanswered probes to the judgement.
//
// A balancer judges early (Detector), as its judgement only moves new flows and asks for
// confirmation by another agent of the same service (AgentCheck). That one gives open flows
// up: at once if the agent's VM answers that no process listens there any more, and
// otherwise only after seconds, since a process that is paused or short of processor time
// still has its flows.
package reachability

import (
	"sync/atomic"
	"time"

	"bergamotstall/internal/monotonic"
)

const (
	// Tick is the interval between calls of Update, and between probes.
	Tick = 100 * time.Millisecond
	// heardResolution is the resolution of the time at which an agent was last heard.
	// After a packet from the agent, those sent to it within this time aren't recorded; a
	// write for each packet would make all workers contend for the cache line.
	heardResolution = 20 * time.Millisecond
	// answerTrustedFor is how long after an answered probe sent packets count as
	// answered. It limits probes from each balancer to an agent whose answers take
	// another path to one a second.
	answerTrustedFor = time.Second
	// ticksPerProbeWhileDown is the interval in ticks between probes to an agent that is
	// down, which detect its recovery.
	ticksPerProbeWhileDown = 10
)

const (
	// probeAfter is how long sent packets may stay unanswered without a probe: delayed
	// acknowledgements and a few round trips.
	probeAfter = 200 * time.Millisecond
	// downAfter is how long sent packets may stay unanswered before the agent is down. It
	// allows for four probes, of which 10% loss each way loses all once in 800 times, and
	// ends before a caller's fifth or sixth retransmission; later ones are a second
	// apart.
	downAfter = 600 * time.Millisecond
)

// Detector is the reachability state of one agent. Its methods are safe for concurrent use,
// and cost the packet path one or two atomic loads.
type Detector struct {
	// heardAt is when the last packet from the agent arrived, see monotonic.Nanos.
	heardAt atomic.Int64
	// trustedUntil is the time up to which sent packets count as answered.
	trustedUntil atomic.Int64
	// unansweredSince is when the first unanswered packet was sent; 0 if there is none.
	unansweredSince atomic.Int64
	down            atomic.Bool
}

// Sent records a packet to the agent.
func (d *Detector) Sent(now time.Time) {
	if d.unansweredSince.Load() != 0 {
		return
	}
	nanos := monotonic.Nanos(now)
	if nanos-d.heardAt.Load() < int64(heardResolution) || nanos < d.trustedUntil.Load() {
		return
	}
	d.unansweredSince.CompareAndSwap(0, nanos)
}

// Heard records a packet from the agent.
func (d *Detector) Heard(now time.Time) {
	nanos := monotonic.Nanos(now)
	if nanos-d.heardAt.Load() >= int64(heardResolution)/2 {
		d.heardAt.Store(nanos)
	}
	if d.unansweredSince.Load() != 0 {
		d.unansweredSince.Store(0)
	}
	if d.down.Load() {
		d.down.Store(false)
	}
}

// Answered records the answer to a probe.
func (d *Detector) Answered(now time.Time) {
	d.trustedUntil.Store(monotonic.Nanos(now.Add(answerTrustedFor)))
	d.Heard(now)
}

// Update updates the state; it is called each Tick. It returns whether to send a probe.
func (d *Detector) Update(now time.Time) (probe bool) {
	since := d.unansweredSince.Load()
	if since == 0 {
		return false
	}
	silent := time.Duration(monotonic.Nanos(now) - since)
	if silent < downAfter {
		return silent >= probeAfter
	}
	d.down.Store(true)
	return silent/Tick%ticksPerProbeWhileDown == 0
}

// MarkDown marks the agent down on evidence from elsewhere.
func (d *Detector) MarkDown() { d.down.Store(true) }

// ClearDown clears the down mark.
func (d *Detector) ClearDown() { d.down.Store(false) }

// Down tells whether the agent is considered unreachable.
func (d *Detector) Down() bool { return d.down.Load() }
