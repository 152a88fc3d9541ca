// Package admission decides whether a host accepts a request, queues it or rejects it. It
// has no network and no clock; the caller passes the time, as a duration since any fixed
// origin.
//
// Load patterns and rules:
//
//   - Saturation: a host runs as many requests at once as it has slots, since more would
//     make all of them late. The rest waits in a bounded queue. Without the bound,
//     waiting times grow until every answer comes too late to be used.
//   - Few heavy callers: a freed slot goes to the waiting caller that holds the fewest
//     slots, in turn among equals. With one common queue, a caller that sends a hundred
//     requests at once delays everybody by a hundred requests. When the queue is full,
//     the newest request of the caller with the most requests waiting makes room for a
//     caller with fewer. A fixed limit per caller would reject a single caller's burst at
//     an idle host.
//   - Long and short requests: shares are counted in slots held, not in requests, so long
//     requests of one caller don't starve short ones of others.
//   - Burst: up to the queue's limit it is absorbed, in order of arrival.
//   - Sustained overload: once the queue hasn't been empty for Config.OverloadAfter, the
//     newest request goes first. First come, first served would then serve only requests
//     whose callers are about to give up.
//   - Late work: a request whose deadline would pass while it waits, estimated from the
//     mean slot time, is rejected at once, while the caller can still go elsewhere; one
//     whose deadline has passed never starts.
package admission

import (
	"slices"
	"time"
)

const (
	// DefaultOverloadAfter is long compared with a burst of short requests and short compared
	// with callers' timeouts of seconds; see docs/PLACEMENT.md.
	DefaultOverloadAfter = 500 * time.Millisecond
	// slotTimeWeight is the weight of one slot time in the running mean: about the last
	// twenty requests count, which a host runs within a second.
	slotTimeWeight = 0.05
)

// Ticket identifies one request at one host.
type Ticket uint64

// Reason says why a request was rejected. Its text is sent to callers and is part of
// counter names.
type Reason string

// Reasons for rejecting a request.
const (
	// QueueFull: the queue is full and no caller has enough more requests waiting to be
	// displaced.
	QueueFull Reason = "queue-full"
	// Displaced: a caller with fewer waiting requests took the place in the queue.
	Displaced Reason = "displaced"
	// DeadlineExceeded: the deadline would pass in the queue, or has passed.
	DeadlineExceeded Reason = "deadline"
	// Connections: the host's connection limit is reached.
	Connections Reason = "connections"
)

// Decision is the decision on an offered request.
type Decision uint8

// Decisions of Offer.
const (
	// Admit: the request has a slot.
	Admit Decision = iota + 1
	// Wait: the request has a place in the queue.
	Wait
	// Reject: the request is rejected; no part of it may run.
	Reject
)

// Result is the result of Offer.
type Result struct {
	Decision Decision
	// Reason is set with Reject.
	Reason Reason
	// Displaced is a waiting request that lost its place to this one, 0 if none.
	Displaced Ticket
}

// Request is the input to an admission decision.
type Request struct {
	Ticket Ticket
	// Caller is the identity that shares are counted by.
	Caller string
	// Deadline is when the answer is no longer useful; 0 means never.
	Deadline time.Duration
}

// Change lists the requests affected by a freed slot or by new limits.
type Change struct {
	// Start lists the requests that now have a slot.
	Start []Ticket
	// Drop lists the requests whose deadline passed in the queue.
	Drop []Ticket
}

// Config sets the limits of one host.
type Config struct {
	// Slots is how many requests run at once.
	Slots int
	// ConnectionLimit bounds the requests that run, stream or wait; 0 means no bound.
	ConnectionLimit int
	// QueueLimit is how many requests may wait.
	QueueLimit int
	// OverloadAfter is how long the queue may stay non-empty before the newest request goes
	// first; 0 means DefaultOverloadAfter.
	OverloadAfter time.Duration
}

// Queue is the admission state of one host. It isn't safe for concurrent use.
type Queue struct {
	cfg           Config
	callers       map[string]*caller
	ring          []*caller // callers with waiting requests, the next to serve first
	running       map[Ticket]runningRequest
	streaming     map[Ticket]string
	waiting       int
	nonEmptySince time.Duration // valid while requests wait
	meanSlotTime  time.Duration // running mean
}

