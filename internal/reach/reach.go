// Package reach judges from packets sent and answers heard whether an agent can
// still be reached. Control learns of a dead process only after a damped time,
// and then takes it out of new work without calling its flows dead, as a lost
// control stream says nothing of the data path. Without a judgement from the
// data path itself, callers of a dead agent would wait for their idle timeout.
//
// Pattern it answers: an agent that dies under open flows. A quiet agent is no
// dead one: what was sent may need no answer, or the answer may go elsewhere.
// So silence alone only leads to probes, and unanswered probes to the judgement.
//
// A process that is paused for most of a second is judged down too. A balancer's
// judgement alone only moves new flows; an open flow is given up when an agent
// of the same service has come to the same judgement by probes of its own.
package reach

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

// Limits says when silence leads to probes and probes to the judgement.
type Limits struct {
	// Suspicion is how long what was sent may go unanswered without a probe.
	Suspicion time.Duration
	// Patience is how long it may go unanswered at all.
	Patience time.Duration
}

var (
	// Balancer allows for delayed acknowledgements and a few round trips before
	// it probes, and then for four lost probes in a row, which 10% loss each way
	// does once in 800 times. It ends before the fifth or sixth retransmission of
	// a caller, whose pauses double: later ones would come a second apart.
	Balancer = Limits{Suspicion: 200 * time.Millisecond, Patience: 600 * time.Millisecond}
	// Witness is an agent that was asked about another. A balancer already
	// suspects it, so that probes begin at once.
	Witness = Limits{Patience: 500 * time.Millisecond}
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
func (r *Record) Judge(now time.Time, l Limits) (probe bool) {
	since := r.waiting.Load()
	if since == 0 {
		return false
	}
	silent := time.Duration(now.UnixNano() - since)
	if silent < l.Patience {
		return silent >= l.Suspicion
	}
	r.down.Store(true)
	return silent/Tick%probesWhileDown == 0
}

// Down tells whether the agent was judged unreachable.
func (r *Record) Down() bool { return r.down.Load() }
