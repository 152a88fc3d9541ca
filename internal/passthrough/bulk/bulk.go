// Package bulk decides when a bulk flow, one that uploads a large body, may start through a
// balancer. It has no network and no clock: packets and the time come in as arguments.
//
// It answers this load: uploads that together need half of a balancer's link, each able to
// fill it alone. Started as they come, they share the link, so that all of them are late,
// and every small request waits behind their windows. Clients retransmit what waits for
// more than 200 ms, which fills the link further, until nothing gets through.
//
// Therefore only as many flows are in progress as the link carries before their clients
// retransmit, and their packets wait in a queue of their own (Queue). The other flows wait
// with their first packet. Those that can still be served within their goal start first, the
// oldest of them before the others. A caller that can't be served before it gives the attempt
// up is told so at once: nothing ran, and its next attempt may meet a balancer with room.
//
// What is in progress is learned from packets alone, so a balancer that takes flows over
// counts them from the first data that it sees.
package bulk

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

const (
	// WindowBytes is what the client of a bulk flow has in flight at most: 16 packets of
	// 1,200 bytes with their headers.
	WindowBytes = 16 * (1200 + 74)
	// retransmitAfter is when a client sends again what wasn't acknowledged.
	retransmitAfter = 200 * time.Millisecond
	// windowShare is the part of retransmitAfter in which the link must carry the windows
	// of all flows in progress; otherwise clients retransmit what only waits.
	windowShare = 0.35
	// openWithin is how long a flow that has started takes room without data: its target
	// may make it wait. quietAfter is the same after data; its client retransmits what was
	// lost after 200 ms.
	openWithin = 100 * time.Millisecond
	quietAfter = 250 * time.Millisecond
	// forgetAfter is how long a flow without packets is remembered. A client's
	// retransmits are 1.6 s apart at most.
	forgetAfter = 2 * time.Second
	// answerMargin is how long before the end of a caller's attempt a first packet must
	// start at the latest, so that the target's answer is in time.
	answerMargin = 150 * time.Millisecond
	// transitTime is how long a packet from a client takes at most, if it arrives.
	transitTime = 50 * time.Millisecond
	// maxInProgress and maxWaiting bound the flows remembered, 100 B each and a first
	// packet.
	maxInProgress = 4_096
	maxWaiting    = 1_024
	// unknownLimit is the limit while the link's rate isn't known, and answers are late by
	// lateDelay or more; without such a delay nothing is short.
	unknownLimit = 4
	lateDelay    = 10 * time.Millisecond
	// meanWeight is the weight of one flow in the mean time.
	meanWeight = 0.1
)

// Verdict is what happens to a first packet.
type Verdict uint8

const (
	// Start: the flow may start now.
	Start Verdict = iota + 1
	// Wait: the first packet is to be held.
	Wait
	// Reject: the flow can't start before its caller gives the attempt up.
	Reject
)

// First describes the first packet of a flow.
type First struct {
	Flow packet.Flow
	// BegunAt is when the caller sent the first packet for the first time.
	BegunAt time.Duration
	// Goal is the response-time goal, counted from BegunAt; 0 if none is stated.
	Goal time.Duration
	// seen has a bit for each copy of the packet that came here, that of the first one is 1.
	seen uint8
	// open is set once the flow is known to be open.
	open bool
}

// NewFirst describes a first packet. copies is how many copies its caller had sent before it.
func NewFirst(f packet.Flow, begunAt, goal time.Duration, copies uint32) First {
	return First{Flow: f, BegunAt: begunAt, Goal: goal, seen: seenBit(copies)}
}

func seenBit(copies uint32) uint8 { return 1 << min(copies, 7) }

// Copy records that a copy of the packet came here, after so many others.
func (x *First) Copy(copies uint32) { x.seen |= seenBit(copies) }

// Opened records that the flow is open.
func (x *First) Opened() { x.open = true }

// OnlyHere tells whether all copies of the first packet that its caller may have sent came
// here, and none opened the flow. Another balancer may have delivered one that didn't, and the
// flow may be open since. BegunAt is known from an arrival, so copies may be due earlier.
func (x *First) OnlyHere(now time.Duration) bool {
	for n := range packet.CopiesBy(now+transitTime-x.BegunAt) + 1 {
		if x.seen&seenBit(uint32(n)) == 0 {
			return false
		}
	}
	return !x.open
}

