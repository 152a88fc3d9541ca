package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/standin/target"
	"bergamotstall/internal/table"
)

// submitMany sends n concurrent submissions to a host and returns the replies.
func (h *clusterHost) submitMany(n int, prefix, body string, headers ...string) []reply {
	out := make([]reply, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { out[i] = h.submit(fmt.Sprint(prefix, i), body, headers...) })
	}
	wait.Wait()
	return out
}

// Guards against callers waiting at a busy host while others are idle: peers take the
// requests that have no slot here, each complete and once.
func TestBurstAtOneHostSpreadsOverPeers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, target.Faults{Work: 300 * time.Millisecond}, Limits{Slots: 2})
	body := strings.Repeat("note ", 20_000)
	for i, got := range c.hosts[0].submitMany(8, "r", body) {
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(c.runs(fmt.Sprint("r", i)), 1)
	}
	is.True(c.hosts[0].count("peers.handed-over") > 0)
	elsewhere := 0
	for _, h := range c.hosts[1:] {
		elsewhere += len(h.target.LedgerEntries())
	}
	is.True(elsewhere >= 2)
}

// Guards against losing a submission's body to a peer that refuses it: the peer refuses
// before it has read the body, and the submission goes to the next agent complete.
func TestPeerRefusesBeforeTheBody(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 1})
	c.hosts[0].proxy.Drain()
	c.hosts[1].target.Kill() // the agent is reachable, its target isn't
	body := strings.Repeat("note ", 50_000)
	for i := range 5 {
		id := fmt.Sprint("r", i)
		got := c.hosts[0].submit(id, body)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.header.Get(target.HostHeader), "h3")
		is.Equal(c.runs(id), 1)
	}
}

// Guards against requests being cut when a host drains: an open feed, a download and a
// submission end normally. New requests on the same connection run elsewhere.
func TestDrainFinishesOpenRequests(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{Work: 300 * time.Millisecond}, Limits{Slots: 8})
	h := c.hosts[0]
	var download, submission reply
	var wait sync.WaitGroup
	ctx, leave := context.WithCancel(context.Background())
	wait.Go(func() { download = h.send(context.Background(), "GET", "/download?bytes=3000000&seed=4", "d", "") })
	wait.Go(func() { submission = h.submit("s", "note") })
	wait.Go(func() { h.send(ctx, "GET", "/feed", "f", "", "Accept", eventStream) })
	for _, id := range []string{"d", "s", "f"} {
		eventually(t, id, func() bool { return h.target.LedgerEntry(id).Runs == 1 })
	}
	h.proxy.Drain()
	got := h.submit("new", "note")
	is.Equal(got.header.Get(target.HostHeader), "h2")
	eventually(t, "feed alone", func() bool { return h.proxy.InFlight() == 1 })
	leave()
	wait.Wait()
	is.Equal(download.trailer.Get(target.SumTrailer), target.ContentSum("desk", 4, 3000000))
	is.Equal(len(download.body), 3000000)
	is.Equal(submission.status, http.StatusOK)
	eventually(t, "end", func() bool { return h.proxy.InFlight() == 0 })
}

// Guards against requests reaching the wrong target after an agent's address was
// reassigned to another agent, of the same service or another one. They are refused.
func TestReassignedAddressRefusesRequests(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{}, Limits{Slots: 4})
	c.hosts[0].proxy.Drain()
	c.hosts[1].proxy.agent.Store(77) // agent 2's address now belongs to agent 77
	got := c.hosts[0].submit("a", "note")
	is.Equal(got.notRun(), string(ReasonWrongPeer))
	is.Equal(c.seen("a"), 0)

	c.hosts[1].proxy.agent.Store(2)
	c.hosts[1].proxy.cfg.Service = "archive"
	got = c.hosts[0].submit("b", "note")
	is.Equal(got.notRun(), string(ReasonWrongPeer))
	is.Equal(c.seen("b"), 0)
}

