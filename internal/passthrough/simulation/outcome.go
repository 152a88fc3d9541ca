package simulation

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
)

// Outcome summarizes what callers got.
type Outcome struct {
	Requests, InTime, Late, Unserved int
	// Worth is the value of all answers as a fraction of the value if all requests had
	// been answered in time; 1 means all in time.
	Worth float64
	// P50 and P99 are latencies of served requests, from the first attempt.
	P50, P99 time.Duration
	// RanTwice counts requests that must run at most once but ran more than once.
	RanTwice int
}

// Share returns a count as a fraction of all requests.
func (o Outcome) Share(n int) float64 {
	if o.Requests == 0 {
		return 0
	}
	return float64(n) / float64(o.Requests)
}

// outcome summarizes the requests made from one time until before another. RanTwice
// counts requests of the whole run.
func (w *world) outcome(from, to time.Duration) Outcome {
	var o Outcome
	var answerTimes []time.Duration
	possible, achieved := 0.0, 0.0
	for _, r := range w.requests {
		c := &w.d.Classes[r.class]
		if c.AtMostOnce && r.runs > 1 {
			o.RanTwice++
		}
		if r.at < from || r.at >= to {
			continue
		}
		o.Requests++
		possible += c.Worth
		switch {
		case r.servedAt == 0:
			o.Unserved++
			continue
		case r.servedAt-r.at <= c.LatencyGoal:
			o.InTime++
			achieved += c.Worth
		default:
			o.Late++
			achieved += c.Worth * lateWorthFactor
		}
		answerTimes = append(answerTimes, r.servedAt-r.at)
	}
	if possible > 0 {
		o.Worth = achieved / possible
	}
	slices.Sort(answerTimes)
	if n := len(answerTimes); n > 0 {
		o.P50, o.P99 = answerTimes[n/2], answerTimes[n*99/100]
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
