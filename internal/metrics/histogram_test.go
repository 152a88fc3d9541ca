package metrics

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against wrong units or lost latencies in what is published. Latencies out of
// bounds count as the nearest bound.
func TestHistogram(t *testing.T) {
	is := is.New(t)
	s := New()
	h := s.Histogram("took")
	is.Equal(s.Histogram("took"), h)
	for i := range 100 {
		h.Record(time.Duration(i+1) * time.Millisecond)
	}
	h.Record(time.Hour)
	h.Record(-time.Second)
	var published map[string]Quantiles
	is.NoErr(json.Unmarshal([]byte(s.String()), &published))
	quantiles := published["took"]
	is.Equal(quantiles.Count, int64(102))
	is.True(quantiles.P50 > 48 && quantiles.P50 < 53)
	is.True(quantiles.P99 > 98 && quantiles.P99 < 103)
	is.True(quantiles.Max > 59_000 && quantiles.Max < 61_000) // an hour counts as histogramMax
}
