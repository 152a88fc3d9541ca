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

var start = time.Unix(1000, 0)

// fourAgents has agents 1 to 4 active, 5 draining, 6 retired.
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

func standingOf(self table.AgentNumber, m *steering.CompiledTable) *Standing {
	s, _ := m.ServiceNamed("desk")
	tunnel := netip.MustParseAddrPort("192.0.2.99:9")
	if a, ok := m.Agent(self); ok {
		tunnel = a.Tunnel
	}
	return &Standing{Self: self, Tunnel: tunnel, Map: m, Service: s, Limit: 10}
}

// An open flow's packet is delivered where the flow is, sent on to where it is,
// or answered with a reset where it is nowhere any more.
func TestVerdictsOnOpenFlows(t *testing.T) {
	m := fourAgents(7)
	for _, x := range []struct {
		name    string
		self    table.AgentNumber
		arrival Arrival
		want    Verdict
	}{
		{"own", 1, Arrival{Named: 1}, Verdict{Action: Deliver, Reason: Own}},
		{"another's", 1, Arrival{Named: 2}, Verdict{Action: HandOver, Reason: NamedOther, Agent: 2}},
		{"a draining one's", 1, Arrival{Named: 5}, Verdict{Action: HandOver, Reason: NamedOther, Agent: 5}},
		{"another's, out of hops", 1, Arrival{Named: 2, Hops: envelope.MaxHops}, Verdict{Action: Drop, Reason: TooManyHops}},
		{"a retired one's", 1, Arrival{Named: 6}, Verdict{Action: Reset, Reason: GoneAgent}},
		{"a retired one's handshake", 1, Arrival{Named: 6, Long: true}, Verdict{Action: Drop, Reason: GoneAgent}},
		{"a forgotten one's", 9, Arrival{Named: 8}, Verdict{Action: Reset, Reason: GoneAgent}},
		{"a newer one's than known", 1, Arrival{Named: 12}, Verdict{Action: Drop, Reason: AheadOfTable}},
		{"before a number is assigned", 0, Arrival{Named: 1}, Verdict{Action: Drop, Reason: NoNumber}},
		{"under an unknown key", 1, Arrival{Origin: connid.UnknownGeneration}, Verdict{Action: Drop, Reason: AheadOfTable}},
		{"nobody's", 1, Arrival{Origin: connid.Foreign}, Verdict{Action: Drop, Reason: NotOurs}},
	} {
		if x.arrival.Origin == 0 && x.name != "nobody's" {
			x.arrival.Origin = connid.Ours
		}
		if got := NewDeflector().Decide(standingOf(x.self, m), &x.arrival); got != x.want {
			t.Errorf("%s: got %+v, want %+v", x.name, got, x.want)
		}
	}
}

// A new incarnation at an agent's address resets the flows of the one before and
// keeps the first packets meant for it: sending them on would come straight back.
func TestNewIncarnationAnswersForTheOld(t *testing.T) {
	is := is.New(t)
	s := standingOf(1, fourAgents(7))
	s.Self = 9 // the same tunnel as agent 1
	d := NewDeflector()
	is.Equal(d.Decide(s, &Arrival{Origin: connid.Ours, Named: 1}), Verdict{Action: Reset, Reason: PreviousIncarnation})
	for key := range uint64(50) {
		v := d.Decide(s, &Arrival{Now: start, Opening: true, Revision: 6, Key: key, Memory: key})
		is.True(v.Action == Deliver || v.Agent != 1)
	}
}

// A packet that a balancer couldn't deliver is reset only once this agent's own
// probes have failed too.
func TestOrphanIsResetOnSecondOpinionOnly(t *testing.T) {
	is := is.New(t)
	m := fourAgents(7)
	s, a := standingOf(1, m), &Arrival{Origin: connid.Ours, Named: 2, Orphan: true}
	is.Equal(NewDeflector().Decide(s, a).Action, HandOver)
	other, _ := m.Agent(2)
	other.Reach.MarkDown()
	is.Equal(NewDeflector().Decide(s, a), Verdict{Action: Reset, Reason: Unreachable})
	a.Orphan = false
	is.Equal(NewDeflector().Decide(s, a).Action, HandOver)
}

