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

// Each flow has a few preferred agents in each data centre, those with the highest
// rendezvous hash of flow and agent. New flows are placed among them, so a balancer that has
// never seen a flow finds its holder with a few questions, however many agents there are.
// Balancers needn't agree on the list of agents: an agent more or less only affects the few
// flows that prefer it.

// preferredAgents is how many agents of one service and data centre a flow prefers. New
// flows choose between two of them, so more would hardly improve the balance, and each
// further one costs a question in a search.
const preferredAgents = 4

// group is the agents of one service in one data centre.
type group struct {
	service route.ServiceID
	zone    string
	members []uint32
}

type groupKey struct {
	service route.ServiceID
	zone    string
}

// agentIndex looks up the agents of a service without a scan of all.
type agentIndex struct {
	groups map[groupKey]*group
	// byService holds each service's groups, ordered by data centre.
	byService map[route.ServiceID][]*group
}

func newAgentIndex() agentIndex {
	return agentIndex{groups: map[groupKey]*group{}, byService: map[route.ServiceID][]*group{}}
}

// add puts an agent into its group and returns the group.
func (x *agentIndex) add(key groupKey, number uint32) *group {
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

// remove takes an agent out of its group, and deletes the group once it is empty.
func (x *agentIndex) remove(g *group, number uint32) {
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

// addressHash hashes an agent's address. All balancers must compute the same value.
func addressHash(at netip.AddrPort) uint64 {
	var b [18]byte
	ip := at.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], at.Port())
	return xxhash.Sum64(b[:])
}

// rendezvousWeight combines the hashes of a flow and an agent with the finalizer of
// SplitMix64.
func rendezvousWeight(flow, agent uint64) uint64 {
	x := flow ^ agent
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// topAgents collects the agents with the highest rendezvous weight for a flow.
type topAgents struct {
	flow    uint64
	numbers [preferredAgents]uint32
	weights [preferredAgents]uint64
	n       int
}

func (t *topAgents) offer(number uint32, agent uint64) {
	w := rendezvousWeight(t.flow, agent)
	at := t.n
	for at > 0 && t.weights[at-1] < w {
		at--
	}
	if at == preferredAgents {
		return
	}
	t.n = min(t.n+1, preferredAgents)
	copy(t.numbers[at+1:t.n], t.numbers[at:])
	copy(t.weights[at+1:t.n], t.weights[at:])
	t.numbers[at], t.weights[at] = number, w
}

// list returns the collected agents, the most preferred first.
func (t *topAgents) list() []uint32 { return t.numbers[:t.n] }

// candidateHolders lists the agents that are most likely to hold a flow, in order of
// likelihood: its preferred ones of the route's services in the local data centre, then
// those in the others. Balancers of every data centre place flows among these.
func (e *Engine) candidateHolders(now time.Duration, f packet.Flow) []uint32 {
	var out []uint32
	choices := e.table.Services(f.Service)
	picked, _ := e.table.Pick(f)
	for _, near := range []bool{true, false} {
		for _, c := range choices {
			if c.Service == picked {
				out = e.appendPreferred(now, f, c.Service, near, out)
			}
		}
		for _, c := range choices {
			if c.Service != picked {
				out = e.appendPreferred(now, f, c.Service, near, out)
			}
		}
	}
	return out
}

// appendPreferred appends the flow's preferred agents of a service that may hold flows,
// either in the local data centre or in each of the others.
func (e *Engine) appendPreferred(now time.Duration, f packet.Flow, s route.ServiceID, near bool, to []uint32) []uint32 {
	hash := route.Hash(f)
	for _, g := range e.agents.index.byService[s] {
		if (g.zone == e.cfg.Zone) != near {
			continue
		}
		top := topAgents{flow: hash}
		for _, number := range g.members {
			if a := &e.agents.list[number]; a.mayHoldFlows(now) {
				top.offer(number, a.hash)
			}
		}
		to = append(to, top.list()...)
	}
	return to
}
