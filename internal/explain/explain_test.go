package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The logs of two processes. The first flow arrived before the balancer had a table, was
// placed after half a second, and then refused because its target was busy. The second
// was placed at once. The third moved to another balancer after its target had left. The
// request of the fourth was held at its agent until after its caller had given up.
const (
	balancerLog = `{"event":100,"msg":"process started","role":"balancer","time":"2026-07-18T01:13:03.261Z"}
{"event":700,"flow":"100.64.0.1:1030>198.18.0.1:443","verdict":"placed","agent":"10.0.0.7:7000","report_age_ms":40,"waited_ms":510,"time":"2026-07-18T01:13:03.800Z","vm":"entry-1"}
{"event":700,"flow":"100.64.0.1:1030>198.18.0.1:443","verdict":"held-early","time":"2026-07-18T01:13:03.290Z","vm":"entry-1"}
{"event":700,"flow":"100.64.0.1:1030>198.18.0.1:443","verdict":"refused-no-target","reason":"busy","asked":1,"time":"2026-07-18T01:13:04.150Z","vm":"entry-1"}
{"event":700,"flow":"100.64.0.2:1031>198.18.0.1:443","verdict":"placed","agent":"10.0.0.7:7000","report_age_ms":12,"time":"2026-07-18T01:13:05.000Z","vm":"entry-1"}
{"event":700,"flow":"100.64.0.3:1032>198.18.0.1:443","verdict":"reset-nowhere","asked":7,"time":"2026-07-18T01:13:05.100Z","vm":"entry-1"}
{"event":700,"flow":"100.64.0.3:1033>198.1`
	agentLog = `collector agent-7 {"event":701,"flow":"100.64.0.1:1030>198.18.0.1:443","verdict":"refused-first","reason":"busy","target":"i-1","life_age_ms":3,"time":"2026-07-18T01:13:04.148Z","vm":"agent-7"}
{"event":701,"flow":"100.64.0.4:1034>198.18.0.1:443","verdict":"request-dropped","target":"i-1","time":"2026-07-18T01:13:09Z","vm":"agent-7"}
not a log line
`
)

func readLogs(t *testing.T) *Log {
	t.Helper()
	l := NewLog()
	for _, text := range []string{balancerLog, agentLog} {
		if err := l.Add(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

// Guards against a timeline with lines missing or out of order: it must have the lines of
// both processes, ordered by time, each with what it was based on, and the outcome.
// Incomplete lines and lines of other writers are counted as unreadable.
func TestTimelineAcrossProcesses(t *testing.T) {
	is := is.New(t)
	l := readLogs(t)
	is.Equal(l.Read, 10)
	is.Equal(l.Unreadable, 2)
	is.Equal(l.Flows(), 4)
	lines := l.Timeline("100.64.0.1:1030>198.18.0.1:443")
	var verdicts []string
	for _, x := range lines {
		verdicts = append(verdicts, x.Verdict)
	}
	is.Equal(verdicts, []string{"held-early", "placed", "refused-first", "refused-no-target"})
	var out bytes.Buffer
	WriteTimeline(&out, lines)
	for _, want := range []string{
		"+0.000 s  entry-1", "waited_ms=510", "agent-7                  701 refused-first reason=busy target=i-1 life_age_ms=3",
		"outcome: refused-no-target, busy\n",
	} {
		is.True(strings.Contains(out.String(), want)) // want
	}
	is.Equal(len(l.Timeline("nobody")), 0)
}

// Flows that failed or were late are grouped by cause; a flow that was passed on without
// delay is in no group.
func TestFailuresByCause(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	WriteGroups(&out, readLogs(t).FailuresByCause(DefaultLateThreshold), 1)
	is.Equal(out.String(), `      1  refused-no-target, busy
         100.64.0.1:1030>198.18.0.1:443
      1  request-dropped
         100.64.0.4:1034>198.18.0.1:443
      1  reset-nowhere
         100.64.0.3:1032>198.18.0.1:443
`)
}

// Guards against wrong causes: a flow that one agent refused and that was moved to another
// one didn't fail; it is late if that took long.
func TestCauseOf(t *testing.T) {
	for _, c := range []struct {
		name  string
		lines []Line
		cause string
	}{
		{"moved in time", []Line{{Verdict: "placed"}, {Verdict: "refused-first", Reason: "draining"}, {Verdict: "moved", Reason: "draining", WaitedMS: 2}}, onTime},
		{"moved late", []Line{{Verdict: "placed"}, {Verdict: "moved", Reason: "silent", WaitedMS: 160}}, "late: moved, silent after a wait"},
		{"held", []Line{{Verdict: "held-early"}, {Verdict: "placed", WaitedMS: 300}}, "late: held until there was a table and agents"},
		{"found after a drop", []Line{{Verdict: "dropped-unfound"}, {Verdict: "found", WaitedMS: 5}}, onTime},
		{"dropped after all", []Line{{Verdict: "found"}, {Verdict: "dropped-unfound"}}, "dropped-unfound"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(CauseOf(c.lines, DefaultLateThreshold), c.cause)
		})
	}
}

// FuzzAdd checks that no input makes Add fail or count more unreadable lines than lines.
func FuzzAdd(f *testing.F) {
	f.Add([]byte(balancerLog))
	f.Add([]byte("{\"event\":700}\n\x00{"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l := NewLog()
		if err := l.Add(bytes.NewReader(raw)); err != nil {
			t.Fatal(err)
		}
		l.FailuresByCause(DefaultLateThreshold)
		if l.Unreadable > l.Read {
			t.Errorf("%d of %d lines unreadable", l.Unreadable, l.Read)
		}
	})
}
