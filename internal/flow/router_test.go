package flow

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/envelope"
	"bergamotstall/internal/steering"
	"bergamotstall/internal/table"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Now()

// fourAgents returns a table with agents 1 to 4 active, 5 draining and 6 retired.
func fourAgents(revision table.Revision, weights ...uint32) *steering.CompiledTable {
	fill := make([]byte, 32)
	t := &table.Table{
		Revision: revision,
		Keys:     []table.KeySet{{Generation: 1, ConnID: fill[:16], Envelope: fill, Hash: fill[:16]}},
		Services: []table.Service{{ID: 1, Name: "desk", Address: "192.0.2.1:443"}},
	}
	for i := range 6 {
		x := table.Target{Agent: table.AgentNumber(i + 1), Service: 1, State: table.Active, Weight: 1}
		x.Tunnel = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(10 + i)}), 9).String()
		if i < len(weights) {
			x.Weight = weights[i]
		}
		t.Targets = append(t.Targets, x)
	}
	t.Targets[4].State = table.Draining
	t.Targets[5].State = table.Retired
	m, err := steering.Compile(t, start, nil)
	if err != nil {
		panic(err)
	}
	return m
}

func stateOf(self table.AgentNumber, m *steering.CompiledTable) *AgentState {
	s, _ := m.ServiceNamed("desk")
	tunnel := netip.MustParseAddrPort("192.0.2.99:9")
	if a, ok := m.Agent(self); ok {
		tunnel = a.Tunnel
	}
	return &AgentState{Self: self, Tunnel: tunnel, Table: m, Service: s, FlowLimit: 10}
}

// A packet of an open flow must be delivered if the flow is here, forwarded to the agent
// that has it, or answered with a reset if no agent has it.
func TestDecisionsOnOpenFlows(t *testing.T) {
	m := fourAgents(7)
	for _, x := range []struct {
		name   string
		self   table.AgentNumber
		packet Packet
		want   Decision
	}{
		{"own", 1, Packet{NamedAgent: 1}, Decision{Action: Deliver, Reason: OwnFlow}},
		{"another's", 1, Packet{NamedAgent: 2}, Decision{Action: HandOver, Reason: NamedOther, Agent: 2}},
		{"a draining one's", 1, Packet{NamedAgent: 5}, Decision{Action: HandOver, Reason: NamedOther, Agent: 5}},
		{"another's, at the hop limit", 1, Packet{NamedAgent: 2, Hops: envelope.MaxHops}, Decision{Action: Drop, Reason: TooManyHops}},
		{"a retired one's", 1, Packet{NamedAgent: 6}, Decision{Action: Reset, Reason: GoneAgent}},
		{"a retired one's handshake", 1, Packet{NamedAgent: 6, Long: true}, Decision{Action: Drop, Reason: GoneAgent}},
		{"a removed one's", 9, Packet{NamedAgent: 8}, Decision{Action: Reset, Reason: GoneAgent}},
		{"one's that is newer than the table", 1, Packet{NamedAgent: 12}, Decision{Action: Drop, Reason: AheadOfTable}},
		{"before a number is assigned", 0, Packet{NamedAgent: 1}, Decision{Action: Drop, Reason: NoAgentNumber}},
		{"under an unknown key", 1, Packet{Origin: connid.UnknownGeneration}, Decision{Action: Drop, Reason: AheadOfTable}},
		{"without an agent", 1, Packet{Origin: connid.Foreign}, Decision{Action: Drop, Reason: ForeignConnID}},
	} {
		if x.packet.Origin == 0 && x.name != "without an agent" {
			x.packet.Origin = connid.Ours
		}
		if got := NewRouter().Decide(stateOf(x.self, m), &x.packet); got != x.want {
			t.Errorf("%s: got %+v, want %+v", x.name, got, x.want)
		}
	}
}

// A new incarnation at an agent's address must reset the old one's flows and accept first
// packets for which the table chooses the old one: forwarded, they would come straight back.
func TestNewIncarnationResetsFlowsOfTheOldOne(t *testing.T) {
	is := is.New(t)
	s := stateOf(1, fourAgents(7))
	s.Self = 9 // the same tunnel as agent 1
	d := NewRouter()
	is.Equal(d.Decide(s, &Packet{Origin: connid.Ours, NamedAgent: 1}), Decision{Action: Reset, Reason: PreviousIncarnation})
	for key := range uint64(50) {
		v := d.Decide(s, &Packet{Now: start, Opening: true, Revision: 6, PlacementKey: key, ChoiceKey: key})
		is.True(v.Action == Deliver || v.Agent != 1)
	}
}

