package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// DefaultLate is the wait from which on a flow counts as late.
const DefaultLate = 100 * time.Millisecond

// served is the cause of a flow about which nothing is to be told.
const served = "passed on without delay"

// failing are the verdicts after which a caller has no answer from its flow.
var failing = map[string]bool{
	"refused-no-route": true, "refused-no-target": true, "reset-route-gone": true, "reset-nowhere": true,
	"dropped-unfound": true, "dropped-busy": true, "request-dropped": true,
}

// CauseOf sums a story up: the last verdict that failed the flow with its reason, if
// nothing passed it on after that; else what made it late; else that it was passed on.
func CauseOf(lines []Line, late time.Duration) string {
	failed, delayed := "", ""
	early := false
	for _, x := range lines {
		switch {
		case failing[x.Verdict]:
			failed = withReason(x)
		case x.Verdict == "held-early":
			early = true
		case x.Verdict == "placed", x.Verdict == "moved", x.Verdict == "found":
			failed = ""
			if waited := time.Duration(x.WaitedMS) * time.Millisecond; waited >= late {
				delayed = "late: " + withReason(x) + " after a wait"
				if early {
					delayed = "late: held until there was a table and agents"
				}
			}
		}
	}
	return cmp.Or(failed, delayed, served)
}

func withReason(x Line) string {
	if x.Reason == "" {
		return x.Verdict
	}
	return x.Verdict + ", " + x.Reason
}

// Group is the flows with one cause.
type Group struct {
	Cause string
	Flows []string
}

// Worst groups the flows that failed or were late by cause, the largest group first.
func (l *Log) Worst(late time.Duration) []Group {
	byCause := map[string][]string{}
	for flow := range l.byFlow {
		if cause := CauseOf(l.Story(flow), late); cause != served {
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

// WriteWorst prints each group with its count and some of its flows.
func WriteWorst(out io.Writer, groups []Group, examples int) {
	for _, g := range groups {
		fmt.Fprintf(out, "%7d  %s\n", len(g.Flows), g.Cause)
		for _, flow := range g.Flows[:min(examples, len(g.Flows))] {
			fmt.Fprintf(out, "         %s\n", flow)
		}
	}
}
