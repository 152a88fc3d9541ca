package simulation

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
)

// Outcome is what callers got.
type Outcome struct {
	Asked, InTime, Late, Unserved int
	// Worth is what was served as a part of what was asked for: 1 for all in time.
	Worth float64
	// P50 and P99 are of the requests served, from a request's first try.
	P50, P99 time.Duration
	// Twice counts requests that must run at most once and ran again.
	Twice int
}

// Share is a count as a part of what was asked for.
func (o Outcome) Share(n int) float64 {
	if o.Asked == 0 {
		return 0
	}
	return float64(n) / float64(o.Asked)
}

// outcome judges the requests that were made between two moments.
func (w *world) outcome(from, to time.Duration) Outcome {
	var o Outcome
	var took []time.Duration
	owed, earned := 0.0, 0.0
	for _, r := range w.requests {
		c := &w.d.Classes[r.class]
		if c.Once && r.runs > 1 {
			o.Twice++
		}
		if r.at < from || r.at >= to {
			continue
		}
		o.Asked++
		owed += c.Worth
		switch {
		case r.servedAt == 0:
			o.Unserved++
			continue
		case r.servedAt-r.at <= c.Aim:
			o.InTime++
			earned += c.Worth
		default:
			o.Late++
			earned += c.Worth * lateWorth
		}
		took = append(took, r.servedAt-r.at)
	}
	if owed > 0 {
		o.Worth = earned / owed
	}
	slices.Sort(took)
	if n := len(took); n > 0 {
		o.P50, o.P99 = took[n/2], took[n*99/100]
	}
	return o
}

func compareFlows(a, b packet.Flow) int {
	return cmp.Or(
		bytes.Compare(a.Client.IP[:], b.Client.IP[:]), cmp.Compare(a.Client.Port, b.Client.Port),
		bytes.Compare(a.Service.IP[:], b.Service.IP[:]), cmp.Compare(a.Service.Port, b.Service.Port),
	)
}

func sortRecords(records []flowlog.Record) {
	slices.SortFunc(records, func(a, b flowlog.Record) int { return compareFlows(a.Flow(), b.Flow()) })
}
