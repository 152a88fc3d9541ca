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

// cluster is one service on several hosts, each with target, agent and a server
// for callers.
type cluster struct {
	t     testing.TB
	hosts []*host
	table *table.Table
	// configure changes a host's configuration before it starts; it may be nil.
	configure func(*Config)
}

type host struct {
	*rig
	number table.AgentNumber
	stop   context.CancelFunc
	ended  chan struct{}
	gone   bool
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

// add starts a host, which the table names from the next publish on.
func (c *cluster) add(f target.Faults, limits Limits) *host {
	c.t.Helper()
	number := table.AgentNumber(len(c.table.Targets) + 1)
	name := fmt.Sprintf("h%d", number)
	tg, err := target.New(target.Config{Service: "desk", Host: name, Address: "127.0.0.1:0", FeedInterval: 5 * time.Millisecond, Faults: f})
	if err != nil {
		c.t.Fatal(err)
	}
	cfg := Config{Service: "desk", Host: name, Target: tg.Address(), Peer: "127.0.0.1:0", Limits: limits}
	if c.configure != nil {
		c.configure(&cfg)
	}
	x := newRelay(c.t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{rig: &rig{t: c.t, target: tg, relay: x}, number: number, stop: cancel, ended: make(chan struct{})}
	go func() {
		defer close(h.ended)
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
		<-h.ended
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

// publish gives every agent the table as it is now.
func (c *cluster) publish() {
	c.table.Revision++
	copied := *c.table
	copied.Targets = append([]table.Target(nil), c.table.Targets...)
	for _, h := range c.hosts {
		if h.gone {
			continue
		}
		h.relay.SetAgent(h.number)
		h.relay.Apply(&copied)
	}
}

// crash ends an agent without a word to the others.
func (c *cluster) crash(h *host) {
	h.relay.keeper.mu.Lock()
	h.relay.keeper.votes = nil // nothing is handed over
	h.relay.keeper.mu.Unlock()
	h.leave()
}

// leave is a planned stop of an agent.
func (h *host) leave() {
	h.gone = true
	h.relay.Drain()
	h.stop()
	<-h.ended
}

// runs sums the runs of one request over all targets.
func (c *cluster) runs(id string) int {
	n := 0
	for _, h := range c.hosts {
		n += h.target.Run(id).Runs
	}
	return n
}

func (c *cluster) seen(id string) int {
	n := 0
	for _, h := range c.hosts {
		n += h.target.Run(id).Seen
	}
	return n
}

// keyed submits with an idempotency key.
func (h *host) keyed(key, body string, headers ...string) reply {
	h.t.Helper()
	return h.submit(key, body, append([]string{HeaderKey, key}, headers...)...)
}

// keepersOf returns the hosts that vote for a key first.
func (c *cluster) keepersOf(key string) []*host {
	var out []*host
	for _, h := range c.hosts {
		if h.relay.holds(key) {
			out = append(out, h)
		}
	}
	return out
}

// loseAnswer submits with a key and drops the caller's connection while the
// request runs.
func (h *host) loseAnswer(key, body string) {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply, 1)
	go func() { done <- h.ask(ctx, http.MethodPost, "/submit", key, body, HeaderKey, key) }()
	eventually(h.t, "run", func() bool { return h.target.Run(key).Runs == 1 })
	cancel()
	<-done
}
