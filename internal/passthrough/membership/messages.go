package membership

import (
	"bergamotstall/internal/framing"
	"bergamotstall/internal/passthrough/packet"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/membership/messages.go -o ../internal/passthrough/membership/messages_gen.go -tests=false -io=false

// Kinds of frames.
const (
	kindHello framing.Kind = iota + 1
	kindBeat
	kindUpdate
	// kindFlows carries a flowlog.Update: from an agent what it holds, to a new
	// agent what was held at its address.
	kindFlows
	// kindRetire comes from an agent that ends with its target, or goes over to other
	// control VMs: it is taken off the list at once.
	kindRetire
)

// Role is what a node does.
type Role uint8

const (
	// Balancer nodes take packets from the fabric.
	Balancer Role = iota + 1
	// Agent nodes run beside a target.
	Agent
)

func (r Role) String() string {
	if r == Balancer {
		return "balancer"
	}
	return "agent"
}

// Node is one process that carries packets.
type Node struct {
	Role Role `msg:"r"`
	// Address is where it takes datagrams of other nodes, "ip:port".
	Address string `msg:"a"`
	Zone    string `msg:"z"`
	// Service is an agent's; see route.ServiceID.
	Service uint64 `msg:"s"`
	// Process is random for each start.
	Process uint64 `msg:"p"`
}

// Hello opens a stream.
type Hello struct {
	Node Node `msg:"n"`
	Beat Beat `msg:"b"`
}

// Beat says that the node is alive and where it stands.
type Beat struct {
	// Version is that of the table held.
	Version uint64 `msg:"v"`
	// Want asks for newer tables as they come; without it the node only hears
	// which version there is. A node wants them of one VM at a time.
	Want bool `msg:"w"`
	// Epoch and Number say as of when a balancer holds this VM's list of agents.
	Epoch  uint64 `msg:"e"`
	Number uint64 `msg:"n"`
	// Evacuations is the revision of the evacuations held.
	Evacuations uint64 `msg:"x"`
}

// Retire says that an agent ends and its target is gone.
type Retire struct {
	// Moved says that the agent goes on, and other control VMs list it.
	Moved bool `msg:"m"`
}

// Entry is an agent on a VM's list.
//
//msgp:tuple Entry
type Entry struct {
	// At is where it takes datagrams.
	At packet.Endpoint
	// Zone is the index of its data centre in the listing.
	Zone    uint16
	Service uint64
	Process uint64
}

// Listing is what changed in a VM's list of agents, or all of it.
type Listing struct {
	// Epoch is random for each process of the VM; Number counts its changes.
	Epoch  uint64 `msg:"e"`
	Number uint64 `msg:"n"`
	// Whole says that the list begins anew.
	Whole bool `msg:"w"`
	// Zones are the data centres that entries name.
	Zones   []string          `msg:"z"`
	Present []Entry           `msg:"p"`
	Gone    []packet.Endpoint `msg:"g"`
	// Retired are gone with their targets: no flow can be open there.
	Retired []packet.Endpoint `msg:"r"`
}

// Evacuated is which data centres take no new flows, whole: there are few.
type Evacuated struct {
	Revision uint64   `msg:"r"`
	Zones    []string `msg:"z"`
}

// Update answers a beat, and is sent unasked when something changes.
type Update struct {
	// Version is the newest known to be agreed on, 0 for none or if the VM
	// hasn't been in touch with a quorum since the stream began.
	Version uint64 `msg:"v"`
	// Confirmed says that the VM has been.
	Confirmed bool `msg:"c"`
	// Lean is the encoded route.Lean from the node's version on, or of all routes, if
	// there is a newer one and it is wanted.
	Lean []byte `msg:"l"`
	// List is what a balancer lacks of the VM's list of agents.
	List *Listing `msg:"n"`
	// Evacuated is there if the node holds an older revision.
	Evacuated *Evacuated `msg:"x"`
	// Controls are the IP numbers of all control VMs.
	Controls []string `msg:"m"`
	// ContactAgeMS is how long ago the VM was in touch with a quorum.
	ContactAgeMS int64 `msg:"a"`
}
