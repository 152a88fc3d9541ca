package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

var policy = DefaultPolicy()

func rng() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

func picks(t *testing.T, targets []Target, n int) []int {
	t.Helper()
	r := rng()
	count := make([]int, len(targets))
	for range n {
		i, ok := policy.Pick(r, targets)
		if !ok {
			t.Fatal("no target picked")
		}
		count[i]++
	}
	return count
}

func TestPickWithoutTargets(t *testing.T) {
	is := is.New(t)
	_, ok := policy.Pick(rng(), nil)
	is.Equal(ok, false)
}

// Requests pile up at a slow target, and it must get next to none of the new flows.
func TestSlowTargetGetsFewFlows(t *testing.T) {
	targets := []Target{
		{Near: true, Slots: 7, Running: 2, Mean: 2}, {Near: true, Slots: 7, Running: 2, Mean: 2},
		{Near: true, Slots: 7, Running: 20, Mean: 15},
	}
	if n := picks(t, targets, 3000)[2]; n > 30 {
		t.Errorf("the slow target got %d of 3,000", n)
	}
}

// A target that has just started takes longer for each request, and must get less than a
// warm one at the same load.
func TestColdTargetScoresHigher(t *testing.T) {
	is := is.New(t)
	cold, warm := Target{Slots: 4, Mean: 1, Cold: true}, Target{Slots: 4, Mean: 1}
	is.True(policy.Score(&cold) > policy.Score(&warm))
}

// Idle flows must count: a target with a hundred feeds isn't preferred to one with ten,
// even if it runs a little less.
func TestIdleFlowsCount(t *testing.T) {
	is := is.New(t)
	many, few := Target{Near: true, Slots: 4, Flows: 100}, Target{Near: true, Slots: 4, Flows: 10, Mean: 1}
	is.Equal(picks(t, []Target{many, few}, 100)[0], 0)
}

// Guards against targets that look saturated because they hold many long flows, though
// their slots are free: callers would queue at the other service of their route.
func TestIdleFlowsLeaveSlotsFree(t *testing.T) {
	is := is.New(t)
	idle := []Target{{Near: true, Slots: 2, Flows: 75, Mean: 0.5}, {Near: true, Slots: 2, Flows: 80, Mean: 0.5}}
	is.True(!policy.Overflow(idle))
	is.True(policy.HasSlot(idle))
	is.True(policy.HasRoom(&idle[0]))
}

// While the near data centre has room, no flow crosses. If it is full and the other one
// idle, flows cross. If both are full, they stay.
func TestFarTargetsAreUsedOnlyWhenNearAreBusy(t *testing.T) {
	is := is.New(t)
	near, far := Target{Near: true, Slots: 4, Mean: 2}, Target{Slots: 4}
	is.Equal(picks(t, []Target{near, far}, 100)[1], 0)
	near.Mean = 6
	is.Equal(picks(t, []Target{near, far}, 100)[1], 100)
	far.Mean = 6
	is.Equal(picks(t, []Target{near, far}, 100)[1], 0)
	is.Equal(picks(t, []Target{far}, 10)[0], 10)
}

// Targets with the same load must get the same share, whatever their place in the list.
func TestEqualTargetsGetEqualShares(t *testing.T) {
	targets := make([]Target, 8)
	for i := range targets {
		targets[i] = Target{Near: true, Slots: 4, Mean: 1}
	}
	for i, n := range picks(t, targets, 8000) {
		if n < 700 || n > 1300 {
			t.Errorf("target %d got %d of 8,000", i, n)
		}
	}
}

// Flows must go to another service only if no target of their own has a free slot, and
// only to targets that keep half of their slots free for their own service.
func TestOverflow(t *testing.T) {
	is := is.New(t)
	full, half := Target{Slots: 4, Mean: 4, Running: 9}, Target{Slots: 4, Mean: 3}
	is.True(!policy.Overflow([]Target{full, half}))
	is.True(policy.Overflow([]Target{full, full}))
	is.True(policy.Overflow(nil))
	is.True(!policy.HasRoom(&half))
	is.True(policy.HasRoom(&Target{Slots: 4, Mean: 1}))
}

// Two of four targets go down and up and lose what is sent to them. They must get nothing
// while the steady targets have a free slot, and then only what they have room for. If
// all targets are unsteady, all are used.
func TestUnsteadyTargetsGetOverflowOnly(t *testing.T) {
	is := is.New(t)
	targets := []Target{
		{Near: true, Slots: 4, Mean: 3}, {Near: true, Slots: 4, Mean: 3},
		{Near: true, Slots: 4, Unsteady: true}, {Slots: 4, Unsteady: true},
	}
	n := picks(t, targets, 100)
	is.Equal(n[2]+n[3], 0)
	targets[0].Mean, targets[1].Mean = 6, 6
	n = picks(t, targets, 100)
	is.Equal(n[2]+n[3], 100)
	targets[2].Mean, targets[3].Mean = 3, 3
	n = picks(t, targets, 100)
	is.Equal(n[2]+n[3], 0)
	n = picks(t, targets[2:], 100)
	is.Equal(n[0], 100) // the near target
}

// A target of two slots that was idle in its last report was sent two flows since. It is
// as full as one that reports two requests, and a third flow must go to another.
func TestFlowsSentSinceTheReportFillSlots(t *testing.T) {
	is := is.New(t)
	sent := Target{Near: true, Slots: 2, Sent: 2}
	is.True(policy.Score(&sent) >= policy.Saturated)
	other := Target{Near: true, Slots: 2, Mean: 1, Running: 1}
	is.Equal(picks(t, []Target{sent, other}, 100)[1], 100)
}