type caller struct {
	name    string
	running int
	waiting []Request // oldest first
}

type runningRequest struct {
	caller string
	since  time.Duration
}

// New returns the queue of an idle host.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:       withDefaults(cfg),
		callers:   map[string]*caller{},
		running:   map[Ticket]runningRequest{},
		streaming: map[Ticket]string{},
	}
}

func withDefaults(cfg Config) Config {
	if cfg.OverloadAfter <= 0 {
		cfg.OverloadAfter = DefaultOverloadAfter
	}
	return cfg
}

// Configure changes the limits. Running requests continue; the change may free slots.
func (q *Queue) Configure(now time.Duration, cfg Config) Change {
	q.cfg = withDefaults(cfg)
	return q.fillSlots(now)
}

// Offer decides on a new request.
func (q *Queue) Offer(now time.Duration, r Request) Result {
	if r.Deadline != 0 && r.Deadline <= now {
		return Result{Decision: Reject, Reason: DeadlineExceeded}
	}
	if q.cfg.ConnectionLimit > 0 && q.InFlight() >= q.cfg.ConnectionLimit {
		return Result{Decision: Reject, Reason: Connections}
	}
	c := q.caller(r.Caller)
	if q.waiting == 0 && len(q.running) < q.cfg.Slots {
		q.start(now, c, r)
		return Result{Decision: Admit}
	}
	if r.Deadline != 0 && now+q.estimateWait(now, c) >= r.Deadline {
		q.removeIdle(c)
		return Result{Decision: Reject, Reason: DeadlineExceeded}
	}
	return q.enqueue(now, c, r)
}

func (q *Queue) enqueue(now time.Duration, c *caller, r Request) Result {
	var displaced Ticket
	if q.waiting >= q.cfg.QueueLimit {
		displaced = q.displace(c)
		if displaced == 0 {
			q.removeIdle(c)
			return Result{Decision: Reject, Reason: QueueFull}
		}
	}
	if q.waiting == 0 {
		q.nonEmptySince = now
	}
	if len(c.waiting) == 0 {
		q.enterRing(now, c)
	}
	c.waiting = append(c.waiting, r)
	q.waiting++
	return Result{Decision: Wait, Displaced: displaced}
}

// enterRing adds a caller to the ring: last, or first under overload.
func (q *Queue) enterRing(now time.Duration, c *caller) {
	if q.overloaded(now) {
		q.ring = slices.Insert(q.ring, 0, c)
		return
	}
	q.ring = append(q.ring, c)
}

// displace removes the newest request of the caller with the most requests waiting, if
// that caller has at least two more than c: with one more, two callers would displace
// each other in turn. It returns 0 if there is none.
func (q *Queue) displace(c *caller) Ticket {
	longest := c
	for _, x := range q.ring {
		if len(x.waiting) > len(longest.waiting) {
			longest = x
		}
	}
	if len(longest.waiting) < len(c.waiting)+2 {
		return 0
	}
	newest := longest.waiting[len(longest.waiting)-1]
	q.remove(longest, len(longest.waiting)-1)
	return newest.Ticket
}

// StartStream releases the slot of a running request that continues as a stream, which still
// counts as a connection.
func (q *Queue) StartStream(now time.Duration, t Ticket) Change {
	h, ok := q.running[t]
	if !ok {
		return Change{}
	}
	q.streaming[t] = h.caller
	return q.freeSlot(now, t)
}

// Finish ends a request, whether it runs, streams or waits.
func (q *Queue) Finish(now time.Duration, t Ticket) Change {
	if _, ok := q.running[t]; ok {
		return q.freeSlot(now, t)
	}
	if _, ok := q.streaming[t]; ok {
		delete(q.streaming, t)
		return Change{}
	}
	for _, c := range q.ring {
		i := slices.IndexFunc(c.waiting, func(r Request) bool { return r.Ticket == t })
		if i >= 0 {
			q.remove(c, i)
			q.removeIdle(c)
			return Change{}
		}
	}
	return Change{}
}

func (q *Queue) freeSlot(now time.Duration, t Ticket) Change {
	h := q.running[t]
	delete(q.running, t)
	c := q.callers[h.caller]
	c.running--
	q.removeIdle(c)
	q.recordSlotTime(now - h.since)
	return q.fillSlots(now)
}

