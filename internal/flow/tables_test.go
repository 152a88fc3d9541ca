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

// Each handshake must succeed and open exactly one flow while the three balancers have
// three different tables. A first flight spans two datagrams, which cross different
// balancers; agents forward both to the choice of the newest table, and remember it until
// the handshake is over.
func TestTwoDatagramFirstFlightsOverBalancersWithDifferentTables(t *testing.T) {
	r := standardRig(t, 4, targetHandler)
	r.applyTo("balancer-1", r.changeWeights(100, 10, 400, 100))
	last := r.changeWeights(0, 500, 100, 50)
	r.applyTo("balancer-2", last)
	r.applyAgents(last)
	const callers = 60
	for range callers {
		_, agent, err := r.caller(defaultService).get("/")
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
	return r.nextRevision()
}

func (r *rig) applyTo(balancer string, t *table.Table) {
	r.is.NoErr(r.balancers[balancer].Apply(t))
}

// sum returns the sum of a counter over all agents.
func (r *rig) sum(counter string) (total int64) {
	for _, a := range r.agents {
		total += a.metrics.Value(counter)
	}
	return total
}

// Downloads must arrive intact, and new flows must open, while one balancer's table is
// hundreds of revisions old. It lacks the agents that joined since and doesn't know that
// others drain; it sends packets of unknown agents to an agent with a newer table.
func TestBalancersHundredsOfRevisionsApart(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	feed := r.openFeed(r.flowAt(1))
	r.addAgent(3, defaultService, "", targetHandler(3))
	r.target(1).State = table.Draining
	r.table.Revision += 150
	middle := r.nextRevision()
	r.addAgent(4, defaultService, "", targetHandler(4))
	r.target(2).State = table.Draining
	r.table.Revision += 200
	newest := r.nextRevision()
	r.applyTo("balancer-1", middle)
	r.applyTo("balancer-2", newest)
	r.applyAgents(newest)
	for _, number := range []table.AgentNumber{3, 4} {
		r.requireIntact(r.startDownload(r.flowAt(number)))
	}
	r.requireFeedContinues(feed)
	r.is.True(r.balancers["balancer-0"].metrics.Value("balancer_forward_behind") > 0)
	r.is.True(r.sum("flow_hand_over_named_other") > 0)
}

// A rotation of the cluster's keys must not break a flow: feeds opened with the old keys
// continue, and new flows open at each step, although balancers apply each step later than
// agents.
func TestKeyRotationBreaksNothing(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	feed := r.openFeed(r.caller(defaultService))
	step := func() {
		next := r.nextRevision()
		r.applyAgents(next)
		_, _, err := r.caller(defaultService).get("/")
		r.is.NoErr(err)
		r.requireFeedContinues(feed)
		r.applyBalancers(next)
		r.requireIntact(r.startDownload(r.caller(defaultService)))
		r.requireFeedContinues(feed)
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
	// The old keys may be retired once no agent has a flow with them.
	r.is.True(r.sum("flow_open_old_keys") > 0)
	feed.close()
	r.closeCallers()
	r.eventually("flows with the old keys end", func() bool { return r.sum("flow_open_old_keys") == 0 })
}

// In a key rotation without the pending step, balancers sign with a key that agents don't
// have yet. Packets are lost until the agents apply the table; then the feed must continue.
func TestFeedSurvivesKeysThatAgentsLearnLate(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	feed := r.openFeed(r.caller(defaultService))
	r.addKeys(2)
	next := r.nextRevision()
	r.applyBalancers(next)
	r.eventually("packets signed with the new key are refused", func() bool {
		return r.sum("flow_envelope_unknown_key") > 0
	})
	r.applyAgents(next)
	r.requireFeedContinues(feed)
}

// Without the cluster's key nobody may reach an agent, or a caller through a balancer.
// Envelopes signed with another key and datagrams that aren't envelopes are counted and
// dropped.
func TestForgedEnvelopesAreRefused(t *testing.T) {
	r := standardRig(t, 1, targetHandler)
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
		out, err := ring.Append(nil, &envelope.Header{Kind: kind, Generation: 1, Service: defaultServiceID, Agent: 1, Caller: victim}, packet)
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
