// Package logsink takes log lines without ever making their writer wait. A
// standard output that nobody reads would otherwise stop a data path at its next
// decision; and under a flood of decisions the log would cost more than they do.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait to be written, about 300 kB.
	queueLines = 1_024
	// LinesPerSecond bounds what one process writes, with bursts of twice as
	// many: 200 decisions a second are an ordinary second of a balancer.
	LinesPerSecond = 250
	// DropInterval is how often dropped lines are told of.
	DropInterval = 5 * time.Second
)

// Sink is an io.Writer of whole lines.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	closing chan struct{}
	done    sync.WaitGroup
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), limit: rate.NewLimiter(LinesPerSecond, 2*LinesPerSecond), closing: make(chan struct{})}
	s.done.Add(1)
	go s.run()
	return s
}

// Write implements io.Writer for one line; it never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limit.Allow() {
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

// Dropped returns how many lines were dropped since the last call.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Close writes what waits. Lines that come later are dropped.
func (s *Sink) Close() {
	close(s.closing)
	s.done.Wait()
}

func (s *Sink) run() {
	defer s.done.Done()
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-s.closing:
			s.drain()
			return
		}
	}
}

// drain writes what is queued.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

func (s *Sink) put(line []byte) {
	_, _ = s.out.Write(line) // there is nowhere left to tell of a failure
}
