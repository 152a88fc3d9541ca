package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// related picks n times among targets after relating them.
func related(t *testing.T, targets []Target, n int) []int {
	t.Helper()
	Relate(targets)
	return picks(t, targets, n)
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Guards against decisions that change where targets are equally fast, up to the noise of
// their service times, where reports of an older build don't state any, and where one looks
// fast because it doesn't do the work: the same random source must give the same picks.
func TestEqualTargetsChangeNothing(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	learned, plain := rand.New(rand.NewPCG(7, 8)), rand.New(rand.NewPCG(7, 8))
	for range 5000 {
		without := make([]Target, 2+rng.IntN(7))
		for i := range without {
			without[i] = Target{
				Near: rng.IntN(2) == 0, Slots: 2, Running: float64(rng.IntN(5)), Mean: 3 * rng.Float64(), Flows: uint32(rng.IntN(40)),
				Sent: uint32(rng.IntN(2)), Cold: rng.IntN(9) == 0, Unsteady: rng.IntN(9) == 0,
			}
		}
		with := append([]Target(nil), without...)
		for i := range with {
			switch rng.IntN(5) {
			case 0: // an older build
			case 1:
				if i == 3 {
					with[i].Service = ms(0.5)
				}
			default:
				with[i].Service = ms(20 + 3*rng.Float64())
			}
		}
		Relate(with)
		is.Equal(policy.HasSlot(with), policy.HasSlot(without))
		is.Equal(policy.Overflow(with), policy.Overflow(without))
		a, _ := policy.Pick(learned, with)
		b, _ := policy.Pick(plain, without)
		is.Equal(a, b)
	}
}

// Guards against callers that wait at a slow target beside a fast one, at equal loads.
func TestSlowTargetGetsFlowsOnceFasterOnesAreBusy(t *testing.T) {
	is := is.New(t)
	fast, slow := Target{Near: true, Slots: 2, Mean: 1, Service: ms(18)}, Target{Near: true, Slots: 2, Mean: 0.4, Service: ms(44)}
	is.Equal(related(t, []Target{fast, slow}, 100)[1], 0)
	fast.Mean, fast.Running = 6, 6 // three rounds of 18 ms ahead: the slow one answers sooner
	is.Equal(related(t, []Target{fast, slow}, 100)[0], 0)
}

// Guards against a majority of slow targets that hides the few fast ones.
func TestFastTargetAmongSlowOnes(t *testing.T) {
	targets := []Target{
		{Near: true, Slots: 2, Mean: 0.2, Service: ms(130)}, {Near: true, Slots: 2, Mean: 1, Service: ms(26)},
		{Near: true, Slots: 2, Mean: 0.2, Service: ms(120)}, {Near: true, Slots: 2, Mean: 0.2, Service: ms(140)},
	}
	if n := related(t, targets, 1000)[1]; n < 450 {
		t.Errorf("the fast target got %d of 1,000; drawn for about 500", n)
	}
}

// Guards against a target that is cold and known to be slow counting as slow twice.
func TestColdTargetIsSlowOnce(t *testing.T) {
	is := is.New(t)
	targets := []Target{{Slots: 2, Mean: 1, Cold: true, Service: ms(32)}, {Slots: 2, Mean: 1, Service: ms(20)}, {Slots: 2, Mean: 1, Service: ms(20)}}
	Relate(targets)
	cold := &targets[0]
	is.Equal(cold.Pace, 1.6)
	is.Equal(policy.expected(cold, policy.Score(cold)), policy.Score(cold))
}

// Guards against a target that slows down before its slots are taken counting as having room,
// and against a learned capacity above its slots.
func TestCapacityCountsInPlaceOfSlots(t *testing.T) {
	is := is.New(t)
	knee, plain, above := Target{Slots: 8, Mean: 3, Capacity: 3}, Target{Slots: 8, Mean: 3}, Target{Slots: 8, Mean: 3, Capacity: 20}
	is.Equal(policy.Score(&knee), 1.0)
	is.Equal(policy.Score(&above), policy.Score(&plain))
	is.True(!policy.HasSlot([]Target{knee}))
}

// Guards against bulk on the links between data centres while it could run in its own, and
// against bulk that waits there for long beside an idle data centre.
func TestBulkLeavesItsDataCentreLast(t *testing.T) {
	is := is.New(t)
	bulk := policy.ForBulk()
	for _, c := range []struct {
		near      float64
		other, bk bool
	}{{0.5, false, false}, {0.9, true, false}, {1.1, true, true}} {
		targets := []Target{{Near: true, Slots: 2, Mean: 2 * c.near}, {Slots: 2}}
		i, _ := policy.Pick(rng(), targets)
		is.Equal(i == 1, c.other)
		i, _ = bulk.Pick(rng(), targets)
		is.Equal(i == 1, c.bk)
	}
}
