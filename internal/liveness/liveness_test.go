package liveness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clockedTracker is a tracker with a simulated clock.
type clockedTracker struct {
	*Tracker[int]
	now time.Time
}

func newClockedTracker(subscribers int) *clockedTracker {
	b := &clockedTracker{Tracker: New[int](DefaultConfig()), now: start}
	for k := range subscribers {
		b.Attached(k, Attachment{1, 1}, b.now)
	}
	return b
}

func (b *clockedTracker) advance(d time.Duration, contactAge time.Duration) []Report[int] {
	b.now = b.now.Add(d)
	return b.Due(b.now, contactAge)
}

// Guards against a failed subscriber that is reported before the grace period has passed,
// not at all, or twice. A report that failed must be repeated.
func TestFailedSubscriberIsReportedOnce(t *testing.T) {
	is := is.New(t)
	b := newClockedTracker(20)
	b.StreamEnded(7, Attachment{1, 1}, b.now)
	is.Equal(len(b.advance(900*time.Millisecond, 0)), 0)
	due := b.advance(200*time.Millisecond, 0)
	is.Equal(due, []Report[int]{{Subject: 7, Attachment: Attachment{1, 1}}})
	is.Equal(len(b.advance(time.Second, 0)), 0)

	b.Failed(due[0], b.now)
	is.Equal(len(b.advance(100*time.Millisecond, 0)), 0)
	is.Equal(len(b.advance(time.Second, 0)), 1)
}

// Guards against reporting a subscriber that reconnected within the grace period when the
// end of its old, half-open stream is noticed late.
func TestReconnectWithinGraceIsNotReported(t *testing.T) {
	is := is.New(t)
	b := newClockedTracker(20)
	b.StreamEnded(7, Attachment{1, 1}, b.now)
	b.now = b.now.Add(500 * time.Millisecond)
	b.Attached(7, Attachment{1, 2}, b.now)
	b.StreamEnded(7, Attachment{1, 1}, b.now)
	is.Equal(len(b.advance(time.Minute, 0)), 0)
}

// Guards against a control VM that, after being cut off from its peers and subscribers at
// once, reports all subscribers as silent. While its contact is stale it must report
// nothing, and then restart all grace periods.
func TestIsolatedVMReportsNothing(t *testing.T) {
	is := is.New(t)
	b := newClockedTracker(20)
	b.StreamEnded(7, Attachment{1, 1}, b.now)
	for range 100 {
		is.Equal(len(b.advance(100*time.Millisecond, 10*time.Second)), 0)
	}
	is.Equal(len(b.advance(100*time.Millisecond, 0)), 0)
	is.Equal(len(b.advance(500*time.Millisecond, 0)), 0)
	is.Equal(len(b.advance(600*time.Millisecond, 0)), 1) // still gone
}

// Guards against reporting all subscribers as silent when the VM's own network link to
// them fails while it still has contact with a quorum. All streams end at once. The longer
// grace period lets the subscribers reconnect, and only those that don't are reported. If
// only a few streams end, the usual grace period applies.
func TestMassDisconnectGetsLongerGrace(t *testing.T) {
	is := is.New(t)
	b := newClockedTracker(20)
	for k := range 20 {
		b.StreamEnded(k, Attachment{1, 1}, b.now)
	}
	is.Equal(len(b.advance(3*time.Second, 0)), 0)
	for k := range 18 {
		b.Attached(k, Attachment{1, 2}, b.now)
	}
	is.Equal(len(b.advance(2500*time.Millisecond, 0)), 2)

	small := newClockedTracker(10)
	small.StreamEnded(1, Attachment{1, 1}, small.now)
	small.StreamEnded(2, Attachment{1, 1}, small.now)
	is.Equal(len(small.advance(1100*time.Millisecond, 0)), 2) // two of ten are no mass disconnect
}

// Guards against a crash loop that changes the table for everyone with each restart. The
// first two restarts, as in a rolling restart, aren't delayed. From the third in a minute
// on, announcements are delayed ever longer, up to a minute. After ten quiet minutes
// there is no delay.
func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	b := newClockedTracker(20)
	var delays []time.Duration
	for i := range 12 {
		b.StreamEnded(7, Attachment{1, uint64(i + 1)}, b.now)
		b.now = b.now.Add(500 * time.Millisecond)
		delays = append(delays, b.Attached(7, Attachment{1, uint64(i + 2)}, b.now))
	}
	is.Equal(delays[:2], []time.Duration{0, 0})
	is.Equal(delays[2], 2*time.Second)
	for i := 3; i < len(delays); i++ {
		is.True(delays[i] >= delays[i-1])
	}
	is.Equal(delays[11], time.Minute)

	b.StreamEnded(7, Attachment{1, 13}, b.now)
	b.now = b.now.Add(10 * time.Minute)
	is.Equal(b.Attached(7, Attachment{1, 14}, b.now), time.Duration(0))
}

// Guards against an agent that is never reported because it failed together with its
// control VM. The VM that takes over reports it once the others have had time to
// reconnect.
func TestAdoptedSubscribersAreReportedIfTheyDontReturn(t *testing.T) {
	is := is.New(t)
	b := newClockedTracker(0)
	b.Adopt(1, Attachment{1, 4}, b.now)
	b.Adopt(2, Attachment{1, 9}, b.now)
	is.Equal(len(b.advance(5*time.Second, 0)), 0)
	b.Attached(2, Attachment{1, 10}, b.now)
	is.Equal(b.advance(6*time.Second, 0), []Report[int]{{Subject: 1, Attachment: Attachment{1, 4}}})
}

// Guards against unbounded memory use when subscribers keep connecting under new names
// and disconnecting.
func TestDisconnectedSubscribersAreRemoved(t *testing.T) {
	is := is.New(t)
	b := newClockedTracker(10)
	for k := 1000; k < 3000; k++ {
		b.Attached(k, Attachment{1, 1}, b.now)
		b.StreamEnded(k, Attachment{1, 1}, b.now)
		b.advance(time.Minute, 0)
	}
	is.True(len(b.subscribers) < 20)
}