// A rerouted packet must be reset only after this agent's own probes have failed too, and
// forwarded to its agent until then.
func TestReroutedPacketIsResetOnlyAfterOwnProbes(t *testing.T) {
	is := is.New(t)
	m := fourAgents(7)
	s, a := stateOf(1, m), &Packet{Origin: connid.Ours, NamedAgent: 2, Reroute: true}
	is.Equal(NewRouter().Decide(s, a).Action, HandOver)
	other, _ := m.Agent(2)
	other.Reach.MarkDown()
	is.Equal(NewRouter().Decide(s, a), Decision{Action: Reset, Reason: Unreachable})
	a.Reroute = false
	is.Equal(NewRouter().Decide(s, a).Action, HandOver)
}

// Both datagrams of a first flight must go to the same agent, even if the agent's state
// changes between them. After choiceTTL the choice is made again.
func TestFirstFlightIsRememberedForTheHandshake(t *testing.T) {
	is := is.New(t)
	m := fourAgents(7)
	s, d := stateOf(1, m), NewRouter()
	first := &Packet{Now: start, Opening: true, Revision: 7, PlacementKey: 3, ChoiceKey: 3}
	is.Equal(d.Decide(s, first), Decision{Action: Deliver, Reason: OpenedHere})
	s.Draining = true
	is.Equal(d.Decide(s, first), Decision{Action: Deliver, Reason: Remembered})

	other := &Packet{Now: start, Opening: true, Revision: 7, PlacementKey: 4, ChoiceKey: 4}
	sent := d.Decide(s, other)
	is.Equal(sent.Reason, DrainingElsewhere)
	s.Draining = false
	again := d.Decide(s, other)
	is.Equal(again.Reason, Remembered)
	is.Equal(again.Agent, sent.Agent)

	other.Now = start.Add(choiceTTL)
	is.Equal(d.Decide(s, other).Reason, OpenedHere)
	is.Equal(len(d.choices), 1)
}

// A flood of first packets must not exceed choiceLimit, and still gets decisions.
func TestFloodOfFirstPacketsIsBounded(t *testing.T) {
	is := is.New(t)
	s, d := stateOf(1, fourAgents(7)), NewRouter()
	for i := range uint64(3 * choiceLimit) {
		v := d.Decide(s, &Packet{Now: start, Opening: true, Revision: 7, PlacementKey: i, ChoiceKey: i})
		is.Equal(v.Action, Deliver)
	}
	is.Equal(len(d.choices), choiceLimit)
	for i := range uint64(2) {
		later := start.Add(choiceTTL * time.Duration(i+1))
		d.Decide(s, &Packet{Now: later, Opening: true, Revision: 7, PlacementKey: i, ChoiceKey: i})
		is.Equal(len(d.choices), 1)
		is.Equal(len(d.queue)-d.head, 1)
	}
}

// Whatever the agents' states and tables are, a first packet must be delivered or refused
// within two hops, and never return to an agent that forwarded it.
func TestFirstPacketEndsWithinTwoHops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type agent struct {
			state  *AgentState
			router *Router
		}
		agents := make(map[table.AgentNumber]*agent)
		tables := make(map[table.Revision]*steering.CompiledTable)
		for r := table.Revision(5); r <= 7; r++ {
			tables[r] = fourAgents(r, rapid.SliceOfN(rapid.Uint32Range(0, 3), 4, 4).Draw(t, "weights")...)
		}
		revisions := rapid.SampledFrom([]table.Revision{5, 6, 7})
		for n := table.AgentNumber(1); n <= 4; n++ {
			s := stateOf(n, tables[revisions.Draw(t, "revision")])
			s.Draining = rapid.Bool().Draw(t, "draining")
			s.Flows = rapid.SampledFrom([]int{0, 10}).Draw(t, "flows")
			agents[n] = &agent{s, NewRouter()}
		}
		a := Packet{Now: start, Opening: true, PlacementKey: rapid.Uint64().Draw(t, "key"), ChoiceKey: 1}
		a.Revision = revisions.Draw(t, "balancer")
		at := table.AgentNumber(rapid.IntRange(1, 4).Draw(t, "first"))
		seen := make(map[table.AgentNumber]bool)
		for {
			if seen[at] {
				t.Fatalf("returned to agent %d after %d hops", at, a.Hops)
			}
			seen[at] = true
			v := agents[at].router.Decide(agents[at].state, &a)
			if v.Action != HandOver {
				if v.Action != Deliver && v.Action != Refuse {
					t.Fatalf("ended with %+v", v)
				}
				return
			}
			a.Hops++
			a.ForwardedBy = at
			a.Revision = max(a.Revision, agents[at].state.Table.Revision)
			if a.Hops > envelope.MaxHops {
				t.Fatal("too many hops")
			}
			at = v.Agent
		}
	})
}