// Both datagrams of a first flight go the same way, however the agent's standing
// changes between them; when the handshake's time is over, the choice is free.
func TestFirstFlightIsRememberedForTheHandshake(t *testing.T) {
	is := is.New(t)
	m := fourAgents(7)
	s, d := standingOf(1, m), NewDeflector()
	first := &Arrival{Now: start, Opening: true, Revision: 7, Key: 3, Memory: 3}
	is.Equal(d.Decide(s, first), Verdict{Action: Deliver, Reason: OpenedHere})
	s.Draining = true
	is.Equal(d.Decide(s, first), Verdict{Action: Deliver, Reason: Remembered})

	other := &Arrival{Now: start, Opening: true, Revision: 7, Key: 4, Memory: 4}
	sent := d.Decide(s, other)
	is.Equal(sent.Reason, DrainingElsewhere)
	s.Draining = false
	again := d.Decide(s, other)
	is.Equal(again.Reason, Remembered)
	is.Equal(again.Agent, sent.Agent)

	other.Now = start.Add(handshakeMemory)
	is.Equal(d.Decide(s, other).Reason, OpenedHere)
	is.Equal(len(d.choices), 1)
}

// A flood of first packets is bounded in memory, and still gets verdicts.
func TestFloodOfFirstPacketsIsBounded(t *testing.T) {
	is := is.New(t)
	s, d := standingOf(1, fourAgents(7)), NewDeflector()
	for i := range uint64(3 * memoryLimit) {
		v := d.Decide(s, &Arrival{Now: start, Opening: true, Revision: 7, Key: i, Memory: i})
		is.Equal(v.Action, Deliver)
	}
	is.Equal(len(d.choices), memoryLimit)
	for i := range uint64(2) {
		later := start.Add(handshakeMemory * time.Duration(i+1))
		d.Decide(s, &Arrival{Now: later, Opening: true, Revision: 7, Key: i, Memory: i})
		is.Equal(len(d.choices), 1)
		is.Equal(len(d.queue)-d.head, 1)
	}
}

// Whatever each agent's state and table, a first packet ends within two hops: it
// is delivered or refused, and never comes back to an agent that refused it.
func TestFirstPacketEndsWithinTwoHops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type agent struct {
			standing  *Standing
			deflector *Deflector
		}
		agents := make(map[table.AgentNumber]*agent)
		tables := make(map[table.Revision]*steering.CompiledTable)
		for r := table.Revision(5); r <= 7; r++ {
			tables[r] = fourAgents(r, rapid.SliceOfN(rapid.Uint32Range(0, 3), 4, 4).Draw(t, "weights")...)
		}
		revisions := rapid.SampledFrom([]table.Revision{5, 6, 7})
		for n := table.AgentNumber(1); n <= 4; n++ {
			s := standingOf(n, tables[revisions.Draw(t, "revision")])
			s.Draining = rapid.Bool().Draw(t, "draining")
			s.Flows = rapid.SampledFrom([]int{0, 10}).Draw(t, "flows")
			agents[n] = &agent{s, NewDeflector()}
		}
		a := Arrival{Now: start, Opening: true, Key: rapid.Uint64().Draw(t, "key"), Memory: 1}
		a.Revision = revisions.Draw(t, "balancer")
		at := table.AgentNumber(rapid.IntRange(1, 4).Draw(t, "first"))
		seen := make(map[table.AgentNumber]bool)
		for {
			if seen[at] {
				t.Fatalf("came back to agent %d after %d hops", at, a.Hops)
			}
			seen[at] = true
			v := agents[at].deflector.Decide(agents[at].standing, &a)
			if v.Action != HandOver {
				if v.Action != Deliver && v.Action != Refuse {
					t.Fatalf("ended with %+v", v)
				}
				return
			}
			a.Hops++
			a.HandedBy = at
			a.Revision = max(a.Revision, agents[at].standing.Map.Revision)
			if a.Hops > envelope.MaxHops {
				t.Fatal("too many hops")
			}
			at = v.Agent
		}
	})
}
