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

// flowAt opens flows until one is at the agent, and returns its caller.
func (r *rig) flowAt(number table.AgentNumber) *caller {
	r.Helper()
	for range 64 {
		c := r.caller(desk)
		_, agent, err := c.get("/")
		r.is.NoErr(err)
		if agent == strconv.Itoa(int(number)) {
			return c
		}
	}
	r.Fatalf("no flow at agent %d", number)
	return nil
}

// The caller's feed and download go on to their end when their target is drained
// by the table; nothing new reaches that target, not even by balancers that
// still have the table from before the drain.
func TestDrainedTargetKeepsFeedAndDownload(t *testing.T) {
	r := standard(t, 2, target)
	feed := r.openFeed(r.flowAt(1))
	running := r.startDownload(r.flowAt(1))
	r.target(1).State = table.Draining
	r.applyAgents(r.revise())
	for range 20 {
		_, agent, err := r.caller(desk).get("/")
		r.is.NoErr(err)
		r.is.Equal(agent, "2")
	}
	r.is.True(r.agents[1].metrics.Value("flow_hand_over_draining") > 0)
	r.goesOn(feed)
	r.whole(running)
}

// The caller's download is whole although its agent stops meanwhile: the agent
// sends GOAWAY, hands new flows on, and ends once the last request has. A feed
// that nobody closes would hold it; this one's caller leaves.
func TestStopCutsNoRequest(t *testing.T) {
	r := standard(t, 2, target)
	feed := r.openFeed(r.flowAt(1))
	idle := r.flowAt(1)
	running := r.startDownload(r.flowAt(1))
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		stopped <- r.agents[1].Shutdown(ctx)
	}()
	r.whole(running)
	r.goesOn(feed)
	_, agent, err := idle.get("/")
	r.is.NoErr(err)
	r.is.Equal(agent, "2")
	feed.close()
	r.is.NoErr(<-stopped)
	r.is.Equal(r.agents[1].Flows(), 0)
}

// A caller whose agent's process died and came back at the same address is told
// at its next packet, by a stateless reset: the new incarnation doesn't have the
// flow, and the cluster's key lets it say so. The table still names the old one.
func TestRestartedAgentResetsOldFlows(t *testing.T) {
	r := standard(t, 2, target)
	c := r.flowAt(1)
	tunnel := r.agents[1].Tunnel().String()
	r.agents[1].stop()
	delete(r.agents, 1)
	r.addAgent(7, desk, tunnel, target(7))
	r.applyAgents(r.revise())
	r.isReset(c)
	r.eventually("a new flow works", func() bool {
		_, _, err := r.caller(desk).get("/")
		return err == nil
	})
}

// A caller whose agent died for good is told at its next packet once control has
// retired the agent: any other agent of the service answers for it.
func TestRetiredAgentsFlowsAreReset(t *testing.T) {
	r := standard(t, 2, target)
	c := r.flowAt(1)
	r.agents[1].stop()
	delete(r.agents, 1)
	r.target(1).State = table.Retired
	r.apply()
	r.isReset(c)
	r.is.True(r.agents[2].metrics.Value("flow_reset_gone_agent") > 0)
}

// The caller of an open feed only listens: all it sends are small packets. Its
// agent dies for good, and the caller is told by a stateless reset all the same,
// not by its idle timeout of 20 seconds.
func TestCallerThatOnlyListensIsReset(t *testing.T) {
	r := standard(t, 2, target)
	r.keepAlive = 100 * time.Millisecond
	feed := r.openFeed(r.flowAt(1))
	r.agents[1].stop()
	delete(r.agents, 1)
	r.target(1).State = table.Retired
	r.apply()
	r.eventually("the caller is told", func() bool { return feed.err.Load() != nil })
	var reset *quic.StatelessResetError
	r.is.True(errors.As(*feed.err.Load(), &reset))
}

// isReset makes a request on an open flow, and fails unless the flow ends by a
// stateless reset, which no time-out can be taken for.
func (r *rig) isReset(c *caller) {
	r.Helper()
	_, _, err := c.get("/")
	var reset *quic.StatelessResetError
	if !errors.As(err, &reset) {
		r.Fatalf("got %v, want a stateless reset", err)
	}
}

