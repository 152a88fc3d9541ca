package control

import (
	"context"
	"sync"
	"time"

	"bergamotstall/internal/replica"
)

// solo is a log of one replica in memory. It stands in until package replica is
// plugged in.
type solo struct {
	mu      sync.Mutex
	index   uint64
	machine replica.StateMachine
}

func newSolo(m replica.StateMachine) *solo { return &solo{machine: m} }

func (s *solo) Propose(_ context.Context, command []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.machine.Apply(s.index, command), nil
}

func (s *solo) Barrier(context.Context) error { return nil }

func (s *solo) ContactAge() time.Duration { return 0 }
