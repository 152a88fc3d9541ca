package membership

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func (n *node) evacuatedZones() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.evacuated)
}

// Guards against nodes that still send new flows to an evacuated data centre, or that
// never resume after the withdrawal. Agents are told as well as balancers.
func TestNodesAreToldOfEvacuations(t *testing.T) {
	all := startVMs(t, 3)
	for _, v := range all {
		v.put(t, 1)
	}
	nodes := []*node{startNode(t, Balancer, "10.0.0.1:1", all...), startNode(t, Agent, "10.0.0.2:1", all...)}
	for _, evacuate := range []bool{true, false} {
		for _, v := range all {
			v.order(t, "accra-a", evacuate)
		}
		for _, n := range nodes {
			await(t, "the order", func() bool { return slices.Contains(n.evacuatedZones(), "accra-a") == evacuate })
		}
	}
}

// Guards against a node that starts during an evacuation and places flows by its first
// table before it is told of the order.
func TestEvacuationsAreAppliedBeforeFirstTable(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 1)
	all[0].put(t, 1)
	all[0].order(t, "accra-a", true)
	n := startNode(t, Balancer, "10.0.0.1:1", all...)
	await(t, "the table", func() bool { return n.client.Version() == 1 })
	is.Equal(n.evacuatedZones(), []string{"accra-a"})
	n.mu.Lock()
	defer n.mu.Unlock()
	is.True(!n.tableFirst)
}

// Guards against a control VM that is behind and reverts an evacuation that another VM
// has announced.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 2)
	for _, v := range all {
		v.put(t, 1)
	}
	all[0].order(t, "accra-a", true)
	all[0].order(t, "accra-b", true)
	all[1].order(t, "accra-a", true) // one order behind
	n := startNode(t, Balancer, "10.0.0.1:1", all...)
	await(t, "both orders", func() bool { return len(n.evacuatedZones()) == 2 })
	await(t, "streams", func() bool { return n.client.LiveControls() == 2 })
	all[1].put(t, 2) // an update from the VM that is behind
	await(t, "version 2", func() bool { return n.client.Version() == 2 })
	is.Equal(n.evacuatedZones(), []string{"accra-a", "accra-b"})
}
