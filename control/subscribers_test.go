package control

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/table"
)

// process is a balancer or agent as control sees it: its stream and the tables
// that it applied.
type process struct {
	client *distribution.Client
	cancel context.CancelFunc
	ended  chan struct{}

	mu     sync.Mutex
	newest *table.Table
}

func (p *process) table() *table.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest
}

// kill ends the stream as a death does: without a word.
func (p *process) kill() {
	p.cancel()
	<-p.ended
}

func (c *cluster) attach(role distribution.Role, a distribution.Announcement, vms ...*vm) *process {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := distribution.ClientConfig{Role: role, Announcement: a, Log: log, Seed: 1}
	for _, v := range vms {
		cfg.Controls = append(cfg.Controls, v.settings.Subscribers)
	}
	p := &process{ended: make(chan struct{}), newest: &table.Table{}}
	p.client = distribution.NewClient(cfg, func(t *table.Table) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.newest = t
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.ended)
		_ = p.client.Run(ctx)
	}()
	c.t.Cleanup(p.kill)
	return p
}

func (c *cluster) agent(host string, vms ...*vm) *process {
	return c.attach(distribution.RoleAgent, distribution.Announcement{
		Name: host, Incarnation: 1, DataCentre: "accra-a", Tunnel: "127.0.2.1:9000", Peer: "127.0.2.1:9001",
		Service: "casework", Host: host, Slots: 4, Connections: 2000,
	}, vms...)
}

func (c *cluster) balancer(name string, vms ...*vm) *process {
	return c.attach(distribution.RoleBalancer, distribution.Announcement{Name: name, Incarnation: 1, DataCentre: "accra-a", Tunnel: "127.0.3.1:7000"}, vms...)
}

func states(t *table.Table) map[string]table.State {
	out := map[string]table.State{}
	for _, x := range t.Targets {
		out[x.Host] = x.State
	}
	return out
}

// A switch is accepted at one control VM while the balancers hang on others.
// The wait ends once each has acknowledged it, and then each steers by it.
func TestSwitchWaitsForBalancersAtOtherVMs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	balancers := []*process{c.balancer("b1", c.vms[0]), c.balancer("b2", c.vms[1]), c.balancer("b3", c.vms[2])}
	c.eventually("balancers are registered", func() bool { return len(c.vms[0].control.catalogue.Balancers()) == 3 })
	op := client(c.vms...)
	out, err := op.Command(t.Context(), switchTo("peak", "", 0))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	fleet, err := op.WaitInForce(ctx, out.Revision)
	is.NoErr(err)
	is.Equal(fleet.Live(), 3)
	for _, b := range balancers {
		is.Equal(b.table().Preset, "peak")
	}
}

// A data centre is lost: a control VM and the agent whose stream ended there
// die together, so that nobody saw the stream end. The leader takes the agent
// over, waits for it to come back elsewhere, and then takes it out of new work.
// The agents of the other VMs stay.
func TestAgentThatDiesWithItsControlVMIsTakenOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	lost := c.others(c.awaitLeader())[0]
	rest := c.others(lost)
	dying := c.agent("casework-1", lost)
	c.agent("casework-2", rest...)
	c.agent("casework-3", rest...)
	b := c.balancer("b1", rest...)
	c.eventually("three targets", func() bool { return len(b.table().Targets) == 3 })

	lost.stop() // nothing is reported by a VM that stops
	dying.kill()
	c.eventually("the dead agent is out", func() bool { return states(b.table())["casework-1"] != table.Active })
	now := states(b.table())
	is.Equal(now["casework-2"], table.Active)
	is.Equal(now["casework-3"], table.Active)
}

// The control VM that an agent hangs on is cut off from the quorum, unnoticed.
// The agent leaves it within seconds and hangs on another under the same
// number; nobody takes it out of new work meanwhile.
func TestAgentLeavesAStaleVMUnderItsNumber(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApply()
	a := c.agent("casework-1", c.vms...)
	c.eventually("one target", func() bool { return len(a.table().Targets) == 1 })
	number := a.table().Targets[0].Agent
	stale := c.named(c.awaitLeader().control.catalogue.Agents()[0].Via)
	c.network.isolate(stale, true)
	c.eventually("the cut VM knows", func() bool { return stale.control.ContactAge() > 3*time.Second })
	op := client(c.others(stale)...)
	out, err := op.Command(t.Context(), switchTo("peak", "", 0))
	is.NoErr(err)
	c.eventually("the agent has the new table", func() bool { return a.table().Revision >= out.Revision })
	view, err := op.Read(t.Context(), operator.PartTargets)
	is.NoErr(err)
	is.Equal(len(view.Targets), 1)
	is.Equal(view.Targets[0].Agent, number)
	is.Equal(view.Targets[0].State, "active")
	is.True(view.Targets[0].Via != stale.settings.Name)
}

func (c *cluster) named(name string) *vm {
	for _, v := range c.vms {
		if v.settings.Name == name {
			return v
		}
	}
	c.t.Fatalf("no control VM %q", name)
	return nil
}
