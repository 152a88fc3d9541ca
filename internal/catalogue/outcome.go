package catalogue

import (
	"fmt"

	"bergamotstall/internal/table"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/catalogue/outcome.go -o ../internal/catalogue/outcome_gen.go -tests=false -io=false

// Code is the result of a command.
type Code uint8

const (
	// Done: the command was accepted.
	Done Code = iota + 1
	// Conflict: the expected version isn't the current one.
	Conflict
	// NoPreset: the catalogue has no preset of that name.
	NoPreset
	// NoService: the catalogue has no service of that name.
	NoService
	// NotValid: the command is malformed, or has a value that isn't allowed.
	NotValid
	// Refused: the command is valid, but not allowed in the current state.
	Refused
	// Reused: the command ID was used for another command.
	Reused
	// Superseded: a later incarnation of the agent has announced itself.
	Superseded
)

var codeNames = map[Code]string{
	Done: "done", Conflict: "conflict", NoPreset: "unknown_preset", NoService: "unknown_service",
	NotValid: "invalid", Refused: "refused", Reused: "identity_reused", Superseded: "superseded",
}

// String returns the name of the code in metrics.
func (c Code) String() string {
	if name, ok := codeNames[c]; ok {
		return name
	}
	return "other"
}

// Outcome is the result of a command. It is recorded under the command's ID, so that a
// resend returns the same bytes.
type Outcome struct {
	Code Code `msg:"c"`
	// Version is the catalogue's version after the command; for Conflict the current one.
	Version uint64 `msg:"v"`
	// Revision is the table's revision after the command.
	Revision table.Revision `msg:"r"`
	// Text describes the result for people. It is stored, so a changed wording makes
	// the states of replicas with different versions differ.
	Text string `msg:"t"`
	// Subject is the name that the code refers to, such as the unknown preset.
	Subject string `msg:"s,omitempty"`
	// Agent is the number of the announced agent.
	Agent table.AgentNumber `msg:"g,omitempty"`
}

// VersionConflict is returned to an operator if another change was applied first.
type VersionConflict struct {
	// Current is the version to expect in the next attempt.
	Current uint64
}

func (e *VersionConflict) Error() string {
	return fmt.Sprintf("catalogue: version conflict: the current version is %d", e.Current)
}

// UnknownPreset is returned for a preset that the catalogue doesn't have.
type UnknownPreset struct{ Preset string }

func (e *UnknownPreset) Error() string { return fmt.Sprintf("catalogue: no preset %q", e.Preset) }

// UnknownService is returned for a service that the catalogue doesn't have.
type UnknownService struct{ Service string }

func (e *UnknownService) Error() string { return fmt.Sprintf("catalogue: no service %q", e.Service) }

// Invalid is returned for a command that is malformed or has a value that isn't allowed.
type Invalid struct{ Why string }

func (e *Invalid) Error() string { return "catalogue: invalid: " + e.Why }

// Refusal is returned for a command that the current state doesn't allow.
type Refusal struct{ Why string }

func (e *Refusal) Error() string { return "catalogue: refused: " + e.Why }

// IdentityReused is returned for a command ID that was used for another command.
type IdentityReused struct{ ID string }

func (e *IdentityReused) Error() string {
	return fmt.Sprintf("catalogue: command identity %q was used for another command", e.ID)
}

// SupersededError is returned to an incarnation that a later one has replaced.
type SupersededError struct{ Agent table.AgentNumber }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("catalogue: agent %d was replaced by a later incarnation", e.Agent)
}

// Err returns the outcome's typed error, nil for Done.
func (o *Outcome) Err() error {
	switch o.Code {
	case Done:
		return nil
	case Conflict:
		return &VersionConflict{Current: o.Version}
	case NoPreset:
		return &UnknownPreset{Preset: o.Subject}
	case NoService:
		return &UnknownService{Service: o.Subject}
	case Refused:
		return &Refusal{Why: o.Text}
	case Reused:
		return &IdentityReused{ID: o.Subject}
	case Superseded:
		return &SupersededError{Agent: o.Agent}
	}
	return &Invalid{Why: o.Text}
}
