package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"bergamotstall/internal/passthrough/packet"
)

// maxChanges bounds the list changes that are kept, 40 B each. A node that missed more
// gets the whole list.
const maxChanges = 4_096

// directory is a control VM's list of agents. Changes are numbered, so that a node is
// sent only the changes since the last one it has.
type directory struct {
	// processEpoch is random for each start of the VM's process; change numbers are only
	// valid within one epoch.
	processEpoch uint64
	number       uint64
	agents       map[netip.AddrPort]Node
	changes      []listChange
}

// listChange records that an agent was added, restarted or removed.
type listChange struct {
	number  uint64
	address netip.AddrPort
	// retired means that the agent ended together with its target.
	retired bool
}

func newDirectory() *directory {
	return &directory{processEpoch: rand.Uint64(), agents: map[netip.AddrPort]Node{}}
}

// put adds or replaces an agent.
func (d *directory) put(address netip.AddrPort, n Node) {
	d.agents[address] = n
	d.record(address, false)
}

// remove removes an agent; retired means that it ended together with its target.
func (d *directory) remove(address netip.AddrPort, retired bool) {
	delete(d.agents, address)
	d.record(address, retired)
}

func (d *directory) record(address netip.AddrPort, retired bool) {
	d.number++
	if len(d.changes) == maxChanges {
		d.changes = slices.Clone(d.changes[maxChanges/2:])
	}
	d.changes = append(d.changes, listChange{d.number, address, retired})
}

// since returns the changes after the given number, the whole list if they aren't kept,
// or nil if there are none.
func (d *directory) since(epoch, number uint64) *ListUpdate {
	if epoch == d.processEpoch && number == d.number {
		return nil
	}
	l := &ListUpdate{Epoch: d.processEpoch, Number: d.number}
	oldest := d.number + 1 - uint64(len(d.changes))
	if epoch != d.processEpoch || number > d.number || number+1 < oldest {
		l.Full = true
		for address, n := range d.agents {
			l.add(address, n)
		}
		return l
	}
	seen := map[netip.AddrPort]bool{}
	for _, c := range slices.Backward(d.changes[number+1-oldest:]) {
		if seen[c.address] {
			continue
		}
		seen[c.address] = true
		at := packet.EndpointOf(c.address)
		switch n, ok := d.agents[c.address]; {
		case ok:
			l.add(c.address, n)
		case c.retired:
			l.Retired = append(l.Retired, at)
		default:
			l.Gone = append(l.Gone, at)
		}
	}
	return l
}

func (l *ListUpdate) add(address netip.AddrPort, n Node) {
	zone := slices.Index(l.Zones, n.Zone)
	if zone < 0 {
		zone = len(l.Zones)
		l.Zones = append(l.Zones, n.Zone)
	}
	l.Present = append(l.Present, AgentEntry{At: packet.EndpointOf(address), Zone: uint16(zone), Service: n.Service, Process: n.Process})
}
