package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/capacity"
	"bergamotstall/internal/passthrough/packet"
)

// related picks n times among targets after relating them.
func related(t *testing.T, targets []Target, n int) []int {
	t.Helper()
	Relate(targets)
	return picks(t, targets, n)
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// requestMix draws requests: the kind, by the port of its route, and how long one runs.
type requestMix struct {
	name string
	draw func(rng *rand.Rand, target int) (port uint16, run time.Duration)
}

// drawRun draws a time of a heavy-tailed distribution.
func drawRun(rng *rand.Rand, median, spread float64) time.Duration {
	d := median * math.Exp(spread*rng.NormFloat64())
	if rng.Float64() < 0.03 {
		d *= 7
	}
	return ms(d)
}

// shares returns a mix of requests of 8 and 40 ms, where each target has its share of the
// latter, and longPort is their route.
func shares(name string, longPort uint16, long ...float64) requestMix {
	return requestMix{name, func(rng *rand.Rand, target int) (uint16, time.Duration) {
		if rng.Float64() < long[target%len(long)] {
			return longPort, drawRun(rng, 40, 0.3)
		}
		return 1, drawRun(rng, 8, 0.3)
	}}
}

var requestMixes = []requestMix{
	{"one kind", func(rng *rand.Rand, _ int) (uint16, time.Duration) { return 1, drawRun(rng, 20, 0.5) }},
	{"heavy tail", func(rng *rand.Rand, _ int) (uint16, time.Duration) { return 1, drawRun(rng, 20, 1) }},
	shares("a quarter long", 1, 0.25),
	shares("half long", 1, 0.5),
	shares("unequal shares", 1, 0.2, 0.3),
	shares("unequal shares of two routes", 2, 0.05, 0.5, 0.95),
}

// simulated is a target of two slots and what is learned of it.
type simulated struct {
	learner capacity.Learner
	free    [2]time.Duration
	ends    []simulatedEnd
	next    time.Duration
	serial  uint16
}

type simulatedEnd struct {
	at   time.Duration
	flow packet.Flow
}

// run runs the target until a time at a load in requests a second.
func (s *simulated) run(rng *rand.Rand, until time.Duration, perSecond float64, draw func() (uint16, time.Duration)) {
	for ; s.next < until; s.next += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
		s.answer(s.next)
		s.serial++
		port, run := draw()
		f := packet.Flow{Client: packet.Endpoint{Port: s.serial}, Service: packet.Endpoint{Port: port}}
		s.learner.Begin(s.next, f)
		slot := &s.free[0]
		if s.free[1] < *slot {
			slot = &s.free[1]
		}
		*slot = max(*slot, s.next) + run
		s.ends = append(s.ends, simulatedEnd{*slot, f})
		slices.SortFunc(s.ends, func(a, b simulatedEnd) int { return cmp.Compare(a.at, b.at) })
	}
	s.answer(until)
}

// answer answers what ends until a time.
func (s *simulated) answer(until time.Duration) {
	for len(s.ends) > 0 && s.ends[0].at <= until {
		s.learner.Answered(s.ends[0].at, s.ends[0].flow)
		s.ends = s.ends[1:]
	}
}

// target returns the target as a balancer sees it, and the same without what was learned.
func (s *simulated) target(rng *rand.Rand, now time.Duration) (with, without Target) {
	without = Target{
		Near: rng.IntN(2) == 0, Slots: 2, Running: float64(rng.IntN(5)), Mean: 3 * rng.Float64(), Flows: uint32(rng.IntN(40)),
		Sent: uint32(rng.IntN(2)), Cold: rng.IntN(9) == 0, Unsteady: rng.IntN(9) == 0,
	}
	with = without
	service, at := s.learner.Service(now)
	with.Service, with.Route, with.Capacity = service, uint64(at.Port), s.learner.Capacity()
	return with, without
}

// Guards against noise in learned service times that changes picks among equal targets.
func TestEqualTargetsChangeNothing(t *testing.T) {
	for _, mix := range requestMixes {
		for _, perSecond := range []float64{15, 50} {
			t.Run(fmt.Sprintf("%s, %.0f a second", mix.name, perSecond), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(5, 6))
				fleet, known := make([]simulated, 24), 0
				for now := time.Second; now < 40*time.Second; now += 500 * time.Millisecond {
					for i := range fleet {
						fleet[i].learner.SetSlots(2)
						fleet[i].run(rng, now, perSecond, func() (uint16, time.Duration) { return mix.draw(rng, i) })
					}
					for range 20 {
						var with, without []Target
						for range 2 + rng.IntN(7) {
							a, b := fleet[rng.IntN(len(fleet))].target(rng, now)
							with, without = append(with, a), append(without, b)
						}
						Relate(with)
						for i := range with {
							if with[i].Service > 0 {
								known++
							}
							if with[i].Pace != 0 || with[i].Capacity != 0 {
								t.Fatalf("%v: pace %.2f, capacity %.2f", now, with[i].Pace, with[i].Capacity)
							}
						}
						seed := rng.Uint64()
						a, _ := policy.Pick(rand.New(rand.NewPCG(seed, 1)), with)
						b, _ := policy.Pick(rand.New(rand.NewPCG(seed, 1)), without)
						if a != b || policy.HasSlot(with) != policy.HasSlot(without) || policy.Overflow(with) != policy.Overflow(without) {
							t.Errorf("%v: picked %d, %d without", now, a, b)
						}
					}
				}
				if known < 5000 {
					t.Errorf("the service time was known in %d cases", known)
				}
			})
		}
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
	targets := []Target{{Slots: 2, Mean: 1, Cold: true, Service: ms(40)}, {Slots: 2, Mean: 1, Service: ms(20)}, {Slots: 2, Mean: 1, Service: ms(20)}}
	Relate(targets)
	cold := &targets[0]
	is.Equal(cold.Pace, 2.0)
	is.True(policy.expected(cold, policy.Score(cold)) < 1.26*(1+policy.Score(cold))-1)
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
	full := []Target{{Near: true, Slots: 2, Mean: 2, Running: 2}}
	is.True(bulk.Overflow(full) != bulk.HasSlot(full))
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

// Guards against flows that go to an unsteady target, or to a full one in another data centre,
// because a fast target that is busy was picked before a steady one with a free slot.
func TestPaceSendsNoFlowsToUnsteadyOrFullFarTargets(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets []Target
		never   int
	}{
		{"unsteady", []Target{
			{Near: true, Slots: 2, Mean: 3, Running: 3, Service: ms(18)}, {Near: true, Slots: 2, Mean: 1, Service: ms(80)},
			{Near: true, Slots: 2, Unsteady: true},
		}, 2},
		{"full and far", []Target{{Near: true, Slots: 2, Mean: 1.5, Service: ms(44)}, {Slots: 2, Mean: 2.4, Running: 2.4, Service: ms(18)}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(related(t, c.targets, 300)[c.never], 0) })
	}
}
