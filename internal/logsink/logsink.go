// Package logsink writes log lines without blocking their writers. Lines are queued, and
// dropped and counted if the queue is full or their rate is too high. Otherwise a
// standard output that nobody reads would block the data path at its next log line, and
// at a high rate of decisions logging them would cost more than making them.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is how many lines are queued at most, about 300 kB.
	maxQueuedLines = 1_024
	// LinesPerSecond is the rate limit of one process, with bursts of twice as many
	// lines. A balancer logs about 200 decisions a second under ordinary load.
	LinesPerSecond = 250
	// DropInterval is how often the number of dropped lines is logged.
	DropInterval = 5 * time.Second
)

// Sink is an io.Writer that takes one whole line in each Write. It is safe for
// concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
}

// New returns a sink that writes to out from a goroutine of its own, until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(LinesPerSecond, 2*LinesPerSecond), stop: make(chan struct{})}
	s.done.Add(1)
	go s.run()
	return s
}

// Write implements io.Writer for one line. It queues a copy and never blocks or fails; a
// line that is dropped counts as written.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limiter.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns the number of lines dropped since the previous call, and resets it.
func (s *Sink) TakeDropped() int64 { return s.dropped.Swap(0) }

// Close writes the queued lines and stops the sink. Lines that are written to the sink
// afterwards are lost.
func (s *Sink) Close() {
	close(s.stop)
	s.done.Wait()
}

func (s *Sink) run() {
	defer s.done.Done()
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-s.stop:
			s.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			return
		}
	}
}

func (s *Sink) writeLine(line []byte) {
	_, _ = s.out.Write(line) // an error can't be reported: this is the log's output
}