func (q *Queue) recordSlotTime(held time.Duration) {
	if q.meanSlotTime == 0 {
		q.meanSlotTime = held
		return
	}
	q.meanSlotTime += time.Duration(slotTimeWeight * float64(held-q.meanSlotTime))
}

// fillSlots starts waiting requests while there are free slots.
func (q *Queue) fillSlots(now time.Duration) Change {
	var change Change
	for len(q.running) < q.cfg.Slots && q.waiting > 0 {
		c := q.next()
		r := q.dequeue(now, c)
		if r.Deadline != 0 && r.Deadline <= now {
			change.Drop = append(change.Drop, r.Ticket)
			q.removeIdle(c)
			continue
		}
		q.start(now, c, r)
		change.Start = append(change.Start, r.Ticket)
	}
	return change
}

// next picks the waiting caller with the fewest slots, the first in the ring among
// equals.
func (q *Queue) next() *caller {
	best := q.ring[0]
	for _, c := range q.ring[1:] {
		if c.running < best.running {
			best = c
		}
	}
	return best
}

// dequeue removes the caller's next request and moves the caller to the end of the ring.
func (q *Queue) dequeue(now time.Duration, c *caller) Request {
	i := 0
	if q.overloaded(now) {
		i = len(c.waiting) - 1
	}
	r := c.waiting[i]
	q.remove(c, i)
	if len(c.waiting) > 0 {
		q.leaveRing(c)
		q.ring = append(q.ring, c)
	}
	return r
}

func (q *Queue) start(now time.Duration, c *caller, r Request) {
	q.running[r.Ticket] = runningRequest{caller: c.name, since: now}
	c.running++
}

func (q *Queue) remove(c *caller, i int) {
	c.waiting = slices.Delete(c.waiting, i, i+1)
	q.waiting--
	if len(c.waiting) == 0 {
		q.leaveRing(c)
	}
}

func (q *Queue) leaveRing(c *caller) {
	i := slices.Index(q.ring, c)
	q.ring = slices.Delete(q.ring, i, i+1)
}

func (q *Queue) caller(name string) *caller {
	c, ok := q.callers[name]
	if !ok {
		c = &caller{name: name}
		q.callers[name] = c
	}
	return c
}

// removeIdle deletes a caller without requests, so that memory use follows the load.
func (q *Queue) removeIdle(c *caller) {
	if c.running == 0 && len(c.waiting) == 0 {
		delete(q.callers, c.name)
	}
}

// estimateWait estimates how long c's next request would wait: with fair turns, each
// other caller gets at most as many turns before it as c itself. Under overload the
// newest request goes first and waits for one slot.
func (q *Queue) estimateWait(now time.Duration, c *caller) time.Duration {
	if q.overloaded(now) {
		return q.meanSlotTime / time.Duration(max(q.cfg.Slots, 1))
	}
	turns := len(c.waiting) + 1
	ahead := 0
	for _, x := range q.ring {
		ahead += min(len(x.waiting), turns)
	}
	return time.Duration(ahead+1) * q.meanSlotTime / time.Duration(max(q.cfg.Slots, 1))
}

func (q *Queue) overloaded(now time.Duration) bool {
	return q.waiting > 0 && now-q.nonEmptySince >= q.cfg.OverloadAfter
}

// Free returns how many requests could start at once.
func (q *Queue) Free() int {
	if q.waiting > 0 {
		return 0
	}
	return max(q.cfg.Slots-len(q.running), 0)
}

// Load is the load that a host reports to its peers.
type Load struct {
	// Slots is the limit; Running and Waiting are the present numbers of requests.
	Slots, Running, Waiting int
	// MeanSlotTime is the mean time that a request keeps its slot.
	MeanSlotTime time.Duration
}

// Load returns the present load.
func (q *Queue) Load() Load {
	return Load{Slots: q.cfg.Slots, Running: len(q.running), Waiting: q.waiting, MeanSlotTime: q.meanSlotTime}
}

// InFlight returns how many requests run, stream or wait.
func (q *Queue) InFlight() int { return len(q.running) + len(q.streaming) + q.waiting }
