// Package distribution sends the routing table from control to balancers and agents,
// and announcements and heartbeats back. A subscriber keeps one stream to one control
// VM, which sends it a snapshot if it is far behind, and deltas otherwise. The revision
// that a subscriber uses never decreases.
package distribution

import (
	"context"
	"time"

	"bergamotstall/internal/table"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/distribution/distribution.go -o ../internal/distribution/distribution_gen.go -tests=false
//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/distribution/messages.go -o ../internal/distribution/messages_gen.go -tests=false -unexported

// Role is the kind of a subscriber. It determines which part of the table it gets.
type Role uint8

const (
	// RoleBalancer subscribers get the whole table.
	RoleBalancer Role = iota + 1
	// RoleAgent subscribers get their own service and its targets, all balancers and
	// the keys.
	RoleAgent
)

// String returns the role's name as used in certificates and settings.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	}
	return "unknown"
}

// Source provides the table that a server distributes.
type Source interface {
	// Table returns the newest table that this control VM has applied.
	Table() *table.Table
	// Changed returns a channel that is closed at the next change of Table.
	Changed() <-chan struct{}
	// ContactAge returns how long ago this VM was last known to be in contact with a
	// quorum. Subscribers leave a VM whose contact age exceeds their limit.
	ContactAge() time.Duration
}

// Announcement is what an agent or balancer tells control about itself. Targets aren't
// configured anywhere else; control learns of them by announcements.
type Announcement struct {
	// Name is the name of the process, unique among processes of its role.
	Name string `msg:"n"`
	// Incarnation differs for each start of the process.
	Incarnation uint64 `msg:"i"`
	// Attachment numbers the announcements of one incarnation from 1. A subscriber that
	// moves to another control VM announces itself there with a higher number, so that
	// late messages of the first VM can be ignored: an announcement or a Silence with a
	// lower attachment of the same incarnation is void.
	Attachment uint64 `msg:"a"`
	// Via is the control VM that received the announcement; the server sets it. From it,
	// a VM that restarts or takes over from a dead VM learns which streams are missing.
	Via        string `msg:"v"`
	DataCentre string `msg:"d"`
	// Tunnel is the UDP address for envelopes, "ip:port".
	Tunnel string `msg:"t"`

	// The following fields are set by agents only.

	Service string `msg:"s"`
	Host    string `msg:"h"`
	// Peer is the agent's TCP address for other agents, "ip:port".
	Peer        string `msg:"p"`
	Slots       int    `msg:"l"`
	Connections int    `msg:"c"`
	// Draining is set by an agent that is about to stop.
	Draining bool `msg:"x"`
}

// Silence reports that a subscriber's stream ended and hasn't been replaced within the
// grace period. It is void unless the last committed announcement of the subscriber has
// the same incarnation and no higher attachment; otherwise the subscriber is back, at
// this or another control VM.
//
// A silent agent only gets no new flows. Its open flows may be alive, because a lost
// control stream says nothing about the data path.
type Silence struct {
	Name string `msg:"n"`
	// Agent is 0 for a balancer, and for an agent without a number.
	Agent       table.AgentNumber `msg:"g"`
	Incarnation uint64            `msg:"i"`
	Attachment  uint64            `msg:"a"`
}

// Registrar records announcements and silences in control's replicated state. Its methods
// return once the command is committed; the server retries those that fail.
type Registrar interface {
	// AnnounceAgent registers an incarnation and returns its agent number. Announcing
	// the same incarnation again returns the same number, and by itself makes no new
	// table revision.
	AnnounceAgent(ctx context.Context, a Announcement) (table.AgentNumber, error)
	// AnnounceBalancer registers a balancer's return-path address.
	AnnounceBalancer(ctx context.Context, a Announcement) error
	// AgentSilent reports that an agent has been silent for the grace period.
	AgentSilent(ctx context.Context, s Silence) error
	// BalancerSilent reports that a balancer has been silent for the grace period.
	BalancerSilent(ctx context.Context, s Silence) error
}
