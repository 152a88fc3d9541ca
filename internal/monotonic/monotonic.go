// Package monotonic converts times to readings of a clock that runs on evenly when the VM's
// time of day is set. Silence and idleness are measured on it.
package monotonic

import "time"

// origin precedes all readings by an hour, so that 0 can mean never.
var origin = time.Now().Add(-time.Hour)

// Nanos returns the reading that belongs to t, in nanoseconds. Readings can be compared
// within a process. t comes from time.Now; of a time without a monotonic reading the time
// of day is used.
func Nanos(t time.Time) int64 { return int64(t.Sub(origin)) }
