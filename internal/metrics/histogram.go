package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a latency histogram: from 0.1 ms, under which no decision of the
// system takes its callers' time, to a minute, past which no caller waits. Two
// digits keep it at some 20 kB.
const (
	histogramUnit   = 100 * time.Microsecond
	histogramMax    = time.Minute
	histogramDigits = 2
)

// Histogram gathers latencies.
type Histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// Quantiles are what a histogram publishes, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Histogram returns the histogram with the given name and makes it on first use.
func (s *Set) Histogram(name string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.vars.Get(name).(*Histogram); ok {
		return h
	}
	h := &Histogram{hist: hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)}
	s.vars.Set(name, h)
	return h
}

// Record notes one latency; one over the bound counts as the bound.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value within the bounds is always taken.
	_ = h.hist.RecordValue(int64(min(max(d, 0), histogramMax) / histogramUnit))
}

// Quantiles returns what was gathered so far.
func (h *Histogram) Quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(q float64) float64 { return ms(h.hist.ValueAtQuantile(q)) }
	return Quantiles{Count: h.hist.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: ms(h.hist.Max())}
}

func ms(units int64) float64 {
	return float64(time.Duration(units)*histogramUnit) / float64(time.Millisecond)
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	b, err := json.Marshal(h.Quantiles())
	if err != nil {
		return "{}" // plain numbers always encode
	}
	return string(b)
}
