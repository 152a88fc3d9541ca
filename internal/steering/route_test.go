package steering

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/table"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// settled is long after all changes in the tables here.
var settled = time.Unix(1_000_000, 0)

var someCaller = netip.MustParseAddrPort("192.0.2.7:4444")

func keySet(generation uint8) table.KeySet {
	fill := func(n int) []byte {
		out := make([]byte, n)
		for i := range out {
			out[i] = byte(i) ^ generation
		}
		return out
	}
	return table.KeySet{Generation: generation, ConnID: fill(16), Envelope: fill(32), Reset: fill(32), Token: fill(32), Hash: fill(16)}
}

// twoServices returns a table with agents 1 to 3 for service 1, of which 3 is retired,
// and agent 4 for service 2.
func twoServices() *table.Table {
	return &table.Table{
		Revision: 5,
		Keys:     []table.KeySet{keySet(1)},
		Services: []table.Service{
			{ID: 1, Name: "desk", Address: "192.0.2.1:443"},
			{ID: 2, Name: "archive", Address: "192.0.2.2:443"},
		},
		Targets: []table.Target{
			{Agent: 1, Service: 1, Tunnel: "192.0.2.11:9", Weight: 1, State: table.Active},
			{Agent: 2, Service: 1, Tunnel: "192.0.2.12:9", Weight: 1, State: table.Draining},
			{Agent: 3, Service: 1, State: table.Retired},
			{Agent: 4, Service: 2, Tunnel: "192.0.2.14:9", Weight: 1, State: table.Active},
		},
	}
}

func compiled(is *is.I, t *table.Table) *CompiledTable {
	m, err := Compile(t, settled, nil)
	is.NoErr(err)
	return m
}

func shortPacket(m *CompiledTable, agent table.AgentNumber) []byte {
	id, _ := m.ConnIDs.Encode(m.Generation, agent, connid.Entropy{})
	return append([]byte{0x40}, append(id[:], make([]byte, 40)...)...)
}

func longPacket(first byte, destination []byte) []byte {
	out := []byte{first, 0, 0, 0, 1, byte(len(destination))}
	return append(out, append(destination, make([]byte, 1200)...)...)
}

// Each kind of packet must go to its flow's agent, or to another agent that can answer
// it, or be dropped for a reason that is counted.
func TestRouteByPacketKind(t *testing.T) {
	is := is.New(t)
	m := compiled(is, twoServices())
	desk, _ := m.ServiceNamed("desk")
	callerID := []byte{9, 9, 9, 9, 9, 9, 9, 9}
	foreign := make([]byte, 17)
	foreign[0] = 1
	unknown := make([]byte, 17)
	unknown[0] = 4
	for _, x := range []struct {
		name    string
		packet  []byte
		agent   table.AgentNumber
		outcome Outcome
	}{
		{"flow of an active agent", shortPacket(m, 1), 1, Named},
		{"flow of a draining agent", shortPacket(m, 2), 2, Named},
		{"flow of a retired agent", shortPacket(m, 3), 1, Gone},
		{"flow of an agent of another service", shortPacket(m, 4), 0, DropOtherService},
		{"flow of an agent of a newer table", shortPacket(m, 77), 1, Behind},
		{"first packet", longPacket(0xc0, callerID), 1, New},
		{"0-RTT packet", longPacket(0xd0, callerID), 1, New},
		{"handshake packet of an unknown flow", longPacket(0xe0, callerID), 0, DropForeign},
		{"short packet of an unknown flow", append([]byte{0x40}, append(foreign, 1, 2, 3)...), 0, DropForeign},
		{"short packet under a newer key", append([]byte{0x40}, append(unknown, 1, 2, 3)...), 1, Behind},
		{"empty", nil, 0, DropMalformed},
		{"truncated connection ID", shortPacket(m, 1)[:10], 0, DropMalformed},
		{"truncated long packet", longPacket(0xc0, callerID)[:9], 0, DropMalformed},
	} {
		var r Router
		agent, outcome := r.Route(m, desk, someCaller, x.packet)
		if outcome != x.outcome || (agent == nil) != (x.agent == 0) || agent != nil && agent.Number != x.agent {
			t.Errorf("%s: got %v, %v", x.name, agent, outcome)
		}
	}
}

