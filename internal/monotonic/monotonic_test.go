package monotonic

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/monotonic/clocktest"
)

// Guards against readings that follow the time of day.
func TestReadingsIgnoreTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.True(Nanos(now) > 0)
	for _, by := range []time.Duration{-time.Hour, time.Hour} {
		later := clocktest.SetTimeOfDay(now.Add(time.Second), by)
		is.Equal(later.UnixNano()-now.UnixNano(), int64(by+time.Second))
		is.Equal(Nanos(later)-Nanos(now), int64(time.Second))
	}
}
