package catalogue

import (
	"crypto/sha256"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

//msgp:limit arrays:262144 maps:64

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/catalogue/command.go -o ../internal/catalogue/command_gen.go -tests=false -io=false

// Command is one entry of the replicated log: who asks, under which identity
// and against which version, and exactly one of the changes.
type Command struct {
	// ID is the command's identity. An operator's command that is sent again
	// under its ID gets the first outcome. Processes' announcements are
	// idempotent by incarnation and leave it empty.
	ID string `msg:"i,omitempty"`
	// Operator is the name in the operator's certificate.
	Operator string `msg:"o,omitempty"`
	// Expected is the version the operator saw; 0 accepts any.
	Expected uint64 `msg:"e,omitempty"`
	// Via names the control VM that proposes.
	Via string `msg:"v,omitempty"`
	// AtMS is the proposer's clock in Unix milliseconds.
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

// DrainHost takes a host out of new work for every service on it.
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
	// KeyPrepare gives a new generation to every process; none signs with it.
	KeyPrepare KeyStep = iota + 1
	// KeySign makes the prepared generation sign; the older stays accepted.
	KeySign
	// KeyDrop ends the acceptance of every generation but the signing one.
	KeyDrop
	// KeyFirst hands out the cluster's first generation, which signs at once:
	// nothing was signed before.
	KeyFirst
)

// RotateKeys takes one step of a rotation.
type RotateKeys struct {
	Step KeyStep `msg:"s"`
	// Keys is the new generation's, made by the proposer, for KeyPrepare and
	// KeyFirst. The state machine sets its generation.
	Keys *table.KeySet `msg:"k,omitempty"`
	// Early lets KeyDrop run before MinAcceptance has passed.
	Early bool `msg:"e,omitempty"`
}

// AnnounceAgent registers an agent's incarnation.
type AnnounceAgent struct {
	Announcement distribution.Announcement `msg:"a"`
}

// AnnounceBalancer registers a balancer, or takes it out where Draining is set.
type AnnounceBalancer struct {
	Announcement distribution.Announcement `msg:"a"`
}

// Sweep is the leader's alone: it sets the state's clock, and steps that are due
// are taken.
type Sweep struct{}

// fingerprint identifies what a command asks for, so that one identity with
// two contents is found out. The stamp and the VM differ between resends.
func (c *Command) fingerprint() ([]byte, error) {
	content := *c
	content.AtMS, content.Via = 0, ""
	if r := content.RotateKeys; r != nil {
		// Each resend may carry freshly made keys; the first ones count.
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
