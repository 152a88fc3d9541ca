package patience

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// target serves a request in 24 ms and has three places, so that it answers every 10 ms.
var target = Outlook{Handshake: 6 * ms, Service: 24 * ms, Capacity: 3}

// opening returns a caller of a route with a goal of 200 ms and a timeout of 1 s.
func opening(firstSentAt time.Duration) Caller {
	return Caller{FirstSentAt: firstSentAt, HeldSince: firstSentAt, Goal: 200 * ms, Timeout: time.Second, Opening: true}
}

// Guards against slots spent on answers that have missed their goal while others could
// still make it, and against urgent callers behind others.
func TestOrderOfTurns(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	late, fresh, tight, urgentLate, shared := opening(now-400*ms), opening(now), opening(now-80*ms), opening(now-500*ms), opening(now-90*ms)
	late.Priority, fresh.Priority, tight.Priority, shared.Priority = 1, 1, 1, 1
	shared.Share = 1
	silent := opening(now - 300*ms)
	queue := []*Caller{&silent, &late, &shared, &fresh, &urgentLate, &tight}
	for _, c := range queue {
		if c != &silent {
			c.LastCopy = now - c.FirstSentAt
		}
		c.Classify(now, &target)
	}
	slices.SortFunc(queue, func(a, b *Caller) int { return a.Compare(b) })
	is.Equal(queue, []*Caller{&urgentLate, &tight, &fresh, &shared, &late, &silent})
}

// Guards against an order of callers without a goal that depends on goals.
func TestOrderWithoutGoals(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	older, newer, withGoal := opening(now-900*ms), opening(now-300*ms), opening(now-80*ms)
	older.Goal, newer.Goal, withGoal.LastCopy = 0, 0, 80*ms
	queue := []*Caller{&older, &withGoal, &newer}
	for _, c := range queue {
		c.Classify(now, &target)
	}
	slices.SortFunc(queue, func(a, b *Caller) int { return a.Compare(b) })
	is.Equal(queue, []*Caller{&withGoal, &newer, &older})
}

// Guards against a class that leaves out the handshake, the way to the client, or that some
// answers take longer than the mean.
func TestClassOfAnswers(t *testing.T) {
	is := is.New(t)
	c := opening(0)
	request := c
	request.Opening = false
	for _, x := range []struct {
		c    *Caller
		at   time.Duration
		want Class
	}{
		{&c, 128 * ms, InTime}, {&c, 129 * ms, Answerable}, {&request, 152 * ms, InTime}, {&request, 153 * ms, Answerable},
		{&c, 964 * ms, Answerable}, {&c, 965 * ms, Hopeless}, {&request, 976 * ms, Answerable},
	} {
		is.Equal(x.c.ClassAt(x.at, &target), x.want)
	}
	c.Timeout = 6 * time.Second // the handshake ends sooner
	is.Equal(c.ClassAt(1398*ms, &target), Hopeless)
	is.Equal(request.ClassAt(100*ms, &Outlook{}), InTime) // nothing was observed
	is.Equal(request.ClassAt(101*ms, &Outlook{}), Answerable)
	is.Equal((&Caller{Opening: true}).ClassAt(time.Second, &target), InTime) // nothing is stated
}

// Guards against callers that wait without a chance, or hear of it when nothing is left of
// their time; and against dropping one whose copies are late.
func TestWhoMayWait(t *testing.T) {
	is := is.New(t)
	c := opening(0)
	is.Equal(c.Judge(0, &target, 10, 0, 0), Waits)
	is.Equal(c.Judge(0, &target, 14, 0, 0.5), Waits)  // late, but answered
	is.Equal(c.Judge(0, &target, 14, 0, 1.1), NoTurn) // overtaken by those who come in time
	is.Equal(c.Judge(0, &target, 5, 0.7, 1.1), NoTurn)
	is.Equal(c.Judge(0, &target, 96, 0, 0), NoTurn)
	is.Equal(c.Judge(0, &Outlook{}, 1000, 2, 2), NoTurn)
	is.Equal(c.Judge(600*ms, &target, 96, 2, 2), Waits) // not heard of, not told anything
	is.Equal(c.Judge(970*ms, &target, 0, 0, 0), Silent)
	c.LastCopy = 200 * ms
	is.Equal(c.Judge(260*ms, &target, 0, 0, 0), Waits)
	is.Equal(c.Judge(450*ms, &target, 0, 0, 0), HeldTooLong)
	c.HeldSince = 900 * ms
	c.LastCopy = 600 * ms
	is.Equal(c.Judge(970*ms, &target, 0, 0, 0), OutOfTime)
}

// Guards against loads that count past callers, or those of less urgent routes.
func TestLoadOfArrivals(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	for at := time.Duration(0); at < 2*time.Second; at += 20 * ms {
		a.Add(at, 1, 10*ms)
		a.Add(at, 3, 10*ms)
	}
	more, as := a.Load(2*time.Second, 1, 10*ms)
	is.Equal(more, 0.0)
	is.True(as > 0.45 && as < 0.55) // 50 a second, 10 ms each
	more, as = a.Load(2*time.Second, 3, 10*ms)
	is.True(more > 0.45 && more < 0.55 && as > 0.9 && as < 1.1)
	_, as = a.Load(4*time.Second, 3, 10*ms)
	is.True(as < 0.01)
	for p := uint32(10); p < 100; p++ {
		a.Add(0, p, 0)
	}
	is.Equal(len(a.rates), maxArrivalRates)
}

// Guards against a few callers that look like an overload of a slow target.
func TestLoadOfSlowTarget(t *testing.T) {
	is := is.New(t)
	slow := Outlook{Handshake: 10 * ms, Service: 690 * ms, Capacity: 2}
	c := Caller{Priority: 1, Goal: 2 * time.Second, Timeout: 8 * time.Second, Opening: true}
	for _, arrived := range []uint32{0, 1} {
		var a Arrivals
		a.Add(0, arrived, slow.Pace())
		more, as := a.Load(0, 1, slow.Pace())
		is.Equal(c.Judge(0, &slow, 1, more, as), Waits)
	}
}
