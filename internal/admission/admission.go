// Package admission decides what happens to a request at one host: let in, wait or
// turn away. It has no network and no clock; the caller passes the time, as a
// duration since any fixed origin.
//
// Load patterns and rules:
//
//   - Saturation: a host runs as many requests at once as it has slots; more
//     make all of them late. The rest waits in a bounded queue. Without the
//     bound, waiting times grow until every answer comes too late to be used.
//   - Few heavy callers: a freed slot goes to the waiting caller that holds the
//     fewest slots, in turn among equals. With one common queue, a caller that
//     sends a hundred requests at once delays everybody by a hundred requests.
//     When the queue is full, the newest request of the caller with most
//     requests waiting makes room for a caller with fewer. A fixed limit per
//     caller would turn a single caller's burst away from an idle host.
//   - Long among short: shares are counted in slots held, not in requests, so
//     long requests of one caller don't crowd out short ones of others.
//   - Burst: up to the queue's limit it is absorbed, first come first served.
//   - Sustained overload: once the queue hasn't been empty for Config.Patience,
//     the newest request goes first. First come first served would then serve
//     only requests whose callers are about to give up.
//   - Late work: a request whose deadline would pass while it waits, judged by
//     the slot times seen so far, is turned away at once, when the caller can
//     still go elsewhere; one whose deadline has passed never starts.
package admission

import (
	"slices"
	"time"
)

const (
	// DefaultPatience is long against a burst of short work and short against a
	// caller's patience of seconds; see the sweep in docs/PLACEMENT.md.
	DefaultPatience = 500 * time.Millisecond
	// holdWeight is the part of one slot time in the running mean: about the
	// last twenty requests count, a second or less of work at today's hosts.
	holdWeight = 0.05
)

// Ticket names one request at one host.
type Ticket uint64

// Reason says why a request was turned away. Its text goes to callers and into
// the names of counters.
type Reason string

// Reasons for turning a request away.
const (
	// QueueFull: the queue is full and no caller waits with more requests.
	QueueFull Reason = "queue-full"
	// Displaced: a caller with fewer waiting requests took the place.
	Displaced Reason = "displaced"
	// TooLate: the deadline would pass in the queue, or has passed.
	TooLate Reason = "deadline"
	// Connections: the host has no connection left.
	Connections Reason = "connections"
)

// Answer is what becomes of an offered request.
type Answer uint8

// Answers of Offer.
const (
	// Enter: the request has a slot.
	Enter Answer = iota + 1
	// Wait: the request has a place in the queue.
	Wait
	// TurnAway: the request is refused; nothing of it may run.
	TurnAway
)

// Verdict is the answer to one Offer.
type Verdict struct {
	Answer Answer
	// Reason is set with TurnAway.
	Reason Reason
	// Displaced is a waiting request that lost its place to this one, 0 if none.
	Displaced Ticket
}

// Request is what the decision needs to know.
type Request struct {
	Ticket Ticket
	// Caller is the identity to which fairness applies.
	Caller string
	// Deadline is when the answer is of no more use; 0 is never.
	Deadline time.Duration
}

// Change is what a freed slot or the passing of time leads to.
type Change struct {
	// Start lists requests that now have a slot.
	Start []Ticket
	// Drop lists requests whose deadline passed in the queue.
	Drop []Ticket
}

// Config sets the limits of one host.
type Config struct {
	// Slots is how many requests run at once.
	Slots int
	// Connections bounds the requests that run, stream or wait; 0 is no bound.
	Connections int
	// Queue is how many requests may wait.
	Queue int
	// Patience is how long the queue may stay non-empty before the newest
	// request goes first; 0 means DefaultPatience.
	Patience time.Duration
}

// Queue is the state of one host. It isn't safe for concurrent use.
type Queue struct {
	cfg      Config
	callers  map[string]*caller
	ring     []*caller // callers with waiting requests, next to serve first
	running  map[Ticket]hold
	stream   map[Ticket]string
	waiting  int
	nonEmpty time.Duration // since when requests wait
	hold     time.Duration // mean time that a request keeps its slot
}

type caller struct {
	name    string
	running int
	waiting []Request // oldest first
}

type hold struct {
	caller string
	since  time.Duration
}

// New returns an idle host.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:     withDefaults(cfg),
		callers: map[string]*caller{},
		running: map[Ticket]hold{},
		stream:  map[Ticket]string{},
	}
}

func withDefaults(cfg Config) Config {
	if cfg.Patience <= 0 {
		cfg.Patience = DefaultPatience
	}
	return cfg
}

// Configure changes the limits; requests that run go on. The change may free
// slots.
func (q *Queue) Configure(now time.Duration, cfg Config) Change {
	q.cfg = withDefaults(cfg)
	return q.fill(now)
}

// Offer asks for a slot.
func (q *Queue) Offer(now time.Duration, r Request) Verdict {
	if r.Deadline != 0 && r.Deadline <= now {
		return Verdict{Answer: TurnAway, Reason: TooLate}
	}
	if q.cfg.Connections > 0 && q.InFlight() >= q.cfg.Connections {
		return Verdict{Answer: TurnAway, Reason: Connections}
	}
	c := q.caller(r.Caller)
	if q.waiting == 0 && len(q.running) < q.cfg.Slots {
		q.start(now, c, r)
		return Verdict{Answer: Enter}
	}
	if r.Deadline != 0 && now+q.wait(now, c) >= r.Deadline {
		q.forget(c)
		return Verdict{Answer: TurnAway, Reason: TooLate}
	}
	return q.enqueue(now, c, r)
}