// New flows must avoid an agent that doesn't answer, and packets of its open flows must
// go to another. If no agent answers, the judgement is ignored.
func TestRouteAroundUnreachableAgent(t *testing.T) {
	is := is.New(t)
	tab := twoServices()
	tab.Targets[1].State = table.Active
	m := compiled(is, tab)
	desk, _ := m.ServiceNamed("desk")
	markUnreachable := func(number table.AgentNumber) {
		a, _ := m.Agent(number)
		a.Reach.MarkDown()
	}
	markUnreachable(1)
	var r Router
	avoided := 0
	for i := range byte(50) {
		agent, outcome := r.Route(m, desk, someCaller, longPacket(0xc0, []byte{i, 0, 0, 0, 0, 0, 0, 0}))
		is.Equal(agent.Number, table.AgentNumber(2))
		if outcome == NewAvoiding {
			avoided++
		}
	}
	is.True(avoided > 10 && avoided < 40) // only those whose first choice was agent 1
	agent, outcome := r.Route(m, desk, someCaller, shortPacket(m, 1))
	is.Equal(agent.Number, table.AgentNumber(2))
	is.Equal(outcome, Unreachable)

	// A newer table keeps the reachability records.
	tab.Revision++
	newer, err := Compile(tab, settled, m)
	is.NoErr(err)
	same, _ := newer.Agent(1)
	is.True(same.Reach.Down())

	markUnreachable(2)
	_, outcome = r.Route(m, desk, someCaller, longPacket(0xc0, []byte{1, 2, 3, 4, 5, 6, 7, 8}))
	is.Equal(outcome, New)
}

// Arbitrary bytes must be routed or dropped without a panic.
func TestRouteTakesArbitraryBytes(t *testing.T) {
	m := compiled(is.New(t), twoServices())
	desk, _ := m.ServiceNamed("desk")
	rapid.Check(t, func(t *rapid.T) {
		var r Router
		packet := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "packet")
		agent, outcome := r.Route(m, desk, someCaller, packet)
		if (agent == nil) != outcome.Dropped() {
			t.Fatalf("agent %v with outcome %v", agent, outcome)
		}
	})
}

// A table with an invalid part must be refused as a whole, so that the previous table
// stays in use.
func TestCompileRefusesInvalidTables(t *testing.T) {
	is := is.New(t)
	for name, invalidate := range map[string]func(*table.Table){
		"no keys":          func(x *table.Table) { x.Keys = nil },
		"short ID key":     func(x *table.Table) { x.Keys[0].ConnID = []byte{1} },
		"short MAC key":    func(x *table.Table) { x.Keys[0].Envelope = []byte{1} },
		"short hash key":   func(x *table.Table) { x.Keys[0].Hash = []byte{1} },
		"service address":  func(x *table.Table) { x.Services[0].Address = "desk:443" },
		"tunnel":           func(x *table.Table) { x.Targets[0].Tunnel = "" },
		"balancer address": func(x *table.Table) { x.Balancers = []table.Balancer{{Name: "b", Tunnel: "b"}} },
	} {
		tab := twoServices()
		invalidate(tab)
		if _, err := Compile(tab, settled, nil); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	_, err := Compile(twoServices(), settled, nil)
	is.NoErr(err)
}

// Routing a packet of any kind must not allocate memory.
func TestRouteAllocatesNothing(t *testing.T) {
	is := is.New(t)
	m := compiled(is, twoServices())
	desk, _ := m.ServiceNamed("desk")
	packets := [][]byte{shortPacket(m, 1), shortPacket(m, 77), longPacket(0xc0, []byte{1, 2, 3, 4, 5, 6, 7, 8}), {1}}
	r := new(Router)
	is.Equal(testing.AllocsPerRun(100, func() {
		for _, p := range packets {
			r.Route(m, desk, someCaller, p)
		}
	}), 0.0)
}

func BenchmarkRoute(b *testing.B) {
	m := compiled(is.New(b), twoServices())
	desk, _ := m.ServiceNamed("desk")
	for name, packet := range map[string][]byte{
		"named": shortPacket(m, 1),
		"new":   longPacket(0xc0, []byte{1, 2, 3, 4, 5, 6, 7, 8}),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			r := new(Router)
			for b.Loop() {
				r.Route(m, desk, someCaller, packet)
			}
		})
	}
}

