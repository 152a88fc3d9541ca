// Package capacity learns from a target's own requests how fast it works and how many
// requests it runs well at once. It does no network I/O and reads no clock.
//
// The load that it answers: the targets of one service differ in speed, some turn slow or
// recover while they run, and some slow down long before all their slots are taken. The
// slots that a target announces tell none of that.
//
// A Learner sees when each request is sent to the target and when its answer begins. From
// these it works out which requests the target runs and which wait in the target's own
// queue, which is in order of arrival. It learns two things from the requests that run:
//
//   - the service time, the time in which the target answers three requests of four that
//     run alone. An upper quartile, because a target that answers half of its requests with
//     fast failures must not look fast, and because the mean depends on few long requests.
//   - the capacity, how many requests it runs at full speed, if that is fewer than its slots
//     (see knee.go). A target of two slots that takes twice as long for each of two requests
//     has a capacity of one: the second one only delays the first.
package capacity

import (
	"math"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

const (
	// minSamples is how many answers must have been seen before anything counts as known: a
	// quartile of fewer is hardly better than a guess.
	minSamples = 16
	// forgetAfter is how long after the last answer the service time counts as known. A
	// target that gets next to no requests because it was slow is tried again after that.
	forgetAfter = 5 * time.Second
)

// Learner learns one incarnation of a target. The zero value knows nothing. It isn't safe for
// concurrent use.
type Learner struct {
	requests   requests
	service    quantile
	knees      knees
	answeredAt time.Duration
}

// SetSlots sets how many requests the target runs at once.
func (l *Learner) SetSlots(n uint32) { l.requests.slots = int(max(n, 1)) }

// Begin records that a request was sent to the target.
func (l *Learner) Begin(now time.Duration, f packet.Flow) {
	l.requests.remove(now, f)
	l.requests.add(now, f)
}

// Answered records that a request's answer has begun.
func (l *Learner) Answered(now time.Duration, f packet.Flow) {
	r, ok := l.requests.remove(now, f)
	if ok && !r.runs {
		l.requests.freeOverdue(now)
	}
	if !ok || !r.runs || r.overdue {
		return
	}
	l.answeredAt = now
	took := math.Log(max(float64((now - r.startedAt).Microseconds()), 1))
	concurrency := l.requests.concurrency(now, &r)
	l.learnKnee(&r, traitsOf(took, r.beside, concurrency))
	if knee, ok := l.knees.highest(l.requests.slots); ok {
		took -= slowdown(knee, concurrency)
	}
	if l.service.samples == 0 {
		l.service.log = took
	}
	l.service.move(took > l.service.log)
}

// learnKnee compares a request with those before it, unless the target seems to change as a
// whole just now.
func (l *Learner) learnKnee(r *request, t traits) {
	over := recentOver(l.requests.slots)
	if !l.service.surprised() && r.before.samples >= 2*over {
		l.knees.compare(&t, &r.before)
	}
	l.requests.recent.approach(&t, over)
}

// Overdue records that a request takes many times longer than usual. It counts like an answer
// that takes long, now and only once.
func (l *Learner) Overdue(now time.Duration, f packet.Flow) {
	if l.requests.markOverdue(f) && l.service.samples > 0 {
		l.service.move(true)
	}
}

// Failed records that the target broke a request off. It counts like an answer that takes
// long, so that a target doesn't look faster than it is to its callers.
func (l *Learner) Failed(now time.Duration, f packet.Flow) {
	if _, ok := l.requests.remove(now, f); ok && l.service.samples > 0 {
		l.service.move(true)
	}
}

// Drop forgets a request whose outcome says nothing about the target.
func (l *Learner) Drop(f packet.Flow) { l.requests.remove(l.requests.at, f) }

// Service returns the service time of a request that runs alone, 0 if it isn't known.
func (l *Learner) Service(now time.Duration) time.Duration {
	if l.service.samples < minSamples || now-l.answeredAt > forgetAfter {
		return 0
	}
	return time.Duration(math.Exp(l.service.log) * float64(time.Microsecond))
}

// Capacity returns how many requests the target certainly can't run more of at full speed, 0
// while that isn't known to be fewer than its slots.
func (l *Learner) Capacity() float64 {
	knee, _ := l.knees.highest(l.requests.slots)
	return knee
}

// Limit returns how many requests at once are enough for the highest throughput of the
// target, 0 while that isn't known to be fewer than its slots. As long as callers wait in
// any case, they wait no longer if the others are held back, and those that are held can
// still be chosen from.
func (l *Learner) Limit() int {
	limit := int(math.Ceil(l.Capacity()))
	if limit >= l.requests.slots {
		return 0
	}
	return limit
}
