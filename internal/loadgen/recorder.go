package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotstall/internal/check"
)

const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Recorder collects what callers saw. It is safe for concurrent use.
type Recorder struct {
	mu             sync.Mutex
	began          time.Time
	attempts       []check.Attempt
	attemptKinds   []Kind
	flows          []check.Flow
	open           int
	bytes          int64
	seconds        []Second
	latencies      [kinds]*hdrhistogram.Histogram
	marks          []Mark
	flowsNotOpened []ReasonCount
}

// Second counts what happened in one second of the run, for plots.
type Second struct {
	At        int
	Answered  int
	Refused   int
	Broken    int
	Cut       int
	Opened    int
	latencies *hdrhistogram.Histogram
}

// P50 returns the median answer time of downloads and submissions that ended in this
// second.
func (s Second) P50() time.Duration { return quantile(s.latencies, 50) }

// P99 returns the 99th percentile of the same answer times as P50.
func (s Second) P99() time.Duration { return quantile(s.latencies, 99) }

// Mark is a change to the system during the run, such as a drain.
type Mark struct {
	At   time.Duration
	Name string
}

// NewRecorder returns a recorder whose run begins now.
func NewRecorder() *Recorder {
	r := &Recorder{began: time.Now()}
	for i := range r.latencies {
		r.latencies[i] = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return r
}

// Mark records a change to the system, for reports.
func (r *Recorder) Mark(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{At: time.Since(r.began), Name: what})
}

// Record returns the attempts and flows recorded so far, for package check.
func (r *Recorder) Record() check.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return check.Record{
		Attempts: append([]check.Attempt(nil), r.attempts...),
		Flows:    append([]check.Flow(nil), r.flows...),
	}
}

// OpenFlows returns the number of flows that are open now.
func (r *Recorder) OpenFlows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *Recorder) flowOpened() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open++
	r.currentSecond().Opened++
}

func (r *Recorder) flowEnded(f check.Flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.flows = append(r.flows, f)
	if f.Broken {
		r.currentSecond().Broken++
	}
}

func (r *Recorder) attempt(kind Kind, a check.Attempt, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
	r.attemptKinds = append(r.attemptKinds, kind)
	r.bytes += bytes
	sec := r.currentSecond()
	switch a.Outcome {
	case check.Answered:
		sec.Answered++
	case check.Cut, check.Unknown:
		sec.Cut++
	case check.NotRun, check.Refused:
		sec.Refused++
	}
	if a.Outcome != check.Answered {
		return
	}
	micros := max(lowestMicros, a.Took.Microseconds())
	_ = r.latencies[kind].RecordValue(min(micros, highestMicros))
	if kind != Feed {
		_ = sec.latencies.RecordValue(min(micros, highestMicros))
	}
}

// currentSecond returns the current second; mu is held.
func (r *Recorder) currentSecond() *Second {
	at := int(time.Since(r.began) / time.Second)
	for len(r.seconds) <= at {
		r.seconds = append(r.seconds, Second{
			At:        len(r.seconds),
			latencies: hdrhistogram.New(lowestMicros, highestMicros, 2),
		})
	}
	return &r.seconds[at]
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Seconds returns the counts of each second of the run.
func (r *Recorder) Seconds() []Second {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Second(nil), r.seconds...)
}

// Marks returns the changes recorded so far.
func (r *Recorder) Marks() []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Mark(nil), r.marks...)
}