// No request of the commission desk ever reaches the archive. The desk's agent
// dies, an agent of the archive gets its address, and the balancers' tables
// don't know: they send the desk's packets to the archive's agent, which refuses
// and counts them.
func TestReusedAddressRefusesOtherService(t *testing.T) {
	r := standard(t, 2, target)
	r.addService(archiveID, archive)
	c := r.flowAt(1)
	tunnel := r.agents[1].Tunnel().String()
	r.agents[1].stop()
	delete(r.agents, 1)
	var served atomic.Int64
	other := r.addAgent(8, archive, tunnel, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	r.applyAgents(r.revise())

	go func() { _, _, _ = c.get("/") }()
	r.eventually("packets are refused", func() bool {
		return other.metrics.Value("flow_envelope_wrong_service") >= 3
	})
	r.is.Equal(served.Load(), int64(0))
	r.is.Equal(other.Flows(), 0)
}

// Every caller gets its answer while one target is at its flow limit: the agent
// hands new flows to the next in their order. Where all are full, callers are
// refused at once rather than left to time out.
func TestFullTargetHandsNewFlowsOn(t *testing.T) {
	r := standard(t, 2, target)
	r.table.Services[0].FlowLimit = 3
	r.apply()
	for range 6 {
		_, _, err := r.caller(desk).get("/")
		r.is.NoErr(err)
	}
	r.is.Equal(r.agents[1].Flows(), 3)
	r.is.Equal(r.agents[2].Flows(), 3)
	start := time.Now()
	_, _, err := r.caller(desk).get("/")
	var refused *quic.TransportError
	r.is.True(errors.As(err, &refused))
	r.is.Equal(refused.ErrorCode, quic.ConnectionRefused)
	r.is.True(time.Since(start) < patience)
}

// A caller whose agent's process died is told within a second or two of its next
// packet, though no table says so yet: the balancers' probes go unanswered, they
// hand the flow's packets to another agent, whose own probes are refused by the
// dead one's VM, and that one answers with a stateless reset. New flows avoid
// the dead agent.
func TestDeadAgentsFlowsAreResetBeforeControlKnows(t *testing.T) {
	r := standard(t, 2, target)
	c := r.flowAt(1)
	r.agents[1].stop()
	start := time.Now()
	r.isReset(c)
	r.Logf("told %v after the next packet", time.Since(start))
	r.is.True(r.agents[2].metrics.Value("flow_reset_unreachable") > 0)
	for range 10 {
		_, agent, err := r.caller(desk).get("/")
		r.is.NoErr(err)
		r.is.Equal(agent, "2")
	}
}

// answer is what a caller got: which agent answered, or why none did.
type answer struct {
	agent string
	err   error
}

// Callers whose agent gets no processor time for seconds keep their flows and get
// their answers: balancers and the other agent get no answer to their probes, but
// nobody refuses them either, and an open flow isn't given up on that.
func TestPausedAgentKeepsItsFlows(t *testing.T) {
	r := newRig(t)
	r.idle = 0 // the whole idle timeout, as the caller's retransmissions take seconds
	for i := range 3 {
		r.addBalancer(fmt.Sprintf("balancer-%d", i))
	}
	var pause, resume func()
	r.startAgent(1, desk, "", target(1), func(e *flow.Endpoint) { pause, resume = e.Pause() })
	resume = sync.OnceFunc(resume)
	r.addAgent(2, desk, "", target(2))
	r.apply()
	// Several callers, as only the packets that meet a balancer which has judged
	// the agent already lead to an inquiry. A single caller's retransmissions, each
	// at another balancer, may take longer for that than the idle timeout.
	var callers [6]*caller
	for i := range callers {
		callers[i] = r.flowAt(1)
	}
	pause()
	paused := time.Now()
	r.Cleanup(resume) // a paused agent can't end
	answers := make(chan answer, len(callers))
	for _, c := range callers {
		go func() {
			_, agent, err := c.get("/")
			answers <- answer{agent, err}
		}()
	}
	other := r.agents[2].metrics
	r.eventually("the other agent looks into it", func() bool { return other.Value("flow_probes") >= 3 })
	resume()
	// A longer pause ends flows by right, and says nothing of the inquiry.
	r.is.True(time.Since(paused) < flow.IdleTimeout)
	for range callers {
		a := <-answers
		r.is.NoErr(a.err)
		r.is.Equal(a.agent, "1")
	}
	r.is.Equal(other.Value("flow_reset_unreachable"), int64(0))
}

// A caller's download is whole where its agent answers straight from the
// service's address. The caller here sends to a balancer itself, as the fabric
// stand-in would hold the address that the agent needs.
func TestDirectAnswersLeaveBalancersOut(t *testing.T) {
	r := newRig(t)
	r.direct = true
	r.fabric.Close()
	b := r.addBalancer("balancer-0")
	r.addAgent(1, desk, "", target(1))
	r.apply()
	front, ok := b.Front(deskID)
	r.is.True(ok)
	c := r.caller(desk)
	c.url = "https://" + front.String()
	r.whole(r.startDownload(c))
	r.is.True(r.agents[1].metrics.Value("flow_answers_direct") > 1000)
	r.is.Equal(b.metrics.Value("balancer_return_packets"), int64(0))
}
