package simulation

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testDeployment returns a deployment with three slots per target. Its callers keep feeds
// open and send each submission over a new flow.
func testDeployment() Deployment {
	return Deployment{
		Zones: 3, Balancers: 3, Targets: 7, Archive: 3, Slots: 3, QueueLimit: 12, ColdTime: 2 * time.Second, ColdSlowdown: 1.6,
		CallerDelay: time.Millisecond, ZoneDelay: 900 * time.Microsecond, Callers: 99, Retries: 2,
		Outage: 1200 * time.Millisecond, TableDelay: 500 * time.Millisecond,
		Classes: []Class{
			{Name: "feed", Rate: 292, Work: 22 * time.Millisecond, LatencyGoal: 120 * time.Millisecond, Deadline: 2 * time.Second, Priority: 2, Feed: true, Worth: 1},
			{Name: "submission", Rate: 83, Work: 29 * time.Millisecond, LatencyGoal: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond, Priority: 1, AtMostOnce: true, Worth: 2},
			{Name: "download", Rate: 25, Work: 5 * time.Millisecond, LatencyGoal: 500 * time.Millisecond, Deadline: 8 * time.Second, Priority: 2, Worth: 1, Archive: true},
		},
	}
}

func scenarioByName(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// meanOutcome runs a scenario with several seeds and returns means.
func meanOutcome(t *testing.T, name string, p Policies) (worth, unserved float64) {
	t.Helper()
	const seeds = 16
	for seed := range uint64(seeds) {
		o := Run(testDeployment(), scenarioByName(t, name), p, seed)
		if o.RanTwice > 0 {
			t.Errorf("%s, seed %d: %d submissions ran twice", name, seed, o.RanTwice)
		}
		worth += o.Worth / seeds
		unserved += o.Share(o.Unserved) / seeds
	}
	return worth, unserved
}

// Guards against runs that differ for the same seed, because engines iterate over maps.
func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	for _, s := range Scenarios() {
		d := RandomDeployment(rand.New(rand.NewPCG(8, 1)))
		is.Equal(Run(d, s, CurrentPolicies(), 8), Run(d, s, CurrentPolicies(), 8))
	}
}

// Guards against lost or late requests while there is capacity for all.
func TestAllServedWithoutDisturbance(t *testing.T) {
	is := is.New(t)
	quiet := Scenario{Name: "quiet", Duration: 4 * time.Second, start: func(*world) {}}
	o := Run(testDeployment(), quiet, CurrentPolicies(), 1)
	is.True(o.Requests > 1000)
	is.Equal(o.Unserved, 0)
	is.True(o.Share(o.InTime) > 0.99)
}

// Guards against a policy that passes requests over open flows straight to an overloaded
// target. They fill its queue in order of arrival, submissions wait behind feeds, and all
// are late. Holding them at the agent must be better, in a burst and in saturation.
func TestHoldingRequestsOfOpenFlows(t *testing.T) {
	for _, name := range []string{"burst", "saturation"} {
		passed, held := CurrentPolicies(), CurrentPolicies()
		passed.Flowtable.PassOpenFlows = true
		with, _ := meanOutcome(t, name, held)
		without, _ := meanOutcome(t, name, passed)
		t.Logf("%s: worth %.3f, %.3f if requests over open flows aren't held", name, with, without)
		if with <= without {
			t.Errorf("%s: worth %.3f, %.3f if requests over open flows aren't held", name, with, without)
		}
	}
}

// Guards against serving a backlog in order of arrival. After an outage, requests wait
// for cold targets. Oldest first, every later caller waits for the whole backlog; newest
// first, more requests are served in time and the others get the remaining slots.
func TestNewestFirstAfterOutage(t *testing.T) {
	inOrder := CurrentPolicies()
	inOrder.Flowtable.OldestFirst = true
	with, _ := meanOutcome(t, "outage", CurrentPolicies())
	without, _ := meanOutcome(t, "outage", inOrder)
	t.Logf("worth %.3f, %.3f in order of arrival", with, without)
	if with <= without {
		t.Errorf("worth %.3f, %.3f in order of arrival", with, without)
	}
}

// Guards against tables that differ for the same seed, and against random deployments
// outside their documented bounds.
func TestComparisonsAreRepeatable(t *testing.T) {
	is := is.New(t)
	some := []Scenario{scenarioByName(t, "burst"), scenarioByName(t, "release")}
	table := func() string {
		var out bytes.Buffer
		Write(&out, some, Compare([]Variant{Reference()}, some, 3, 4))
		return out.String()
	}
	is.Equal(table(), table())
	for n := range uint64(300) {
		d := RandomDeployment(rand.New(rand.NewPCG(n, n)))
		is.True(d.Slots >= 2 && d.Slots <= 16)
		is.True(d.Targets >= 2 && d.Targets <= 60)
		is.True(d.Balancers%d.Zones == 0)
		is.True(d.Classes[0].LatencyGoal >= 50*time.Millisecond)
	}
}

// Guards against placement by slots where targets differ in speed, or slow down before their
// slots are taken: callers of the slow ones are late beside fast ones with room.
func TestLearnedCapacityServesCallersOfUnequalTargets(t *testing.T) {
	for _, name := range []string{"unequal targets", "slow before full"} {
		bySlots := CurrentPolicies()
		bySlots.Overload.LearnedCapacity = false
		with, _ := meanOutcome(t, name, CurrentPolicies())
		without, _ := meanOutcome(t, name, bySlots)
		t.Logf("%s: worth %.4f, %.4f if nothing is learned", name, with, without)
		if with <= without {
			t.Errorf("%s: worth %.4f, %.4f if nothing is learned", name, with, without)
		}
	}
}

// Guards against callers who wait in a crowded data centre beside others with room.
func TestCrowdedDataCentreHandsOver(t *testing.T) {
	worth, unserved := meanOutcome(t, "crowded data centre", CurrentPolicies())
	if worth < 0.995 || unserved > 0 {
		t.Errorf("worth %.4f, unserved %.4f", worth, unserved)
	}
}
