// Package link estimates the queues of a VM's own link, in time. It has no network and no
// clock: what is sent and received, and the time, come in as arguments.
//
// It answers this load: flows that fill a balancer's link. Answers of agents then come late
// because they wait in the balancer's own queue, and a balancer that doesn't know this takes
// its agents for silent, moves flows away from them, and asks again, which makes its queue
// longer.
//
// Three signs are used. What was sent faster than the stated rate is queued before the link.
// The age of an answer above the least age of recent ones is what it and its question waited
// in both queues. Questions to several agents without a sign of life of any since tell of a
// queue before the first answer has passed it; a stall of the process is like a queue.
package link

import (
	"slices"
	"time"
)

const (
	// MaxDelay bounds the estimate. Callers retransmit and agents restart; beyond this an
	// answer is useless, whatever delays it.
	MaxDelay = 400 * time.Millisecond
	// sampleAge is how long a measured delay is in force.
	sampleAge = 250 * time.Millisecond
	// recentSamples is how many round trips the present delay is taken from.
	recentSamples = 5
	// fewSamples is how many of them it takes to tell of a queue where no rate is known.
	fewSamples = 3
	// baseAge is how long the least round-trip time is in force, at least; twice that at
	// most. It must be longer than a queue stays without ever running empty.
	baseAge = 10 * time.Second
	// usableShare is the part of the stated rate that is used, so that what isn't seen
	// here, such as control's streams, finds room.
	usableShare = 0.95
	// leastShare bounds how little of the stated rate the link is believed to carry: slow
	// agents look like a slow link.
	leastShare = 0.25
	// learnInterval is the time between two changes of the learned rate, shrinkFactor and
	// growFactor what they change it by, queueTolerance the unexplained delay above which
	// it shrinks.
	learnInterval = 100 * time.Millisecond
	shrinkFactor  = 0.85
	growFactor    = 1.05
	// mostGrowFactor and mostShrinkFactor change what a link of unstated rate is believed
	// to carry at most.
	mostGrowFactor   = 1.0005
	mostShrinkFactor = 0.95
	queueTolerance   = 30 * time.Millisecond
	// headerBytes is what UDP and IP add to a datagram.
	headerBytes = 28
	// commonSilence is how many questions without any answer tell of a queue rather than
	// of silent agents.
	commonSilence = 3
)

// Estimator estimates the queueing delay of one link. It isn't safe for concurrent use.
type Estimator struct {
	// stated is the link's rate in bytes a second, 0 if unknown; most is what it carries at
	// most, and rate what it carries now, by the delays seen; 0 while unknown.
	stated, most, rate float64
	// learnedAt is when the rate was last learned, unexplained the delay that the bytes sent
	// didn't explain then, and sent the bytes sent since.
	learnedAt, unexplained time.Duration
	sent                   int
	// queued is the bytes that wait before the link, as of queuedAt.
	queued   float64
	queuedAt time.Duration
	base     base
	recent   recent
	// stall is the length of the last stall, which ended at stalledAt.
	stall, stalledAt time.Duration
	// asked counts the questions since anything was heard, the first of them at askedAt.
	asked   int
	askedAt time.Duration
}

// New returns an estimator for a link of the given rate in bytes a second; 0 if unknown.
func New(rate float64) *Estimator {
	return &Estimator{stated: rate, most: rate * usableShare, rate: rate * usableShare}
}

// Rate returns how many bytes a second the link carries, 0 if that isn't known.
func (e *Estimator) Rate() float64 { return e.rate }

// Tick learns the rate. If answers are late although no more was sent than the link should
// carry, it carries less.
func (e *Estimator) Tick(now time.Duration) {
	took := now - e.learnedAt
	if took < learnInterval {
		return
	}
	unexplained := e.measured(now) - e.Backlog(now)
	if e.stated == 0 {
		e.learnMost(took, unexplained)
	}
	if unexplained > queueTolerance {
		e.rate = max(e.rate*shrinkFactor, max(e.stated, e.most)*leastShare)
	} else {
		e.rate = min(e.rate*growFactor, e.most)
	}
	e.learnedAt, e.unexplained, e.sent = now, unexplained, 0
}

