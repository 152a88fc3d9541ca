// Package operator is the protocol between bergamotctl and control VMs: framed
// msgpack over TCP, one request at a time on a connection. Changes go through
// the replicated log under a command identity, so that a client that lost the
// answer asks another VM for it. Reads go through the log's barrier; a VM that
// can't reach a quorum says so and answers nothing as current. Only the local
// status is answered without a quorum, and says how old its word is.
package operator

import (
	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/table"
)

//msgp:limit arrays:262144 maps:64

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/operator/messages.go -o ../internal/operator/messages_gen.go -tests=false -io=false

// Requests and replies.
const (
	kindCommand framing.Kind = iota + 1
	kindRead
	kindMembers
	kindLocal
	kindOutcome
	kindView
	kindLocalStatus
	kindFailure
)

const (
	// frameLimit bounds a reply. The targets of 12,000 hosts take 3 MiB.
	frameLimit = 16 << 20
	// requestLimit bounds a request: the log's bound on a command and a little.
	requestLimit = 4<<20 + 4<<10
)

// FailureCode says why a VM gave no answer.
type FailureCode uint8

const (
	// NoQuorum: the VM couldn't reach a majority in time. Another may.
	NoQuorum FailureCode = iota + 1
	// Denied: the certificate's role doesn't allow the request.
	Denied
	// Malformed: the VM couldn't read the request.
	Malformed
	// MembersRefused: the change of members isn't possible now.
	MembersRefused
	// Busy: the VM has too much to do; another may have less.
	Busy
	// TooLarge: the command is over the log's bound.
	TooLarge
)

// Failure is a VM's reply in place of an answer.
type Failure struct {
	Code FailureCode `msg:"c"`
	Text string      `msg:"t"`
	// VM names who replies.
	VM string `msg:"v"`
}

// Error implements error.
func (f *Failure) Error() string { return "control VM " + f.VM + ": " + f.Text }

// Part picks what a read returns.
type Part uint8

const (
	// PartSummary is version, revision and preset in force; always there.
	PartSummary Part = iota + 1
	// PartServices are services and presets.
	PartServices
	// PartTargets are targets and drained hosts.
	PartTargets
	// PartAudit is the audit record of operators' commands.
	PartAudit
	// PartFleet is the record of announcements and silences.
	PartFleet
	// PartFleetState are balancers and key generations.
	PartFleetState
)

// Read asks for one part of the catalogue.
type Read struct {
	Part Part `msg:"p"`
}

// View is the answer to a Read: what the catalogue held at the barrier.
type View struct {
	VM       string              `msg:"vm" json:"vm"`
	Version  uint64              `msg:"v" json:"version"`
	Revision table.Revision      `msg:"r" json:"revision"`
	InForce  string              `msg:"f" json:"inForce"`
	Services []catalogue.Service `msg:"s,omitempty" json:"services,omitempty"`
	Presets  []catalogue.Preset  `msg:"p,omitempty" json:"presets,omitempty"`
	Targets  []Target            `msg:"t,omitempty" json:"targets,omitempty"`
	Drains   []string            `msg:"d,omitempty" json:"drains,omitempty"`
	// Records are the audit record's or the fleet's, oldest first.
	Records   []catalogue.Record `msg:"a,omitempty" json:"records,omitempty"`
	Balancers []Balancer         `msg:"b,omitempty" json:"balancers,omitempty"`
	Keys      []KeyGeneration    `msg:"k,omitempty" json:"keys,omitempty"`
}

// Target is a target as operators see it.
type Target struct {
	Service    string            `msg:"s" json:"service"`
	Host       string            `msg:"h" json:"host"`
	DataCentre string            `msg:"d" json:"dataCentre"`
	Agent      table.AgentNumber `msg:"g" json:"agent"`
	// State is active, draining or retired; Why says what made it so.
	State       string `msg:"x" json:"state"`
	Why         string `msg:"y,omitempty" json:"why,omitempty"`
	Weight      uint32 `msg:"w" json:"weight"`
	Slots       int    `msg:"l" json:"slots"`
	Connections int    `msg:"c" json:"connections"`
	Tunnel      string `msg:"t" json:"tunnel"`
	Via         string `msg:"v" json:"via"`
}

