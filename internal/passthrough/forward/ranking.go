package forward

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// Each flow has a few preferred agents in each data centre, the ones with the
// highest rendezvous hash of flow and agent. New flows are placed among them, so a
// balancer that has never seen a flow finds its holder with a few questions, however
// many agents there are. Balancers needn't agree on the list of agents: one more or
// less changes the preference of the few flows that prefer it.

// preferred is how many agents of one service and data centre a flow prefers. New flows
// choose between two of them, so a larger number would hardly balance the load better,
// and each further one costs a question in a search.
const preferred = 4

// group is the agents of one service in one data centre.
type group struct {
	service route.ServiceID
	zone    string
	members []uint32
}

// groupKey identifies a group.
type groupKey struct {
	service route.ServiceID
	zone    string
}

// index finds the agents of a service without a walk over all.
type index struct {
	groups map[groupKey]*group
	// byService holds each service's groups, ordered by data centre.
	byService map[route.ServiceID][]*group
}

func newIndex() index {
	return index{groups: map[groupKey]*group{}, byService: map[route.ServiceID][]*group{}}
}

// add puts an agent into its group, which is returned.
func (x *index) add(key groupKey, number uint32) *group {
	g := x.groups[key]
	if g == nil {
		g = &group{service: key.service, zone: key.zone}
		x.groups[key] = g
		all := append(x.byService[key.service], g)
		slices.SortFunc(all, func(a, b *group) int { return strings.Compare(a.zone, b.zone) })
		x.byService[key.service] = all
	}
	g.members = append(g.members, number)
	return g
}

// remove takes an agent out of its group; an empty group is forgotten.
func (x *index) remove(g *group, number uint32) {
	if at := slices.Index(g.members, number); at >= 0 {
		g.members = slices.Delete(g.members, at, at+1)
	}
	if len(g.members) > 0 {
		return
	}
	delete(x.groups, groupKey{g.service, g.zone})
	x.byService[g.service] = slices.DeleteFunc(x.byService[g.service], func(other *group) bool { return other == g })
	if len(x.byService[g.service]) == 0 {
		delete(x.byService, g.service)
	}
}

// hashOf is the hash of an agent's address, the same at every balancer.
func hashOf(at netip.AddrPort) uint64 {
	var b [18]byte
	ip := at.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], at.Port())
	return xxhash.Sum64(b[:])
}

// affinity is the rendezvous hash of a flow and an agent.
func affinity(flow, agent uint64) uint64 {
	x := flow ^ agent
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// topAgents gathers the agents with the highest affinity to a flow.
type topAgents struct {
	flow    uint64
	numbers [preferred]uint32
	weights [preferred]uint64
	n       int
}

func (b *topAgents) offer(number uint32, agent uint64) {
	w := affinity(b.flow, agent)
	at := b.n
	for at > 0 && b.weights[at-1] < w {
		at--
	}
	if at == preferred {
		return
	}
	b.n = min(b.n+1, preferred)
	copy(b.numbers[at+1:b.n], b.numbers[at:])
	copy(b.weights[at+1:b.n], b.weights[at:])
	b.numbers[at], b.weights[at] = number, w
}

// list is the agents gathered, the most preferred first.
func (b *topAgents) list() []uint32 { return b.numbers[:b.n] }

// candidateHolders lists the agents that most likely hold a flow, the likeliest first: the
// flow's preferred ones of the route's services in this data centre,
// then those of the others. Balancers of every data centre place flows among them.
func (e *Engine) candidateHolders(now time.Duration, f packet.Flow) []uint32 {
	var out []uint32
	choices := e.table.Services(f.Service)
	picked, _ := e.table.Pick(f)
	for _, near := range []bool{true, false} {
		for _, c := range choices {
			if c.Service == picked {
				out = e.preferredOf(now, f, c.Service, near, out)
			}
		}
		for _, c := range choices {
			if c.Service != picked {
				out = e.preferredOf(now, f, c.Service, near, out)
			}
		}
	}
	return out
}

// preferredOf appends the preferred agents of each data centre, of the balancer's
// own or of all others, that may hold flows.
func (e *Engine) preferredOf(now time.Duration, f packet.Flow, s route.ServiceID, near bool, to []uint32) []uint32 {
	hash := route.Hash(f)
	for _, g := range e.agents.index.byService[s] {
		if (g.zone == e.cfg.Zone) != near {
			continue
		}
		b := topAgents{flow: hash}
		for _, number := range g.members {
			if a := &e.agents.list[number]; a.asked(now) {
				b.offer(number, a.hash)
			}
		}
		to = append(to, b.list()...)
	}
	return to
}
