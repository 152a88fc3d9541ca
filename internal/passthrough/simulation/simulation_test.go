package simulation

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// quoting is a deployment of three slots a target, whose callers keep feeds open and
// send submissions over flows of their own.
func quoting() Deployment {
	return Deployment{
		Zones: 3, Balancers: 3, Targets: 7, Archive: 3, Slots: 3, Queue: 12, Cold: 2 * time.Second, ColdFactor: 1.6,
		CallerDelay: time.Millisecond, ZoneDelay: 900 * time.Microsecond, Callers: 99, Retries: 2,
		Outage: 1200 * time.Millisecond, Return: 500 * time.Millisecond,
		Classes: []Class{
			{Name: "feed", Rate: 292, Work: 22 * time.Millisecond, Aim: 120 * time.Millisecond, Deadline: 2 * time.Second, Priority: 2, Feed: true, Worth: 1},
			{Name: "submission", Rate: 83, Work: 29 * time.Millisecond, Aim: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond, Priority: 1, Once: true, Worth: 2},
			{Name: "download", Rate: 25, Work: 5 * time.Millisecond, Aim: 500 * time.Millisecond, Deadline: 8 * time.Second, Priority: 2, Worth: 1, Archive: true},
		},
	}
}

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// mean plays a scenario with some seeds.
func mean(t *testing.T, name string, p Policies) (worth, unserved float64) {
	t.Helper()
	const seeds = 16
	for seed := range uint64(seeds) {
		o := Play(quoting(), scenario(t, name), p, seed)
		if o.Twice > 0 {
			t.Errorf("%s, seed %d: %d submissions ran twice", name, seed, o.Twice)
		}
		worth += o.Worth / seeds
		unserved += o.Share(o.Unserved) / seeds
	}
	return worth, unserved
}

// The same seed gives the same run, though the engines go through maps.
func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	for _, s := range Scenarios() {
		d := Draw(rand.New(rand.NewPCG(8, 1)))
		is.Equal(Play(d, s, InUse(), 8), Play(d, s, InUse(), 8))
	}
}

// Where there is room for all, all are served in time.
func TestNothingIsLostInQuietTimes(t *testing.T) {
	is := is.New(t)
	quiet := Scenario{Name: "quiet", Lasts: 4 * time.Second, begin: func(*world) {}}
	o := Play(quoting(), quiet, InUse(), 1)
	is.True(o.Asked > 1000)
	is.Equal(o.Unserved, 0)
	is.True(o.Share(o.InTime) > 0.99)
}

// More is asked for than the targets can run, most of it over flows that are open.
// If these requests fill the targets' own queues, in order of arrival, submissions
// wait behind feeds and all are late. Held back beside the target, they leave callers
// better off, in a burst and in longer saturation.
func TestOpenFlowsWaitInABurst(t *testing.T) {
	for _, name := range []string{"burst", "saturation"} {
		through, held := InUse(), InUse()
		through.Flowtable.PassOpenFlows = true
		with, _ := mean(t, name, held)
		without, _ := mean(t, name, through)
		t.Logf("%s: worth %.3f, %.3f if requests over open flows don't wait", name, with, without)
		if with <= without {
			t.Errorf("%s: worth %.3f, %.3f if requests over open flows don't wait", name, with, without)
		}
	}
}

// After an outage a backlog stands before cold targets. In order of arrival each
// later caller waits for all of it; the newest first, more of what is asked for is
// served in time, and what is left of the slots serves the others late.
func TestOutageIsOverSoonerForTheNewest(t *testing.T) {
	inOrder := InUse()
	inOrder.Flowtable.OldestFirst = true
	with, _ := mean(t, "outage", InUse())
	without, _ := mean(t, "outage", inOrder)
	t.Logf("worth %.3f, %.3f in order of arrival", with, without)
	if with <= without {
		t.Errorf("worth %.3f, %.3f in order of arrival", with, without)
	}
}

// The tables of two runs with one seed are the same to the byte, and drawn
// deployments stay within what they are said to be.
func TestComparisonsRepeat(t *testing.T) {
	is := is.New(t)
	some := []Scenario{scenario(t, "burst"), scenario(t, "release")}
	table := func() string {
		var out bytes.Buffer
		Write(&out, some, Compare([]Variant{Reference()}, some, 3, 4))
		return out.String()
	}
	is.Equal(table(), table())
	for n := range uint64(300) {
		d := Draw(rand.New(rand.NewPCG(n, n)))
		is.True(d.Slots >= 2 && d.Slots <= 16)
		is.True(d.Targets >= 2 && d.Targets <= 60)
		is.True(d.Balancers%d.Zones == 0)
		is.True(d.Classes[0].Aim >= 50*time.Millisecond)
	}
}
