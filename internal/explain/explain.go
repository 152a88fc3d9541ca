// Package explain reads the logs of balancers and agents of pass-through flows and
// tells what happened to one flow, which causes failed and late flows have, or how much
// the processes said to each other.
//
// Nothing of the system can read a request; a complaint about one starts with its
// flow, and each decision on a flow is one line in the log of the process that took
// it. The lines of all processes together, in order of time, are the flow's story.
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

// maxLine bounds one log line; processes write some hundred bytes.
const maxLine = 1 << 20

// Line is one decision on a flow.
type Line struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Event   int       `json:"event"`
	Flow    string    `json:"flow"`
	Verdict string    `json:"verdict"`
	// Reason is why an agent handed the packet back.
	Reason string `json:"reason"`
	// Agent is the one that a balancer chose or found, Target the incarnation that
	// an agent decided about.
	Agent  string `json:"agent"`
	Target string `json:"target"`
	// WaitedMS is how long the packet had waited, in milliseconds; ReportAgeMS and
	// LifeAgeMS are how old the deciding input was.
	WaitedMS    int64 `json:"waited_ms"`
	ReportAgeMS int64 `json:"report_age_ms"`
	LifeAgeMS   int64 `json:"life_age_ms"`
	// Asked agents were asked for the flow's holder, Silent ones didn't answer.
	Asked    int  `json:"asked"`
	Silent   int  `json:"silent"`
	Overflow bool `json:"overflow"`
}

// Log holds the lines on flows of any number of processes.
type Log struct {
	byFlow  map[string][]Line
	traffic map[string]*vmTraffic
	// Read and Unreadable count lines: all, and those that are no log line.
	Read, Unreadable int
}

// NewLog returns a log without lines.
func NewLog() *Log { return &Log{byFlow: map[string][]Line{}, traffic: map[string]*vmTraffic{}} }

// Add reads one process's log, or several in one. What stands before the JSON, as
// collectors put it there, is passed over. Lines that can't be read are counted: a
// process that was killed may have left half a line.
func (l *Log) Add(from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		l.take(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "explain: read")
	}
	return nil
}

func (l *Log) take(raw []byte) {
	l.Read++
	var line Line
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 || json.Unmarshal(raw[begin:], &line) != nil || line.Event == 0 {
		l.Unreadable++
		return
	}
	if line.Event == trafficEvent && l.takeTraffic(line.VM, raw[begin:]) != nil {
		l.Unreadable++
		return
	}
	if line.Flow != "" {
		l.byFlow[line.Flow] = append(l.byFlow[line.Flow], line)
	}
}

// Flows returns how many flows have a line.
func (l *Log) Flows() int { return len(l.byFlow) }

// Story returns a flow's lines in order of time; none if it is unknown.
func (l *Log) Story(flow string) []Line {
	lines := slices.Clone(l.byFlow[flow])
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

// WriteStory prints a flow's lines, with the time since the first.
func WriteStory(out io.Writer, lines []Line) {
	for _, x := range lines {
		fmt.Fprintf(out, "%+9.3f s  %-24s %d %s%s\n", x.Time.Sub(lines[0].Time).Seconds(), x.VM, x.Event, x.Verdict, x.inputs())
	}
	fmt.Fprintf(out, "outcome: %s\n", CauseOf(lines, DefaultLate))
}

// inputs are what decided, as far as it is known.
func (x Line) inputs() string {
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
