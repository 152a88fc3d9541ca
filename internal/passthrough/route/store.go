package route

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/passthrough/packet"
)

// ReplicatedStore is the replicated state machine that holds the definition with the
// highest version and the evacuations in force. Operators may send commands concurrently,
// lose replies and resend. Because the highest version wins, every replica ends with the
// same definition whatever the order of the commands, and a resend changes nothing.
type ReplicatedStore struct {
	current     atomic.Pointer[DefinitionState]
	evacuations atomic.Pointer[Evacuations]

	mu      sync.Mutex
	changed chan struct{}
}

// maxDeltas is how many versions a node may be behind and still get only the changes
// instead of the whole table.
const maxDeltas = 64

// DefinitionState is the definition in force and the updates that lead to it.
type DefinitionState struct {
	Definition *Definition
	// deltas led to this definition, oldest first; each starts at the version where the
	// one before it ended.
	deltas []*delta

	mu sync.Mutex
	// encoded caches encoded updates by the version that they start from; 0 is the full
	// update.
	encoded map[Version][]byte
}

// Since returns the encoded TableUpdate for a node that holds the given version, 0 for
// none. Most nodes hold one of a few versions, so each update is encoded once instead of
// once per node.
func (s *DefinitionState) Since(held Version) ([]byte, error) {
	first := slices.IndexFunc(s.deltas, func(c *delta) bool { return c.from == held })
	if first < 0 {
		held = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if data, ok := s.encoded[held]; ok {
		return data, nil
	}
	data, err := s.update(first).MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "route: encode")
	}
	if s.encoded == nil {
		s.encoded = map[Version][]byte{}
	}
	s.encoded[held] = data
	return data, nil
}

// update returns the changes from the delta at index first on. It returns all routes if
// first is negative or if the changes are no smaller.
func (s *DefinitionState) update(first int) *TableUpdate {
	if first < 0 {
		return FullUpdate(s.Definition)
	}
	all := &delta{from: s.deltas[first].from, changed: map[packet.Endpoint]*Route{}, removed: map[packet.Endpoint]bool{}}
	for _, later := range s.deltas[first:] {
		all.merge(later)
	}
	if all.size() >= len(s.Definition.Routes) {
		return FullUpdate(s.Definition)
	}
	return all.update(s.Definition)
}

// Outcome is the result of applying a command.
type Outcome byte

const (
	// Accepted means that the definition or order came into force.
	Accepted Outcome = iota + 1
	// Redundant means that the same or a higher version, or the state that was ordered,
	// was already in force; nothing changed.
	Redundant
	// Malformed means that the command is not a valid definition or order; nothing
	// changed.
	Malformed
	// Conflict means that an order for the same data centre was applied first that the VM
	// didn't know of when it received this one; nothing changed.
	Conflict
	// TooManyZones means that the number of data centres is at its limit; nothing
	// changed.
	TooManyZones
)

// NewReplicatedStore returns an empty store.
func NewReplicatedStore() *ReplicatedStore {
	s := &ReplicatedStore{changed: make(chan struct{})}
	s.evacuations.Store(&Evacuations{})
	return s
}

// Evacuations returns the evacuations in force.
func (s *ReplicatedStore) Evacuations() *Evacuations { return s.evacuations.Load() }

// Current returns the state in force, or nil before the first definition.
func (s *ReplicatedStore) Current() *DefinitionState { return s.current.Load() }

// Version returns the version in force, 0 before the first definition.
func (s *ReplicatedStore) Version() Version {
	if c := s.current.Load(); c != nil {
		return c.Definition.Version
	}
	return 0
}

// Changed returns a channel that is closed at the next change of the definition or the
// evacuations.
func (s *ReplicatedStore) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Command encodes a definition as a command of the replicated log.
func Command(d *Definition) ([]byte, error) {
	data, err := d.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "route: encode")
	}
	return data, nil
}

// Apply implements replica.StateMachine. Definitions are encoded as maps, evacuation
// orders as arrays.
func (s *ReplicatedStore) Apply(_ uint64, command []byte) []byte {
	if msgp.NextType(command) == msgp.ArrayType {
		return []byte{byte(s.applyOrder(command))}
	}
	d := new(Definition)
	if _, err := d.UnmarshalMsg(command); err != nil {
		return []byte{byte(Malformed)}
	}
	if d.Version <= s.Version() {
		return []byte{byte(Redundant)}
	}
	s.setDefinition(d)
	return []byte{byte(Accepted)}
}

func (s *ReplicatedStore) applyOrder(command []byte) Outcome {
	var o EvacuationOrder
	if _, err := o.UnmarshalMsg(command); err != nil || ValidateZone(o.Zone) != nil {
		return Malformed
	}
	next, outcome := s.Evacuations().withOrder(o)
	if outcome == Accepted {
		s.setEvacuations(next)
	}
	return outcome
}

func (s *ReplicatedStore) setDefinition(d *Definition) {
	next := &DefinitionState{Definition: d}
	if held := s.current.Load(); held != nil {
		next.deltas = append(slices.Clone(held.deltas), diff(held.Definition, d))
		next.deltas = next.deltas[max(0, len(next.deltas)-maxDeltas):]
	}
	s.current.Store(next)
	s.notifyChanged()
}

func (s *ReplicatedStore) setEvacuations(e *Evacuations) {
	s.evacuations.Store(e)
	s.notifyChanged()
}

func (s *ReplicatedStore) notifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot implements replica.StateMachine. Before the first evacuation order it returns
// the encoded definition alone, the format of versions that don't support evacuations.
func (s *ReplicatedStore) Snapshot() ([]byte, error) {
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

// Restore implements replica.StateMachine. A replica that was reopened may be given a
// snapshot older than the store's state. That state was committed, so it is kept.
func (s *ReplicatedStore) Restore(snapshot []byte) error {
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
		return errors.Wrap(err, "route: decode snapshot")
	}
	if d := state.Definition; d != nil && d.Version > s.Version() {
		s.setDefinition(d)
	}
	if state.Evacuations.Revision > s.Evacuations().Revision {
		s.setEvacuations(&state.Evacuations)
	}
	return nil
}
