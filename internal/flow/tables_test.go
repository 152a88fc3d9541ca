package flow_test

import (
	"crypto/rand"
	"net"
	"net/netip"
	"testing"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/table"
)

// Every caller's handshake succeeds, and opens one flow only, while the three
// balancers have three different tables. Each first flight spans two datagrams,
// which cross different balancers; agents hand them to the choice of the newest
// table and remember it for the handshake.
func TestSpanningFirstFlightsOverBalancersWithDifferentTables(t *testing.T) {
	r := standard(t, 4, target)
	r.applyTo("balancer-1", r.changeWeights(100, 10, 400, 100))
	last := r.changeWeights(0, 500, 100, 50)
	r.applyTo("balancer-2", last)
	r.applyAgents(last)
	const callers = 60
	for range callers {
		_, agent, err := r.caller(desk).get("/")
		r.is.NoErr(err)
		r.is.True(agent != "1") // it has no weight in the newest table
	}
	r.is.Equal(r.sum("flow_opened"), int64(callers))
	r.is.True(r.sum("flow_hand_over_newer_choice") > 0)
	r.is.True(r.sum("flow_hand_over_remembered") > 0)
}

func (r *rig) changeWeights(weights ...uint32) *table.Table {
	for i, w := range weights {
		r.target(table.AgentNumber(i + 1)).Weight = w
	}
	return r.revise()
}

func (r *rig) applyTo(balancer string, t *table.Table) {
	r.is.NoErr(r.balancers[balancer].Apply(t))
}

// sum adds one counter over all agents.
func (r *rig) sum(counter string) (total int64) {
	for _, a := range r.agents {
		total += a.metrics.Value(counter)
	}
	return total
}

// Callers' downloads are whole, and new flows open, while one balancer's table is
// hundreds of revisions old: it knows neither the agents that have come since nor
// that others drain. It hands what it doesn't know to an agent that does.
func TestBalancersHundredsOfRevisionsApart(t *testing.T) {
	r := standard(t, 2, target)
	feed := r.openFeed(r.flowAt(1))
	r.addAgent(3, desk, "", target(3))
	r.target(1).State = table.Draining
	r.table.Revision += 150
	middle := r.revise()
	r.addAgent(4, desk, "", target(4))
	r.target(2).State = table.Draining
	r.table.Revision += 200
	newest := r.revise()
	r.applyTo("balancer-1", middle)
	r.applyTo("balancer-2", newest)
	r.applyAgents(newest)
	for _, number := range []table.AgentNumber{3, 4} {
		r.whole(r.startDownload(r.flowAt(number)))
	}
	r.goesOn(feed)
	r.is.True(r.balancers["balancer-0"].metrics.Value("balancer_forward_behind") > 0)
	r.is.True(r.sum("flow_hand_over_named_other") > 0)
}

// Callers notice nothing of a rotation of the cluster's keys: feeds opened under
// the old keys go on, and flows open at each step, though balancers learn of each
// step later than agents do.
func TestKeyRotationBreaksNothing(t *testing.T) {
	r := standard(t, 2, target)
	feed := r.openFeed(r.caller(desk))
	step := func() {
		next := r.revise()
		r.applyAgents(next)
		_, _, err := r.caller(desk).get("/")
		r.is.NoErr(err)
		r.goesOn(feed)
		r.applyBalancers(next)
		r.whole(r.startDownload(r.caller(desk)))
		r.goesOn(feed)
	}
	next, err := keys.NewKeySet(2, rand.Reader)
	r.is.NoErr(err)
	next.Pending = true
	r.table.Keys = append(r.table.Keys, next)
	step()
	r.table.Keys[1].Pending = false
	step()
	r.is.Equal(r.sum("flow_envelope_unknown_key"), int64(0))
	r.is.Equal(r.sum("flow_envelope_forged"), int64(0))
	// The old keys may be retired once no agent counts a flow under them.
	r.is.True(r.sum("flow_open_old_keys") > 0)
	feed.close()
	r.closeCallers()
	r.eventually("flows under the old keys end", func() bool { return r.sum("flow_open_old_keys") == 0 })
}

// A caller's key rotation without the pending step: balancers sign with a key
// that agents don't have yet. Their callers' packets are lost until the agents
// have the table, and then all goes on; nothing is cut.
func TestFeedOutlivesKeysThatAgentsLearnLate(t *testing.T) {
	r := standard(t, 2, target)
	feed := r.openFeed(r.caller(desk))
	r.addKeys(2)
	next := r.revise()
	r.applyBalancers(next)
	r.eventually("packets under the new key are refused", func() bool {
		return r.sum("flow_envelope_unknown_key") > 0
	})
	r.applyAgents(next)
	r.goesOn(feed)
}

// Nobody without the cluster's key reaches an agent, or a caller through a
// balancer: forged envelopes are counted and go nowhere, whether they are signed
// under another key or not envelopes at all.
func TestForgedEnvelopesAreRefused(t *testing.T) {
	r := standard(t, 1, target)
	set, err := keys.NewKeySet(1, rand.Reader)
	r.is.NoErr(err)
	ring, err := envelope.NewKeyRing([]table.KeySet{set})
	r.is.NoErr(err)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	r.is.NoErr(err)
	defer socket.Close()
	victim := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	packet := make([]byte, 1200)
	packet[0] = 0xc0
	forge := func(kind envelope.Kind, to netip.AddrPort) {
		out, err := ring.Append(nil, &envelope.Header{Kind: kind, Generation: 1, Service: deskID, Agent: 1, Caller: victim}, packet)
		r.is.NoErr(err)
		for _, datagram := range [][]byte{out, packet, out[:20], {}} {
			_, err = socket.WriteToUDPAddrPort(datagram, to)
			r.is.NoErr(err)
		}
	}
	agent, b := r.agents[1], r.balancers["balancer-0"]
	forge(envelope.Forward, agent.Tunnel())
	forge(envelope.Return, b.Tunnel())
	r.eventually("the agent refuses", func() bool {
		return agent.metrics.Value("flow_envelope_forged") == 1 && agent.metrics.Value("flow_envelope_malformed") == 3
	})
	r.eventually("the balancer refuses", func() bool {
		return b.metrics.Value("balancer_return_forged") == 1 && b.metrics.Value("balancer_return_malformed") == 3
	})
	r.is.Equal(agent.Flows(), 0)
	r.is.Equal(b.metrics.Value("balancer_return_packets"), int64(0))
}
