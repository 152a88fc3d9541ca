// Package spread carries the routing table from control to balancers and
// agents, and announcements and heartbeats back. A subscriber keeps one stream
// to one control VM: a snapshot when it is far behind, deltas otherwise. A
// subscriber's revision never falls.
package spread

import (
	"context"
	"time"

	"bergamotstall/internal/table"
)

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
	DataCentre  string `msg:"d"`
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

// Registrar takes announcements and damped changes of liveness into the
// replicated state. It is the control role's.
type Registrar interface {
	// AnnounceAgent registers an incarnation and returns its number. The same
	// incarnation announced again gets the same number.
	AnnounceAgent(ctx context.Context, a Announcement) (table.AgentNumber, error)
	// AnnounceBalancer registers a balancer's return-path address.
	AnnounceBalancer(ctx context.Context, a Announcement) error
	// AgentSilent reports that an agent has been silent for the damped time.
	AgentSilent(ctx context.Context, agent table.AgentNumber) error
	// BalancerSilent reports the same of a balancer, by name.
	BalancerSilent(ctx context.Context, name string) error
}
