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

// many sends n submissions to a host at once and returns what callers got.
func (h *host) many(n int, prefix, body string, headers ...string) []reply {
	out := make([]reply, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { out[i] = h.submit(fmt.Sprint(prefix, i), body, headers...) })
	}
	wait.Wait()
	return out
}

// A burst at one host while the others are idle: callers don't wait for it, the
// others take what has no slot here, whole and once.
func TestBurstAtOneHostSpreadsOverPeers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, target.Faults{Work: 300 * time.Millisecond}, Limits{Slots: 2})
	body := strings.Repeat("note ", 20_000)
	for i, got := range c.hosts[0].many(8, "r", body) {
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(c.runs(fmt.Sprint("r", i)), 1)
	}
	is.True(c.hosts[0].count("peers.handed-over") > 0)
	elsewhere := 0
	for _, h := range c.hosts[1:] {
		elsewhere += len(h.target.Runs())
	}
	is.True(elsewhere >= 2)
}

// A peer that has no slot left when the request arrives refuses it before it has
// read the body; the caller's submission goes on to the next agent, whole.
func TestPeerRefusesBeforeTheBody(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 1})
	c.hosts[0].relay.Drain()
	c.hosts[1].target.Kill() // reachable agent, unreachable target
	body := strings.Repeat("note ", 50_000)
	for i := range 5 {
		id := fmt.Sprint("r", i)
		got := c.hosts[0].submit(id, body)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.header.Get(target.HostHeader), "h3")
		is.Equal(c.runs(id), 1)
	}
}

// The target drains with a feed, a download and a submission open. All three go
// on to their end; new requests on the same connection run elsewhere.
func TestDrainCutsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{Work: 300 * time.Millisecond}, Limits{Slots: 8})
	h := c.hosts[0]
	var download, submission reply
	var wait sync.WaitGroup
	ctx, leave := context.WithCancel(context.Background())
	wait.Go(func() { download = h.ask(context.Background(), "GET", "/download?bytes=3000000&seed=4", "d", "") })
	wait.Go(func() { submission = h.submit("s", "note") })
	wait.Go(func() { h.ask(ctx, "GET", "/feed", "f", "", "Accept", eventStream) })
	for _, id := range []string{"d", "s", "f"} {
		eventually(t, id, func() bool { return h.target.Run(id).Runs == 1 })
	}
	h.relay.Drain()
	got := h.submit("new", "note")
	is.Equal(got.header.Get(target.HostHeader), "h2")
	eventually(t, "feed alone", func() bool { return h.relay.InFlight() == 1 })
	leave()
	wait.Wait()
	is.Equal(download.trailer.Get(target.SumTrailer), target.ContentSum("desk", 4, 3000000))
	is.Equal(len(download.body), 3000000)
	is.Equal(submission.status, http.StatusOK)
	eventually(t, "end", func() bool { return h.relay.InFlight() == 0 })
}

// An address has passed to another agent, of this service or another. What was
// meant for the old one is refused before it reaches a target.
func TestReusedAddressRefusesOthersRequests(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{}, Limits{Slots: 4})
	c.hosts[0].relay.Drain()
	c.hosts[1].relay.agent.Store(77) // what the table calls agent 2 is 77 now
	got := c.hosts[0].submit("a", "note")
	is.Equal(got.notRun(), string(ReasonWrongPeer))
	is.Equal(c.seen("a"), 0)

	c.hosts[1].relay.agent.Store(2)
	c.hosts[1].relay.cfg.Service = "archive"
	got = c.hosts[0].submit("b", "note")
	is.Equal(got.notRun(), string(ReasonWrongPeer))
	is.Equal(c.seen("b"), 0)
}

// Requests fail while the health endpoint says well: after a few, callers are
// sent elsewhere and see no more errors. Then the target is mended, and gets
// requests again without anybody's doing.
func TestHealthSaysWellWhileRequestsFail(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	h := c.hosts[0]
	h.target.SetFaults(target.Faults{Cut: target.CutBefore, Health: target.HealthSaysWell})
	failed := 0
	for i := range 50 {
		if got := h.submit(fmt.Sprint("s", i), "note"); got.status != http.StatusOK {
			is.Equal(got.unknown(), string(ReasonCut))
			failed++
		}
	}
	is.True(failed >= 3)
	is.True(failed <= 10) // three to learn it, then a trial a second
	is.True(h.relay.ill())

	h.target.SetFaults(target.Faults{})
	eventually(t, "own answers", func() bool {
		return h.ask(context.Background(), "GET", "/download?bytes=1", "g", "").header.Get(target.HostHeader) == "h1"
	})
	is.True(!h.relay.ill())
}

// The health endpoint says ill while requests pass: requests decide, nothing
// moves.
func TestHealthSaysIllWhileRequestsPass(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{Health: target.HealthSaysIll}, Limits{Slots: 4})
	h := c.hosts[0]
	h.submit("first", "note")
	h.relay.lookAtHealth(context.Background())
	for i := range 20 {
		is.Equal(h.submit(fmt.Sprint("s", i), "note").header.Get(target.HostHeader), "h1")
	}
	is.True(h.count("health.contradicted") > 0)
}

