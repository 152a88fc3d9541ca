package target

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Cut is the point in a request at which the target drops the connection.
type Cut string

// The points at which a connection is cut.
const (
	CutNever Cut = ""
	// CutBefore drops the connection before the body is read.
	CutBefore Cut = "before"
	// CutDuring drops it after half of the body was transferred. A submission hasn't
	// run then.
	CutDuring Cut = "during"
	// CutAfter drops it after the submission has run, without an answer.
	CutAfter Cut = "after"
)

// Shed is when the target rejects requests with status 503.
type Shed string

// When load is shed.
const (
	ShedNever Shed = ""
	// ShedFull sheds requests while all slots are in use. The other modes let them
	// wait for a slot.
	ShedFull Shed = "full"
	// ShedAlways sheds every request.
	ShedAlways Shed = "always"
)

// Health is how the health endpoint answers.
type Health string

// Modes of the health endpoint.
const (
	// HealthAccurate answers 503 while the target sheds every request, drains, drops
	// connections or is silent, otherwise 200.
	HealthAccurate Health = ""
	// HealthAlwaysOK always answers 200.
	HealthAlwaysOK Health = "well"
	// HealthAlwaysFailing always answers 503.
	HealthAlwaysFailing Health = "ill"
)

// Faults describes how a target behaves. The zero value is a target without faults. It
// is encoded as JSON for /_faults.
type Faults struct {
	// Slots is how many requests run at once; 0 means 4.
	Slots int
	// Work is how long a request occupies its slot.
	Work time.Duration
	// ColdStart is how long after its start the target is cold. Requests take
	// ColdFactor times as long at first; the factor falls linearly to 1.
	ColdStart  time.Duration
	ColdFactor float64
	// Slow multiplies Work; 0 means 1.
	Slow  float64
	Shed  Shed
	Drain bool
	Cut   Cut
	// Silent targets read requests but send no answer before the caller disconnects.
	Silent bool
	Health Health
	// LoadAge is how old the load endpoint's values may be before they are renewed.
	LoadAge time.Duration
}

// SetFaults replaces the target's faults. Requests in progress keep the previous ones,
// except that the number of slots changes at once.
func (t *Target) SetFaults(f Faults) {
	if f.Slots <= 0 {
		f.Slots = defaultSlots
	}
	t.mu.Lock()
	t.faults = f
	t.mu.Unlock()
	t.slots.resize(f.Slots)
}

// Faults returns the faults that apply to new requests.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

func (t *Target) handleGetFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Faults()) }

// workTime returns how long a request that starts now occupies its slot.
func (t *Target) workTime(f Faults) time.Duration {
	factor := 1.0
	if f.Slow > 0 {
		factor = f.Slow
	}
	age := time.Since(t.started)
	if age < f.ColdStart && f.ColdFactor > 1 {
		remaining := 1 - float64(age)/float64(f.ColdStart)
		factor *= 1 + (f.ColdFactor-1)*remaining
	}
	return time.Duration(float64(f.Work) * factor)
}

// slots is a semaphore whose size may change while it is in use.
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

// acquire waits for a slot until ctx is done, or doesn't wait if wait is false. It
// reports whether it got a slot.
func (s *slots) acquire(ctx context.Context, wait bool) bool {
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
		return !s.cancelWait(ready)
	}
}

// cancelWait removes a waiter. It returns false if the waiter already has a slot.
func (s *slots) cancelWait(ready chan struct{}) bool {
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
