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

// subscriber is a balancer or agent of a test, with the newest table that it has applied.
type subscriber struct {
	client *distribution.Client
	cancel context.CancelFunc
	ended  chan struct{}

	mu     sync.Mutex
	newest *table.Table
}

func (s *subscriber) table() *table.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// kill ends the stream as a crash does, without announcing a stop.
func (s *subscriber) kill() {
	s.cancel()
	<-s.ended
}

func (c *cluster) attach(role distribution.Role, a distribution.Announcement, vms ...*vm) *subscriber {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := distribution.ClientConfig{Role: role, Announcement: a, Log: log, Seed: 1}
	for _, v := range vms {
		cfg.Controls = append(cfg.Controls, v.settings.Subscribers)
	}
	s := &subscriber{ended: make(chan struct{}), newest: &table.Table{}}
	s.client = distribution.NewClient(cfg, func(t *table.Table) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.newest = t
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.ended)
		_ = s.client.Run(ctx)
	}()
	c.t.Cleanup(s.kill)
	return s
}

func (c *cluster) agent(host string, vms ...*vm) *subscriber {
	return c.attach(distribution.RoleAgent, distribution.Announcement{
		Name: host, Incarnation: 1, DataCentre: "accra-a", Tunnel: "127.0.2.1:9000", Peer: "127.0.2.1:9001",
		Service: "casework", Host: host, Slots: 4, Connections: 2000,
	}, vms...)
}

func (c *cluster) balancer(name string, vms ...*vm) *subscriber {
	return c.attach(distribution.RoleBalancer, distribution.Announcement{Name: name, Incarnation: 1, DataCentre: "accra-a", Tunnel: "127.0.3.1:7000"}, vms...)
}

func targetStates(t *table.Table) map[string]table.State {
	out := map[string]table.State{}
	for _, x := range t.Targets {
		out[x.Host] = x.State
	}
	return out
}

// Guards against a wait that ends too early when balancers are connected to other control
// VMs than the one that accepted the switch: it ends once every balancer has the preset.
func TestWaitCoversBalancersAtOtherVMs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	balancers := []*subscriber{c.balancer("b1", c.vms[0]), c.balancer("b2", c.vms[1]), c.balancer("b3", c.vms[2])}
	c.eventually("balancers are registered", func() bool { return len(c.vms[0].control.catalogue.Balancers()) == 3 })
	op := client(c.vms...)
	out, err := op.Command(t.Context(), switchTo("peak", "", 0))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
	defer cancel()
	fleet, err := op.WaitInForce(ctx, out.Revision)
	is.NoErr(err)
	is.Equal(fleet.Live(), 3)
	for _, b := range balancers {
		is.Equal(b.table().Preset, "peak")
	}
}

// Guards against a dead agent that stays in service after the loss of a data centre: the
// agent and its control VM fail together, so that no VM reports the end of its stream. The
// leader adopts the agent and takes it out of service. Agents of other VMs stay active.
func TestAgentThatDiesWithItsControlVMGetsNoNewWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	lost := c.othersThan(c.awaitLeader())[0]
	rest := c.othersThan(lost)
	dying := c.agent("casework-1", lost)
	c.agent("casework-2", rest...)
	c.agent("casework-3", rest...)
	b := c.balancer("b1", rest...)
	c.eventually("there are three targets", func() bool { return len(b.table().Targets) == 3 })

	lost.stop() // a stopped VM reports nothing
	dying.kill()
	c.eventually("the dead agent gets no new work", func() bool { return targetStates(b.table())["casework-1"] != table.Active })
	now := targetStates(b.table())
	is.Equal(now["casework-2"], table.Active)
	is.Equal(now["casework-3"], table.Active)
}

// Guards against an agent that stays connected to a control VM without a quorum, or is
// taken out of service meanwhile: it moves to another VM under the same number.
func TestAgentLeavesAnIsolatedVMAndKeepsItsNumber(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, 3)
	c.mustApplyDefinition()
	a := c.agent("casework-1", c.vms...)
	c.eventually("there is one target", func() bool { return len(a.table().Targets) == 1 })
	number := a.table().Targets[0].Agent
	stale := c.vmNamed(c.awaitLeader().control.catalogue.Agents()[0].Via)
	c.network.setIsolated(stale, true)
	c.eventually("the isolated VM notices that it has no quorum", func() bool { return stale.control.ContactAge() > 3*time.Second })
	op := client(c.othersThan(stale)...)
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

func (c *cluster) vmNamed(name string) *vm {
	for _, v := range c.vms {
		if v.settings.Name == name {
			return v
		}
	}
	c.t.Fatalf("no control VM %q", name)
	return nil
}
