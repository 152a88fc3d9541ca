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
	// heldLimit bounds the packets held for one inquiry. Those over it wait for
	// their callers' next retransmission.
	heldLimit = 64
	// inquiryLimit bounds the inquiries at once; each has a goroutine and a
	// socket for some seconds at most.
	inquiryLimit = 64
)

// inquiries are the second opinions under way, on agents that balancers can't
// reach.
type inquiries struct {
	mu      sync.Mutex
	running map[table.AgentNumber]*inquiry
}

type inquiry struct {
	agent *steering.Agent
	// held are envelopes to look at again once the agent is known to be dead.
	// Without them callers would learn it only at a retransmission, and those
	// are a second apart by then.
	held [][]byte
}

// askAbout begins an inquiry about an agent, or adds a packet to the one that is
// under way. The packet itself goes on to that agent meanwhile.
func (e *Endpoint) askAbout(v *view, about table.AgentNumber, balancer netip.AddrPort, packet []byte) {
	agent, ok := v.steering.Agent(about)
	if !ok {
		return
	}
	q := e.inquiryAbout(v, agent)
	if q == nil {
		return
	}
	h := e.router.header
	h.Balancer = balancer
	again, err := v.steering.Envelopes.Append(nil, &h, packet)
	if err != nil {
		return
	}
	e.inquiries.mu.Lock()
	defer e.inquiries.mu.Unlock()
	if len(q.held) < heldLimit {
		q.held = append(q.held, again)
	}
}

// inquiryAbout returns the inquiry about an agent, a new one where none is under
// way, and nil where there are too many.
func (e *Endpoint) inquiryAbout(v *view, agent *steering.Agent) *inquiry {
	e.inquiries.mu.Lock()
	defer e.inquiries.mu.Unlock()
	if q := e.inquiries.running[agent.Number]; q != nil {
		return q
	}
	if len(e.inquiries.running) >= inquiryLimit {
		return nil
	}
	q := &inquiry{agent: agent}
	e.inquiries.running[agent.Number] = q
	go e.inquire(v, q)
	return q
}

// inquire probes an agent until it answers or is found dead.
func (e *Endpoint) inquire(v *view, q *inquiry) {
	began := time.Now()
	inquiry := reachability.NewInquiry(began)
	finding := reachability.Pending
	for finding == reachability.Pending {
		select {
		case <-e.closed:
			return
		default:
		}
		sign := e.probe(v, q.agent)
		finding = inquiry.Record(time.Now(), sign)
	}
	if finding == reachability.Dead {
		q.agent.Reach.MarkDown()
		time.AfterFunc(reachability.ResultTTL, q.agent.Reach.ClearDown)
		events.Log(e.config.Log, events.FlowAgentDead, logrus.Fields{
			"agent": q.agent.Number, "after": time.Since(began).String(),
		})
	}
	e.inquiries.mu.Lock()
	delete(e.inquiries.running, q.agent.Number)
	held := q.held
	e.inquiries.mu.Unlock()
	if finding != reachability.Dead {
		return
	}
	for _, envelope := range held {
		// Through the socket, as one goroutine decides on all packets.
		_, _ = e.socket.WriteToUDPAddrPort(envelope, e.tunnel)
	}
}

// probe sends one probe and waits a tick for what becomes of it. The socket is
// connected, as only such a one is told by the other VM that nobody listens.
func (e *Endpoint) probe(v *view, agent *steering.Agent) reachability.ProbeOutcome {
	e.counts.probes.Add(1)
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
		return signOf(err, deadline)
	}
	buffer := make([]byte, bufferSize)
	n, err := socket.Read(buffer)
	if err != nil {
		return signOf(err, deadline)
	}
	var answer envelope.Header
	if _, err := v.steering.Envelopes.Open(buffer[:n], &answer); err != nil || answer.Kind != envelope.ProbeReply || answer.Agent != agent.Number {
		time.Sleep(time.Until(deadline))
		return reachability.Silent
	}
	return reachability.Alive
}

func signOf(err error, deadline time.Time) reachability.ProbeOutcome {
	time.Sleep(time.Until(deadline))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return reachability.Refused
	}
	return reachability.Silent
}
