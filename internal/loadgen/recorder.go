package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotstall/internal/check"
)

const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Recorder gathers what callers saw. Many flows write to it at once.
type Recorder struct {
	mu       sync.Mutex
	began    time.Time
	attempts []check.Attempt
	kindOf   []Kind
	flows    []check.Flow
	open     int
	bytes    int64
	seconds  []Second
	took     [kinds]*hdrhistogram.Histogram
	events   []Mark
	refused  []ReasonCount
}

// Second is what happened in one second of the run, for plots.
type Second struct {
	At       int
	Answered int
	Refused  int
	Broken   int
	Cut      int
	Opened   int
	took     *hdrhistogram.Histogram
}

// P50 and P99 are the answer times of downloads and submissions that ended in
// this second.
func (s Second) P50() time.Duration { return quantile(s.took, 50) }

// P99 is described at P50.
func (s Second) P99() time.Duration { return quantile(s.took, 99) }

// Mark is something done to the system during the run, such as a drain.
type Mark struct {
	At   time.Duration
	What string
}

// NewRecorder starts a record.
func NewRecorder() *Recorder {
	r := &Recorder{began: time.Now()}
	for i := range r.took {
		r.took[i] = hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	return r
}

// Mark notes an event of the run for reports.
func (r *Recorder) Mark(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, Mark{At: time.Since(r.began), What: what})
}

// Record returns what callers saw so far, for package check.
func (r *Recorder) Record() check.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return check.Record{
		Attempts: append([]check.Attempt(nil), r.attempts...),
		Flows:    append([]check.Flow(nil), r.flows...),
	}
}

// OpenFlows is the number of flows open now.
func (r *Recorder) OpenFlows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *Recorder) flowOpened() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open++
	r.second().Opened++
}

func (r *Recorder) flowEnded(f check.Flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.flows = append(r.flows, f)
	if f.Broken {
		r.second().Broken++
	}
}

func (r *Recorder) attempt(kind Kind, a check.Attempt, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
	r.kindOf = append(r.kindOf, kind)
	r.bytes += bytes
	sec := r.second()
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
	_ = r.took[kind].RecordValue(min(micros, highestMicros))
	if kind != Feed {
		_ = sec.took.RecordValue(min(micros, highestMicros))
	}
}

// second returns the present second; mu is held.
func (r *Recorder) second() *Second {
	at := int(time.Since(r.began) / time.Second)
	for len(r.seconds) <= at {
		r.seconds = append(r.seconds, Second{
			At:   len(r.seconds),
			took: hdrhistogram.New(lowestMicros, highestMicros, 2),
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

// Seconds returns the run second by second.
func (r *Recorder) Seconds() []Second {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Second(nil), r.seconds...)
}

// Marks returns the events noted so far.
func (r *Recorder) Marks() []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Mark(nil), r.events...)
}