// A target that joins must get a tenth of its share at first and all of it ten seconds
// later without a newer table. Flows of services without a change must be placed as
// before.
func TestSharesChangeWithoutANewTable(t *testing.T) {
	is := is.New(t)
	tab := twoServices()
	tab.Targets[1].State = table.Active
	joined := time.Unix(5000, 0)
	tab.Targets[1].JoinedAtMS = joined.UnixMilli()
	m, err := Compile(tab, joined, nil)
	is.NoErr(err)
	share := func(m *CompiledTable) float64 {
		desk, _ := m.ServiceNamed("desk")
		got := tallyFlows(func(flow uint64) table.AgentNumber {
			agent, _ := desk.Chooser().Choose(flow)
			return agent
		}, 20_000)
		return float64(got[2]) / float64(got[1])
	}
	is.True(share(m) > 0.08 && share(m) < 0.12)
	is.Equal(m.UpdateShares(joined.Add(stepMS/2*time.Millisecond)), m)
	half := m.UpdateShares(joined.Add(5 * time.Second))
	is.True(share(half) > 0.5 && share(half) < 0.6)
	whole := half.UpdateShares(joined.Add(10 * time.Second))
	is.True(share(whole) > 0.97 && share(whole) < 1.03)
	is.Equal(whole.UpdateShares(joined.Add(time.Minute)), whole)
	before, _ := m.ServiceNamed("archive")
	after, _ := whole.ServiceNamed("archive")
	is.Equal(before, after)
	again, ok := whole.ServiceByID(1)
	is.True(ok && again.Chooser().Len() == 2)
}

// BenchmarkCompile and BenchmarkReshare use a table of 12,000 hosts and 2,100 services,
// one of which has a target that has just joined.
func BenchmarkCompile(b *testing.B) {
	tab := largeTable()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(tab, settled, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReshare(b *testing.B) {
	tab := largeTable()
	tab.Targets[0].JoinedAtMS = settled.UnixMilli()
	m, err := Compile(tab, settled, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.UpdateShares(settled.Add(time.Second))
	}
}

func largeTable() *table.Table {
	const hosts, services = 12_000, 2_100
	t := &table.Table{Revision: 1, Keys: []table.KeySet{keySet(1)}}
	for i := range services {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 443)
		t.Services = append(t.Services, table.Service{ID: table.ServiceID(i + 1), Name: address.String(), Address: address.String()})
	}
	for i := range hosts {
		tunnel := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 9)
		t.Targets = append(t.Targets, table.Target{
			Agent: table.AgentNumber(i + 1), Service: table.ServiceID(i%services + 1),
			Tunnel: tunnel.String(), Weight: 100, State: table.Active,
		})
	}
	return t
}

// BenchmarkReshareAll measures one time step after a switch of presets that changes every
// target's weight.
func BenchmarkReshareAll(b *testing.B) {
	tab := largeTable()
	for i := range tab.Targets {
		tab.Targets[i].PreviousWeight = 50
		tab.Targets[i].ChangedAtMS = settled.UnixMilli()
	}
	m, err := Compile(tab, settled, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.UpdateShares(settled.Add(time.Second))
	}
}