// Guards against trusting a health endpoint that reports a target as healthy while its
// requests fail. After a few failures callers are sent elsewhere. Once the target is
// repaired it gets requests again without intervention.
func TestHealthyEndpointWhileRequestsFail(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	h := c.hosts[0]
	h.target.SetFaults(target.Faults{Cut: target.CutBefore, Health: target.HealthAlwaysOK})
	failed := 0
	for i := range 50 {
		if got := h.submit(fmt.Sprint("s", i), "note"); got.status != http.StatusOK {
			is.Equal(got.unknown(), string(ReasonConnectionCut))
			failed++
		}
	}
	is.True(failed >= 3)
	is.True(failed <= 10) // three until it counts as unhealthy, then one trial per second
	is.True(h.proxy.unhealthy())

	h.target.SetFaults(target.Faults{})
	eventually(t, "responses of the own target", func() bool {
		return h.send(context.Background(), "GET", "/download?bytes=1", "g", "").header.Get(target.HostHeader) == "h1"
	})
	is.True(!h.proxy.unhealthy())
}

// Guards against trusting a health endpoint that reports a target as unhealthy while its
// requests succeed: requests stay at the target.
func TestUnhealthyEndpointWhileRequestsPass(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{Health: target.HealthAlwaysFailing}, Limits{Slots: 4})
	h := c.hosts[0]
	h.submit("first", "note")
	h.proxy.checkHealth(context.Background())
	for i := range 20 {
		is.Equal(h.submit(fmt.Sprint("s", i), "note").header.Get(target.HostHeader), "h1")
	}
	is.True(h.count("health.contradicted") > 0)
}

// Guards against routing by the targets' load endpoints when these are ten seconds old
// and report idle targets. Overflow goes by the agents' own load, so full hosts get none
// and no caller is refused.
func TestOldTargetLoadReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, target.Faults{LoadAge: 10 * time.Second, Work: 200 * time.Millisecond, Shed: target.ShedFull}, Limits{Slots: 2})
	for _, h := range c.hosts { // the endpoints last report an idle target
		h.send(context.Background(), "GET", "/load", "l", "")
	}
	for _, i := range []int{1, 2, 1, 2} { // hosts 2 and 3 have no slot left
		p, refusal := c.hosts[i].proxy.admitter.admit(context.Background(), "other", 0)
		is.True(refusal == nil)
		defer p.release()
	}
	for _, got := range c.hosts[0].submitMany(4, "r", "note") {
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(len(c.hosts[1].target.LedgerEntries())+len(c.hosts[2].target.LedgerEntries()), 0)
	for _, h := range c.hosts {
		for _, r := range h.target.LedgerEntries() {
			is.Equal(r.Seen, max(r.Runs, 1)) // no target shed a request
		}
	}
}

// Guards against a second run after a target responds 503. A download is retried
// elsewhere. A submission isn't, since a 503 doesn't say how much of it ran, unless the
// operator has set ShedMeansNotRun.
func TestRetryAfterTargetResponds503(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{}, Limits{Slots: 4})
	h := c.hosts[0]
	h.target.SetFaults(target.Faults{Shed: target.ShedAlways, Health: target.HealthAlwaysOK})
	got := h.send(context.Background(), "GET", "/download?bytes=10", "d", "")
	is.Equal(got.header.Get(target.HostHeader), "h2")
	got = h.submit("s", "note")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.notRun(), "") // a target received it
	is.Equal(c.seen("s"), 1)

	h.proxy.cfg.ShedMeansNotRun = true
	got = h.submitKeyed("k", "note")
	is.Equal(got.header.Get(target.HostHeader), "h2")
	is.Equal(c.runs("k"), 1)
}

// Guards against "not run" responses to requests that a target received, and against
// second runs, under combined faults: full queues, short deadlines, targets that cut
// connections, a draining host.
func TestNotRunMeansNoTargetReceivedIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{Work: 20 * time.Millisecond}, Limits{Slots: 2, Queue: 3})
	c.hosts[1].target.SetFaults(target.Faults{Work: 20 * time.Millisecond, Cut: target.CutAfter})
	var wait sync.WaitGroup
	var mu sync.Mutex
	got := map[string]reply{}
	for i := range 240 {
		wait.Go(func() {
			id := fmt.Sprint("r", i)
			headers := []string{"Authorization", fmt.Sprint("caller ", i%7)}
			if i%3 == 0 {
				headers = append(headers, HeaderDeadline, "40")
			}
			if i%2 == 0 {
				headers = append(headers, HeaderKey, id)
			}
			r := c.hosts[i%3].submit(id, "note", headers...)
			mu.Lock()
			defer mu.Unlock()
			got[id] = r
		})
		if i == 120 {
			c.hosts[2].proxy.Drain()
		}
	}
	wait.Wait()
	refused := 0
	for id, r := range got {
		is.NoErr(r.err)
		is.True(c.runs(id) <= 1)
		if r.notRun() != "" {
			refused++
			is.Equal(c.seen(id), 0)
		}
	}
	is.True(refused > 10) // otherwise the test checks too little
}

