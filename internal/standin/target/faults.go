package target

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Cut says where in a request the target drops the connection.
type Cut string

// The points at which a connection is cut.
const (
	CutNever Cut = ""
	// CutBefore drops the connection before the body is read.
	CutBefore Cut = "before"
	// CutDuring drops it with half of the body read; nothing has run.
	CutDuring Cut = "during"
	// CutAfter drops it after the submission ran, without an answer.
	CutAfter Cut = "after"
)

// Shed says when the target turns requests away with status 503.
type Shed string

// When load is shed.
const (
	ShedNever Shed = ""
	// ShedFull sheds where all slots are taken; otherwise requests wait.
	ShedFull Shed = "full"
	// ShedAlways sheds every request.
	ShedAlways Shed = "always"
)

// Health says what the health endpoint answers.
type Health string

// Answers of the health endpoint.
const (
	// HealthTrue answers 503 while the target sheds, drains or cuts.
	HealthTrue Health = ""
	// HealthSaysWell answers 200 whatever happens.
	HealthSaysWell Health = "well"
	// HealthSaysIll answers 503 whatever happens.
	HealthSaysIll Health = "ill"
)

// Faults is how a target behaves. The zero value is a sound target.
type Faults struct {
	// Slots is how many requests run at once; 0 means 4.
	Slots int
	// Work is how long a request holds its slot.
	Work time.Duration
	// ColdStart is the time after the start during which work takes longer: at
	// first ColdFactor times as long, falling evenly to once.
	ColdStart  time.Duration
	ColdFactor float64
	// Slow multiplies Work; 0 means 1.
	Slow  float64
	Shed  Shed
	Drain bool
	Cut   Cut
	// Silent reads requests and answers nothing until the caller gives up.
	Silent bool
	Health Health
	// LoadAge is how old the figures of the load endpoint are.
	LoadAge time.Duration
}

// SetFaults changes the target's behaviour for requests from now on.
func (t *Target) SetFaults(f Faults) {
	if f.Slots <= 0 {
		f.Slots = defaultSlots
	}
	t.mu.Lock()
	t.faults = f
	t.mu.Unlock()
	t.slots.resize(f.Slots)
}

// Faults returns the behaviour in force.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) takeFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

func (t *Target) answerFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Faults()) }

// workTime is how long a request that starts now holds its slot.
func (t *Target) workTime(f Faults) time.Duration {
	factor := 1.0
	if f.Slow > 0 {
		factor = f.Slow
	}
	age := time.Since(t.started)
	if age < f.ColdStart && f.ColdFactor > 1 {
		left := 1 - float64(age)/float64(f.ColdStart)
		factor *= 1 + (f.ColdFactor-1)*left
	}
	return time.Duration(float64(f.Work) * factor)
}

// slots is a semaphore whose size may change while it is held.
type slots struct {
	mu      sync.Mutex
	size    int
	running int
	waiting []chan struct{}
}

func (s *slots) resize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = size
	s.wake()
}

// take waits for a slot until ctx is done. Where wait is false it doesn't wait.
func (s *slots) take(ctx context.Context, wait bool) bool {
	s.mu.Lock()
	if s.running < s.size {
		s.running++
		s.mu.Unlock()
		return true
	}
	if !wait {
		s.mu.Unlock()
		return false
	}
	ready := make(chan struct{})
	s.waiting = append(s.waiting, ready)
	s.mu.Unlock()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return !s.leave(ready)
	}
}

// leave takes a waiter out; it returns false where the waiter has a slot.
func (s *slots) leave(ready chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.waiting {
		if x == ready {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.wake()
}

func (s *slots) wake() {
	for s.running < s.size && len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.running++
	}
}

func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
