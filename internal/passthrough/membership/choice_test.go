package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestChooseControls(t *testing.T) {
	for _, c := range []struct {
		name    string
		healthy []bool
		want    int
	}{
		{"all healthy: the first two", []bool{true, true, true, true, true}, 2},
		{"first unhealthy: it is retried, the third is added", []bool{false, true, true, true, true}, 3},
		{"two unhealthy", []bool{false, true, false, true, true}, 4},
		{"only the last healthy", []bool{false, false, false, false, true}, 5},
		{"none healthy: all are tried", []bool{false, false, false, false, false}, 5},
		{"fewer than wanted", []bool{true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var ordered []candidate
			for n, healthy := range c.healthy {
				ordered = append(ordered, candidate{ip: fmt.Sprint(n), healthy: healthy})
			}
			if got := chooseControls(ordered, agentStreamCount, candidate.isHealthy); len(got) != c.want {
				t.Errorf("streams to %v, want the first %d", got, c.want)
			}
		})
	}
}

// Guards against an uneven spread of the agents over the control VMs.
func TestAgentsSpreadOverControlVMs(t *testing.T) {
	var controls []string
	for n := range 9 {
		controls = append(controls, fmt.Sprintf("10.0.0.%d", n))
	}
	const agents = 3000
	got := map[string]int{}
	for n := range agents {
		for _, ip := range rankControls(fmt.Sprintf("10.1.%d.%d:7622", n>>8, n&255), controls)[:agentStreamCount] {
			got[ip]++
		}
	}
	even := agents * agentStreamCount / len(controls)
	for ip, n := range got {
		if n < even*3/4 || n > even*5/4 {
			t.Errorf("%s serves %d agents, an even share is %d", ip, n, even)
		}
	}
}

// Guards against an agent that no control VM lists after both of its VMs ended: it must
// move to others.
func TestAgentMovesToOtherControlVMs(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 5)
	var ips []string
	for _, v := range all {
		v.put(t, 1)
		ips = append(ips, v.ip)
	}
	const name = "10.0.0.1:1"
	balancer := startNode(t, Balancer, "10.0.0.9:1", all...)
	agent := startNode(t, Agent, name, all...)
	await(t, "two streams", func() bool { return agent.client.LiveControls() == agentStreamCount })
	order := rankControls(name, ips)
	for _, v := range all {
		if slices.Index(order, v.ip) < agentStreamCount {
			v.stop()
		}
	}
	others := func() bool {
		agent.client.mu.Lock()
		defer agent.client.mu.Unlock()
		n := 0
		for ip, s := range agent.client.streams {
			if s.current() && slices.Index(order, ip) >= agentStreamCount {
				n++
			}
		}
		return n == agentStreamCount
	}
	await(t, "two others", others)
	is.Equal(balancer.listed(), 1)
}

// preferred returns the VMs that an agent prefers, and the others.
func preferred(agent string, all []*vm) (first, others []*vm) {
	order := rankControls(agent, all[0].controls)
	for _, v := range all {
		if slices.Index(order, v.ip) < agentStreamCount {
			first = append(first, v)
		} else {
			others = append(others, v)
		}
	}
	return first, others
}

// Guards against an agent that no control VM lists while both of its VMs restart: a balancer
// that starts meanwhile would reset the agent's open flows.
func TestAgentIsListedWhileItsControlVMsRestart(t *testing.T) {
	all := startVMs(t, 5)
	for _, v := range all {
		v.put(t, 1)
	}
	const address = "10.0.0.1:1"
	agent := startNode(t, Agent, address, all...)
	await(t, "two streams", func() bool { return agent.client.LiveControls() == agentStreamCount })
	first, others := preferred(address, all)
	listed := func(some []*vm) bool {
		return slices.ContainsFunc(some, func(v *vm) bool {
			_, attached := v.lists(address)
			return attached
		})
	}
	for _, v := range first {
		v.stop()
	}
	stoppedAt := time.Now()
	await(t, "the agent on the list of another VM", func() bool { return listed(others) })
	if took := time.Since(stoppedAt); took > streamTimeout/4 {
		t.Errorf("listed by another VM after %v", took)
	}
	for _, v := range first {
		v.start(t)
	}
	for movedBack := false; !movedBack; time.Sleep(time.Millisecond) {
		movedBack = !listed(others)
		if !listed(all) {
			t.Fatal("no VM lists the agent")
		}
	}
}

// Guards against control VMs that still list an agent long after it moved to others. Once
// it has ended, balancers would take it for silent, and callers would wait for flows that
// are lost.
func TestMovedAgentIsListedByItsNewVMsOnly(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 5)
	for _, v := range all {
		v.put(t, 1)
	}
	const address = "10.0.0.1:1"
	order := rankControls(address, all[0].controls)
	last := all[slices.IndexFunc(all, func(v *vm) bool { return v.ip == order[len(order)-1] })]
	listed := func(v *vm) bool {
		listed, _ := v.lists(address)
		return listed
	}
	began := time.Now()
	startNode(t, Agent, address, last)
	await(t, "the first stream", func() bool { return listed(last) })
	await(t, "the move to the preferred VMs", func() bool {
		for _, v := range all {
			if listed(v) != slices.Contains(order[:agentStreamCount], v.ip) {
				return false
			}
		}
		return true
	})
	is.True(time.Since(began) < delistDelay)
}
