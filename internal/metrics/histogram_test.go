package metrics

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
	var all map[string]Quantiles
	is.NoErr(json.Unmarshal([]byte(s.String()), &all))
	q := all["took"]
	is.Equal(q.Count, int64(102))
	is.True(q.P50 > 48 && q.P50 < 53)
	is.True(q.P99 > 98 && q.P99 < 103)
	is.True(q.Max > 59_000 && q.Max < 61_000) // the bound
}
