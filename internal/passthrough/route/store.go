package route

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/passthrough/packet"
)

// Store is the replicated state machine that keeps the definition with the
// highest version, and the evacuations in force. Versions come from operators who may
// race, resend and lose answers: by keeping the highest, every replica ends with the same
// definition in whatever order the commands come, and a resend changes nothing.
type Store struct {
	current     atomic.Pointer[State]
	evacuations atomic.Pointer[Evacuations]

	mu      sync.Mutex
	changed chan struct{}
}

// maxSteps is from how many versions ago a node is brought up to date by the changes.
const maxSteps = 64

// State is a definition in force with what is derived from it once.
type State struct {
	Definition *Definition
	// steps are the changes that led here, each to the version of the next.
	steps []*changes

	mu sync.Mutex
	// encoded is what nodes get, by the version that they hold.
	encoded map[Version][]byte
}

// Since returns the encoded Lean for a node that holds a version, 0 for none. Most
// nodes hold the same few, so each is encoded once and not once a node.
func (s *State) Since(held Version) ([]byte, error) {
	step := slices.IndexFunc(s.steps, func(c *changes) bool { return c.from == held })
	if step < 0 {
		held = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if data, ok := s.encoded[held]; ok {
		return data, nil
	}
	data, err := s.lean(step).MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "route: encode")
	}
	if s.encoded == nil {
		s.encoded = map[Version][]byte{}
	}
	s.encoded[held] = data
	return data, nil
}

// lean returns the changes from a step on, or all routes if there is no such step, or
// the changes are no less.
func (s *State) lean(step int) *Lean {
	if step < 0 {
		return LeanOf(s.Definition)
	}
	all := &changes{from: s.steps[step].from, changed: map[packet.Endpoint]*Route{}, removed: map[packet.Endpoint]bool{}}
	for _, later := range s.steps[step:] {
		all.then(later)
	}
	if all.size() >= len(s.Definition.Routes) {
		return LeanOf(s.Definition)
	}
	return all.lean(s.Definition)
}

// Outcome says what became of a command.
type Outcome byte

const (
	// Accepted means that the definition came into force.
	Accepted Outcome = iota + 1
	// Overtaken means that the same or a higher version was in force.
	Overtaken
	// Unreadable means that the command is no definition or order; nothing changed.
	Unreadable
	// Conflicting means that another order for the same data centre came first, one that
	// the VM didn't know of when it took this one; nothing changed.
	Conflicting
	// Full means that no more data centres are remembered; nothing changed.
	Full
)

// NewStore returns a store without a definition.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.evacuations.Store(&Evacuations{})
	return s
}

// Evacuations returns those in force.
func (s *Store) Evacuations() *Evacuations { return s.evacuations.Load() }

// Current returns what is in force, nil before the first definition.
func (s *Store) Current() *State { return s.current.Load() }

// Version returns the version in force, 0 before the first.
func (s *Store) Version() Version {
	if c := s.current.Load(); c != nil {
		return c.Definition.Version
	}
	return 0
}

// Changed returns a channel that is closed when another definition, or an evacuation
// order, comes into force.
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

// Apply implements replica.StateMachine. Definitions are encoded as maps, evacuation
// orders as arrays.
func (s *Store) Apply(_ uint64, command []byte) []byte {
	if msgp.NextType(command) == msgp.ArrayType {
		return []byte{byte(s.applyOrder(command))}
	}
	d := new(Definition)
	if _, err := d.UnmarshalMsg(command); err != nil {
		return []byte{byte(Unreadable)}
	}
	if d.Version <= s.Version() {
		return []byte{byte(Overtaken)}
	}
	s.put(d)
	return []byte{byte(Accepted)}
}

func (s *Store) applyOrder(command []byte) Outcome {
	var o EvacuationOrder
	if _, err := o.UnmarshalMsg(command); err != nil || ValidateZone(o.Zone) != nil {
		return Unreadable
	}
	next, outcome := s.Evacuations().after(o)
	if outcome == Accepted {
		s.putEvacuations(next)
	}
	return outcome
}

func (s *Store) put(d *Definition) {
	next := &State{Definition: d}
	if held := s.current.Load(); held != nil {
		next.steps = append(slices.Clone(held.steps), changesBetween(held.Definition, d))
		next.steps = next.steps[max(0, len(next.steps)-maxSteps):]
	}
	s.current.Store(next)
	s.tellChanged()
}

func (s *Store) putEvacuations(e *Evacuations) {
	s.evacuations.Store(e)
	s.tellChanged()
}

func (s *Store) tellChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot implements replica.StateMachine. Without evacuation orders it is the encoded
// definition alone, as written by versions that know of no evacuations.
func (s *Store) Snapshot() ([]byte, error) {
	var d *Definition
	if c := s.current.Load(); c != nil {
		d = c.Definition
	}
	evacuations := s.Evacuations()
	switch {
	case evacuations.Revision > 0:
		data, err := (&StoreSnapshot{Definition: d, Evacuations: *evacuations}).MarshalMsg(nil)
		if err != nil {
			return nil, errors.Wrap(err, "route: encode")
		}
		return data, nil
	case d == nil:
		return []byte{}, nil
	}
	return Command(d)
}

// Restore implements replica.StateMachine. A replica that was opened anew may be
// given a snapshot older than what the store has: what it has was agreed on, and
// is kept.
func (s *Store) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return nil
	}
	var state StoreSnapshot
	var err error
	if msgp.NextType(snapshot) == msgp.ArrayType {
		_, err = state.UnmarshalMsg(snapshot)
	} else {
		state.Definition = new(Definition)
		_, err = state.Definition.UnmarshalMsg(snapshot)
	}
	if err != nil {
		return errors.Wrap(err, "route: snapshot")
	}
	if d := state.Definition; d != nil && d.Version > s.Version() {
		s.put(d)
	}
	if state.Evacuations.Revision > s.Evacuations().Revision {
		s.putEvacuations(&state.Evacuations)
	}
	return nil
}
