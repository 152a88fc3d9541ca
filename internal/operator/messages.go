// Package operator implements the protocol between bergamotctl and control VMs: framed
// msgpack over TCP, with one request at a time on a connection. Changes go through the
// replicated log under a command ID, so that a client that lost the reply can ask another
// VM for the outcome. Reads wait for the log's barrier; a VM without a quorum returns an
// error instead of outdated state. Only the local status is available without a quorum;
// it contains the time since the last contact with one.
package operator

import (
	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/table"
)

//msgp:limit arrays:262144 maps:64

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/operator/messages.go -o ../internal/operator/messages_gen.go -tests=false -io=false

// Frame kinds of requests and replies.
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
	// maxFrameSize limits a reply, in bytes. The targets of 12,000 hosts take 3 MiB.
	maxFrameSize = 16 << 20
	// maxRequestSize limits a request, in bytes: the log's limit for a command, plus the
	// rest of the request.
	maxRequestSize = 4<<20 + 4<<10
)

// FailureCode is the reason why a VM didn't run a request.
type FailureCode uint8

const (
	// NoQuorum: the VM couldn't reach a majority in time. Another VM may.
	NoQuorum FailureCode = iota + 1
	// Denied: the certificate's role doesn't allow the request.
	Denied
	// Malformed: the VM couldn't decode the request.
	Malformed
	// MembersRefused: the change of the control VMs isn't possible now.
	MembersRefused
	// Busy: too many requests wait at the VM; another VM may accept the request.
	Busy
	// TooLarge: the command exceeds the log's limit.
	TooLarge
)

// Failure is a VM's reply to a request that it didn't run.
type Failure struct {
	Code FailureCode `msg:"c"`
	Text string      `msg:"t"`
	// VM names the control VM that replies.
	VM string `msg:"v"`
}

// Error implements error.
func (f *Failure) Error() string { return "control VM " + f.VM + ": " + f.Text }

// Part selects what a read returns.
type Part uint8

const (
	// PartSummary is the version, the revision and the preset in force, which every view
	// contains.
	PartSummary Part = iota + 1
	// PartServices adds the services and presets.
	PartServices
	// PartTargets adds the targets and drained hosts.
	PartTargets
	// PartAudit adds the audit record of operators' commands.
	PartAudit
	// PartFleet adds the record of announcements and silence reports.
	PartFleet
	// PartFleetState adds the balancers and key generations.
	PartFleetState
)

// Read asks for one part of the catalogue.
type Read struct {
	Part Part `msg:"p"`
}

// View is the reply to a Read: the catalogue's state after the barrier.
type View struct {
	VM       string              `msg:"vm" json:"vm"`
	Version  uint64              `msg:"v" json:"version"`
	Revision table.Revision      `msg:"r" json:"revision"`
	InForce  string              `msg:"f" json:"inForce"`
	Services []catalogue.Service `msg:"s,omitempty" json:"services,omitempty"`
	Presets  []catalogue.Preset  `msg:"p,omitempty" json:"presets,omitempty"`
	Targets  []Target            `msg:"t,omitempty" json:"targets,omitempty"`
	Drains   []string            `msg:"d,omitempty" json:"drains,omitempty"`
	// Records are the entries of the audit record or the fleet record, oldest first.
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
	// State is active, draining or retired; Why is the reason.
	State  string `msg:"x" json:"state"`
	Why    string `msg:"y,omitempty" json:"why,omitempty"`
	Weight uint32 `msg:"w" json:"weight"`
	// Slots is the number of requests that the target's host runs concurrently; Connections
	// limits the host's concurrent flows.
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
	// RemoveMember removes a VM permanently.
	RemoveMember MemberAction = iota + 1
	// ReplaceMember replaces a VM whose disk was lost by the new replica that waits to
	// join under the same name.
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

// MembersChange requests a change of the control VMs. A new VM needs no such request: it
// asks its peers to join.
type MembersChange struct {
	Action MemberAction `msg:"a"`
	// Name is the name of the VM to change.
	Name     string `msg:"n"`
	Operator string `msg:"w,omitempty"`
}

// LocalRequest asks for a VM's local status.
type LocalRequest struct{}

// LocalStatus is what a control VM knows without contacting the others.
type LocalStatus struct {
	VM         string `msg:"vm" json:"vm"`
	DataCentre string `msg:"d" json:"dataCentre"`
	// Leader names the VM that this one follows; empty if it knows no leader.
	Leader string `msg:"l" json:"leader"`
	// ContactAgeMS is the time since this VM's last contact with a quorum.
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
	// ID is the replica's identity, stored in its data folder.
	ID      string `msg:"i" json:"id"`
	Address string `msg:"a" json:"address"`
	// Role is voter or learner.
	Role string `msg:"r" json:"role"`
	// Lag is how many log entries it is behind. Only the leader knows this; other VMs
	// report -1.
	Lag int64 `msg:"l" json:"lag"`
	// SilentMS is the time since the leader last received a message from it; -1 if
	// unknown.
	SilentMS int64 `msg:"s" json:"silentMs"`
}

// RoleVoter is the role of the replicas that count towards the quorum.
const RoleVoter = "voter"

// Subscriber is a balancer or agent that is connected to a control VM.
type Subscriber struct {
	Name string `msg:"n" json:"name"`
	// Role is balancer or agent.
	Role string `msg:"r" json:"role"`
	// Revision is the last table revision that it acknowledged.
	Revision table.Revision `msg:"v" json:"revision"`
	// AgeMS is the time since its last message.
	AgeMS int64 `msg:"a" json:"ageMs"`
}
