package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func offer(q *Queue, now time.Duration, t Ticket, caller string) Result {
	return q.Offer(now, Request{Ticket: t, Caller: caller})
}

// Guards against refusals in a burst of twice the slots: the first requests run at once,
// the rest waits and runs in order of arrival.
func TestBurstIsServedInOrder(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 4, QueueLimit: 8})
	for i := Ticket(1); i <= 8; i++ {
		want := Admit
		if i > 4 {
			want = Wait
		}
		is.Equal(offer(q, 0, i, fmt.Sprint("c", i)).Decision, want)
	}
	for i := Ticket(1); i <= 4; i++ {
		is.Equal(q.Finish(10*ms, i).Start, []Ticket{i + 4})
	}
	is.Equal(q.InFlight(), 4)
}

// Guards against one caller that fills the slots and the whole queue: others that come
// later with one request each get a place in the queue, and the next free slots.
func TestHeavyCallerDoesNotStarveOthers(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 2, QueueLimit: 10})
	for i := Ticket(1); i <= 12; i++ {
		is.True(offer(q, 0, i, "heavy").Decision != Reject) // a single caller may use all
	}
	v := offer(q, ms, 20, "light-a")
	is.Equal(v, Result{Decision: Wait, Displaced: 12}) // the heavy caller's newest request is displaced
	is.Equal(offer(q, ms, 21, "light-b").Decision, Wait)
	is.Equal(offer(q, ms, 22, "heavy"), Result{Decision: Reject, Reason: QueueFull})

	is.Equal(q.Finish(2*ms, 1).Start, []Ticket{20})
	is.Equal(q.Finish(2*ms, 2).Start, []Ticket{3}) // the heavy caller holds no slot now
	is.Equal(q.Finish(3*ms, 20).Start, []Ticket{21})
}

// Guards against short requests stuck behind a caller that keeps its slots for long: a
// freed slot goes to the caller that holds fewer, although it came later.
func TestLongRequestsDoNotStarveShortOnes(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 3, QueueLimit: 10})
	for i := Ticket(1); i <= 6; i++ {
		offer(q, 0, i, "long")
	}
	offer(q, ms, 10, "short")
	offer(q, ms, 11, "short")
	is.Equal(q.Finish(2*ms, 1).Start, []Ticket{10})
	is.Equal(q.Finish(3*ms, 10).Start, []Ticket{11})
	is.Equal(q.Finish(4*ms, 11).Start, []Ticket{4})
}

// Guards against answers that come too late under sustained overload. At three times the
// capacity for two seconds, with deadlines of a second, the newest requests must be
// served; the old ones are dropped without running.
func TestSustainedOverloadServesNewestFirst(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 1, QueueLimit: 1000, OverloadAfter: 100 * ms})
	next := Ticket(1)
	var running Ticket
	var started, dropped int
	offered := map[Ticket]time.Duration{}
	var age time.Duration
	for now := time.Duration(0); now < 2*time.Second; now += 10 * ms {
		r := Request{Ticket: next, Caller: fmt.Sprint(next), Deadline: now + time.Second}
		offered[next] = now
		next++
		if q.Offer(now, r).Decision == Admit {
			running = r.Ticket
		}
		if now%(30*ms) != 0 || running == 0 {
			continue
		}
		change := q.Finish(now, running)
		running = 0
		dropped += len(change.Drop)
		for _, s := range change.Start {
			running = s
			started++
			age = max(age, now-offered[s])
		}
	}
	is.True(started > 50)
	is.True(age <= 300*ms) // no request waited long before it was served
}

func TestDeadlineInQueue(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 1, QueueLimit: 10})
	offer(q, 0, 1, "a")
	q.Finish(100*ms, 1) // the mean slot time is now 100 ms
	offer(q, 100*ms, 2, "a")

	late := q.Offer(100*ms, Request{Ticket: 3, Caller: "b", Deadline: 150 * ms})
	is.Equal(late, Result{Decision: Reject, Reason: DeadlineExceeded}) // rejected at once
	is.Equal(q.Offer(100*ms, Request{Ticket: 4, Caller: "b", Deadline: 250 * ms}).Decision, Wait)
	is.Equal(offer(q, 100*ms, 5, "c").Decision, Wait)

	change := q.Finish(300*ms, 2) // the request took longer than the mean
	is.Equal(change, Change{Start: []Ticket{5}, Drop: []Ticket{4}})
	is.Equal(q.Offer(300*ms, Request{Ticket: 6, Deadline: 300 * ms}).Reason, DeadlineExceeded)
}

// Guards against streams that occupy slots: a feed releases its slot at the first byte
// and stays a connection. The connection limit covers running, waiting and streaming
// requests.
func TestStreamsCountAsConnectionsNotSlots(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 1, QueueLimit: 10, ConnectionLimit: 3})
	is.Equal(offer(q, 0, 1, "a").Decision, Admit)
	is.Equal(offer(q, 0, 2, "b").Decision, Wait)
	is.Equal(q.StartStream(ms, 1).Start, []Ticket{2})
	is.Equal(offer(q, ms, 3, "c").Decision, Wait)
	is.Equal(offer(q, ms, 4, "d"), Result{Decision: Reject, Reason: Connections})
	q.Finish(2*ms, 1)
	is.Equal(offer(q, 2*ms, 5, "d").Decision, Wait)
	q.Finish(2*ms, 5)
	q.Finish(2*ms, 3)
	q.Finish(2*ms, 2)
	is.Equal(q.InFlight(), 0)
	is.Equal(len(q.callers), 0) // idle callers are removed
}

func TestAddedSlotsStartWaitingRequests(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 1, QueueLimit: 10})
	offer(q, 0, 1, "a")
	offer(q, 0, 2, "b")
	is.Equal(q.Configure(ms, Config{Slots: 2, QueueLimit: 10}).Start, []Ticket{2})
	is.Equal(q.Free(), 0)
}
