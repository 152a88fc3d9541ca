package flow_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"bergamotstall/internal/flow"
	"bergamotstall/internal/table"
)

// flowAt opens flows until one reaches the given agent, and returns its caller.
func (r *rig) flowAt(number table.AgentNumber) *caller {
	r.Helper()
	for range 64 {
		c := r.caller(defaultService)
		_, agent, err := c.get("/")
		r.is.NoErr(err)
		if agent == strconv.Itoa(int(number)) {
			return c
		}
	}
	r.Fatalf("no flow at agent %d", number)
	return nil
}

// A target drained by the table must keep its open feed and download, and get no new
// flows, not even from balancers that still have the table from before the drain.
func TestDrainedTargetKeepsFeedAndDownload(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	feed := r.openFeed(r.flowAt(1))
	running := r.startDownload(r.flowAt(1))
	r.target(1).State = table.Draining
	r.applyAgents(r.nextRevision())
	for range 20 {
		_, agent, err := r.caller(defaultService).get("/")
		r.is.NoErr(err)
		r.is.Equal(agent, "2")
	}
	r.is.True(r.agents[1].metrics.Value("flow_hand_over_draining") > 0)
	r.requireFeedContinues(feed)
	r.requireIntact(running)
}

// Shutdown must not cut an open request: the agent sends GOAWAY, forwards new flows to
// the other agent, and closes after the last request. An open feed would delay the
// shutdown until its timeout, so the test closes it.
func TestShutdownCutsNoRequest(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	feed := r.openFeed(r.flowAt(1))
	idle := r.flowAt(1)
	running := r.startDownload(r.flowAt(1))
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		stopped <- r.agents[1].Shutdown(ctx)
	}()
	r.requireIntact(running)
	r.requireFeedContinues(feed)
	_, agent, err := idle.get("/")
	r.is.NoErr(err)
	r.is.Equal(agent, "2")
	feed.close()
	r.is.NoErr(<-stopped)
	r.is.Equal(r.agents[1].Flows(), 0)
}

// After an agent's process restarts at the same address, its old flows must end at the
// caller's next packet. The new incarnation lacks the flow, and answers with a stateless
// reset by the cluster's key, even while the table still lists the old one.
func TestRestartedAgentResetsOldFlows(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	c := r.flowAt(1)
	tunnel := r.agents[1].Tunnel().String()
	r.agents[1].stop()
	delete(r.agents, 1)
	r.addAgent(7, defaultService, tunnel, targetHandler(7))
	r.applyAgents(r.nextRevision())
	r.requireReset(c)
	r.eventually("a new flow works", func() bool {
		_, _, err := r.caller(defaultService).get("/")
		return err == nil
	})
}

// Once control has retired a dead agent, any other agent of the service answers the
// next packet of its flows with a stateless reset.
func TestRetiredAgentsFlowsAreReset(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	c := r.flowAt(1)
	r.agents[1].stop()
	delete(r.agents, 1)
	r.target(1).State = table.Retired
	r.apply()
	r.requireReset(c)
	r.is.True(r.agents[2].metrics.Value("flow_reset_gone_agent") > 0)
}

// The caller of an open feed sends only small packets, to which quic-go sends no
// stateless reset. When its agent dies, the caller must still be reset, instead of
// waiting for its idle timeout of 20 seconds.
func TestCallerThatOnlyListensIsReset(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	r.keepAlive = 100 * time.Millisecond
	feed := r.openFeed(r.flowAt(1))
	r.agents[1].stop()
	delete(r.agents, 1)
	r.target(1).State = table.Retired
	r.apply()
	r.eventually("the caller is reset", func() bool { return feed.err.Load() != nil })
	var reset *quic.StatelessResetError
	r.is.True(errors.As(*feed.err.Load(), &reset))
}

// requireReset makes a request on the caller's flow, and fails unless the flow ends by a
// stateless reset; a timeout doesn't count. A packet that QUIC sends by itself may be answered by
// the reset before the request, which then opens another flow.
func (r *rig) requireReset(c *caller) {
	r.Helper()
	_, _, err := c.get("/")
	flow := c.flow.Load().Context()
	r.eventually("the flow ends", func() bool { return flow.Err() != nil })
	var reset *quic.StatelessResetError
	if !errors.As(context.Cause(flow), &reset) {
		r.Fatalf("the flow ended with %v and the request with %v, want a stateless reset", context.Cause(flow), err)
	}
}

