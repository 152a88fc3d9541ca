// Package slowstart changes a target's share of new work gradually. It has no network and
// no clock; the time comes in as Unix milliseconds.
//
// Load patterns and rules:
//
//   - Cold start: a target that has just joined answers slowly until its caches are
//     filled. With its whole share at once it becomes the slowest target of its service,
//     so its share grows linearly over SlowStartMS.
//   - A preset switched at peak load: weights change everywhere within the same second,
//     and the targets that gain get a wave of new work before it is known how they cope.
//     So shares move linearly over ShiftMS. Open flows and requests in progress are never
//     moved.
//
// A draining target gets no new work at once: a gradual change would have no benefit
// there.
package slowstart

import "bergamotstall/internal/table"

const (
	// SlowStartMS is the time from a target's joining to its whole share, in
	// milliseconds; see docs/PLACEMENT.md.
	SlowStartMS = 10_000
	// ShiftMS is the time over which a change of weight takes effect, in milliseconds. A
	// target whose weight falls to zero must get no new work after a few seconds, part of
	// which is spent on distributing the table.
	ShiftMS = 3_000
	// coldShare is the share at the moment of joining. With a share of zero a cold target
	// would never warm up.
	coldShare = 0.1
)

// Share returns the target's relative weight for new work at the given time. The shares
// of one service's targets are comparable with each other.
func Share(t table.Target, nowMS int64) float64 {
	if t.State != table.Active {
		return 0
	}
	return weight(t, nowMS) * warmupFactor(t, nowMS)
}

// weight interpolates between the previous weight and the present one.
func weight(t table.Target, nowMS int64) float64 {
	from, to := float64(t.PreviousWeight), float64(t.Weight)
	if t.PreviousWeight == 0 && t.ChangedAtMS <= t.JoinedAtMS {
		// The first weight of a joining target; slow start applies to it.
		return to
	}
	return from + (to-from)*progress(nowMS-t.ChangedAtMS, ShiftMS)
}

// warmupFactor grows from coldShare to 1 while the target warms up.
func warmupFactor(t table.Target, nowMS int64) float64 {
	return coldShare + (1-coldShare)*progress(nowMS-t.JoinedAtMS, SlowStartMS)
}

// progress is the completed fraction of a change, from 0 to 1. If the local clock is
// behind the control leader's, the change is still in the future and the fraction is 0.
func progress(elapsed, duration int64) float64 {
	return min(max(float64(elapsed)/float64(duration), 0), 1)
}
