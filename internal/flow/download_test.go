package flow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"bergamotstall/internal/standin/fabric"
)

// A download must arrive intact although each of its packets crosses a randomly chosen
// balancer, and every flow must stay with the agent at which it was opened.
func TestDownloadsAreWholeWhenPacketsAreSprayed(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	for range 4 {
		c := r.caller(defaultService)
		_, first, err := c.get("/")
		r.is.NoErr(err)
		r.requireIntact(r.startDownload(c))
		_, again, err := c.get("/")
		r.is.NoErr(err)
		r.is.Equal(first, again)
	}
	for _, b := range r.balancers {
		r.is.True(b.metrics.Value("balancer_forward_named") > 100)
		r.is.Equal(b.metrics.Value("balancer_forward_drop_foreign"), int64(0))
	}
}

// Downloads must survive the death of a balancer, which loses the packets sent to it and
// makes agents return packets through another one, and the joining of a balancer that has
// seen none of the flows.
func TestDownloadSurvivesBalancerDeathAndJoin(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	var running []*download
	for range 3 {
		running = append(running, r.startDownload(r.caller(defaultService)))
	}
	time.Sleep(200 * time.Millisecond)
	dead := r.killBalancer("balancer-0")
	time.Sleep(200 * time.Millisecond)
	r.fabric.RemoveBalancer(dead.ip)
	r.addBalancer("balancer-new")
	r.apply()
	for _, d := range running {
		r.requireIntact(d)
	}
	r.is.True(r.balancers["balancer-new"].metrics.Value("balancer_forward_named") > 0)
}

// A feed and a download must continue while each balancer in turn is replaced by a new one
// at another address. At the end none is left that was there when the flows were opened.
func TestFeedSurvivesReplacementOfEveryBalancer(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	feed := r.openFeed(r.caller(defaultService))
	running := r.startDownload(r.caller(defaultService))
	for i := range 3 {
		r.addBalancer(fmt.Sprintf("new-%d", i))
		old := r.balancers[fmt.Sprintf("balancer-%d", i)]
		r.fabric.RemoveBalancer(old.ip)
		r.apply()
		r.requireFeedContinues(feed)
		r.killBalancer(fmt.Sprintf("balancer-%d", i))
		r.apply()
		r.requireFeedContinues(feed)
	}
	r.requireIntact(running)
}

// A feed and a download must continue while packets are delayed, duplicated, reordered and
// lost.
func TestLateReorderedDuplicatedPackets(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	r.fabric.SetFaults(fabric.Faults{
		Loss: 0.02, Duplicate: 0.1, Reorder: 0.1,
		ReorderDelay: 15 * time.Millisecond, Delay: time.Millisecond,
	})
	feed := r.openFeed(r.caller(defaultService))
	r.requireIntact(r.startDownload(r.caller(defaultService)))
	r.requireFeedContinues(feed)
	r.is.True(r.fabric.Stats().Lost > 0)
}

// A feed must continue while one of three balancers is partitioned from the fabric, which
// loses a third of its packets in both directions until the partition heals.
func TestFeedSurvivesPartitionedBalancer(t *testing.T) {
	r := standardRig(t, 2, targetHandler)
	feed := r.openFeed(r.caller(defaultService))
	cut := r.balancers["balancer-1"].ip
	r.fabric.Partition(cut)
	r.requireFeedContinues(feed)
	r.fabric.Heal(cut)
	r.requireFeedContinues(feed)
}

// If all packets of a flow are lost in both directions, the caller and the agent must both
// end it within the idle timeout, and the agent must no longer count it against the limit.
// New flows work meanwhile.
func TestSilentFlowIsNoticedAtBothEnds(t *testing.T) {
	r := standardRig(t, 1, targetHandler)
	feed := r.openFeed(r.caller(defaultService))
	r.requireFeedContinues(feed)
	var from netip.AddrPort
	for _, from = range r.fabric.Callers() {
		r.fabric.Silence(from)
	}
	r.is.Equal(r.agents[1].Flows(), 1)
	_, _, err := r.caller(defaultService).get("/")
	r.is.NoErr(err)
	r.eventually("the caller's flow times out", func() bool { return feed.err.Load() != nil })
	r.eventually("the agent's flow times out", func() bool { return r.agents[1].Flows() == 1 })
}
