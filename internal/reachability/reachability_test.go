package reachability

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/monotonic/clocktest"
)

var start = time.Now()

// runTicks runs a record from start. Probes are answered where answered returns true. It
// returns the number of probes sent and when the agent was marked down.
func runTicks(r *Detector, ticks int, answered func(tick int) bool) (probes int, down time.Duration) {
	for i := range ticks {
		now := start.Add(time.Duration(i) * Tick)
		r.Sent(now)
		if r.Update(now) {
			probes++
			if answered(i) {
				r.Answered(now)
			}
		}
		if r.Down() && down == 0 {
			down = now.Sub(start)
		}
	}
	return probes, down
}

// Guards against a silent agent that stays in service: it is marked down within
// downAfter, after several probes, and then probed at a lower rate.
func TestSilentAgentIsMarkedDown(t *testing.T) {
	is := is.New(t)
	probes, down := runTicks(new(Detector), 7, func(int) bool { return false })
	is.Equal(down, downAfter)
	is.Equal(probes, 4)
	probes, _ = runTicks(new(Detector), 107, func(int) bool { return false })
	is.Equal(probes, 14)
}

// Guards against an agent marked down because its answers take another path, or because
// it has nothing to answer: it is probed about once a second.
func TestQuietAgentStaysUp(t *testing.T) {
	is := is.New(t)
	probes, down := runTicks(new(Detector), 1000, func(int) bool { return true })
	is.Equal(down, time.Duration(0))
	is.True(probes > 50 && probes < 100)
}

// Guards against an agent marked down although it answers at least every third probe.
func TestLostProbesAreTolerated(t *testing.T) {
	is := is.New(t)
	_, down := runTicks(new(Detector), 1000, func(tick int) bool { return tick%3 == 0 })
	is.Equal(down, time.Duration(0))
}

// Guards against an agent that stays down although it answers again.
func TestAgentRecovers(t *testing.T) {
	is := is.New(t)
	r := new(Detector)
	_, down := runTicks(r, 50, func(int) bool { return false })
	is.True(down > 0)
	r.Heard(start.Add(time.Minute))
	is.True(!r.Down())
	is.True(!r.Update(start.Add(time.Minute)))
}

// Guards against agents that are marked down at once, or not at all, because the balancer's
// clock was set.
func TestClockStepsDoNotMarkAgentsDown(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			is := is.New(t)
			r := new(Detector)
			r.Heard(start)
			r.Sent(start.Add(50 * time.Millisecond))
			at := func(d time.Duration) time.Time { return clocktest.SetTimeOfDay(start.Add(d), by) }
			is.True(!r.Update(at(100 * time.Millisecond)))
			is.True(!r.Down())
			r.Heard(at(110 * time.Millisecond))
			r.Sent(at(200 * time.Millisecond))
			r.Update(at(200*time.Millisecond + downAfter))
			is.True(r.Down())
		})
	}
}

// Guards against probes to an agent that is heard all the time.
func TestActiveAgentIsNotProbed(t *testing.T) {
	is := is.New(t)
	r := new(Detector)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * Tick / 10)
		r.Sent(now)
		is.True(!r.Update(now))
		r.Heard(now)
	}
}

// Guards against wrong results of an agent check: two refusals in a row mean that the agent
// is dead at once, silence alone only after AgentCheckTimeout, and any answer that it is
// reachable.
func TestAgentCheckResults(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		signs string
		want  Result
		after time.Duration
	}{
		{"rr", Dead, Tick},
		{"rsr", Pending, 2 * Tick},
		{"rsrr", Dead, 3 * Tick},
		{"sssssssssssssssssssssssssssss", Pending, 28 * Tick},
		{"sssssssssssssssssssssssssssssss", Dead, AgentCheckTimeout},
		{"sssssssssssssssssssra", Reachable, 20 * Tick},
	} {
		q, now, got := NewAgentCheck(start), start, Pending
		for i, sign := range x.signs {
			now = start.Add(time.Duration(i) * Tick)
			got = q.Record(now, map[rune]ProbeOutcome{'r': Refused, 's': Silent, 'a': Alive}[sign])
		}
		is.Equal(got, x.want)
		is.Equal(now.Sub(start), x.after)
	}
}

// Guards against open flows given up because the checking VM is short of processor time:
// it sends five probes in as many seconds, which says nothing about the other agent. Only
// thirty unanswered probes declare that one dead.
func TestStarvedAgentDoesNotDeclareAnotherDead(t *testing.T) {
	is := is.New(t)
	q := NewAgentCheck(start)
	for i := 1; i <= 5; i++ {
		is.Equal(q.Record(start.Add(time.Duration(i)*time.Second), Silent), Pending)
	}
	got := Pending
	for i := 6; got == Pending; i++ {
		is.True(i <= silencesForDead)
		got = q.Record(start.Add(time.Duration(i)*time.Second), Silent)
	}
	is.Equal(got, Dead)
}
