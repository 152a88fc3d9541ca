package catalogue

import (
	"fmt"

	"bergamotstall/internal/table"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/catalogue/outcome.go -o ../internal/catalogue/outcome_gen.go -tests=false -io=false

// Code says how a command ended.
type Code uint8

const (
	// Done commands were accepted.
	Done Code = iota + 1
	// Conflict: the expected version isn't the current one.
	Conflict
	// NoPreset: the catalogue has no preset of that name.
	NoPreset
	// NoService: the catalogue has no service of that name.
	NoService
	// NotValid commands ask for what can't be.
	NotValid
	// Refused commands could be, but not in the present state.
	Refused
	// Reused: the identity was used for another command.
	Reused
	// Superseded: a later incarnation of the agent has announced itself.
	Superseded
)

var codeNames = map[Code]string{
	Done: "done", Conflict: "conflict", NoPreset: "unknown_preset", NoService: "unknown_service",
	NotValid: "invalid", Refused: "refused", Reused: "identity_reused", Superseded: "superseded",
}

// String returns the word that counters use for the code.
func (c Code) String() string {
	if name, ok := codeNames[c]; ok {
		return name
	}
	return "other"
}

// Outcome is what Apply returns for a command. It is kept with the command's
// identity, so that a resend gets the same bytes.
type Outcome struct {
	Code Code `msg:"c"`
	// Version of the catalogue after the command; for Conflict the current one.
	Version uint64 `msg:"v"`
	// Revision of the table after the command.
	Revision table.Revision `msg:"r"`
	// Text says in words what was done or why not.
	Text string `msg:"t"`
	// Subject is the name that the code is about, such as the unknown preset.
	Subject string `msg:"s,omitempty"`
	// Agent is the number given to an announced agent.
	Agent table.AgentNumber `msg:"g,omitempty"`
}

// VersionConflict tells an operator that another change came first.
type VersionConflict struct {
	// Current is the version that the next attempt must expect.
	Current uint64
}

func (e *VersionConflict) Error() string {
	return fmt.Sprintf("catalogue: version conflict: the current version is %d", e.Current)
}

// UnknownPreset names a preset that the catalogue doesn't have.
type UnknownPreset struct{ Preset string }

func (e *UnknownPreset) Error() string { return fmt.Sprintf("catalogue: no preset %q", e.Preset) }

// UnknownService names a service that the catalogue doesn't have.
type UnknownService struct{ Service string }

func (e *UnknownService) Error() string { return fmt.Sprintf("catalogue: no service %q", e.Service) }

// Invalid is a command that asks for what can't be.
type Invalid struct{ Why string }

func (e *Invalid) Error() string { return "catalogue: invalid: " + e.Why }

// Refusal is a command that the present state doesn't allow.
type Refusal struct{ Why string }

func (e *Refusal) Error() string { return "catalogue: refused: " + e.Why }

// IdentityReused is an identity that stands for another command already.
type IdentityReused struct{ ID string }

func (e *IdentityReused) Error() string {
	return fmt.Sprintf("catalogue: command identity %q was used for another command", e.ID)
}

// SupersededError tells an old incarnation that a newer one has its place.
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
