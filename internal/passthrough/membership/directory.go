package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"bergamotstall/internal/passthrough/packet"
)

// maxChanges bounds the changes of the list that are kept, 40 B each. A node that has
// missed more gets the whole list.
const maxChanges = 4_096

// directory is a control VM's list of agents. Each change has a number, so that a node
// is sent what changed since it was last told, and not the list.
type directory struct {
	// epoch is random for each start of the VM's process: numbers of another one
	// mean nothing.
	epoch   uint64
	number  uint64
	agents  map[netip.AddrPort]Node
	changes []change
}

// change says that an agent came, went or is another process.
type change struct {
	number  uint64
	address netip.AddrPort
	// retired says that the agent went with its target.
	retired bool
}

func newDirectory() *directory {
	return &directory{epoch: rand.Uint64(), agents: map[netip.AddrPort]Node{}}
}

// put lists an agent.
func (d *directory) put(address netip.AddrPort, n Node) {
	d.agents[address] = n
	d.note(address, false)
}

// remove takes an agent off the list; retired says that its target is gone.
func (d *directory) remove(address netip.AddrPort, retired bool) {
	delete(d.agents, address)
	d.note(address, retired)
}

func (d *directory) note(address netip.AddrPort, retired bool) {
	d.number++
	if len(d.changes) == maxChanges {
		d.changes = slices.Clone(d.changes[maxChanges/2:])
	}
	d.changes = append(d.changes, change{d.number, address, retired})
}

// since returns what a node lacks that has the list as of a number; nil if nothing.
func (d *directory) since(epoch, number uint64) *Listing {
	if epoch == d.epoch && number == d.number {
		return nil
	}
	l := &Listing{Epoch: d.epoch, Number: d.number}
	oldest := d.number + 1 - uint64(len(d.changes))
	if epoch != d.epoch || number > d.number || number+1 < oldest {
		l.Whole = true
		for address, n := range d.agents {
			l.add(address, n)
		}
		return l
	}
	told := map[netip.AddrPort]bool{}
	for _, c := range slices.Backward(d.changes[number+1-oldest:]) {
		if told[c.address] {
			continue
		}
		told[c.address] = true
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

func (l *Listing) add(address netip.AddrPort, n Node) {
	zone := slices.Index(l.Zones, n.Zone)
	if zone < 0 {
		zone = len(l.Zones)
		l.Zones = append(l.Zones, n.Zone)
	}
	l.Present = append(l.Present, Entry{At: packet.EndpointOf(address), Zone: uint16(zone), Service: n.Service, Process: n.Process})
}
