// Package reachability judges from packets sent and answers heard whether an agent can
// still be reached. Control learns of a dead process only after a damped time,
// and then takes it out of new work without calling its flows dead, as a lost
// control stream says nothing of the data path. Without a judgement from the
// data path itself, callers of a dead agent would wait for their idle timeout.
//
// Pattern it answers: an agent that dies under open flows. A quiet agent is no
// dead one: what was sent may need no answer, or the answer may go elsewhere.
// So silence alone only leads to probes, and unanswered probes to the judgement.
//
// A balancer judges soon (Record), as its judgement only moves new flows and asks
// for a second opinion. That is another agent's of the same service (Inquiry): it
// gives open flows up, at once where the other's VM says that nobody listens
// there any more, and otherwise only after seconds: a process that was paused, or
// a VM short of processor time, has its flows still.
package reachability

import (
	"sync/atomic"
	"time"
)

const (
	// Tick is the pause between looks, and between probes.
	Tick = 100 * time.Millisecond
	// grain is how recently heard agents need no note of what is sent. A note for
	// each packet would make all workers contend for the line.
	grain = 20 * time.Millisecond
	// trust is how long after an answered probe what is sent counts as answered.
	// It bounds the probes to an agent whose answers go elsewhere to one a second
	// from each balancer.
	trust = time.Second
	// probesWhileDown is one in so many ticks, to notice an agent's return.
	probesWhileDown = 10
)

const (
	// suspicion is how long what was sent may go unanswered without a probe:
	// delayed acknowledgements and a few round trips.
	suspicion = 200 * time.Millisecond
	// patience is how long it may go unanswered at all. It has four probes, of
	// which 10% loss each way loses all once in 800 times, and ends before a
	// caller's fifth or sixth retransmission: later ones are a second apart.
	patience = 600 * time.Millisecond
)

// Record is what is known of one agent's answers. Its methods may be called by
// any goroutine, and cost the packet path one or two loads.
type Record struct {
	// heard is when the last sign of life came, in Unix nanoseconds.
	heard atomic.Int64
	// trusted is until when what is sent counts as answered.
	trusted atomic.Int64
	// waiting is when the first packet went out that nothing answered; 0 for
	// none.
	waiting atomic.Int64
	down    atomic.Bool
}

// Sent notes a packet to the agent.
func (r *Record) Sent(now time.Time) {
	if r.waiting.Load() != 0 {
		return
	}
	nanos := now.UnixNano()
	if nanos-r.heard.Load() < int64(grain) || nanos < r.trusted.Load() {
		return
	}
	r.waiting.CompareAndSwap(0, nanos)
}

// Heard notes a packet from the agent.
func (r *Record) Heard(now time.Time) {
	nanos := now.UnixNano()
	if nanos-r.heard.Load() >= int64(grain)/2 {
		r.heard.Store(nanos)
	}
	if r.waiting.Load() != 0 {
		r.waiting.Store(0)
	}
	if r.down.Load() {
		r.down.Store(false)
	}
}

// Answered notes the answer to a probe.
func (r *Record) Answered(now time.Time) {
	r.trusted.Store(now.Add(trust).UnixNano())
	r.Heard(now)
}

// Judge is called each Tick. It returns whether to send a probe.
func (r *Record) Judge(now time.Time) (probe bool) {
	since := r.waiting.Load()
	if since == 0 {
		return false
	}
	silent := time.Duration(now.UnixNano() - since)
	if silent < patience {
		return silent >= suspicion
	}
	r.down.Store(true)
	return silent/Tick%probesWhileDown == 0
}

// GiveUp judges the agent unreachable on other grounds.
func (r *Record) GiveUp() { r.down.Store(true) }

// Restore takes a judgement back.
func (r *Record) Restore() { r.down.Store(false) }

// Down tells whether the agent was judged unreachable.
func (r *Record) Down() bool { return r.down.Load() }
