package flow

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/events"
	"bergamotstall/internal/reachability"
	"bergamotstall/internal/steering"
	"bergamotstall/internal/table"
)

const (
	// heldPacketLimit bounds the packets held for one agent check. Flows whose packets
	// exceed it depend on the caller's next retransmission.
	heldPacketLimit = 64
	// agentCheckLimit bounds the concurrent agent checks. Each uses a goroutine and a socket
	// for a few seconds at most.
	agentCheckLimit = 64
)

// agentChecks are the running checks of agents that a balancer can't reach.
type agentChecks struct {
	mu      sync.Mutex
	running map[table.AgentNumber]*agentCheck
}

// agentCheck checks whether an agent is dead by this agent's own probes.
type agentCheck struct {
	agent *steering.Agent
	// held are envelopes to process again once the agent is known to be dead. Without
	// them callers would be reset only at their next retransmission, and those are a
	// second apart by then.
	held [][]byte
}

// startAgentCheck starts a check of an agent, or adds a packet to the running one.
// The packet itself is still forwarded to that agent.
func (e *Endpoint) startAgentCheck(v *view, about table.AgentNumber, balancer netip.AddrPort, packet []byte) {
	agent, ok := v.steering.Agent(about)
	if !ok {
		return
	}
	q := e.agentCheckFor(v, agent)
	if q == nil {
		return
	}
	h := e.reader.header
	h.Balancer = balancer
	held, err := v.steering.Envelopes.Append(nil, &h, packet)
	if err != nil {
		return
	}
	e.agentChecks.mu.Lock()
	defer e.agentChecks.mu.Unlock()
	if len(q.held) < heldPacketLimit {
		q.held = append(q.held, held)
	}
}

// agentCheckFor returns the running check of an agent, or starts one. It returns
// nil if too many are running.
func (e *Endpoint) agentCheckFor(v *view, agent *steering.Agent) *agentCheck {
	e.agentChecks.mu.Lock()
	defer e.agentChecks.mu.Unlock()
	if q := e.agentChecks.running[agent.Number]; q != nil {
		return q
	}
	if len(e.agentChecks.running) >= agentCheckLimit {
		return nil
	}
	q := &agentCheck{agent: agent}
	e.agentChecks.running[agent.Number] = q
	go e.runAgentCheck(v, q)
	return q
}

// runAgentCheck probes an agent until it answers or is found dead.
func (e *Endpoint) runAgentCheck(v *view, q *agentCheck) {
	began := time.Now()
	check := reachability.NewAgentCheck(began)
	finding := reachability.Pending
	for finding == reachability.Pending {
		select {
		case <-e.closed:
			return
		default:
		}
		outcome := e.probe(v, q.agent)
		finding = check.Record(time.Now(), outcome)
	}
	if finding == reachability.Dead {
		q.agent.Reach.MarkDown()
		time.AfterFunc(reachability.ResultTTL, q.agent.Reach.ClearDown)
		events.Log(e.config.Log, events.FlowAgentDead, logrus.Fields{
			"agent": q.agent.Number, "after": time.Since(began).String(),
		})
	}
	e.agentChecks.mu.Lock()
	delete(e.agentChecks.running, q.agent.Number)
	held := q.held
	e.agentChecks.mu.Unlock()
	if finding != reachability.Dead {
		return
	}
	for _, datagram := range held {
		// Sent to the endpoint's own socket, as only its reader decides on packets.
		_, _ = e.socket.WriteToUDPAddrPort(datagram, e.tunnel)
	}
}

// probe sends one probe and waits up to reachability.Tick for its outcome. The socket
// is connected, as only a connected one reports an ICMP port unreachable message.
func (e *Endpoint) probe(v *view, agent *steering.Agent) reachability.ProbeOutcome {
	e.counters.probes.Add(1)
	deadline := time.Now().Add(reachability.Tick)
	socket, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(agent.Tunnel))
	if err != nil {
		time.Sleep(reachability.Tick)
		return reachability.Silent
	}
	defer socket.Close()
	h := envelope.Header{Kind: envelope.Probe, Generation: v.steering.Generation, Service: agent.Service, Agent: agent.Number}
	out, err := v.steering.Envelopes.Append(nil, &h, nil)
	if err != nil {
		return reachability.Silent
	}
	_ = socket.SetDeadline(deadline)
	if _, err := socket.Write(out); err != nil {
		return outcomeOf(err, deadline)
	}
	buffer := make([]byte, bufferSize)
	n, err := socket.Read(buffer)
	if err != nil {
		return outcomeOf(err, deadline)
	}
	var answer envelope.Header
	if _, err := v.steering.Envelopes.Open(buffer[:n], &answer); err != nil || answer.Kind != envelope.ProbeReply || answer.Agent != agent.Number {
		time.Sleep(time.Until(deadline))
		return reachability.Silent
	}
	return reachability.Alive
}

// outcomeOf waits until the deadline and returns the outcome of a probe that failed with err.
func outcomeOf(err error, deadline time.Time) reachability.ProbeOutcome {
	time.Sleep(time.Until(deadline))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return reachability.Refused
	}
	return reachability.Silent
}
