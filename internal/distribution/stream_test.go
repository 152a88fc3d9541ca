package distribution

import (
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

// After weight changes, every balancer must have the new table, agents only the part of their
// own service, and control must know the revision of each.
func TestChangesReachEveryRole(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	balancer := startClient(t, "balancer-0", nil, server.address)
	agent := startClient(t, "agent-8", asAgent("cartoons"), server.address)
	eventually(t, "first tables", func() bool { return balancer.latest().Revision == 5 && agent.latest().Revision == 5 })

	is.Equal(len(balancer.latest().Targets), 10)
	is.Equal(len(agent.latest().Targets), 3) // an agent gets its own service's targets only
	is.Equal(len(agent.latest().Services), 1)
	is.Equal(len(agent.latest().Balancers), 3)

	for i := range 20 {
		control.set(withWeight(control.Table(), 8, uint32(200+i)))
	}
	final := control.Table().Revision
	eventually(t, "last weight", func() bool {
		return balancer.latest().Revision == final && agent.latest().Revision == final
	})
	is.Equal(balancer.latest().Targets[8].Weight, uint32(219))
	is.Equal(agent.latest().Targets[1].Weight, uint32(219))
	is.Equal(tableDigest(balancer.latest()), tableDigest(control.Table()))
	is.Equal(balancer.metrics.Value("control_snapshots"), int64(1)) // changes came as deltas
	eventually(t, "acknowledged", func() bool {
		for _, s := range server.Subscribers() {
			if s.Revision != final {
				return false
			}
		}
		return len(server.Subscribers()) == 2
	})
	eventually(t, "agent number", func() bool { return agent.AgentNumber() != 0 })
	is.Equal(control.announced("agent-8").Via, "control-1")

	agent.SetDraining(true)
	eventually(t, "drain announced", func() bool { return control.announced("agent-8").Draining })
	is.Equal(agent.AgentNumber(), table.AgentNumber(control.numbers["agent-8/1"]))
}
