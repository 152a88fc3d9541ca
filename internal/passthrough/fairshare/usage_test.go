package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func clientNo(n byte) Client { return Client{IP: [4]byte{100, 64, 0, n}, Priority: 1} }

// Guards against equal clients that are ranked by the chance of a sample, and against a client
// far above its share that isn't ranked last, or one that was never served not first.
func TestRank(t *testing.T) {
	is := is.New(t)
	u := NewUsage()
	now := time.Hour
	for n, flows := range []float64{0, 18, 20, 22, 25, 27, 200} {
		u.See(now, clientNo(byte(n)))
		u.Raise(now, clientNo(byte(n)), flows)
	}
	is.Equal(u.Rank(now, clientNo(0)), uint32(0))
	for n := byte(1); n <= 5; n++ {
		is.Equal(u.Rank(now, clientNo(n)), uint32(WithinShare))
	}
	is.True(u.Rank(now, clientNo(6)) > WithinShare)
	other := clientNo(6)
	other.Priority = 2 // what it does at one urgency doesn't count at another
	is.Equal(u.Excess(now, other), 1.0)
}

// Guards against usage that is never forgotten, against unbounded memory, and against
// clients that go first because there is no room to count them.
func TestUsageIsForgotten(t *testing.T) {
	is := is.New(t)
	u := NewUsage()
	u.Raise(0, clientNo(1), 100)
	is.True(u.Of(usageTime, clientNo(1)) < 40)
	for n := range maxClients + 100 {
		u.Add(time.Second, Client{IP: [4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}})
	}
	is.Equal(u.Clients(), maxClients)
	for n := range maxClients {
		u.Raise(time.Second, Client{IP: [4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}}, 20)
	}
	is.Equal(u.Rank(time.Second, Client{IP: [4]byte{11}}), uint32(WithinShare)) // no room to count it
	u.Add(time.Minute, clientNo(2))
	is.Equal(u.Clients(), 2) // the one with 100 flows a minute ago, and the new one
}

// Guards against stamps that mislead agents about a client's usage, or do so for minutes.
func TestStampRoundTrip(t *testing.T) {
	is := is.New(t)
	is.Equal(Stamp(0).Flows(), 0.0)
	for _, flows := range []float64{0, 1, 3.3, 40, 5000} {
		s := StampOf(flows)
		is.True(s > 0)
		is.True(s.Flows() > 0.9*flows-0.1 && s.Flows() < 1.1*flows+0.1)
	}
	is.Equal(Stamp(math.MaxUint8).Flows(), float64(maxStated))
	u := NewUsage()
	u.Raise(0, clientNo(1), math.MaxUint32)
	is.Equal(u.Of(0, clientNo(1)), float64(maxStated))
}

// Guards against a door that is shut or open all at once, or that treats all clients alike.
func TestPassChanceFallsByDegrees(t *testing.T) {
	is := is.New(t)
	chance := func(wait time.Duration, excess float64) float64 {
		return Visit{Wait: wait, Patience: 50 * time.Millisecond, Excess: excess}.PassChance()
	}
	is.Equal(chance(50*time.Millisecond, 1), 1.0)
	is.Equal(chance(75*time.Millisecond, 1), 0.5)
	is.Equal(chance(time.Second, 1), minChance)
	is.Equal(chance(75*time.Millisecond, 4), 0.125)
	is.Equal(Visit{Wait: time.Hour}.PassChance(), 1.0)
}
