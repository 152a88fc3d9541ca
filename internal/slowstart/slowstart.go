// Package slowstart paces changes of the share of new work that a target gets. It
// has no network and no clock; the time comes in as Unix milliseconds.
//
// Load patterns and rules:
//
//   - Cold start: a target that has just joined answers slowly until its caches
//     are filled. Given its whole share at once it becomes the one slow target
//     of its service. Its share grows evenly over SlowStartMS.
//   - A preset switched at the peak: weights jump everywhere within the same
//     second, and the targets that gain get a wave of new work before they have
//     shown how they bear it. Shares move evenly over ShiftMS. Open flows and
//     requests in progress are never moved.
//
// A target that drains gets nothing new at once: waiting has no use there.
package slowstart

import "bergamotstall/internal/table"

const (
	// SlowStartMS is the time from a target's joining to its whole share, in
	// milliseconds; see the sweep in docs/PLACEMENT.md.
	SlowStartMS = 10_000
	// ShiftMS is the time over which a change of weight takes effect. A target
	// whose weight falls to nothing must get no new work after a few seconds,
	// of which the distribution of the table takes a part.
	ShiftMS = 3_000
	// coldShare is the share at the moment of joining. With nothing at all a
	// cold target would never warm up.
	coldShare = 0.1
)

// Share returns the target's relative weight for new work at the given time.
// Shares of one service's targets are comparable with each other.
func Share(t table.Target, nowMS int64) float64 {
	if t.State != table.Active {
		return 0
	}
	return weight(t, nowMS) * warmth(t, nowMS)
}

// weight moves from the previous weight to the present one.
func weight(t table.Target, nowMS int64) float64 {
	from, to := float64(t.PreviousWeight), float64(t.Weight)
	if t.PreviousWeight == 0 && t.ChangedAtMS <= t.JoinedAtMS {
		// The first weight of a target that joins: slow start paces it.
		return to
	}
	return from + (to-from)*progress(nowMS-t.ChangedAtMS, ShiftMS)
}

func warmth(t table.Target, nowMS int64) float64 {
	return coldShare + (1-coldShare)*progress(nowMS-t.JoinedAtMS, SlowStartMS)
}

// progress is the part of a change that is over, from 0 to 1. A clock behind
// the control leader's sees a change that is still to come: none of it is over.
func progress(elapsed, whole int64) float64 {
	return min(max(float64(elapsed)/float64(whole), 0), 1)
}