// Elsewhere tells whether the newest copy that has had the time to arrive didn't come here. A
// copy that came shows that the flow wasn't open when it was sent, whatever became of those
// before it.
func (x *First) Elsewhere(now time.Duration) bool {
	return x.seen < seenBit(uint32(packet.CopiesBy(now-transitTime-x.BegunAt)))
}

// progress is the state of a flow that has started.
type progress struct {
	// startedAt is when the flow last began to take room.
	startedAt time.Duration
	// usedAt is when the flow was started, or last sent data.
	usedAt time.Duration
	sends  bool
	// ended says that the client has closed its half. The flow takes no room unless its
	// client retransmits data, and is remembered for its last packets.
	ended bool
}

// takesRoom tells whether the flow uses the link at present, or is about to.
func (x progress) takesRoom(now, delay time.Duration) bool {
	if x.ended {
		return false
	}
	if x.sends {
		return now-x.usedAt < quietAfter+delay
	}
	return now-x.usedAt < openWithin+delay
}

// Admission is the admission control of one balancer. It isn't safe for concurrent use.
type Admission struct {
	// limit is how many flows may be in progress.
	limit   float64
	flows   map[packet.Flow]progress
	waiting []First
	// delay is the link's present queueing delay, mean the mean time in which a flow sends its
	// data.
	delay, mean time.Duration
}

// New returns an admission control for a link whose rate isn't known.
func New() *Admission {
	return &Admission{flows: map[packet.Flow]progress{}, limit: maxInProgress}
}

// SetRate sets what the link carries, in bytes a second; 0 if that isn't known.
func (a *Admission) SetRate(rate float64) {
	switch {
	case rate > 0:
		a.limit = rate * windowShare * retransmitAfter.Seconds() / WindowBytes
	case a.delay >= lateDelay:
		a.limit = unknownLimit
	default:
		a.limit = maxInProgress
	}
}

// Status is the present state of an admission control.
type Status struct {
	// InProgress flows take up room on the link, of Limit; Quiet ones have started but send
	// nothing at the moment; Waiting ones haven't started.
	InProgress, Limit, Quiet, Waiting int
	// Mean is the mean time in which a flow sends its data.
	Mean time.Duration
}

// Status returns the present state.
func (a *Admission) Status(now time.Duration) Status {
	n, quiet := 0, 0
	for _, x := range a.flows {
		switch {
		case x.takesRoom(now, a.delay):
			n++
		case !x.ended:
			quiet++
		}
	}
	return Status{InProgress: n, Limit: a.Limit(), Quiet: quiet, Waiting: len(a.waiting), Mean: a.mean}
}

// Limit returns how many flows may be in progress at once.
func (a *Admission) Limit() int { return int(min(max(1, a.limit+0.5), maxInProgress)) }

// InProgress returns how many flows take up room on the link.
func (a *Admission) InProgress(now time.Duration) int {
	n := 0
	for _, x := range a.flows {
		if x.takesRoom(now, a.delay) {
			n++
		}
	}
	return n
}

// Started tells whether a flow is known to have started.
func (a *Admission) Started(f packet.Flow) bool {
	_, started := a.flows[f]
	return started
}

// Copy records a copy of the first packet of a waiting flow, and returns false if the flow
// doesn't wait.
func (a *Admission) Copy(f packet.Flow, copies uint32) bool {
	i := a.index(f)
	if i < 0 {
		return false
	}
	a.waiting[i].Copy(copies)
	return true
}

// Arrive decides on the first packet of a flow that isn't known.
func (a *Admission) Arrive(now time.Duration, x First) Verdict {
	if len(a.waiting) == 0 && a.hasRoom(now) {
		a.start(now, x.Flow)
		return Start
	}
	if len(a.waiting) >= maxWaiting || now+a.expectedWait(now, &x) > a.latestStart(&x) {
		return Reject
	}
	a.waiting = append(a.waiting, x)
	return Wait
}

// expectedWait is how long a flow that arrives now is going to wait for its turn.
func (a *Admission) expectedWait(now time.Duration, x *First) time.Duration {
	ahead := 1
	for i := range a.waiting {
		if a.compare(now, a.waiting[i], *x) <= 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) * float64(a.mean) / float64(a.Limit()))
}

// latestStart is when a flow must start at the latest.
func (a *Admission) latestStart(x *First) time.Duration {
	return x.BegunAt + packet.HandshakeTimeout - answerMargin - a.delay
}

