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
//   - the service time of each kind of requests, the mean of the logarithms for requests that
//     run alone, once its standard error is small. Kinds are told apart by their route, and
//     a target is compared with others by the same kind only, so that it doesn't look slow
//     because it gets the longer requests.
//   - the capacity, how many requests it runs at full speed, if that is fewer than its slots
//     (see knee.go). A target of two slots that takes twice as long for each of two requests
//     has a capacity of one: the second one only delays the first.
package capacity

import (
	"math"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

const (
	// minSamples is how many answers must have been seen before anything counts as known.
	minSamples = 16
	// forgetAfter is how long after the last request came to its end what was learned of
	// the service time is forgotten.
	forgetAfter = 5 * time.Second
	// maxKinds bounds the kinds of requests that are followed.
	maxKinds = 16
	// trialEvery is the number of answers for each slot, in the course of which the limit is
	// lifted for as many answers as there are slots: held to few requests for good, a target
	// couldn't show that it runs more by now.
	trialEvery = 8
)

// Learner learns one incarnation of a target. The zero value knows nothing. It isn't safe for
// concurrent use.
type Learner struct {
	requests requests
	kinds    []kind
	knees    knees
	// slowsDown is set while the service times are those of a target with a knee.
	slowsDown bool
	// answers counts the answers.
	answers int
}

// kind is what was learned of one kind of requests.
type kind struct {
	route packet.Endpoint
	level level
}

// SetSlots sets how many requests the target runs at once.
func (l *Learner) SetSlots(n uint32) { l.requests.slots = int(max(n, 1)) }

// Begin records that a request was sent to the target.
func (l *Learner) Begin(now time.Duration, f packet.Flow) {
	l.requests.remove(now, f)
	l.requests.add(now, f)
}

// Occupy records that a request was sent to the target whose time says nothing about it, such
// as an upload, which takes as long as its client's link needs. Whether it takes a slot
// meanwhile depends on the target; those beside it aren't learned from.
func (l *Learner) Occupy(now time.Duration, f packet.Flow) {
	l.requests.remove(now, f)
	l.requests.occupying = append(l.requests.occupying, f)
}

// Answered records that a request's answer has begun.
func (l *Learner) Answered(now time.Duration, f packet.Flow) {
	l.answers++
	r, ok := l.requests.remove(now, f)
	if ok && !r.runs {
		l.requests.freeOverdue(now)
	}
	if !ok || !r.runs || r.overdue || l.requests.disturbed(&r) {
		return
	}
	took := math.Log(max(float64((now - r.startedAt).Microseconds()), 1))
	concurrency := l.requests.concurrency(now, &r)
	v := l.level(f)
	l.learnKnee(v, &r, traitsOf(took-v.mean, r.beside, concurrency))
	if knee := l.currentKnee(); knee > 0 {
		took -= slowdown(knee, concurrency)
	}
	v.add(now, took)
}

// currentKnee returns the knee, 0 if there is none. With a knee the same requests stand for
// other service times than without, which are learned anew.
func (l *Learner) currentKnee() float64 {
	knee, _ := l.knees.highest(l.requests.slots)
	if knee > 0 != l.slowsDown {
		l.slowsDown = knee > 0
		for i := range l.kinds {
			l.kinds[i].level = level{}
		}
	}
	return knee
}

// level returns the level of a flow's kind of requests.
func (l *Learner) level(f packet.Flow) *level {
	for i := range l.kinds {
		if l.kinds[i].route == f.Service {
			return &l.kinds[i].level
		}
	}
	if len(l.kinds) == maxKinds {
		l.kinds = slices.Delete(l.kinds, 0, 1)
	}
	l.kinds = append(l.kinds, kind{route: f.Service})
	return &l.kinds[len(l.kinds)-1].level
}

// learnKnee compares a request with those before it, unless the target seems to change as a
// whole just now.
func (l *Learner) learnKnee(v *level, r *request, t traits) {
	over := recentOver(l.requests.slots)
	if !v.changing() && r.before.samples >= 2*over {
		l.knees.compare(&t, &r.before)
	}
	l.requests.recent.approach(&t, over)
}

// Overdue records that a request takes many times longer than usual. It counts like an answer
// that takes long, now and only once.
func (l *Learner) Overdue(now time.Duration, f packet.Flow) {
	if l.requests.markOverdue(f) && len(l.requests.occupying) == 0 {
		l.level(f).addLong(now)
	}
}

// Failed records that the target broke a request off. It counts like an answer that takes
// long, so that a target doesn't look faster than it is to its callers.
func (l *Learner) Failed(now time.Duration, f packet.Flow) {
	if _, ok := l.requests.remove(now, f); ok {
		l.level(f).addLong(now)
	}
}

// Drop forgets a request whose outcome says nothing about the target.
func (l *Learner) Drop(now time.Duration, f packet.Flow) { l.requests.remove(now, f) }

// Service returns the service time of a request that runs alone, of the kind that it returns
// the route of, or 0 if no kind's is known. Of the kinds of which most requests come, it is
// the one that comes first by its route, so that agents mostly state the same.
func (l *Learner) Service(now time.Duration) (time.Duration, packet.Endpoint) {
	most := 0.0
	for i := range l.kinds {
		most = max(most, l.kinds[i].level.recent(now))
	}
	var best *kind
	for i := range l.kinds {
		k := &l.kinds[i]
		if k.level.recent(now) >= most/2 && (best == nil || k.route.AddrPort().Compare(best.route.AddrPort()) < 0) {
			best = k
		}
	}
	if best == nil {
		return 0, packet.Endpoint{}
	}
	return best.level.service(now), best.route
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

// Trial reports whether the target should be given all its slots for a moment, whatever its
// limit, to learn whether that still holds.
func (l *Learner) Trial() bool {
	return l.answers/max(l.requests.slots, 1)%trialEvery == 0
}
