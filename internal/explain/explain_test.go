package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Two processes' logs. The first flow came before the balancer had a table, was placed
// after half a second, and its target had no room for it; the second was placed at
// once; the third changed balancers after its target was gone; the fourth's request
// waited at its agent for longer than its caller.
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

func read(t *testing.T) *Log {
	t.Helper()
	l := NewLog()
	for _, text := range []string{balancerLog, agentLog} {
		if err := l.Add(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

// The lines of both processes stand in order of time, each with what decided it, and
// end with the outcome. Half a line and a line of another writer are counted.
func TestStoryAcrossProcesses(t *testing.T) {
	is := is.New(t)
	l := read(t)
	is.Equal(l.Read, 10)
	is.Equal(l.Unreadable, 2)
	is.Equal(l.Flows(), 4)
	lines := l.Story("100.64.0.1:1030>198.18.0.1:443")
	var verdicts []string
	for _, x := range lines {
		verdicts = append(verdicts, x.Verdict)
	}
	is.Equal(verdicts, []string{"held-early", "placed", "refused-first", "refused-no-target"})
	var out bytes.Buffer
	WriteStory(&out, lines)
	for _, want := range []string{
		"+0.000 s  entry-1", "waited_ms=510", "agent-7                  701 refused-first reason=busy target=i-1 life_age_ms=3",
		"outcome: refused-no-target, busy\n",
	} {
		is.True(strings.Contains(out.String(), want)) // want
	}
	is.Equal(len(l.Story("nobody")), 0)
}

// Failed and late flows stand by cause; one that was passed on at once doesn't.
func TestWorstByCause(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	WriteWorst(&out, read(t).Worst(DefaultLate), 1)
	is.Equal(out.String(), `      1  refused-no-target, busy
         100.64.0.1:1030>198.18.0.1:443
      1  request-dropped
         100.64.0.4:1034>198.18.0.1:443
      1  reset-nowhere
         100.64.0.3:1032>198.18.0.1:443
`)
}

// A flow that failed with one agent and was moved to another is late, not failed.
func TestCauses(t *testing.T) {
	for _, c := range []struct {
		name  string
		lines []Line
		cause string
	}{
		{"moved in time", []Line{{Verdict: "placed"}, {Verdict: "refused-first", Reason: "draining"}, {Verdict: "moved", Reason: "draining", WaitedMS: 2}}, served},
		{"moved late", []Line{{Verdict: "placed"}, {Verdict: "moved", Reason: "silent", WaitedMS: 160}}, "late: moved, silent after a wait"},
		{"held", []Line{{Verdict: "held-early"}, {Verdict: "placed", WaitedMS: 300}}, "late: held until there was a table and agents"},
		{"found after a drop", []Line{{Verdict: "dropped-unfound"}, {Verdict: "found", WaitedMS: 5}}, served},
		{"dropped after all", []Line{{Verdict: "found"}, {Verdict: "dropped-unfound"}}, "dropped-unfound"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(CauseOf(c.lines, DefaultLate), c.cause)
		})
	}
}

// FuzzAdd: no bytes make the reader fail or lose count of the lines.
func FuzzAdd(f *testing.F) {
	f.Add([]byte(balancerLog))
	f.Add([]byte("{\"event\":700}\n\x00{"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l := NewLog()
		if err := l.Add(bytes.NewReader(raw)); err != nil {
			t.Fatal(err)
		}
		l.Worst(DefaultLate)
		if l.Unreadable > l.Read {
			t.Errorf("%d of %d lines unreadable", l.Unreadable, l.Read)
		}
	})
}