// Next starts the flow whose turn it is, if there is room.
func (a *Admission) Next(now time.Duration) (First, bool) {
	if len(a.waiting) == 0 || !a.hasRoom(now) {
		return First{}, false
	}
	x := slices.MinFunc(a.waiting, func(x, y First) int { return a.compare(now, x, y) })
	a.Leave(x.Flow)
	a.start(now, x.Flow)
	return x, true
}

// compare orders waiting flows: those that can still be served within their goal first, then
// by age. In plain order of arrival a backlog would make all of them late.
func (a *Admission) compare(now time.Duration, x, y First) int {
	if xLate, yLate := a.late(now, &x), a.late(now, &y); xLate != yLate {
		if xLate {
			return 1
		}
		return -1
	}
	return cmp.Compare(x.BegunAt, y.BegunAt)
}

// late tells whether a flow would miss its goal if it started now.
func (a *Admission) late(now time.Duration, x *First) bool {
	return x.Goal > 0 && now+a.mean > x.BegunAt+x.Goal
}

// Expired removes and returns the flows that have waited for so long that their callers are
// about to give the attempt up.
func (a *Admission) Expired(now time.Duration) []First {
	var out []First
	a.waiting = slices.DeleteFunc(a.waiting, func(x First) bool {
		expired := now > a.latestStart(&x)
		if expired {
			out = append(out, x)
		}
		return expired
	})
	return out
}

// hasRoom tells whether a flow may start and can be counted. While fewer flows are known than
// may be in progress, none needs to be looked at.
func (a *Admission) hasRoom(now time.Duration) bool {
	limit := a.Limit()
	return (len(a.flows) < limit || a.InProgress(now) < limit) && a.makeSpace(now)
}

// makeSpace forgets the flows that take no room if there is no space for another flow, and
// tells whether there is then.
func (a *Admission) makeSpace(now time.Duration) bool {
	if len(a.flows) >= maxInProgress {
		maps.DeleteFunc(a.flows, func(_ packet.Flow, x progress) bool { return !x.takesRoom(now, a.delay) })
	}
	return len(a.flows) < maxInProgress
}

func (a *Admission) start(now time.Duration, f packet.Flow) {
	a.flows[f] = progress{startedAt: now, usedAt: now}
}

// Packet records a packet, with data bytes of the body, of a flow that is open or opening. A
// flow that isn't known was started by another balancer, or was quiet for long, and counts
// from its first data on.
func (a *Admission) Packet(now time.Duration, f packet.Flow, data int) {
	x, known := a.flows[f]
	switch {
	case data == 0:
		return
	case !known:
		x = progress{startedAt: now}
	case !x.takesRoom(now, a.delay):
		x.startedAt, x.ended = now, false
	}
	if known || a.makeSpace(now) {
		x.usedAt, x.sends = now, true
		a.flows[f] = x
	}
}

// End records that a flow is over, or that its client sends nothing new. How long the target
// worked after the last data tells nothing of the link.
func (a *Admission) End(now time.Duration, f packet.Flow) {
	x, known := a.flows[f]
	if !known || x.ended {
		return
	}
	took := x.usedAt - x.startedAt
	x.ended, x.usedAt = true, now
	a.flows[f] = x
	switch {
	case !x.sends: // refused
	case a.mean == 0:
		a.mean = took
	default:
		a.mean += time.Duration(meanWeight * float64(took-a.mean))
	}
}

// Forget removes a flow whose first packet wasn't passed on after all.
func (a *Admission) Forget(f packet.Flow) { delete(a.flows, f) }

// Leave removes a flow from those that wait and returns its first packet; false if it doesn't
// wait.
func (a *Admission) Leave(f packet.Flow) (First, bool) {
	i := a.index(f)
	if i < 0 {
		return First{}, false
	}
	x := a.waiting[i]
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return x, true
}

func (a *Admission) index(f packet.Flow) int {
	return slices.IndexFunc(a.waiting, func(x First) bool { return x.Flow == f })
}

// Tick takes the link's queueing delay, and removes flows that are silent.
func (a *Admission) Tick(now, delay time.Duration) {
	a.delay = delay
	for f, x := range a.flows {
		if now-x.usedAt > forgetAfter+delay {
			delete(a.flows, f)
		}
	}
}
