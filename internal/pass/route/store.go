package route

import (
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Store is the replicated state machine that keeps the definition with the
// highest version. Versions come from operators who may race, resend and lose
// answers: by keeping the highest, every replica ends with the same definition
// in whatever order the commands come, and a resend changes nothing.
type Store struct {
	current atomic.Pointer[State]

	mu      sync.Mutex
	changed chan struct{}
}

// State is a definition in force with what is derived from it once.
type State struct {
	Definition *Definition
	// Lean is the encoded definition without its document, as nodes get it.
	Lean []byte
}

// Outcome says what became of a command.
type Outcome byte

const (
	// Accepted means that the definition came into force.
	Accepted Outcome = iota + 1
	// Overtaken means that the same or a higher version was in force.
	Overtaken
	// Unreadable means that the command is no definition; nothing changed.
	Unreadable
)

// NewStore returns a store without a definition.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Current returns what is in force, nil before the first definition.
func (s *Store) Current() *State { return s.current.Load() }

// Version returns the version in force, 0 before the first.
func (s *Store) Version() Version {
	if c := s.current.Load(); c != nil {
		return c.Definition.Version
	}
	return 0
}

// Changed returns a channel that is closed when another definition comes into
// force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Command encodes a definition for the log.
func Command(d *Definition) ([]byte, error) {
	data, err := d.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "route: encode")
	}
	return data, nil
}

// Apply implements replica.StateMachine.
func (s *Store) Apply(_ uint64, command []byte) []byte {
	d := new(Definition)
	if _, err := d.UnmarshalMsg(command); err != nil {
		return []byte{byte(Unreadable)}
	}
	if d.Version <= s.Version() {
		return []byte{byte(Overtaken)}
	}
	if err := s.put(d); err != nil {
		return []byte{byte(Unreadable)}
	}
	return []byte{byte(Accepted)}
}

func (s *Store) put(d *Definition) error {
	lean := *d
	lean.Document = nil
	data, err := lean.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "route: encode")
	}
	s.current.Store(&State{Definition: d, Lean: data})
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Snapshot implements replica.StateMachine.
func (s *Store) Snapshot() ([]byte, error) {
	c := s.current.Load()
	if c == nil {
		return []byte{}, nil
	}
	return Command(c.Definition)
}

// Restore implements replica.StateMachine. A replica that was opened anew may be
// given a snapshot older than what the store has: what it has was agreed on, and
// is kept.
func (s *Store) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return nil
	}
	d := new(Definition)
	if _, err := d.UnmarshalMsg(snapshot); err != nil {
		return errors.Wrap(err, "route: snapshot")
	}
	if d.Version <= s.Version() {
		return nil
	}
	return s.put(d)
}