// A request must never reach a target of another service. The desk's agent dies, an
// agent of the archive gets its address, and the balancers, whose tables are outdated,
// send the desk's packets to the archive's agent, which refuses and counts them.
func TestReusedAddressRefusesOtherService(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	r.addService(secondServiceID, secondService)
	c := r.flowAt(1)
	tunnel := r.agents[1].Tunnel().String()
	r.agents[1].stop()
	delete(r.agents, 1)
	var served atomic.Int64
	other := r.addAgent(8, secondService, tunnel, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	r.applyAgents(r.nextRevision())

	go func() { _, _, _ = c.get("/") }()
	r.eventually("packets are refused", func() bool {
		return other.metrics.Value("flow_envelope_wrong_service") >= 3
	})
	r.is.Equal(served.Load(), int64(0))
	r.is.Equal(other.Flows(), 0)
}

// An agent at its flow limit forwards new flows to the next agent in their order. If all
// agents are full, callers are refused at once instead of timing out.
func TestFullTargetForwardsNewFlows(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	r.table.Services[0].FlowLimit = 3
	r.apply()
	for range 6 {
		_, _, err := r.caller(defaultService).get("/")
		r.is.NoErr(err)
	}
	r.is.Equal(r.agents[1].Flows(), 3)
	r.is.Equal(r.agents[2].Flows(), 3)
	start := time.Now()
	_, _, err := r.caller(defaultService).get("/")
	var refused *quic.TransportError
	r.is.True(errors.As(err, &refused))
	r.is.Equal(refused.ErrorCode, quic.ConnectionRefused)
	r.is.True(time.Since(start) < waitTimeout)
}

// Flows of a dead agent must be reset within a second or two of the caller's next packet,
// before any table says that the agent is dead. The balancers' probes go unanswered, so
// they send the flow's packets to another agent; its own probes are refused by the dead
// agent's VM, and it answers with a stateless reset. New flows avoid the dead agent.
func TestDeadAgentsFlowsAreResetBeforeControlKnows(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	c := r.flowAt(1)
	r.agents[1].stop()
	start := time.Now()
	r.requireReset(c)
	r.Logf("reset %v after the next packet", time.Since(start))
	r.is.True(r.agents[2].metrics.Value("flow_reset_unreachable") > 0)
	for range 10 {
		_, agent, err := r.caller(defaultService).get("/")
		r.is.NoErr(err)
		r.is.Equal(agent, "2")
	}
}

// callResult is the result of a call: the agent that answered, or the error.
type callResult struct {
	agent string
	err   error
}

// An agent without CPU time for seconds must keep its flows. Probes of the balancers and
// of the other agent go unanswered, but none is refused, and that alone must not reset an
// open flow.
func TestPausedAgentKeepsItsFlows(t *testing.T) {
	r := newRig(t)
	r.idleTimeout = 0 // the default idle timeout, as the callers' retransmissions take seconds
	for i := range 3 {
		r.addBalancer(fmt.Sprintf("balancer-%d", i))
	}
	var pause, resume func()
	r.startAgent(1, defaultService, "", targetHandler(1), func(e *flow.Endpoint) { pause, resume = e.Pause() })
	resume = sync.OnceFunc(resume)
	r.addAgent(2, defaultService, "", targetHandler(2))
	r.apply()
	// Only packets that reach a balancer which already found the agent unreachable start
	// a check. The retransmissions of a single caller, each through another balancer,
	// may need longer than the idle timeout for that, so there are several callers.
	var callers [6]*caller
	for i := range callers {
		callers[i] = r.flowAt(1)
	}
	pause()
	paused := time.Now()
	r.Cleanup(resume) // a paused agent can't stop
	answers := make(chan callResult, len(callers))
	for _, c := range callers {
		go func() {
			_, agent, err := c.get("/")
			answers <- callResult{agent, err}
		}()
	}
	other := r.agents[2].metrics
	r.eventually("the other agent probes the paused one", func() bool { return other.Value("flow_probes") >= 3 })
	resume()
	// After a longer pause flows time out, whatever the check finds.
	r.is.True(time.Since(paused) < flow.IdleTimeout)
	for range callers {
		a := <-answers
		r.is.NoErr(a.err)
		r.is.Equal(a.agent, "1")
	}
	r.is.Equal(other.Value("flow_reset_unreachable"), int64(0))
}

// With direct return, a download arrives intact and no return packet crosses a balancer.
// The caller sends to a balancer directly, as the simulated fabric would occupy the
// service address that the agent needs.
func TestDirectReturnBypassesBalancers(t *testing.T) {
	r := newRig(t)
	r.direct = true
	r.fabric.Close()
	b := r.addBalancer("balancer-0")
	r.addAgent(1, defaultService, "", targetHandler(1))
	r.apply()
	front, ok := b.Front(defaultServiceID)
	r.is.True(ok)
	c := r.caller(defaultService)
	c.url = "https://" + front.String()
	r.requireIntact(r.startDownload(c))
	r.is.True(r.agents[1].metrics.Value("flow_answers_direct") > 1000)
	r.is.Equal(b.metrics.Value("balancer_return_packets"), int64(0))
}

// Guards against an agent that can't start at the address of one that has just stopped.
func TestStoppedEndpointFreesItsAddress(t *testing.T) {
	r := standardRig(t, 1, targetHandler)
	tunnel := r.agents[1].Tunnel().String()
	for range 200 {
		r.agents[1].stop()
		r.table.Targets = nil
		r.addAgent(1, defaultService, tunnel, targetHandler(1)) // fails if the address is in use
	}
}
