package membership

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func (n *node) evacuatedNow() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.evacuated)
}

// Guards against nodes that go on sending new flows to a data centre that is evacuated, or
// never come back to it; agents are told like balancers.
func TestNodesHearOfEvacuations(t *testing.T) {
	all := vms(t, 3)
	for _, v := range all {
		v.put(t, 1)
	}
	nodes := []*node{startNode(t, Balancer, "10.0.0.1:1", all...), startNode(t, Agent, "10.0.0.2:1", all...)}
	for _, evacuate := range []bool{true, false} {
		for _, v := range all {
			v.order(t, "accra-a", evacuate)
		}
		for _, n := range nodes {
			await(t, "the order", func() bool { return slices.Contains(n.evacuatedNow(), "accra-a") == evacuate })
		}
	}
}

// Guards against a node that starts during an evacuation and places flows by its first
// table before it has heard of the order.
func TestEvacuationsComeWithTheFirstTable(t *testing.T) {
	is := is.New(t)
	all := vms(t, 1)
	all[0].put(t, 1)
	all[0].order(t, "accra-a", true)
	n := startNode(t, Balancer, "10.0.0.1:1", all...)
	await(t, "the table", func() bool { return n.client.Version() == 1 })
	is.Equal(n.evacuatedNow(), []string{"accra-a"})
	n.mu.Lock()
	defer n.mu.Unlock()
	is.True(!n.tabledBefore)
}

// Guards against a control VM that lags and takes an evacuation back that another one has
// told of.
func TestEvacuationsNeverGoBack(t *testing.T) {
	is := is.New(t)
	all := vms(t, 2)
	for _, v := range all {
		v.put(t, 1)
	}
	all[0].order(t, "accra-a", true)
	all[0].order(t, "accra-b", true)
	all[1].order(t, "accra-a", true) // it lags by an order
	n := startNode(t, Balancer, "10.0.0.1:1", all...)
	await(t, "both orders", func() bool { return len(n.evacuatedNow()) == 2 })
	await(t, "streams", func() bool { return n.client.Heard() == 2 })
	all[1].put(t, 2) // an update of the one that lags
	await(t, "version 2", func() bool { return n.client.Version() == 2 })
	is.Equal(n.evacuatedNow(), []string{"accra-a", "accra-b"})
}
