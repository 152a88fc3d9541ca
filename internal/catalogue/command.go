package catalogue

import (
	"crypto/sha256"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

//msgp:limit arrays:262144 maps:64

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/catalogue/command.go -o ../internal/catalogue/command_gen.go -tests=false -io=false

// Command is one entry of the replicated log. It holds exactly one change, with its
// origin, its ID and the version that it expects.
type Command struct {
	// ID identifies an operator's command. If the command is sent again under its ID,
	// it returns the first outcome. Announcements of processes are idempotent by
	// incarnation and have no ID.
	ID string `msg:"i,omitempty"`
	// Operator is the name in the operator's certificate.
	Operator string `msg:"o,omitempty"`
	// Expected is the version that the operator has read; 0 accepts any.
	Expected uint64 `msg:"e,omitempty"`
	// ProposedBy names the control VM that proposes the command.
	ProposedBy string `msg:"v,omitempty"`
	// AtMS is the proposer's time in Unix milliseconds.
	AtMS int64 `msg:"t"`

	Apply            *ApplyCatalogue       `msg:"ap,omitempty"`
	Switch           *SwitchPreset         `msg:"sw,omitempty"`
	Drain            *DrainHost            `msg:"dr,omitempty"`
	Undrain          *UndrainHost          `msg:"un,omitempty"`
	RotateKeys       *RotateKeys           `msg:"ro,omitempty"`
	AnnounceAgent    *AnnounceAgent        `msg:"aa,omitempty"`
	AnnounceBalancer *AnnounceBalancer     `msg:"ab,omitempty"`
	AgentSilent      *distribution.Silence `msg:"as,omitempty"`
	BalancerSilent   *distribution.Silence `msg:"bs,omitempty"`
	Sweep            *Sweep                `msg:"sp,omitempty"`
}

// ApplyCatalogue replaces all services and presets.
type ApplyCatalogue struct {
	Definition Definition `msg:"d"`
}

// SwitchPreset puts another preset in force.
type SwitchPreset struct {
	Preset string `msg:"p"`
}

// DrainHost stops new work for every service on a host.
type DrainHost struct {
	Host string `msg:"h"`
}

// UndrainHost ends a drain.
type UndrainHost struct {
	Host string `msg:"h"`
}

// KeyStep is one step of a rotation of the cluster keys.
type KeyStep uint8

const (
	// KeyStepPrepare distributes a new key generation to every process; none signs with it yet.
	KeyStepPrepare KeyStep = iota + 1
	// KeyStepSign starts signing with the prepared generation; older ones stay accepted.
	KeyStepSign
	// KeyStepDrop ends the acceptance of all generations except the signing one.
	KeyStepDrop
	// KeyStepFirst distributes the cluster's first generation, which signs at once since
	// there are no older signatures.
	KeyStepFirst
)

// RotateKeys takes one step of a rotation.
type RotateKeys struct {
	Step KeyStep `msg:"s"`
	// Keys is the new generation for KeyStepPrepare and KeyStepFirst, made by the proposer. The
	// state machine sets its generation number.
	Keys *table.KeySet `msg:"k,omitempty"`
	// Early lets KeyStepDrop run before MinAcceptance has passed.
	Early bool `msg:"e,omitempty"`
}

// AnnounceAgent registers an agent's incarnation.
type AnnounceAgent struct {
	Announcement distribution.Announcement `msg:"a"`
}

// AnnounceBalancer registers a balancer, or removes it if Draining is set.
type AnnounceBalancer struct {
	Announcement distribution.Announcement `msg:"a"`
}

// Sweep sets the state's clock and runs the steps that are due, such as retiring silent
// agents. Only the leader proposes it.
type Sweep struct{}

// fingerprint returns a hash of the command's content, which detects an ID that is used
// for two different commands. It leaves out the time and the control VM, since these
// differ between resends.
func (c *Command) fingerprint() ([]byte, error) {
	content := *c
	content.AtMS, content.ProposedBy = 0, ""
	if r := content.RotateKeys; r != nil {
		// Each resend may carry newly generated keys; the first ones are used.
		step := *r
		step.Keys = nil
		content.RotateKeys = &step
	}
	data, err := content.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return sum[:16], nil
}
