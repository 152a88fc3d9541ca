// Package clocktest lets tests set the time of day.
package clocktest

import (
	"time"
	"unsafe"
)

// secondsShift is the position of the seconds in the first word of a time.Time that
// carries a monotonic reading.
const secondsShift = 30

// SetTimeOfDay returns the time that time.Now would return in place of t if the time of day
// had been set ahead by whole seconds, or back if by is negative: the monotonic reading
// stays the same. t must come from time.Now.
func SetTimeOfDay(t time.Time, by time.Duration) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(int64(by/time.Second) << secondsShift)
	return t
}
