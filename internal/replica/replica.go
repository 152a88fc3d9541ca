// Package replica runs one member of the replicated log: the deterministic core
// of package quorum, the durable files of package journal, and the connections
// between control VMs. The state machine on top is its user's.
package replica

// StateMachine is the state that committed commands build. Apply must be
// deterministic: no clock, no randomness, no order of map iteration.
type StateMachine interface {
	// Apply runs one committed command and returns its outcome, which goes to
	// whoever proposed it.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state, for a replica that is far behind and to
	// bound the log.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}
