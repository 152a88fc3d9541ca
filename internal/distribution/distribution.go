// Package distribution carries the routing table from control to balancers and
// agents, and announcements and heartbeats back. A subscriber keeps one stream
// to one control VM: a snapshot when it is far behind, deltas otherwise. A
// subscriber's revision never falls.
package distribution

import (
	"context"
	"time"

	"bergamotstall/internal/table"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/distribution/distribution.go -o ../internal/distribution/distribution_gen.go -tests=false
//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/distribution/messages.go -o ../internal/distribution/messages_gen.go -tests=false -unexported

// Role is what a subscriber is; it decides which part of the table it gets.
type Role uint8

const (
	// RoleBalancer subscribers get the whole table.
	RoleBalancer Role = iota + 1
	// RoleAgent subscribers get their own service and its targets, the balancers
	// and the keys.
	RoleAgent
)

// String returns the role's name as certificates and settings write it.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	}
	return "unknown"
}

// Source is where a server finds the table to distribute.
type Source interface {
	// Table returns the newest table that this control VM has applied.
	Table() *table.Table
	// Changed returns a channel that is closed at the next change of Table.
	Changed() <-chan struct{}
	// ContactAge tells how long ago this VM was last known to be in touch with
	// a quorum. Subscribers leave a VM whose age is over their bound.
	ContactAge() time.Duration
}

// Announcement is what an agent or balancer tells control about itself. There
// is no list of targets: this is how control learns of them.
type Announcement struct {
	// Name is the process's own name, unique among processes of its role.
	Name string `msg:"n"`
	// Incarnation differs at each start of the process.
	Incarnation uint64 `msg:"i"`
	// Attachment counts the announcements of one incarnation, from 1. A subscriber
	// that moves to another control VM announces itself there with a higher one,
	// so the state can ignore what the first VM says late: an announcement or a
	// Silence with a lower attachment of the same incarnation is void.
	Attachment uint64 `msg:"a"`
	// Via is the control VM that took the announcement; the server sets it. A VM
	// that restarts, or one that takes over from a dead VM, learns from it whose
	// streams are missing.
	Via        string `msg:"v"`
	DataCentre string `msg:"d"`
	// Tunnel is the UDP address for envelopes, "ip:port".
	Tunnel string `msg:"t"`

	// The rest is an agent's; a balancer leaves it empty.

	Service string `msg:"s"`
	Host    string `msg:"h"`
	// Peer is the agent's TCP address for other agents, "ip:port".
	Peer        string `msg:"p"`
	Slots       int    `msg:"l"`
	Connections int    `msg:"c"`
	// Draining is set by an agent that is about to stop.
	Draining bool `msg:"x"`
}

// Silence says that a subscriber's stream has been gone for the damped time. It
// is void unless the state's last announcement of that subscriber has the same
// incarnation and no higher attachment: otherwise the subscriber has come back,
// here or at another control VM.
//
// The state takes a silent agent out of new work only. Its open flows may well
// be alive, because a lost control stream says nothing of the data path.
type Silence struct {
	Name string `msg:"n"`
	// Agent is 0 for a balancer, and for an agent that never got a number.
	Agent       table.AgentNumber `msg:"g"`
	Incarnation uint64            `msg:"i"`
	Attachment  uint64            `msg:"a"`
}

// Registrar takes announcements and damped changes of liveness into the
// replicated state. It is the control role's. Its methods return once the
// command is committed; the server repeats those that fail.
type Registrar interface {
	// AnnounceAgent registers an incarnation and returns its number. The same
	// incarnation announced again gets the same number; that alone changes no
	// table revision.
	AnnounceAgent(ctx context.Context, a Announcement) (table.AgentNumber, error)
	// AnnounceBalancer registers a balancer's return-path address.
	AnnounceBalancer(ctx context.Context, a Announcement) error
	// AgentSilent reports that an agent has been silent for the damped time.
	AgentSilent(ctx context.Context, s Silence) error
	// BalancerSilent reports the same of a balancer.
	BalancerSilent(ctx context.Context, s Silence) error
}