func (q *Queue) enqueue(now time.Duration, c *caller, r Request) Verdict {
	var displaced Ticket
	if q.waiting >= q.cfg.Queue {
		displaced = q.displace(c)
		if displaced == 0 {
			q.forget(c)
			return Verdict{Answer: TurnAway, Reason: QueueFull}
		}
	}
	if q.waiting == 0 {
		q.nonEmpty = now
	}
	if len(c.waiting) == 0 {
		q.join(now, c)
	}
	c.waiting = append(c.waiting, r)
	q.waiting++
	return Verdict{Answer: Wait, Displaced: displaced}
}

// join gives a caller its place in the ring: last, or first under overload.
func (q *Queue) join(now time.Duration, c *caller) {
	if q.overloaded(now) {
		q.ring = slices.Insert(q.ring, 0, c)
		return
	}
	q.ring = append(q.ring, c)
}

// displace takes out the newest request of the caller with most requests
// waiting, where that caller has at least two more than c: with one more, two
// callers would displace each other in turn.
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

// Stream gives the slot of a running request back while the request goes on as
// a stream, which still counts as a connection.
func (q *Queue) Stream(now time.Duration, t Ticket) Change {
	h, ok := q.running[t]
	if !ok {
		return Change{}
	}
	q.stream[t] = h.caller
	return q.free(now, t)
}

// Leave ends a request, wherever it stands.
func (q *Queue) Leave(now time.Duration, t Ticket) Change {
	if _, ok := q.running[t]; ok {
		return q.free(now, t)
	}
	if _, ok := q.stream[t]; ok {
		delete(q.stream, t)
		return Change{}
	}
	for _, c := range q.ring {
		i := slices.IndexFunc(c.waiting, func(r Request) bool { return r.Ticket == t })
		if i >= 0 {
			q.remove(c, i)
			q.forget(c)
			return Change{}
		}
	}
	return Change{}
}

func (q *Queue) free(now time.Duration, t Ticket) Change {
	h := q.running[t]
	delete(q.running, t)
	c := q.callers[h.caller]
	c.running--
	q.forget(c)
	q.learn(now - h.since)
	return q.fill(now)
}

func (q *Queue) learn(held time.Duration) {
	if q.hold == 0 {
		q.hold = held
		return
	}
	q.hold += time.Duration(holdWeight * float64(held-q.hold))
}

// fill starts waiting requests while there are free slots.
func (q *Queue) fill(now time.Duration) Change {
	var change Change
	for len(q.running) < q.cfg.Slots && q.waiting > 0 {
		c := q.next()
		r := q.take(now, c)
		if r.Deadline != 0 && r.Deadline <= now {
			change.Drop = append(change.Drop, r.Ticket)
			q.forget(c)
			continue
		}
		q.start(now, c, r)
		change.Start = append(change.Start, r.Ticket)
	}
	return change
}

// next picks the waiting caller with the fewest slots, first in the ring among
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

// take removes the caller's next request and sends the caller to the ring's end.
func (q *Queue) take(now time.Duration, c *caller) Request {
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
	q.running[r.Ticket] = hold{caller: c.name, since: now}
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

// forget drops a caller without requests, so that memory follows the load.
func (q *Queue) forget(c *caller) {
	if c.running == 0 && len(c.waiting) == 0 {
		delete(q.callers, c.name)
	}
}

// wait estimates how long c's next request would wait: under fair turns each
// other caller gets at most as many turns before it as c itself. Under overload
// the newest request goes first and waits for one slot.
func (q *Queue) wait(now time.Duration, c *caller) time.Duration {
	if q.overloaded(now) {
		return q.hold / time.Duration(max(q.cfg.Slots, 1))
	}
	turns := len(c.waiting) + 1
	ahead := 0
	for _, x := range q.ring {
		ahead += min(len(x.waiting), turns)
	}
	return time.Duration(ahead+1) * q.hold / time.Duration(max(q.cfg.Slots, 1))
}

func (q *Queue) overloaded(now time.Duration) bool {
	return q.waiting > 0 && now-q.nonEmpty >= q.cfg.Patience
}

// Free returns the slots that a request could take at once.
func (q *Queue) Free() int {
	if q.waiting > 0 {
		return 0
	}
	return max(q.cfg.Slots-len(q.running), 0)
}

// Load is what a host tells its peers.
type Load struct {
	// Slots is the limit, Running and Waiting what is there now.
	Slots, Running, Waiting int
	// Hold is the mean time that a request keeps its slot.
	Hold time.Duration
}

// Load returns the present load.
func (q *Queue) Load() Load {
	return Load{Slots: q.cfg.Slots, Running: len(q.running), Waiting: q.waiting, Hold: q.hold}
}

// InFlight returns the requests that run, stream or wait.
func (q *Queue) InFlight() int { return len(q.running) + len(q.stream) + q.waiting }
