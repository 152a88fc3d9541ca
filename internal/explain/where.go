package explain

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bergamotstall/internal/passthrough/forward"
)

// WriteWhere prints where a balancer would send a new flow, and why.
func WriteWhere(w io.Writer, x *forward.Explanation) {
	fmt.Fprintf(w, "  %s, by version %d\n", decision(x), x.Version)
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "  \tagent\tservice\tdata centre\tscore\trunning\tslots\tflows\treport\t")
	for _, c := range x.Candidates {
		fmt.Fprintf(table, "  %s\t%s\t%016x\t%s\t%.2f\t%d\t%d\t%d\t%s\t%s\n",
			mark(c), c.Agent, uint64(c.Service), c.Zone, c.Score, c.Running, c.Slots, c.Flows, age(c), note(c))
	}
	_ = table.Flush()
}

func decision(x *forward.Explanation) string {
	switch {
	case x.Verdict == forward.Placed && x.Service != x.Picked:
		return fmt.Sprintf("placed at %s: no target of the service %016x that the weights pick has a free slot", x.Agent, uint64(x.Picked))
	case x.Verdict == forward.Placed:
		return fmt.Sprintf("placed at %s", x.Agent)
	case x.Verdict == 0:
		return fmt.Sprintf("first asks %v for their load", x.Probed)
	}
	return x.Verdict.String()
}

func mark(c forward.Candidate) string {
	if c.Chosen {
		return "->"
	}
	return ""
}

func age(c forward.Candidate) string {
	if c.Fresh {
		return c.ReportAge.Round(time.Millisecond).String()
	}
	return "outdated"
}

// note says why an agent isn't among those that are compared.
func note(c forward.Candidate) string {
	switch {
	case c.Unfit != "":
		return string(c.Unfit)
	case !c.Preferred:
		return "not preferred by this caller's flow"
	}
	return ""
}
