// Package explain analyses the logs of balancers and agents of pass-through flows. It
// shows what happened to one flow, why flows failed or were late, and how many messages
// the processes exchanged.
//
// The system can't read requests, so an investigation starts from the flow. Each decision
// on a flow is one line in the log of the process that made it; the lines of all processes
// together, in order of time, are the flow's timeline.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLineBytes is the maximum length of a log line. Lines of the processes have a few
// hundred bytes.
const maxLineBytes = 1 << 20

// Line is a log line that records a decision on a flow. A field that the line doesn't
// have is zero.
type Line struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Event   int       `json:"event"`
	Flow    string    `json:"flow"`
	Verdict string    `json:"verdict"`
	// Reason is why an agent handed the packet back.
	Reason string `json:"reason"`
	// Agent is the agent that a balancer chose or found. Target is the incarnation of the
	// target that an agent decided about.
	Agent  string `json:"agent"`
	Target string `json:"target"`
	// WaitedMS is how long the packet was held. ReportAgeMS is the age of the load report
	// that a balancer's decision used, LifeAgeMS the time since the target's last sign of
	// life that an agent's decision used. All are in milliseconds.
	WaitedMS    int64 `json:"waited_ms"`
	ReportAgeMS int64 `json:"report_age_ms"`
	LifeAgeMS   int64 `json:"life_age_ms"`
	// Asked is how many agents were asked whether they hold the flow (of attempts, with
	// "refused-no-target"), Silent how many didn't answer. Overflow says that the agent
	// belongs to another service of the route than the weights selected.
	Asked    int  `json:"asked"`
	Silent   int  `json:"silent"`
	Overflow bool `json:"overflow"`
}

// Log holds log lines of any number of processes. It isn't safe for concurrent use.
type Log struct {
	byFlow  map[string][]Line
	traffic map[string]*vmTraffic
	// Read is how many lines were read, Unreadable how many of them aren't log lines.
	Read, Unreadable int
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{byFlow: map[string][]Line{}, traffic: map[string]*vmTraffic{}} }

// Add reads the log of one process, or a log that several processes share. Text before
// the JSON, as log collectors add, is skipped. Lines that aren't log lines are counted and
// skipped: a process that was killed may leave an incomplete line.
func (l *Log) Add(from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		l.addLine(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "explain: read")
	}
	return nil
}

func (l *Log) addLine(raw []byte) {
	l.Read++
	var line Line
	start := bytes.IndexByte(raw, '{')
	if start < 0 || json.Unmarshal(raw[start:], &line) != nil || line.Event == 0 {
		l.Unreadable++
		return
	}
	if line.Event == trafficEvent && l.addTraffic(line.VM, raw[start:]) != nil {
		l.Unreadable++
		return
	}
	if line.Flow != "" {
		l.byFlow[line.Flow] = append(l.byFlow[line.Flow], line)
	}
}

// Flows returns the number of flows that have at least one line.
func (l *Log) Flows() int { return len(l.byFlow) }

// Timeline returns the lines of a flow in order of time. It is empty if no line names the
// flow.
func (l *Log) Timeline(flow string) []Line {
	lines := slices.Clone(l.byFlow[flow])
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

// WriteTimeline prints the lines of a flow, each with the seconds since the first line,
// and the outcome. There must be at least one line.
func WriteTimeline(out io.Writer, lines []Line) {
	for _, x := range lines {
		fmt.Fprintf(out, "%+9.3f s  %-24s %d %s%s\n", x.Time.Sub(lines[0].Time).Seconds(), x.VM, x.Event, x.Verdict, x.details())
	}
	fmt.Fprintf(out, "outcome: %s\n", CauseOf(lines, DefaultLateThreshold))
}

// details returns the fields that a decision was based on, as far as the line has them.
func (x Line) details() string {
	var b strings.Builder
	add := func(name string, value any, known bool) {
		if known {
			fmt.Fprintf(&b, " %s=%v", name, value)
		}
	}
	add("reason", x.Reason, x.Reason != "")
	add("agent", x.Agent, x.Agent != "")
	add("report_age_ms", x.ReportAgeMS, x.Agent != "")
	add("waited_ms", x.WaitedMS, x.WaitedMS > 0)
	add("asked", x.Asked, x.Asked > 0)
	add("silent", x.Silent, x.Asked > 0)
	add("overflow", x.Overflow, x.Overflow)
	add("target", x.Target, x.Target != "")
	add("life_age_ms", x.LifeAgeMS, x.Target != "")
	return b.String()
}
