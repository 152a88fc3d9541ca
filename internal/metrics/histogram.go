package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a latency histogram. Latencies below 0.1 ms don't matter to callers, and no
// caller waits longer than a minute. With two significant digits a histogram takes
// about 20 kB.
const (
	histogramResolution = 100 * time.Microsecond
	histogramMax        = time.Minute
	histogramDigits     = 2
)

// Histogram records latencies. It is safe for concurrent use and implements expvar.Var.
type Histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// Quantiles is what a histogram publishes: the number of latencies, and their quantiles
// and maximum in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Histogram returns the histogram with the given name, which it creates on first use.
func (s *Set) Histogram(name string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.vars.Get(name).(*Histogram); ok {
		return h
	}
	h := &Histogram{hist: hdrhistogram.New(1, int64(histogramMax/histogramResolution), histogramDigits)}
	s.vars.Set(name, h)
	return h
}

// Record adds one latency. Negative ones count as 0, and those above histogramMax as
// histogramMax.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of bounds.
	_ = h.hist.RecordValue(int64(min(max(d, 0), histogramMax) / histogramResolution))
}

// Quantiles returns the quantiles of the latencies recorded so far.
func (h *Histogram) Quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	percentile := func(q float64) float64 { return histogramUnitsToMS(h.hist.ValueAtQuantile(q)) }
	return Quantiles{Count: h.hist.TotalCount(), P50: percentile(50), P90: percentile(90), P99: percentile(99), Max: histogramUnitsToMS(h.hist.Max())}
}

// histogramUnitsToMS converts a value of the histogram, in units of histogramResolution, to
// milliseconds.
func histogramUnitsToMS(units int64) float64 {
	return float64(time.Duration(units)*histogramResolution) / float64(time.Millisecond)
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	b, err := json.Marshal(h.Quantiles())
	if err != nil {
		return "{}" // not reached: encoding plain numbers doesn't fail
	}
	return string(b)
}
