package roster

import "bergamotstall/internal/wire"

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/pass/roster/messages.go -o ../internal/pass/roster/messages_gen.go -tests=false -io=false

// Kinds of frames.
const (
	kindHello wire.Kind = iota + 1
	kindBeat
	kindUpdate
	// kindFlows carries a flowlog.Update: from an agent what it holds, to a new
	// agent what was held at its address.
	kindFlows
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
	// which version there is.
	Want bool `msg:"w"`
	// Nodes is the digest of the list of nodes that it holds from this VM.
	Nodes uint64 `msg:"n"`
}

// Update answers a beat, and is sent unasked when something changes.
type Update struct {
	// Version is the newest known to be agreed on, 0 for none or if the VM
	// hasn't been in touch with a quorum since the stream began.
	Version uint64 `msg:"v"`
	// Confirmed says that the VM has been.
	Confirmed bool `msg:"c"`
	// Lean is the definition without its document, if newer than the node's and
	// wanted.
	Lean []byte `msg:"l"`
	// Digest is that of the list of balancers; Nodes is the list where the
	// digest isn't the node's. Only agents get it.
	Digest uint64 `msg:"d"`
	Nodes  []Node `msg:"n"`
	// Agents is how many agents the VM lists. Balancers learn of agents by their
	// reports; the count tells one that has just started whether any are missing.
	Agents uint32 `msg:"g"`
	// Controls are the IP numbers of all control VMs.
	Controls []string `msg:"m"`
	// ContactAgeMS is how long ago the VM was in touch with a quorum.
	ContactAgeMS int64 `msg:"a"`
}