// learnMost learns what a link carries at most whose rate isn't stated. While a queue lasts,
// the link carries all the time: what was sent took as long as the time that passed and by how
// much the queue grew. Otherwise it is raised slowly, as each attempt to find more room makes
// callers wait.
func (e *Estimator) learnMost(took, unexplained time.Duration) {
	if unexplained < -queueTolerance && e.recent.median(e.queuedAt) > 0 {
		// Answers don't wait behind what should be queued: the link carries more.
		e.most /= shrinkFactor
		e.rate = e.most
		return
	}
	if min(unexplained, e.unexplained) <= queueTolerance {
		e.most *= mostGrowFactor
		return
	}
	busy := max(took+unexplained-e.unexplained, took/2)
	carried := usableShare * float64(e.sent) / busy.Seconds()
	if e.most == 0 {
		e.most, e.rate = carried, carried
	}
	e.most = max(carried, e.most*mostShrinkFactor)
}

// Sent records bytes that were passed to the link.
func (e *Estimator) Sent(now time.Duration, bytes int) {
	bytes += headerBytes
	e.sent += bytes
	if e.rate == 0 {
		return
	}
	e.drain(now)
	e.queued = min(e.queued+float64(bytes), e.rate*MaxDelay.Seconds())
}

func (e *Estimator) drain(now time.Duration) {
	e.queued = max(0, e.queued-e.rate*(now-e.queuedAt).Seconds())
	e.queuedAt = now
}

// Backlog returns how long a packet that is sent now waits before the link.
func (e *Estimator) Backlog(now time.Duration) time.Duration {
	if e.rate == 0 {
		return 0
	}
	e.drain(now)
	return time.Duration(e.queued / e.rate * float64(time.Second))
}

// Asked records a question to an agent.
func (e *Estimator) Asked(now time.Duration) {
	if e.asked == 0 {
		e.askedAt = now
	}
	e.asked++
}

// Heard records that something arrived from an agent.
func (e *Estimator) Heard() { e.asked = 0 }

// RoundTrip records how long the answer to a question took.
func (e *Estimator) RoundTrip(now, took time.Duration) {
	if e.rate == 0 && took > MaxDelay {
		return // lost, or the agent's
	}
	e.base.add(now, took)
	e.recent.add(now, took)
}

// Stalled records that the process didn't run for some time, during which packets queued.
func (e *Estimator) Stalled(now, stall time.Duration) { e.stall, e.stalledAt = stall, now }

// Delay returns by how much longer than usual an answer takes now because of queues of this
// VM's own, both directions together.
func (e *Estimator) Delay(now time.Duration) time.Duration {
	d := max(e.Backlog(now), e.measured(now))
	if now-e.stalledAt < sampleAge {
		d = max(d, e.stall)
	}
	if e.rate > 0 && e.asked >= commonSilence {
		d = max(d, now-e.askedAt-e.base.value())
	}
	return min(d, MaxDelay)
}

// measured returns by how much longer than the least the last round trips took.
func (e *Estimator) measured(now time.Duration) time.Duration {
	if e.rate == 0 && e.recent.inForce(now) < fewSamples {
		return 0
	}
	return max(0, e.recent.median(now)-e.base.value())
}

// recent holds the last round-trip times.
type recent struct {
	took [recentSamples]time.Duration
	at   [recentSamples]time.Duration
	next int
}

func (r *recent) add(now, took time.Duration) {
	r.took[r.next], r.at[r.next] = took, now
	r.next = (r.next + 1) % recentSamples
}

// inForce returns how many samples are in force.
func (r *recent) inForce(now time.Duration) int {
	n := 0
	for _, at := range r.at {
		if at > 0 && now-at < sampleAge {
			n++
		}
	}
	return n
}

// median returns the median of the samples in force, 0 if there is none. One slow agent
// doesn't change it as a queue of the VM's own does. Of two samples it is the smaller.
func (r *recent) median(now time.Duration) time.Duration {
	var sorted [recentSamples]time.Duration
	n := 0
	for i, at := range r.at {
		if at > 0 && now-at < sampleAge {
			sorted[n] = r.took[i]
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}

// base is the least round-trip time of the last one to two spans of baseAge.
type base struct {
	start       time.Duration
	now, before time.Duration
}

func (b *base) add(now, took time.Duration) {
	if now-b.start >= baseAge {
		b.before, b.now, b.start = b.now, 0, now
	}
	if b.now == 0 || took < b.now {
		b.now = took
	}
}

func (b *base) value() time.Duration {
	if b.before == 0 || b.now > 0 && b.now < b.before {
		return b.now
	}
	return b.before
}