// Guards against new requests going to draining hosts, one by its own Drain and one by
// its state in the table. The third host gets them all.
func TestDrainingPeerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	c.table.Targets[1].State = table.Draining
	c.publish()
	c.hosts[0].proxy.Drain()
	for i := range 10 {
		is.Equal(c.hosts[0].submit(fmt.Sprint("r", i), "x").header.Get(target.HostHeader), "h3")
	}
}

// Guards against processes that aren't agents on the peer port. Agents with certificates
// forward requests and vote; a client with another role's certificate, or without one,
// gets no reply.
func TestPeersMustBeAgents(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(keys.Init(folder))
	loopback := net.IPv4(127, 0, 0, 1)
	files, err := keys.Issue(folder, keys.Agent, "agents", loopback)
	is.NoErr(err)
	agents, err := keys.Load(files, discardLogger(), metrics.New())
	is.NoErr(err)
	secured := &PeerTLS{Server: agents.Server(keys.Agent), Client: agents.Client(keys.Agent)}
	c := newClusterWith(t, 3, target.Faults{}, Limits{Slots: 4}, func(cfg *Config) { cfg.TLS = secured })
	is.Equal(c.hosts[0].submitKeyed("k1", "note").status, http.StatusOK)
	c.hosts[0].proxy.Drain()
	is.Equal(c.hosts[0].submit("r1", "note").status, http.StatusOK)
	is.Equal(c.hosts[0].target.LedgerEntry("r1").Seen, 0)

	files, err = keys.Issue(folder, keys.Balancer, "balancer", loopback)
	is.NoErr(err)
	balancer, err := keys.Load(files, discardLogger(), metrics.New())
	is.NoErr(err)
	for _, client := range []*PeerTLS{{Client: balancer.Client(keys.Agent)}, nil} {
		frames := newFrameClient("desk", client)
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		err = frames.call(ctx, c.table.Targets[1], kindProbe, &Probe{}, &LoadReport{})
		cancel()
		is.True(err != nil)
	}
}

// Guards against requests waiting for a dead VM whose address accepts connections but
// never answers. Callers of a busy host still get their responses; the dead peer is
// probed once and then paused.
func TestUnresponsivePeerDoesntDelayRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	still := func() time.Time { return now } // the pause never ends
	c := newClusterWith(t, 2, target.Faults{}, Limits{Slots: 1}, func(cfg *Config) { cfg.Clock = still })
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer dead.Close()
	c.table.Targets[1].Peer = dead.Addr().String()
	c.publish()
	h := c.hosts[0]
	for i := range 10 {
		is.Equal(h.submit(fmt.Sprint("r", i), "note").status, http.StatusOK)
	}
	p, refusal := h.proxy.admitter.admit(context.Background(), "other", 0)
	is.True(refusal == nil)
	waiting := make(chan reply, 1)
	go func() { waiting <- h.submit("w", "note") }()
	eventually(t, "wait", func() bool { return h.proxy.admitter.load().Waiting == 1 })
	more := make(chan reply, 1)
	go func() { more <- h.submit("x", "note") }()
	eventually(t, "wait", func() bool { return h.proxy.admitter.load().Waiting == 2 })
	p.release()
	is.Equal((<-waiting).status, http.StatusOK)
	is.Equal((<-more).status, http.StatusOK)
	is.Equal(h.count("peers.probes"), int64(1))
	is.Equal(h.count("peers.probes-late"), int64(1))
}

// Guards against a new connection between agents for each forwarded download: its TLS
// handshake would cost more than the request.
func TestForwardedDownloadsReuseConnections(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{}, Limits{Slots: 4})
	h := c.hosts[0]
	h.proxy.Drain()
	var opened atomic.Int32
	dial := h.proxy.peerHTTP.DialContext
	h.proxy.peerHTTP.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened.Add(1)
		return dial(ctx, network, address)
	}
	for i := range 20 {
		r := httptest.NewRequest("GET", "/download?bytes=1000&seed=3", http.NoBody)
		r.ContentLength = -1 // as in an HTTP/3 request
		r.Header.Set(target.RequestIDHeader, fmt.Sprint("d", i))
		w := httptest.NewRecorder()
		h.proxy.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.Len(), 1000)
	}
	is.Equal(opened.Load(), int32(1))
}
