package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// DefaultLateThreshold is the wait from which on a flow counts as late.
const DefaultLateThreshold = 100 * time.Millisecond

// onTime is what CauseOf returns for a flow that neither failed nor was late.
const onTime = "passed on without delay"

// failureVerdicts are the verdicts after which the caller gets no answer on its flow.
var failureVerdicts = map[string]bool{
	"refused-no-route": true, "refused-no-target": true, "reset-route-gone": true, "reset-nowhere": true,
	"dropped-unfound": true, "dropped-busy": true, "refused-bulk": true, "dropped-bulk": true, "request-dropped": true,
	"first-dropped": true, "refused-short": true, "dropped-may-be-open": true,
}

// CauseOf returns why a flow failed or was late, given its lines in order of time: the
// last verdict that failed the flow, with its reason, unless a packet was passed on after
// it; otherwise why the flow was late; otherwise that it was passed on without delay.
func CauseOf(lines []Line, threshold time.Duration) string {
	failure, delay := "", ""
	heldEarly := false
	for _, x := range lines {
		switch {
		case failureVerdicts[x.Verdict]:
			failure = verdictWithReason(x)
		case x.Verdict == "held-early":
			heldEarly = true
		case x.Verdict == "placed", x.Verdict == "moved", x.Verdict == "found":
			failure = ""
			if waited := time.Duration(x.WaitedMS) * time.Millisecond; waited >= threshold {
				delay = "late: " + verdictWithReason(x) + " after a wait"
				if heldEarly {
					delay = "late: held until there was a table and agents"
				}
			}
		}
	}
	return cmp.Or(failure, delay, onTime)
}

func verdictWithReason(x Line) string {
	if x.Reason == "" {
		return x.Verdict
	}
	return x.Verdict + ", " + x.Reason
}

// Group is the flows that failed or were late for the same cause.
type Group struct {
	Cause string
	Flows []string
}

// FailuresByCause returns the flows that failed or were late, grouped by cause, the
// largest group first.
func (l *Log) FailuresByCause(threshold time.Duration) []Group {
	byCause := map[string][]string{}
	for flow := range l.byFlow {
		if cause := CauseOf(l.Timeline(flow), threshold); cause != onTime {
			byCause[cause] = append(byCause[cause], flow)
		}
	}
	var out []Group
	for cause, flows := range byCause {
		slices.Sort(flows)
		out = append(out, Group{cause, flows})
	}
	slices.SortFunc(out, func(a, b Group) int {
		return cmp.Or(cmp.Compare(len(b.Flows), len(a.Flows)), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// WriteGroups prints the size, the cause and at most the given number of example flows
// of each group.
func WriteGroups(out io.Writer, groups []Group, examples int) {
	for _, g := range groups {
		fmt.Fprintf(out, "%7d  %s\n", len(g.Flows), g.Cause)
		for _, flow := range g.Flows[:min(examples, len(g.Flows))] {
			fmt.Fprintf(out, "         %s\n", flow)
		}
	}
}