// The load endpoints tell of ten seconds ago: an idle past. Overflow isn't sent
// by them, so the full hosts get none and callers see no refusal.
func TestLoadReportsTenSecondsOld(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, target.Faults{LoadAge: 10 * time.Second, Work: 200 * time.Millisecond, Shed: target.ShedFull}, Limits{Slots: 2})
	for _, h := range c.hosts { // the endpoints' last look: idle
		h.ask(context.Background(), "GET", "/load", "l", "")
	}
	for _, i := range []int{1, 2, 1, 2} { // these two have no slot left
		p, refusal := c.hosts[i].relay.gate.enter(context.Background(), "other", 0)
		is.True(refusal == nil)
		defer p.leave()
	}
	for _, got := range c.hosts[0].many(4, "r", "note") {
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(len(c.hosts[1].target.Runs())+len(c.hosts[2].target.Runs()), 0)
	for _, h := range c.hosts {
		for _, r := range h.target.Runs() {
			is.Equal(r.Seen, max(r.Runs, 1)) // no target had to shed
		}
	}
}

// A download meets a target that sheds, a submission too. The download is tried
// elsewhere; the submission isn't, since a 503 doesn't say what ran before it,
// unless the operator has vouched for that.
func TestShedAnswers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{}, Limits{Slots: 4})
	h := c.hosts[0]
	h.target.SetFaults(target.Faults{Shed: target.ShedAlways, Health: target.HealthSaysWell})
	got := h.ask(context.Background(), "GET", "/download?bytes=10", "d", "")
	is.Equal(got.header.Get(target.HostHeader), "h2")
	got = h.submit("s", "note")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.notRun(), "") // a target has seen it
	is.Equal(c.seen("s"), 1)

	h.relay.cfg.ShedUnrun = true
	got = h.keyed("k", "note")
	is.Equal(got.header.Get(target.HostHeader), "h2")
	is.Equal(c.runs("k"), 1)
}

// Everything at once: full queues, short deadlines, cut and shedding targets, a
// drained host, resends of refused submissions. Whatever a caller was told was
// not run, no target has seen; nothing ran twice.
func TestNotRunMeansNoTargetSawIt(t *testing.T) {
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
			c.hosts[2].relay.Drain()
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
	is.True(refused > 10) // there was something to check
}

// Two hosts drain, one by its own word, one by the table's. A caller of the first
// gets its answers from the third; the second takes nothing new.
func TestDrainingPeerGetsNothingNew(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	c.table.Targets[1].State = table.Draining
	c.publish()
	c.hosts[0].relay.Drain()
	for i := range 10 {
		is.Equal(c.hosts[0].submit(fmt.Sprint("r", i), "x").header.Get(target.HostHeader), "h3")
	}
}

// Agents with certificates help each other and vote for each other's keys as
// without. A process of another role, or without a certificate, gets no answer
// on the peer port.
func TestPeersProveThatTheyAreAgents(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(keys.Init(folder))
	loopback := net.IPv4(127, 0, 0, 1)
	files, err := keys.Issue(folder, keys.Agent, "agents", loopback)
	is.NoErr(err)
	agents, err := keys.Load(files, discard(), metrics.New())
	is.NoErr(err)
	secured := &PeerTLS{Server: agents.Server(keys.Agent), Client: agents.Client(keys.Agent)}
	c := newClusterWith(t, 3, target.Faults{}, Limits{Slots: 4}, func(cfg *Config) { cfg.TLS = secured })
	is.Equal(c.hosts[0].keyed("k1", "note").status, http.StatusOK)
	c.hosts[0].relay.Drain()
	is.Equal(c.hosts[0].submit("r1", "note").status, http.StatusOK)
	is.Equal(c.hosts[0].target.Run("r1").Seen, 0)

	files, err = keys.Issue(folder, keys.Balancer, "balancer", loopback)
	is.NoErr(err)
	balancer, err := keys.Load(files, discard(), metrics.New())
	is.NoErr(err)
	for _, client := range []*PeerTLS{{Client: balancer.Client(keys.Agent)}, nil} {
		frames := newFrameClient("desk", client)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		err = frames.call(ctx, c.table.Targets[1], kindProbe, &Probe{}, &LoadReport{})
		cancel()
		is.True(err != nil)
	}
}

// A peer's VM has died without a word: its address takes connections and never
// answers. Callers of a busy host still get their answers; the dead peer is
// asked once and then left alone for a while.
func TestSilentPeerDoesntHoldRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	still := func() time.Time { return now } // the pause doesn't end
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
	p, refusal := h.relay.gate.enter(context.Background(), "other", 0)
	is.True(refusal == nil)
	waiting := make(chan reply, 1)
	go func() { waiting <- h.submit("w", "note") }()
	eventually(t, "wait", func() bool { return h.relay.gate.load().Waiting == 1 })
	more := make(chan reply, 1)
	go func() { more <- h.submit("x", "note") }()
	eventually(t, "wait", func() bool { return h.relay.gate.load().Waiting == 2 })
	p.leave()
	is.Equal((<-waiting).status, http.StatusOK)
	is.Equal((<-more).status, http.StatusOK)
	is.Equal(h.count("peers.probes"), int64(1))
	is.Equal(h.count("peers.probes-late"), int64(1))
}

// Downloads that are handed over reuse a connection between the agents; a TLS
// handshake for each would cost more than the request.
func TestHandedOverDownloadsReuseConnections(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, target.Faults{}, Limits{Slots: 4})
	h := c.hosts[0]
	h.relay.Drain()
	var opened atomic.Int32
	dial := h.relay.peerHTTP.DialContext
	h.relay.peerHTTP.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened.Add(1)
		return dial(ctx, network, address)
	}
	for i := range 20 {
		r := httptest.NewRequest("GET", "/download?bytes=1000&seed=3", http.NoBody)
		r.ContentLength = -1 // as HTTP/3 gives it
		r.Header.Set(target.RequestIDHeader, fmt.Sprint("d", i))
		w := httptest.NewRecorder()
		h.relay.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.Len(), 1000)
	}
	is.Equal(opened.Load(), int32(1))
}
