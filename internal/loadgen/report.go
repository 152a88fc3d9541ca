package loadgen

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"bergamotstall/internal/check"
)

// Report is the summary of a load.
type Report struct {
	Seconds     float64       `json:"seconds"`
	FlowsOpened int           `json:"flowsOpened"`
	FlowsBroken int           `json:"flowsBroken"`
	Requests    int           `json:"requests"`
	Whole       int           `json:"wholeAnswers"`
	Damaged     int           `json:"damagedAnswers"`
	Cut         int           `json:"cut"`
	Unknown     int           `json:"unknown"`
	Bytes       int64         `json:"bytes"`
	Reasons     []ReasonCount `json:"reasons"`
	Latencies   []Latency     `json:"latencies"`
}

// ReasonCount counts one reason of one kind of failure, such as refused requests or
// broken flows.
type ReasonCount struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
}

// Latency is the answer time of one kind of request, in milliseconds.
type Latency struct {
	Kind  string  `json:"kind"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50ms"`
	P90   float64 `json:"p90ms"`
	P99   float64 `json:"p99ms"`
	P999  float64 `json:"p999ms"`
	Max   float64 `json:"maxms"`
}

// Report returns a summary of what was recorded so far.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{
		Seconds:     time.Since(r.began).Seconds(),
		FlowsOpened: len(r.flows) + r.open,
		Requests:    len(r.attempts),
		Bytes:       r.bytes,
	}
	out.Reasons = append(out.Reasons, r.flowsNotOpened...)
	for _, f := range r.flows {
		if f.Broken {
			out.FlowsBroken++
			out.count("flow broken", f.Reason)
		}
	}
	for _, a := range r.attempts {
		out.add(a)
	}
	slices.SortFunc(out.Reasons, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	for k := range kinds {
		h := r.latencies[k]
		if h.TotalCount() == 0 {
			continue
		}
		out.Latencies = append(out.Latencies, Latency{
			Kind: k.String(), Count: h.TotalCount(),
			P50: millis(quantile(h, 50)), P90: millis(quantile(h, 90)), P99: millis(quantile(h, 99)),
			P999: millis(quantile(h, 99.9)), Max: millis(time.Duration(h.Max()) * time.Microsecond),
		})
	}
	return out
}

func (out *Report) add(a check.Attempt) {
	switch a.Outcome {
	case check.Answered:
		if a.Damaged {
			out.Damaged++
			out.count("damaged", a.Reason)
			return
		}
		out.Whole++
		return
	case check.Cut:
		out.Cut++
	case check.Unknown:
		out.Unknown++
	}
	out.count(a.Outcome.String(), a.Reason)
}

func (out *Report) count(outcome, reason string) {
	for i := range out.Reasons {
		if out.Reasons[i].Outcome == outcome && out.Reasons[i].Reason == reason {
			out.Reasons[i].Count++
			return
		}
	}
	out.Reasons = append(out.Reasons, ReasonCount{Outcome: outcome, Reason: reason, Count: 1})
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Write prints the report as text.
func (out Report) Write(w io.Writer) {
	fmt.Fprintf(w, "time                %.1f s\n", out.Seconds)
	fmt.Fprintf(w, "flows opened        %d\n", out.FlowsOpened)
	fmt.Fprintf(w, "flows broken        %d\n", out.FlowsBroken)
	fmt.Fprintf(w, "requests            %d (%.1f a second)\n", out.Requests, float64(out.Requests)/out.Seconds)
	fmt.Fprintf(w, "whole answers       %d\n", out.Whole)
	fmt.Fprintf(w, "damaged answers     %d\n", out.Damaged)
	fmt.Fprintf(w, "cut                 %d\n", out.Cut)
	fmt.Fprintf(w, "unknown outcome     %d\n", out.Unknown)
	fmt.Fprintf(w, "received            %.1f MB (%.1f MB a second)\n", float64(out.Bytes)/1e6, float64(out.Bytes)/1e6/out.Seconds)
	for _, c := range out.Reasons {
		fmt.Fprintf(w, "  %-12s %6d  %s\n", c.Outcome, c.Count, c.Reason)
	}
	for _, l := range out.Latencies {
		fmt.Fprintf(w, "%-9s %7d  p50 %.2f ms  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f\n", l.Kind, l.Count, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
}
