package membership

import (
	"bergamotstall/internal/framing"
	"bergamotstall/internal/passthrough/packet"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/membership/messages.go -o ../internal/passthrough/membership/messages_gen.go -tests=false -io=false

// Frame kinds.
const (
	kindHello framing.Kind = iota + 1
	kindHeartbeat
	kindUpdate
	// kindFlows carries a flowlog.Update: from an agent the flows that it holds, to a
	// restarted agent the flows that were held at its address.
	kindFlows
	// kindRetire is sent by an agent that ends together with its target, or that moves to
	// other control VMs. The VM removes it from the list at once.
	kindRetire
)

// Role is the role of a node.
type Role uint8

const (
	// Balancer nodes receive packets from the fabric.
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

// Node is a process that carries packets.
type Node struct {
	Role Role `msg:"r"`
	// Address is where it receives datagrams of other nodes, "ip:port".
	Address string `msg:"a"`
	Zone    string `msg:"z"`
	// Service is the route.ServiceID of an agent's target.
	Service uint64 `msg:"s"`
	// Process is random for each start.
	Process uint64 `msg:"p"`
}

// Hello is the first message of a stream.
type Hello struct {
	Node      Node      `msg:"n"`
	Heartbeat Heartbeat `msg:"b"`
	// Acknowledges means that the node sets Heartbeat.Received.
	Acknowledges bool `msg:"k"`
	// Stream counts the streams that the node's process has opened, to any VM, from 1 on.
	// Builds that don't count them send 0.
	Stream uint64 `msg:"t"`
}

// Heartbeat reports that a node is alive, and its state.
type Heartbeat struct {
	// Version is the version of the node's table.
	Version uint64 `msg:"v"`
	// WantTables requests newer tables as they come; without it the node is only told the
	// newest version. A node requests tables from one VM at a time.
	WantTables bool `msg:"w"`
	// Epoch and Number identify the state of this VM's list that a balancer has.
	Epoch  uint64 `msg:"e"`
	Number uint64 `msg:"n"`
	// EvacuationRevision is the revision of the evacuations in force at the node.
	EvacuationRevision uint64 `msg:"x"`
	// Received is the highest Update.Number that the node has received on this stream,
	// 0 for none.
	Received uint64 `msg:"u"`
}

// Retire announces that an agent ends together with its target.
type Retire struct {
	// Moved means that the agent keeps running and that other control VMs list it. It
	// doesn't concern streams that the agent has opened later.
	Moved bool `msg:"m"`
}

// AgentEntry is an agent on a VM's list.
//
//msgp:tuple AgentEntry
type AgentEntry struct {
	// At is where the agent receives datagrams.
	At packet.Endpoint
	// Zone is the index of its data centre in ListUpdate.Zones.
	Zone    uint16
	Service uint64
	Process uint64
}

// ListUpdate holds the changes of a VM's list of agents, or the whole list.
type ListUpdate struct {
	// Epoch is random for each process of the VM; Number counts the list's changes.
	Epoch  uint64 `msg:"e"`
	Number uint64 `msg:"n"`
	// Full means that the update holds the whole list and replaces the old one.
	Full bool `msg:"w"`
	// Zones are the data centres that entries refer to by index.
	Zones   []string          `msg:"z"`
	Present []AgentEntry      `msg:"p"`
	Gone    []packet.Endpoint `msg:"g"`
	// Retired are gone together with their targets, so no flow is open there.
	Retired []packet.Endpoint `msg:"r"`
}

// EvacuatedZones holds all data centres that take no new flows; they are few.
type EvacuatedZones struct {
	Revision uint64   `msg:"r"`
	Zones    []string `msg:"z"`
}

// Update answers a heartbeat, and is also sent when something changes.
type Update struct {
	// Number counts the stream's updates that hold a table, changes of the list or
	// evacuations. It is 0 in other updates.
	Number uint64 `msg:"u,omitempty"`
	// Version is the newest committed version that the VM knows of. It is 0 if there is
	// none, or if the VM has had no contact with a quorum since the stream began.
	Version uint64 `msg:"v"`
	// Confirmed means that the VM has had contact with a quorum since the stream began.
	Confirmed bool `msg:"c"`
	// Table is the encoded route.TableUpdate from the node's version on, or with all
	// routes. It is set if there is a newer version and the node wants tables.
	Table []byte `msg:"l"`
	// List holds the changes of the VM's list of agents that a balancer lacks.
	List *ListUpdate `msg:"n"`
	// Evacuated is set if the node has an older revision.
	Evacuated *EvacuatedZones `msg:"x"`
	// Controls are the IP addresses of all control VMs.
	Controls []string `msg:"m"`
	// ContactAgeMS is the time since the VM's last contact with a quorum, in
	// milliseconds.
	ContactAgeMS int64 `msg:"a"`
	// ServingMS is how long the VM's process has been serving streams, in milliseconds. A
	// VM that has just started lists few agents.
	ServingMS int64 `msg:"s"`
}
