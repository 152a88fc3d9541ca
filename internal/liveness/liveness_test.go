package liveness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench drives a tracker through seconds of its own.
type bench struct {
	*Tracker[int]
	now time.Time
}

func newBench(subscribers int) *bench {
	b := &bench{Tracker: New[int](DefaultConfig()), now: start}
	for k := range subscribers {
		b.Attached(k, Attachment{1, 1}, b.now)
	}
	return b
}

func (b *bench) after(d time.Duration, contactAge time.Duration) []Report[int] {
	b.now = b.now.Add(d)
	return b.Due(b.now, contactAge)
}

// An agent's VM loses power. Its stream ends, and the operator sees it taken out
// of new work after the grace, once; if the command fails it is said again.
func TestDeadSubscriberIsReportedOnceAfterTheGrace(t *testing.T) {
	is := is.New(t)
	b := newBench(20)
	b.Lost(7, Attachment{1, 1}, b.now)
	is.Equal(len(b.after(900*time.Millisecond, 0)), 0)
	due := b.after(200*time.Millisecond, 0)
	is.Equal(due, []Report[int]{{Subject: 7, Attachment: Attachment{1, 1}}})
	is.Equal(len(b.after(time.Second, 0)), 0)

	b.Failed(due[0], b.now)
	is.Equal(len(b.after(100*time.Millisecond, 0)), 0)
	is.Equal(len(b.after(time.Second, 0)), 1)
}

// A subscriber's stream breaks and it is back within the grace, on a new stream;
// then the end of the old, half-open stream is noticed late. Nothing is
// reported: the old stream's end says nothing of the new one.
func TestBackWithinTheGraceWasNeverGone(t *testing.T) {
	is := is.New(t)
	b := newBench(20)
	b.Lost(7, Attachment{1, 1}, b.now)
	b.now = b.now.Add(500 * time.Millisecond)
	b.Attached(7, Attachment{1, 2}, b.now)
	b.Lost(7, Attachment{1, 1}, b.now)
	is.Equal(len(b.after(time.Minute, 0)), 0)
}

// A control VM is cut off from its peers and, with the same switch, from all its
// subscribers. It must not empty the services when it is back: while its own
// word is stale it reports nothing, and then everyone gets a new grace.
func TestVMThatWasCutOffReportsNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(20)
	b.Lost(7, Attachment{1, 1}, b.now)
	for range 100 {
		is.Equal(len(b.after(100*time.Millisecond, 10*time.Second)), 0)
	}
	is.Equal(len(b.after(100*time.Millisecond, 0)), 0)
	is.Equal(len(b.after(500*time.Millisecond, 0)), 0)
	is.Equal(len(b.after(600*time.Millisecond, 0)), 1) // truly gone after all
}

// A VM's own link fails towards its subscribers only: all streams end at once
// while its quorum contact is fine. The longer grace lets them come back, here
// or elsewhere; those that don't are reported after it. A single death outside
// the wave waits only the usual grace.
func TestWaveWaitsLonger(t *testing.T) {
	is := is.New(t)
	b := newBench(20)
	for k := range 20 {
		b.Lost(k, Attachment{1, 1}, b.now)
	}
	is.Equal(len(b.after(3*time.Second, 0)), 0)
	for k := range 18 {
		b.Attached(k, Attachment{1, 2}, b.now)
	}
	is.Equal(len(b.after(2500*time.Millisecond, 0)), 2)

	small := newBench(10)
	small.Lost(1, Attachment{1, 1}, small.now)
	small.Lost(2, Attachment{1, 1}, small.now)
	is.Equal(len(small.after(1100*time.Millisecond, 0)), 2) // two of ten are no wave
}

// A process is in a crash loop. Its first restarts are let in at once, as a
// rolling restart's are; from the third in a minute its announcements wait, ever
// longer up to a minute, so that the table doesn't change for everyone with each
// crash. Ten quiet minutes later it is let in at once again.
func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	b := newBench(20)
	var holds []time.Duration
	for i := range 12 {
		b.Lost(7, Attachment{1, uint64(i + 1)}, b.now)
		b.now = b.now.Add(500 * time.Millisecond)
		holds = append(holds, b.Attached(7, Attachment{1, uint64(i + 2)}, b.now))
	}
	is.Equal(holds[:2], []time.Duration{0, 0})
	is.Equal(holds[2], 2*time.Second)
	for i := 3; i < len(holds); i++ {
		is.True(holds[i] >= holds[i-1])
	}
	is.Equal(holds[11], time.Minute)

	b.Lost(7, Attachment{1, 13}, b.now)
	b.now = b.now.Add(10 * time.Minute)
	is.Equal(b.Attached(7, Attachment{1, 14}, b.now), time.Duration(0))
}

// A control VM dies and with it one of its agents. Nobody has that agent's
// stream, so the VM that takes over reports it, after the time in which the
// others have come back.
func TestAdoptedSubscribersAreReportedIfTheyDontReturn(t *testing.T) {
	is := is.New(t)
	b := newBench(0)
	b.Adopt(1, Attachment{1, 4}, b.now)
	b.Adopt(2, Attachment{1, 9}, b.now)
	is.Equal(len(b.after(5*time.Second, 0)), 0)
	b.Attached(2, Attachment{1, 10}, b.now)
	is.Equal(b.after(6*time.Second, 0), []Report[int]{{Subject: 1, Attachment: Attachment{1, 4}}})
}

// Subscribers come and go for weeks under ever new names: memory stays bounded.
func TestGoneSubscribersAreForgotten(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	for k := 1000; k < 3000; k++ {
		b.Attached(k, Attachment{1, 1}, b.now)
		b.Lost(k, Attachment{1, 1}, b.now)
		b.after(time.Minute, 0)
	}
	is.True(len(b.subjects) < 20)
}