// Balancer is a balancer as operators see it.
type Balancer struct {
	Name       string `msg:"n" json:"name"`
	DataCentre string `msg:"d" json:"dataCentre"`
	Tunnel     string `msg:"t" json:"tunnel"`
	Via        string `msg:"v" json:"via"`
	// State is live, suspect or out.
	State string `msg:"s" json:"state"`
}

// KeyGeneration is a generation of the cluster keys, without the keys.
type KeyGeneration struct {
	Generation uint8 `msg:"g" json:"generation"`
	// State is prepared, signs or accepted.
	State        string         `msg:"s" json:"state"`
	PreparedAt   table.Revision `msg:"p" json:"preparedAt"`
	SignsSinceMS int64          `msg:"m" json:"signsSinceMs"`
}

// MemberAction is a change of the control VMs.
type MemberAction uint8

const (
	// RemoveMember takes a VM out for good.
	RemoveMember MemberAction = iota + 1
	// ReplaceMember lets the fresh replica that waits under a VM's name take the
	// place of the one whose disk was lost.
	ReplaceMember
)

// String returns the action as operators type it.
func (a MemberAction) String() string {
	switch a {
	case RemoveMember:
		return "remove"
	case ReplaceMember:
		return "replace"
	}
	return "unknown"
}

// MembersChange asks for one change of the control VMs. A new VM needs none: it
// asks its peers to be taken in.
type MembersChange struct {
	Action MemberAction `msg:"a"`
	// Name is the VM's.
	Name     string `msg:"n"`
	Operator string `msg:"w,omitempty"`
}

// LocalRequest asks a VM what it knows by itself.
type LocalRequest struct{}

// LocalStatus is what one control VM knows without asking the others.
type LocalStatus struct {
	VM         string `msg:"vm" json:"vm"`
	DataCentre string `msg:"d" json:"dataCentre"`
	// Leader names the VM that this one follows; empty where it knows none.
	Leader string `msg:"l" json:"leader"`
	// ContactAgeMS is how long ago this VM was in touch with a quorum.
	ContactAgeMS int64          `msg:"c" json:"contactAgeMs"`
	Version      uint64         `msg:"v" json:"version"`
	Revision     table.Revision `msg:"r" json:"revision"`
	InForce      string         `msg:"f" json:"inForce"`
	Replicas     []Replica      `msg:"p" json:"replicas"`
	Subscribers  []Subscriber   `msg:"s" json:"subscribers"`
}

// Replica is one control VM as another sees it.
type Replica struct {
	Name string `msg:"n" json:"name"`
	// ID is the identity that the data folder carries.
	ID      string `msg:"i" json:"id"`
	Address string `msg:"a" json:"address"`
	// Role is voter or learner.
	Role string `msg:"r" json:"role"`
	// Lag is how many log entries it is behind; only the leader knows, others
	// report -1.
	Lag int64 `msg:"l" json:"lag"`
	// SilentMS is how long the leader has heard nothing of it; -1 if unknown.
	SilentMS int64 `msg:"s" json:"silentMs"`
}

// RoleVoter is the role of replicas that count for the quorum.
const RoleVoter = "voter"

// Subscriber is a balancer or agent whose stream ends at a control VM.
type Subscriber struct {
	Name string `msg:"n" json:"name"`
	// Role is balancer or agent.
	Role string `msg:"r" json:"role"`
	// Revision is the last one that it acknowledged.
	Revision table.Revision `msg:"v" json:"revision"`
	// AgeMS is how long ago it was last heard.
	AgeMS int64 `msg:"a" json:"ageMs"`
}
