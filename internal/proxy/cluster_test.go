package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bergamotstall/internal/standin/target"
	"bergamotstall/internal/table"
)

// cluster is one service on several hosts, each with a target, an agent and a server for
// callers.
type cluster struct {
	t     testing.TB
	hosts []*clusterHost
	table *table.Table
	// configure changes a host's configuration before the host starts; it may be nil.
	configure func(*Config)
}

type clusterHost struct {
	*testHost
	number  table.AgentNumber
	stop    context.CancelFunc
	done    chan struct{}
	stopped bool
}

func newCluster(t testing.TB, hosts int, f target.Faults, limits Limits) *cluster {
	t.Helper()
	return newClusterWith(t, hosts, f, limits, nil)
}

func newClusterWith(t testing.TB, hosts int, f target.Faults, limits Limits, configure func(*Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, configure: configure, table: &table.Table{Services: []table.Service{{ID: 1, Name: "desk"}}}}
	for range hosts {
		c.add(f, limits)
	}
	c.publish()
	return c
}

// add starts a host. The table lists it from the next publish on.
func (c *cluster) add(f target.Faults, limits Limits) *clusterHost {
	c.t.Helper()
	number := table.AgentNumber(len(c.table.Targets) + 1)
	name := fmt.Sprintf("h%d", number)
	tg, err := target.New(target.Config{Service: "desk", Host: name, Address: "127.0.0.1:0", FeedInterval: 5 * time.Millisecond, Faults: f})
	if err != nil {
		c.t.Fatal(err)
	}
	cfg := Config{Service: "desk", Host: name, Target: tg.Address(), PeerListenAddress: "127.0.0.1:0", Limits: limits}
	if c.configure != nil {
		c.configure(&cfg)
	}
	x := newTestProxy(c.t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	h := &clusterHost{testHost: &testHost{t: c.t, target: tg, proxy: x}, number: number, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		if err := x.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	eventually(c.t, "peer listener", func() bool { return x.PeerAddress() != "" })
	h.server = httptest.NewServer(x)
	h.client = h.server.Client()
	c.t.Cleanup(func() {
		h.server.CloseClientConnections()
		cancel()
		<-h.done
		tg.Kill()
	})
	c.table.Targets = append(c.table.Targets, table.Target{
		Agent: number, Service: 1, Host: name, DataCentre: "dc1", Peer: x.PeerAddress(),
		Slots: limits.Slots, Weight: 100, PreviousWeight: 100, State: table.Active,
		JoinedAtMS: 1, ChangedAtMS: 1,
	})
	c.hosts = append(c.hosts, h)
	return h
}

// publish gives every running agent the current table.
func (c *cluster) publish() {
	c.table.Revision++
	copied := *c.table
	copied.Targets = append([]table.Target(nil), c.table.Targets...)
	for _, h := range c.hosts {
		if h.stopped {
			continue
		}
		h.proxy.SetAgentNumber(h.number)
		h.proxy.ApplyTable(&copied)
	}
}

// crash stops an agent without a handover of its records.
func (c *cluster) crash(h *clusterHost) {
	h.proxy.voter.mu.Lock()
	h.proxy.voter.voter = nil // prevents the handover
	h.proxy.voter.mu.Unlock()
	h.stopGracefully()
}

// stopGracefully shuts an agent down as planned.
func (h *clusterHost) stopGracefully() {
	h.stopped = true
	h.proxy.Drain()
	h.stop()
	<-h.done
}

// runs returns how often a request ran at all targets together.
func (c *cluster) runs(id string) int {
	n := 0
	for _, h := range c.hosts {
		n += h.target.LedgerEntry(id).Runs
	}
	return n
}

// seen returns how often all targets together received a request.
func (c *cluster) seen(id string) int {
	n := 0
	for _, h := range c.hosts {
		n += h.target.LedgerEntry(id).Seen
	}
	return n
}

// submitKeyed submits with an idempotency key.
func (h *clusterHost) submitKeyed(key, body string, headers ...string) reply {
	h.t.Helper()
	return h.submit(key, body, append([]string{HeaderKey, key}, headers...)...)
}

// votersOf returns the hosts whose voters have a record of the key.
func (c *cluster) votersOf(key string) []*clusterHost {
	var out []*clusterHost
	for _, h := range c.hosts {
		if h.proxy.hasRecord(key) {
			out = append(out, h)
		}
	}
	return out
}

// submitAndDisconnect submits with a key and closes the caller's connection while the
// request runs.
func (h *clusterHost) submitAndDisconnect(key, body string) {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply, 1)
	go func() { done <- h.send(ctx, http.MethodPost, "/submit", key, body, HeaderKey, key) }()
	eventually(h.t, "run", func() bool { return h.target.LedgerEntry(key).Runs == 1 })
	cancel()
	<-done
}
