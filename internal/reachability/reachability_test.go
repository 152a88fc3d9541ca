package reachability

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// play ticks a record from start, with an answer to each probe where answered
// is set, and returns the probes sent and when the agent was judged down.
func play(r *Record, ticks int, answered func(tick int) bool) (probes int, down time.Duration) {
	for i := range ticks {
		now := start.Add(time.Duration(i) * Tick)
		r.Sent(now)
		if r.Judge(now) {
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

// An agent that answers nothing is judged unreachable within the patience, after
// several probes, and probed on at a slower pace.
func TestSilentAgentIsJudgedDown(t *testing.T) {
	is := is.New(t)
	probes, down := play(new(Record), 7, func(int) bool { return false })
	is.Equal(down, patience)
	is.Equal(probes, 4)
	probes, _ = play(new(Record), 107, func(int) bool { return false })
	is.Equal(probes, 14)
}

// An agent whose answers go elsewhere, or that has nothing to answer, is probed
// about once a second and never judged unreachable.
func TestQuietAgentIsNotJudgedDown(t *testing.T) {
	is := is.New(t)
	probes, down := play(new(Record), 1000, func(int) bool { return true })
	is.Equal(down, time.Duration(0))
	is.True(probes > 50 && probes < 100)
}

// Three of four probes lost leave an agent in service.
func TestLostProbesAreForgiven(t *testing.T) {
	is := is.New(t)
	_, down := play(new(Record), 1000, func(tick int) bool { return tick%3 == 0 })
	is.Equal(down, time.Duration(0))
}

// An agent that answers again is in service at once.
func TestAgentComesBack(t *testing.T) {
	is := is.New(t)
	r := new(Record)
	_, down := play(r, 50, func(int) bool { return false })
	is.True(down > 0)
	r.Heard(start.Add(time.Minute))
	is.True(!r.Down())
	is.True(!r.Judge(start.Add(time.Minute)))
}

// An agent that is heard all the time is never probed, whatever is sent.
func TestBusyAgentIsNotProbed(t *testing.T) {
	is := is.New(t)
	r := new(Record)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * Tick / 10)
		r.Sent(now)
		is.True(!r.Judge(now))
		r.Heard(now)
	}
}

// An agent whose VM refuses two probes in a row is dead at once; one that is
// merely silent is given seconds, and one that answers at all is reachable.
func TestInquiry(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		signs string
		want  Finding
		after time.Duration
	}{
		{"rr", Dead, Tick},
		{"rsr", Open, 2 * Tick},
		{"rsrr", Dead, 3 * Tick},
		{"sssssssssssssssssssssssssssss", Open, 28 * Tick},
		{"sssssssssssssssssssssssssssssss", Dead, InquiryPatience},
		{"sssssssssssssssssssra", Reachable, 20 * Tick},
	} {
		q, now, got := NewInquiry(start), start, Open
		for i, sign := range x.signs {
			now = start.Add(time.Duration(i) * Tick)
			got = q.Note(now, map[rune]Sign{'r': Refused, 's': Silent, 'a': Alive}[sign])
		}
		is.Equal(got, x.want)
		is.Equal(now.Sub(start), x.after)
	}
}

// The inquiring VM itself gets no processor time: in three seconds it sends five
// probes. That says nothing about the other agent, whose callers' open flows must
// not be given up for it; only thirty unanswered probes in a row do.
func TestStarvedInquirerCondemnsNobody(t *testing.T) {
	is := is.New(t)
	q := NewInquiry(start)
	for i := 1; i <= 5; i++ {
		is.Equal(q.Note(start.Add(time.Duration(i)*time.Second), Silent), Open)
	}
	got := Open
	for i := 6; got == Open; i++ {
		is.True(i <= silencesEnough)
		got = q.Note(start.Add(time.Duration(i)*time.Second), Silent)
	}
	is.Equal(got, Dead)
}
