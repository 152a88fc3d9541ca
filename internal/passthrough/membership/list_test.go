package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against agents that leave the list while they are cut off from the control VMs,
// or that stay on it after they end.
func TestBalancersListAgents(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 2)
	balancer := startNode(t, Balancer, "10.0.0.9:1", all...)
	first := startNode(t, Agent, "10.0.0.1:1", all...)
	second := startNode(t, Agent, "10.0.0.2:1", all...)
	await(t, "two agents", func() bool { return balancer.listed() == 2 })
	all[0].stop() // a control VM ends; the other one still lists both
	time.Sleep(2 * HeartbeatInterval)
	is.Equal(balancer.listed(), 2)
	second.stop()
	time.Sleep(2 * HeartbeatInterval)
	is.Equal(balancer.listed(), 2)
	first.client.Retire() // the agent ends together with its target
	await(t, "one agent", func() bool { return balancer.listed() == 1 })
}

// Guards against agents that are taken for silent after they ended together with their
// targets: their flows are gone, and callers would wait for their deadlines. One control
// VM's report suffices, even if another has none.
func TestRetiredAgentsAreReportedAsRetired(t *testing.T) {
	is := is.New(t)
	var last Changes
	c := NewClient(ClientConfig{Node: Node{Role: Balancer}, Log: discardLog(), OnAgents: func(x Changes) { last = x }})
	first, second := newDirectory(), newDirectory()
	one, other := newClientStream("1"), newClientStream("2")
	c.streams["1"], c.streams["2"] = one, other
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for _, at := range []netip.AddrPort{a, b} {
		first.put(at, Node{Process: 5})
		second.put(at, Node{Process: 5})
	}
	tell := func(s *clientStream, d *directory) {
		c.applyList(s, d.since(s.view.epoch, s.view.number))
	}
	tell(one, first)
	tell(other, second)
	first.remove(a, true)
	tell(one, first)
	is.Equal(last, Changes{Retired: []netip.AddrPort{a}})
	second.put(a, Node{Process: 6}) // the agent's next process, with another target
	tell(other, second)
	is.Equal(len(last.Present), 1)
	first.put(a, Node{Process: 5})
	first.remove(a, true) // a late report on the first process
	tell(one, first)
	is.Equal(len(last.Retired), 0)
	first.remove(b, false)
	second.remove(b, false)
	tell(one, first)
	tell(other, second)
	is.Equal(last, Changes{Gone: []netip.AddrPort{b}})
}

// Guards against control VMs that end because one agent states an address that lists can't
// hold.
func TestOddAgentAddressesAreNotListed(t *testing.T) {
	all := startVMs(t, 1)
	balancer := startNode(t, Balancer, "10.0.0.9:1", all...)
	for _, odd := range []string{"[2001:db8::1]:1", "[::ffff:10.0.0.2]:1", "10.0.0.3:0", "10.0.0.4:80800", "", "nowhere"} {
		startNode(t, Agent, odd, all...)
	}
	time.Sleep(2 * HeartbeatInterval)
	startNode(t, Agent, "10.0.0.1:1", all...)
	await(t, "the valid agent", func() bool { return balancer.listed() == 1 })
}

// Guards against sending the whole list for each change.
func TestListIsSentAsChanges(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 1)
	balancer := startNode(t, Balancer, "10.0.0.9:1", all...)
	for n := range 30 {
		startNode(t, Agent, fmt.Sprintf("10.0.1.%d:1", n), all...)
	}
	await(t, "all agents", func() bool { return balancer.listed() == 30 })
	balancer.mu.Lock()
	is.Equal(balancer.changes, 30)
	balancer.mu.Unlock()
	startNode(t, Agent, "10.0.2.1:1", all...)
	await(t, "one more", func() bool { return balancer.listed() == 31 })
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	is.Equal(balancer.changes, 31)
}

// Guards against an agent that is removed when one control VM drops it while another
// still lists it.
func TestAgentIsPresentWhileAnyListHasIt(t *testing.T) {
	is := is.New(t)
	present := map[netip.AddrPort]bool{}
	c := NewClient(ClientConfig{Node: Node{Role: Balancer}, Log: discardLog(), OnAgents: func(x Changes) {
		for _, a := range x.Present {
			present[a.Address] = true
		}
		for _, at := range x.Gone {
			delete(present, at)
		}
	}})
	one, two := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	a, b := newClientStream("a"), newClientStream("b")
	c.streams["a"], c.streams["b"] = a, b
	first, second := newDirectory(), newDirectory()
	first.put(one, Node{})
	first.put(two, Node{})
	second.put(two, Node{})
	c.applyList(a, first.since(a.view.epoch, a.view.number))
	c.applyList(b, second.since(b.view.epoch, b.view.number))
	is.Equal(len(present), 2)
	first.remove(two, false)
	c.applyList(a, first.since(a.view.epoch, a.view.number))
	is.Equal(len(present), 2) // the other VM still lists it
	restarted := newDirectory()
	restarted.put(one, Node{})
	c.applyList(b, restarted.since(b.view.epoch, b.view.number))
	is.Equal(present, map[netip.AddrPort]bool{one: true})
	a.heardAt = time.Now().Add(-2 * listExpiry)
	b.heardAt = a.heardAt
	c.dropStaleAgentLists()
	is.Equal(len(present), 0)
}

// Guards against a node that is sent changes that it already has, or that misses some
// after many changes.
func TestDirectorySendsMissingChangesOnly(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	at := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
	}
	var v view
	for n := range 3 * maxChanges {
		d.put(at(n%500), Node{Process: uint64(n)})
		if n%7 == 0 {
			d.remove(at((n+3)%500), false)
		}
		if n%1000 != 0 && n != 3*maxChanges-1 {
			continue
		}
		v.apply(d.since(v.epoch, v.number))
		is.Equal(len(v.agents), len(d.agents))
		for address, x := range d.agents {
			is.Equal(v.agents[address].Process, x.Process)
		}
		is.True(d.since(v.epoch, v.number) == nil)
	}
	is.True(len(d.changes) <= maxChanges)
	late := d.since(v.epoch, 1) // changes that old aren't kept
	is.True(late.Full)
}

// Guards against open flows that are reset by a newly started balancer that knows only
// some agents.
func TestNewBalancerLearnsOfAllAgents(t *testing.T) {
	all := startVMs(t, 2)
	for _, v := range all {
		v.put(t, 1)
	}
	startNode(t, Agent, "10.0.0.1:1", all...)
	startNode(t, Agent, "10.0.0.2:1", all[0])
	first := startNode(t, Balancer, "10.0.0.8:1", all...)
	await(t, "two agents", func() bool { return first.listed() == 2 })
	second := startNode(t, Balancer, "10.0.0.9:1", all...)
	await(t, "a table", func() bool { return len(second.seen()) > 0 })
	await(t, "two agents", func() bool { return second.listed() == 2 })
}
